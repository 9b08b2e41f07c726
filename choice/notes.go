package choice

// This file sends notes to the other senders and acts on theirs. Their format is in noteformat.go.

const (
	// defaultLimitWait is the usual pause for a limit that is used up, until a kind has had its first Retry-After.
	defaultLimitWait = 500 * Millisecond
	// minLimitPauseCap is the lowest cap of the pause that grows while a limit is hit repeatedly.
	minLimitPauseCap = Second
	// maxLimitWait is the longest Retry-After that counts in the usual one of a limit.
	maxLimitWait = 4 * Second
)

// ReceiveNote handles a note of another sender. With a wait, that sender hit the limit of the route; without one, the
// endpoint had no room for its connection. A malformed note and a note about an unknown endpoint are ignored.
func (s *Sender) ReceiveNote(note []byte) {
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

// sendNote notifies the other senders that this sender hit a limit or, without a wait, that an endpoint had no room for
// a connection. The latter note is not sent if another sender has sent it recently, or if this sender has recently sent
// any note about the endpoint.
func (s *Sender) sendNote(ep *endpoint, wait Time) {
	if !s.exchangesNotes {
		return
	}
	if wait == 0 && s.now < ep.connectionNoteAt+recentSuccessSpan {
		return
	}
	ep.connectionNoteAt = s.now
	s.host.BroadcastNote(encodeNote(ep.id, wait))
}

// applyPeerLimit pauses a route whose limit was hit by any sender of the fleet. The pause is the usual Retry-After of
// the kind, and is longer if the limit is hit again soon. It has jitter, so that the messages that all senders hold
// back are not sent at the same moment. Drawback: capacity is left unused.
func (s *Sender) applyPeerLimit(ep *endpoint, wait Time) {
	route, kind := ep.route, ep.destination.kind
	if wait > noteUnit && wait < maxLimitWait {
		kind.usualRetryAfter += Time(recentWeight * float64(wait-kind.usualRetryAfter))
	}
	if s.now < route.limitHitAt+route.limitPause/2 {
		return // many senders hit the limit at the same time
	}
	longer := min(max(minLimitPauseCap, 2*kind.usualRetryAfter), route.limitPause+route.limitPause/2)
	if s.now >= route.limitHitAt+2*longer {
		route.limitPause = kind.usualRetryAfter
	} else {
		route.limitPause = longer
	}
	route.limitHitAt = s.now
	pause := max(wait, route.limitPause/2) + s.random.jitter(string(ep.id), route.limitPause)
	route.pausedUntil = max(route.pausedUntil, s.now+pause)
}
