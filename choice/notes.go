package choice

// This file acts on what senders tell each other by notes; noteformat.go has their form.

const (
	// defaultLimitWait is the usual pause of a used-up limit, until Retry-Afters of its kind were seen.
	defaultLimitWait = 500 * Millisecond
	// minLimitPauseCap is the least bound of the growing pause of a limit that is met again and again.
	minLimitPauseCap = Second
)

// Heard handles a note of another sender: that it met the limit of a route or, without a wait, that an endpoint had no
// place for its connection. What is no note, or is about an unknown endpoint, changes nothing.
func (s *Sender) Heard(note []byte) {
	s.now = s.host.Now()
	hash, wait := decodeNote(note)
	ep := s.endpointsByHash[hash]
	if ep == nil || wait < 0 {
		return
	}
	if wait > 0 {
		s.applyPeerLimit(ep, wait)
		return
	}
	ep.connectionNoteAt = s.now
	if ep.inFlight == 0 && ep.idleConnUntil > s.now {
		ep.idleConnUntil = s.now
		s.host.CloseIdle(ep.id)
	}
}

// sendNote tells the other senders that a limit was met or, without a wait, that an endpoint had no place for a
// connection. The latter is not repeated while a note of it is recent, whoever sent it.
func (s *Sender) sendNote(ep *endpoint, wait Time) {
	if !s.exchangesNotes {
		return
	}
	if wait == 0 && s.now < ep.connectionNoteAt+recentSuccessSpan {
		return
	}
	ep.connectionNoteAt = s.now
	s.host.Tell(encodeNote(ep.id, wait))
}

// applyPeerLimit pauses a route whose limit was met by a sender of the fleet, for as long as its kind usually says to
// wait, and longer the sooner it is met again. It is jittered, as what all senders hold back must not come at once. A
// drawback: capacity lies idle.
func (s *Sender) applyPeerLimit(ep *endpoint, wait Time) {
	route, kind := ep.route, ep.destination.kind
	if wait > noteUnit && wait < longestGuessedWait/2 {
		kind.usualWait += Time(recentWeight * float64(wait-kind.usualWait))
	}
	if s.now < route.limitMetAt+route.limitPause/2 {
		return // many senders meet it at the same time
	}
	longer := min(max(minLimitPauseCap, 2*kind.usualWait), route.limitPause+route.limitPause/2)
	if s.now >= route.limitMetAt+2*longer {
		route.limitPause = kind.usualWait
	} else {
		route.limitPause = longer
	}
	route.limitMetAt = s.now
	pause := max(wait, route.limitPause/2) + s.random.jitter(string(ep.id), route.limitPause)
	route.pausedUntil = max(route.pausedUntil, s.now+pause)
}
