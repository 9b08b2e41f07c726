package choice

// This file accepts messages, sheds some where the backlog fills up, and gives each its one end.

// shedFromShare is the share of Settings.MaxOpen from which on messages are shed. Up to MaxOpen it is done by chance,
// with a probability that grows with the backlog, so that rejections do not set in all at once.
const shedFromShare = 0.85

// Taken accepts a message, or ends it at once where it may not be sent any more or the backlog is full.
func (s *Sender) Taken(in Message) {
	s.now = s.host.Now()
	msg := &message{Message: in, destination: s.ensureDestination(in.Destination)}
	msg.acceptedAt = in.Deadline - s.class(msg).Deadline
	msg.overQuota = !s.withinQuota(in.Account)
	s.messages[msg.ID] = msg
	msg.destination.openMessages++
	if s.class(msg).Ordered && msg.Key != NoKey {
		s.joinKeyQueue(msg)
	}
	if s.exhausted(msg) {
		s.endUndelivered(msg)
		return
	}
	s.limitBacklog(msg)
	if !msg.ended {
		s.setTimer(msg, s.lastAttemptAt(msg)+1)
		s.enqueue(msg)
	}
}

// withinQuota counts a message against its account's quota, and reports whether it was within it.
func (s *Sender) withinQuota(account AccountNo) bool {
	a := int(account)
	if a < 0 || a >= len(s.accountQuotas) {
		return true
	}
	return s.accountQuotas[a].take(s.now, s.settings.Quotas[a]/s.fleetSize, quotaBurst)
}

// limitBacklog sheds a message by chance where the backlog fills up, which may be the one just accepted or another: the
// one with the least value for the time it will stay. The more valuable the one just accepted is, the less likely one
// is shed for it. Messages accepted by an earlier incarnation cause no shedding, and are shed only once attempted.
func (s *Sender) limitBacklog(accepted *message) {
	fullness := float64(len(s.messages)) / float64(s.settings.MaxOpen)
	pressure := (fullness - shedFromShare) / (1 - shedFromShare)
	if pressure <= 0 || accepted.Span > 0 {
		return
	}
	if s.random.fraction(string(accepted.ID)) >= pressure*(2-s.fullValue(accepted)/s.maxValue) {
		return
	}
	mayShed := func(msg *message) bool {
		return msg.inFlight == nil && (msg.Span == 0 || msg.attempts > 0)
	}
	s.endUndelivered(minBy(s.messages, mayShed, s.valuePerTime))
}

// valuePerTime is the value of a message divided by the time that it is expected to stay open: until its retry is due or
// a pause or outage is over, and then for the calls of the messages ahead in its key queue and its own. An outage is
// expected to last as long again as it has so far.
func (s *Sender) valuePerTime(msg *message) float64 {
	unavailable := earliest(msg.destination.ranked, forever, s.unavailableFor)
	calls := Time(s.usualCallTime(msg.destination)) * Time(1+msg.keyQueue.position(msg))
	stays := calls + max(msg.retryAt-s.now, min(unavailable, msg.Deadline-s.now), 1)
	return s.valueAfter(msg, stays) / float64(stays)
}

// unavailableFor is how long an endpoint is expected to take no calls.
func (s *Sender) unavailableFor(ep *endpoint) Time {
	if !ep.listed {
		return forever
	}
	wait := max(0, ep.route.pausedUntil-s.now)
	if ep.ejected {
		wait = max(wait, s.now-ep.ejectedAt)
	}
	return wait
}

// usualCallTime is what a call to a destination takes: that of its best available endpoint.
func (s *Sender) usualCallTime(dest *destination) float64 {
	for _, ep := range dest.ranked {
		if ep.listed && !ep.ejected {
			return ep.mean
		}
	}
	return s.assumedCallTime
}

// Withdrawn ends a message without an answer. It is not sent again; if it is in flight its outcome still counts.
func (s *Sender) Withdrawn(id MessageID) {
	s.now = s.host.Now()
	if msg := s.messages[id]; msg != nil {
		s.release(msg)
	}
}

// endUndelivered ends a message that was not delivered: it is shed where it is certain that it never ran, and failed
// otherwise.
func (s *Sender) endUndelivered(msg *message) {
	if msg.MayRun || msg.inFlight != nil {
		s.host.Fail(msg.ID)
	} else {
		pause := s.pauseEnd(msg.destination) - s.now
		s.host.Shed(msg.ID, min(s.settings.MaxRetryAfter, max(s.retryBase, pause)))
	}
	s.release(msg)
}

// release drops a message that has its end, once it is not in flight, and lets the next one of its key go.
func (s *Sender) release(msg *message) {
	msg.ended = true
	s.dequeue(msg)
	if msg.inFlight != nil {
		return // released again with its outcome
	}
	delete(s.messages, msg.ID)
	s.timers.clear(msg, s.host.Forget)
	msg.destination.openMessages--
	s.markDirty(msg.destination)
	if msg.keyQueue != nil {
		s.leaveKeyQueue(msg)
	}
}
