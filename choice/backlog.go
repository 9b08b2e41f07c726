package choice

// This file accepts messages, sheds some of them when the backlog is nearly full, and reports exactly one end for each.

// sheddingThreshold is the share of Settings.MaxOpen at which shedding begins. Between it and MaxOpen, the probability
// of shedding grows with the backlog, so that rejections set in gradually.
const sheddingThreshold = 0.85

// Accept accepts a message. It ends the message at once if it can no longer be sent or is shed because the backlog is
// full.
func (s *Sender) Accept(in Message) {
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

// withinQuota counts a message against its account's quota and reports whether the quota still had room for it.
func (s *Sender) withinQuota(account AccountNo) bool {
	a := int(account)
	if a < 0 || a >= len(s.accountQuotas) {
		return true
	}
	return s.accountQuotas[a].take(s.now, s.settings.Quotas[a]/s.fleetSize, quotaBurst)
}

// limitBacklog may shed one message when the backlog is nearly full: the one with the least value for the time that it
// is expected to stay open, which can be the accepted one. The probability is lower the more valuable the accepted
// message is. Messages accepted by an earlier incarnation never cause shedding, and are shed only after an attempt.
func (s *Sender) limitBacklog(accepted *message) {
	fullness := float64(len(s.messages)) / float64(s.settings.MaxOpen)
	pressure := (fullness - sheddingThreshold) / (1 - sheddingThreshold)
	if pressure <= 0 || accepted.AcceptedLifetime > 0 {
		return
	}
	if s.random.fraction(string(accepted.ID)) >= pressure*(2-s.fullValue(accepted)/s.maxValue) {
		return
	}
	mayShed := func(msg *message) bool {
		return msg.inFlight == nil && (msg.AcceptedLifetime == 0 || msg.attempts > 0)
	}
	s.endUndelivered(minBy(s.messages, mayShed, s.valuePerTime))
}

// valuePerTime returns the value of a message divided by the time it is expected to stay open. That time consists of
// the wait for its retry, or for the end of a pause or outage, and of one call for each message ahead in its key queue
// and for itself. An outage is expected to last as long again as it has lasted so far.
func (s *Sender) valuePerTime(msg *message) float64 {
	unavailable := earliest(msg.destination.ranked, forever, s.unavailableFor)
	callsTake := Time(s.usualCallTime(msg.destination)) * Time(1+msg.keyQueue.position(msg))
	openFor := callsTake + max(msg.retryAt-s.now, min(unavailable, msg.Deadline-s.now), 1)
	return s.valueAfter(msg, openFor) / float64(openFor)
}

// unavailableFor returns how long an endpoint is expected to take no calls.
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

// usualCallTime returns the mean call time of a destination's best available endpoint, or the assumed call time if it
// has none.
func (s *Sender) usualCallTime(dest *destination) float64 {
	for _, ep := range dest.ranked {
		if ep.listed && !ep.ejected {
			return ep.mean
		}
	}
	return s.assumedCallTime
}

// Withdraw ends a message without an answer. The message is not sent again. If a call is in flight, its outcome is
// still counted.
func (s *Sender) Withdraw(id MessageID) {
	s.now = s.host.Now()
	if msg := s.messages[id]; msg != nil {
		s.release(msg)
	}
}

// endUndelivered ends a message that was not delivered: it is shed if it certainly never ran, and failed otherwise.
func (s *Sender) endUndelivered(msg *message) {
	if msg.MayRun || msg.inFlight != nil {
		s.host.Fail(msg.ID)
	} else {
		pause := s.pauseEnd(msg.destination) - s.now
		s.host.Shed(msg.ID, min(s.settings.MaxRetryAfter, max(s.retryBase, pause)))
	}
	s.release(msg)
}

// release ends a message and, once it is not in flight, drops it and lets the next message of its order key be sent.
func (s *Sender) release(msg *message) {
	msg.ended = true
	s.dequeue(msg)
	if msg.inFlight != nil {
		return // AttemptEnded calls release again when the outcome arrives.
	}
	delete(s.messages, msg.ID)
	s.timers.clear(msg, s.host.CancelTimer)
	msg.destination.openMessages--
	s.markDirty(msg.destination)
	if msg.keyQueue != nil {
		s.leaveKeyQueue(msg)
	}
}
