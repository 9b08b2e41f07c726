package choice

import "slices"

// Messages as they come and as they end: room, what one is worth, one final answer each.

func (s *Sender) Taken(in Message) {
	s.now = s.host.Now()
	n := &message{Message: in, destination: s.ensureDestination(in.Destination)}
	n.acceptedAt = in.Deadline - s.class(n).Deadline
	if a := int(in.Account); a >= 0 && a < len(s.accountQuotas) {
		n.overQuota = !s.accountQuotas[a].take(s.now, s.settings.Quotas[a]/s.fleetSize, quotaBurst)
	}
	s.messages[n.ID], n.destination.openMessages = n, n.destination.openMessages+1
	if s.class(n).ByArrival && n.Key != NoKey {
		n.keyQueue = getOrCreate(s.keyQueues, n.Key)
		n.keyQueue.messages = append(n.keyQueue.messages, n)
		if n.MayRun {
			n.keyQueue.pausedUntil = s.now + s.settings.KeyRest // a call of an earlier life may still run
			s.setTimer(n, n.keyQueue.pausedUntil)
		}
	}
	if s.exhausted(n) {
		s.endUndelivered(n)
	} else if s.limitBacklog(n); !n.ended {
		s.setTimer(n, s.lastAttemptAt(n)+1)
		s.enqueue(n)
	}
}

// limitBacklog turns away by chance, below MaxOpen, what earns least for room and time; nothing owed and untried.
func (s *Sender) limitBacklog(n *message) {
	p := (float64(len(s.messages))/float64(s.settings.MaxOpen) - shedFromShare) / (1 - shedFromShare)
	if p <= 0 || n.Span > 0 || s.random.fraction(string(n.ID)) >= p*(2-s.fullValue(n)/s.maxValue) {
		return
	}
	mayGo := func(v *message) bool { return v.inFlight == nil && (v.Span == 0 || v.attempts > 0) }
	s.endUndelivered(minBy(s.messages, mayGo, s.valuePerTime))
}

// valuePerTime is worth by how long a message takes up room: behind its key's, waits, an outage as long as so far.
func (s *Sender) valuePerTime(n *message) float64 {
	waits := func(e *endpoint) Time {
		return either(e.listed, max(0, e.route.pausedUntil-s.now, Time(one(e.ejected))*(s.now-e.ejectedAt)), forever)
	}
	out := earliest(n.destination.ranked, forever, waits)
	calls := Time(s.usualCallTime(n.destination)) * Time(1+n.keyQueue.position(n))
	needs := calls + max(n.retryAt-s.now, min(out, n.Deadline-s.now), 1)
	return s.valueAfter(n, needs) / float64(needs)
}

// exhausted tells whether a message may not be sent any more.
func (s *Sender) exhausted(n *message) bool {
	tried := n.attempts > 0 && n.attempts >= s.settings.MaxAttempts || n.MayRun && s.class(n).Repeat == SingleUse
	return tried || s.now > s.lastAttemptAt(n)
}

func (s *Sender) setTimer(n *message, at Time) { s.host.Timer(max(1, at-s.now), s.timers.add(n)) }

// RepeatEnd is until when a message may leave as a repeat: where it ran it must still be known. Else forever.
func (s *Sender) RepeatEnd(id MessageID) Time {
	n := s.messages[id]
	if n == nil || !n.MayRun || s.class(n).Repeat != Keyed {
		return forever
	}
	return n.RanAt + s.class(n).RepeatWindow - s.turnInterval
}

// lastAttemptAt is the last time at which an attempt has room for one usual call.
func (s *Sender) lastAttemptAt(n *message) Time {
	return min(n.Deadline-roundUp(min(s.usualCallTime(n.destination), float64(n.lifetime())/4))-2*s.turnInterval, s.RepeatEnd(n.ID))
}

func (s *Sender) usualCallTime(d *destination) float64 {
	if i := slices.IndexFunc(d.ranked, func(e *endpoint) bool { return e.listed && !e.ejected }); i >= 0 {
		return d.ranked[i].mean
	}
	return s.assumedCallTime
}

// Withdrawn ends a message without an answer. It is not sent again; where it is out its outcome counts.
func (s *Sender) Withdrawn(id MessageID) {
	if s.now = s.host.Now(); s.messages[id] != nil {
		s.release(s.messages[id])
	}
}

// endUndelivered answers a message: shed where every attempt is proven never to have run, else given up.
func (s *Sender) endUndelivered(n *message) {
	if n.MayRun || n.inFlight != nil {
		s.host.Fail(n.ID)
	} else {
		s.host.Shed(n.ID, min(s.settings.LongestReturn, max(s.retryBase, s.pauseEnd(n.destination)-s.now)))
	}
	s.release(n)
}

func (s *Sender) release(n *message) {
	n.ended = true
	if s.dequeue(n); n.inFlight != nil {
		return
	}
	delete(s.messages, n.ID)
	s.timers.clear(n, s.host.Forget)
	n.destination.openMessages--
	s.markDirty(n.destination)
	if line := n.keyQueue; line != nil {
		line.messages = removeValue(line.messages, n)
		if s.now < line.pausedUntil {
			s.setTimer(n, line.pausedUntil)
			n.destination.keysPausedUntil = max(n.destination.keysPausedUntil, line.pausedUntil)
		}
		s.advanceKey(n)
	}
}

// pauseEnd is when the first endpoint of a destination may be sent something, as far as told waits go.
func (s *Sender) pauseEnd(d *destination) Time {
	return earliest(d.ranked, max(d.route.pausedUntil, s.now), func(e *endpoint) Time { return e.route.pausedUntil })
}
