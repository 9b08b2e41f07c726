package choice

// Ended handles the outcome of an attempt. One that does not belong to the message's attempt in flight changes nothing.
func (s *Sender) Ended(o Outcome) {
	s.now = s.host.Now()
	msg := s.messages[o.Message]
	if msg == nil || msg.inFlight == nil || o.Attempt != msg.attempts-1 {
		return
	}
	call := msg.inFlight
	msg.inFlight = nil
	msg.lastEndpoint = call.endpoint
	msg.rejected = o.Result == Rejected
	s.judgeCall(msg, call, o)
	call.pending--
	if call.pending == 0 {
		s.closeCall(msg.destination, call)
	}
	s.recordRun(msg, call, o.Result)
	if o.Final {
		msg.ended = true
	}
	if msg.ended {
		s.release(msg)
	} else {
		s.scheduleRetry(msg)
	}
}

// judgeCall learns from the first outcome of a call that says something of its endpoint. The messages of one call may
// be given their Retry-After one by one; it counts from the last of them.
func (s *Sender) judgeCall(msg *message, call *call, o Outcome) {
	aboutEndpoint := o.Result != NotRun && o.Result != Cancelled
	if !call.judged && aboutEndpoint {
		call.judged = true
		s.recordOutcome(msg, call, o)
	} else if o.RetryAfter > 0 {
		s.pauseRoute(call.endpoint, o.RetryAfter, false)
	}
}

// closeCall ends a call, all of whose messages have their outcomes.
func (s *Sender) closeCall(dest *destination, call *call) {
	ep := call.endpoint
	ep.inFlight--
	ep.idleConnUntil = s.now + s.settings.ConnIdle
	if call.rejectedRetry {
		dest.rejectedRetriesOut--
	}
	s.closeIfUnused(ep)
	s.calls = removeValue(s.calls, call)
}

// recordRun notes on a message whether its attempt may have run, or may even be running still, which pauses its order
// key.
func (s *Sender) recordRun(msg *message, call *call, result Result) {
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

// recordOutcome learns from the outcome of a call.
func (s *Sender) recordOutcome(msg *message, call *call, o Outcome) {
	ep := call.endpoint
	s.markDirty(ep.destination)
	if o.Report.Known {
		ep.route.limit = o.Report.Limit
		ep.destination.kind.reportsLimits = true
	}
	s.countOutcome(ep, o)
	switch o.Result {
	case Done:
		s.onDone(call, o)
	case Rejected:
		// Without a Retry-After, a new connection that is ended found no place, which says nothing of limits.
		if o.Closed && !o.Reused && o.RetryAfter == 0 {
			s.onConnectionTableFull(ep)
		} else {
			s.onRejected(call, o)
		}
	case Errored, Reset, Unreadable:
		// A reused connection that breaks, or an answer that can't be understood, shows no outage by itself: where a
		// process has crashed, new connections fail too.
		showsOutage := o.Result == Errored || o.Result == Reset && !o.Reused
		if showsOutage || s.now-ep.lastSuccess > recentSuccessSpan {
			s.recordFailure(ep, 0)
		}
	case TimedOut, ConnectFailed:
		if o.Result == ConnectFailed {
			s.onConnectFailed(ep)
		}
		// A call that was cut short by its message's deadline says nothing of the endpoint.
		hadItsTime := float64(s.now-call.sentAt) >= 2*s.assumedCallTime
		if hadItsTime || s.now < msg.Deadline-2*s.turnInterval {
			s.onUnanswered(call)
		}
	}
}

// countOutcome counts an outcome into the shares that are kept of an endpoint and its route.
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

// onDone learns from a call that was done: how long it took, that its route works and, by its report, which rate is
// free again. It lets more calls in flight at its endpoint, unless calls have become much slower.
func (s *Sender) onDone(call *call, o Outcome) {
	ep, route, kind := call.endpoint, call.endpoint.route, call.endpoint.destination.kind
	ep.observe(float64(o.Took), recentWeight, longTermWeight)
	kind.observe(float64(o.Took), recentWeight, longTermWeight)
	if call.newConnection {
		kind.connectFailShare *= 1 - recentWeight
	}
	s.payForSuccess(ep.destination)
	route.succeeded.count(s.now, s.sharedRateWindow())
	route.peakSuccessRate = max(route.peakSuccessRate, route.succeeded.rate)
	route.consecutiveFailures = 0
	route.consecutiveRejections = 0
	route.guessedWait = 0
	ep.consecutiveFailures = 0
	ep.successesNeeded = max(0, ep.successesNeeded-1)
	if o.Report.Left > exhaustedShare {
		route.limiter.rate = max(route.limiter.rate, route.limit/s.fleetSize)
	}
	if ep.ejected {
		s.readmit(ep, call.sentAt)
	} else if ep.mean < 2*ep.longMean {
		ep.concurrencyLimit = min(float64(s.settings.InFlightLimit), ep.concurrencyLimit+1/ep.concurrencyLimit)
	}
	ep.lastSuccess = s.now
	route.lastSuccess = s.now
}
