package choice

// AttemptEnded handles the outcome of an attempt. An outcome that does not belong to the message's attempt in flight is
// ignored.
func (s *Sender) AttemptEnded(o Outcome) {
	s.now = s.host.Now()
	msg := s.messages[o.Message]
	if msg == nil || msg.inFlight == nil || o.Attempt != msg.attempts-1 {
		return
	}
	call := msg.inFlight
	msg.inFlight = nil
	msg.lastEndpoint = call.endpoint
	msg.rejected = o.Result == Rejected
	msg.alone = msg.alone || o.FormRefused
	s.learnFromAttempt(msg, call, o)
	call.pending--
	if call.pending == 0 {
		s.closeCall(msg.destination, call)
	}
	s.recordPossibleRun(msg, call, o.Result)
	if o.Final {
		msg.ended = true
	}
	if msg.ended {
		s.release(msg)
	} else {
		s.scheduleRetry(msg)
	}
}

// learnFromAttempt counts the first outcome of a call that is informative about its endpoint. The Retry-Afters of the
// messages of one call may arrive separately; each of them extends the pause.
func (s *Sender) learnFromAttempt(msg *message, call *call, o Outcome) {
	aboutEndpoint := o.Result != NotRun && o.Result != Cancelled
	if !call.outcomeCounted && aboutEndpoint {
		call.outcomeCounted = true
		s.recordOutcome(msg, call, o)
	} else if o.RetryAfter > 0 {
		s.pauseRoute(call.endpoint, o.RetryAfter, false)
	}
}

// closeCall ends a call when all of its messages have their outcomes.
func (s *Sender) closeCall(dest *destination, call *call) {
	ep := call.endpoint
	ep.inFlight--
	ep.idleConnUntil = s.now + s.settings.ConnIdle
	if call.rejectedRetry {
		dest.rejectedRetriesInFlight--
	}
	s.closeIfUnused(ep)
	s.calls = removeValue(s.calls, call)
}

// recordPossibleRun records that a message's attempt may have run. If the attempt may still be running, it also pauses
// the message's order key.
func (s *Sender) recordPossibleRun(msg *message, call *call, result Result) {
	mayStillRun := result == TimedOut || result == Reset || result == Cancelled
	mayHaveRun := mayStillRun || result == Errored || result == Unreadable
	if !msg.MayRun && mayHaveRun {
		msg.MayRun = true
		msg.RanAt = call.sentAt
		msg.RanIn = call.endpoint.zone
	}
	if mayStillRun && msg.keyQueue != nil {
		msg.keyQueue.pausedUntil = s.now + s.settings.KeyPause
	}
}

// recordOutcome updates the learned state by the outcome of a call.
func (s *Sender) recordOutcome(msg *message, call *call, o Outcome) {
	ep := call.endpoint
	s.markDirty(ep.destination)
	if o.Report.Known {
		ep.route.limit = o.Report.Limit
		ep.destination.kind.reportsLimits = true
	}
	s.countOutcome(ep, o)
	if o.Result != Done && o.Result != Rejected {
		ep.refusedRun = 0
	}
	switch o.Result {
	case Done:
		s.onDone(call, o)
	case Rejected:
		s.onRejected(call, o)
	case Errored, Reset, Unreadable:
		// A reset of a reused connection and an answer that can't be parsed are no evidence of an outage by themselves.
		// If a process has crashed, new connections fail as well.
		showsOutage := o.Result == Errored || o.Result == Reset && !o.Reused
		if showsOutage || s.now-ep.lastSuccess > recentSuccessSpan {
			s.recordFailure(ep, 0)
		}
	case TimedOut, ConnectFailed:
		if o.Result == ConnectFailed {
			s.onConnectFailed(ep)
		}
		// A call that was cut short by its message's deadline is not informative about the endpoint.
		hadFullTime := float64(s.now-call.sentAt) >= 2*s.assumedCallTime
		if hadFullTime || s.now < msg.Deadline-2*s.turnInterval {
			s.onUnanswered(call)
		}
	}
}

// countOutcome updates the rejection and error shares of an endpoint and its route.
func (s *Sender) countOutcome(ep *endpoint, o Outcome) {
	rejected := o.Result == Rejected
	ep.route.answered++
	ep.recentAnswered++
	if rejected {
		ep.recentRejected++
	}
	ep.rejectedShare = updateShare(ep.rejectedShare, recentWeight, rejected)
	if !ep.ejected && !rejected {
		ep.errorShare = updateShare(ep.errorShare, longTermWeight, o.Result != Done)
	}
	if o.Reused {
		s.reusedResetShare = updateShare(s.reusedResetShare, recentWeight, o.Result == Reset)
	}
}

// onDone handles a successful call. It updates the call times, marks the route as working and, if the call's report
// shows free capacity, raises the rate to this sender's part of the limit. It readmits an ejected endpoint; otherwise
// it raises the endpoint's concurrency limit unless calls have become much slower.
func (s *Sender) onDone(call *call, o Outcome) {
	ep, route, kind := call.endpoint, call.endpoint.route, call.endpoint.destination.kind
	ep.observe(float64(o.Duration), recentWeight, longTermWeight)
	kind.observe(float64(o.Duration), recentWeight, longTermWeight)
	if call.newConnection {
		kind.connectFailShare *= 1 - recentWeight
	}
	s.creditSuccess(ep.destination)
	route.succeeded.count(s.now, s.sharedRateWindow())
	route.peakSuccessRate = max(route.peakSuccessRate, route.succeeded.rate)
	route.consecutiveFailures = 0
	route.consecutiveRejections = 0
	ep.consecutiveFailures = 0
	s.endRefusedRun(ep)
	ep.cautiousUntil = 0
	ep.successesNeeded = max(0, ep.successesNeeded-1)
	if o.Report.Left > exhaustedShare {
		route.limiter.rate = max(route.limiter.rate, route.limit/s.fleetSize)
	}
	if ep.ejected {
		s.readmit(ep, call.sentAt)
	} else if ep.mean < 2*ep.longTermMean {
		ep.concurrencyLimit = min(float64(s.settings.InFlightLimit), ep.concurrencyLimit+1/ep.concurrencyLimit)
	}
	ep.lastSuccess = s.now
	route.lastSuccess = s.now
}
