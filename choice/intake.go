package choice

import "slices"

// Messages as they come and as they end: room, what one is worth, one final answer each.

func (s *Sender) Taken(in Message) {
	s.now = s.host.Now()
	msg := &message{Message: in, destination: s.ensureDestination(in.Destination)}
	msg.acceptedAt = in.Deadline - s.class(msg).Deadline
	if a := int(in.Account); a >= 0 && a < len(s.accountQuotas) {
		msg.overQuota = !s.accountQuotas[a].take(s.now, s.settings.Quotas[a]/s.fleetSize, quotaBurst)
	}
	s.messages[msg.ID], msg.destination.openMessages = msg, msg.destination.openMessages+1
	if s.class(msg).ByArrival && msg.Key != NoKey {
		msg.keyQueue = getOrCreate(s.keyQueues, msg.Key)
		msg.keyQueue.messages = append(msg.keyQueue.messages, msg)
		if msg.MayRun {
			msg.keyQueue.pausedUntil = s.now + s.settings.KeyRest // a call of an earlier life may still run
			s.setTimer(msg, msg.keyQueue.pausedUntil)
		}
	}
	if s.exhausted(msg) {
		s.endUndelivered(msg)
	} else if s.limitBacklog(msg); !msg.ended {
		s.setTimer(msg, s.lastAttemptAt(msg)+1)
		s.enqueue(msg)
	}
}

// limitBacklog turns away by chance, below MaxOpen, what earns least for room and time; nothing owed and untried.
func (s *Sender) limitBacklog(msg *message) {
	p := (float64(len(s.messages))/float64(s.settings.MaxOpen) - shedFromShare) / (1 - shedFromShare)
	if p <= 0 || msg.Span > 0 || s.random.fraction(string(msg.ID)) >= p*(2-s.fullValue(msg)/s.maxValue) {
		return
	}
	mayGo := func(v *message) bool { return v.inFlight == nil && (v.Span == 0 || v.attempts > 0) }
	s.endUndelivered(minBy(s.messages, mayGo, s.valuePerTime))
}

// valuePerTime is worth by how long a message takes up room: behind its key's, waits, an outage as long as so far.
func (s *Sender) valuePerTime(msg *message) float64 {
	waits := func(ep *endpoint) Time {
		return either(ep.listed, max(0, ep.route.pausedUntil-s.now, Time(one(ep.ejected))*(s.now-ep.ejectedAt)), forever)
	}
	out := earliest(msg.destination.ranked, forever, waits)
	calls := Time(s.usualCallTime(msg.destination)) * Time(1+msg.keyQueue.position(msg))
	needs := calls + max(msg.retryAt-s.now, min(out, msg.Deadline-s.now), 1)
	return s.valueAfter(msg, needs) / float64(needs)
}

// exhausted tells whether a message may not be sent any more.
func (s *Sender) exhausted(msg *message) bool {
	tried := msg.attempts > 0 && msg.attempts >= s.settings.MaxAttempts || msg.MayRun && s.class(msg).Repeat == SingleUse
	return tried || s.now > s.lastAttemptAt(msg)
}

func (s *Sender) setTimer(msg *message, at Time) { s.host.Timer(max(1, at-s.now), s.timers.add(msg)) }

// RepeatEnd is until when a message may leave as a repeat: where it ran it must still be known. Else forever.
func (s *Sender) RepeatEnd(id MessageID) Time {
	msg := s.messages[id]
	if msg == nil || !msg.MayRun || s.class(msg).Repeat != Keyed {
		return forever
	}
	return msg.RanAt + s.class(msg).RepeatWindow - s.turnInterval
}

// lastAttemptAt is the last time at which an attempt has room for one usual call.
func (s *Sender) lastAttemptAt(msg *message) Time {
	return min(msg.Deadline-roundUp(min(s.usualCallTime(msg.destination), float64(msg.lifetime())/4))-2*s.turnInterval, s.RepeatEnd(msg.ID))
}

func (s *Sender) usualCallTime(dest *destination) float64 {
	if i := slices.IndexFunc(dest.ranked, func(ep *endpoint) bool { return ep.listed && !ep.ejected }); i >= 0 {
		return dest.ranked[i].mean
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
func (s *Sender) endUndelivered(msg *message) {
	if msg.MayRun || msg.inFlight != nil {
		s.host.Fail(msg.ID)
	} else {
		s.host.Shed(msg.ID, min(s.settings.LongestReturn, max(s.retryBase, s.pauseEnd(msg.destination)-s.now)))
	}
	s.release(msg)
}

func (s *Sender) release(msg *message) {
	msg.ended = true
	if s.dequeue(msg); msg.inFlight != nil {
		return
	}
	delete(s.messages, msg.ID)
	s.timers.clear(msg, s.host.Forget)
	msg.destination.openMessages--
	s.markDirty(msg.destination)
	if line := msg.keyQueue; line != nil {
		line.messages = removeValue(line.messages, msg)
		if s.now < line.pausedUntil {
			s.setTimer(msg, line.pausedUntil)
			msg.destination.keysPausedUntil = max(msg.destination.keysPausedUntil, line.pausedUntil)
		}
		s.advanceKey(msg)
	}
}

// pauseEnd is when the first endpoint of a destination may be sent something, as far as told waits go.
func (s *Sender) pauseEnd(dest *destination) Time {
	return earliest(dest.ranked, max(dest.route.pausedUntil, s.now), func(ep *endpoint) Time { return ep.route.pausedUntil })
}
