package choice

// How calls end and what is learnt of it.

func (s *Sender) Ended(o Outcome) {
	msg := s.messages[o.Message]
	if s.now = s.host.Now(); msg == nil || msg.inFlight == nil || o.Attempt != msg.attempts-1 {
		return
	}
	call := msg.inFlight
	msg.rejected, msg.lastEndpoint, msg.inFlight = o.Result == Full, call.endpoint, nil
	if !call.judged && o.Result != Moot && o.Result != Cancelled { // these tell nothing of the endpoint
		call.judged = true
		s.recordOutcome(call, o)
	} else if o.Wait > 0 {
		s.pauseRoute(call.endpoint, o.Wait, false) // those of one call may be told one by one, and it counts from the last
	}
	if call.pending--; call.pending == 0 {
		call.endpoint.inFlight, call.endpoint.idleConnUntil, msg.destination.rejectedRetriesOut = call.endpoint.inFlight-1, s.now+s.settings.ConnIdle, msg.destination.rejectedRetriesOut-int(one(call.rejectedRetry))
		s.closeIfUnused(call.endpoint)
		s.calls = removeValue(s.calls, call)
	}
	runs := o.Result == TimedOut || o.Result == Reset || o.Result == Cancelled // it may, still
	if !msg.MayRun && (runs || o.Result == Errored || o.Result == Spoilt) {
		msg.MayRun, msg.RanAt, msg.RanIn = true, call.sentAt, call.endpoint.zone
	}
	if runs && msg.keyQueue != nil {
		msg.keyQueue.pausedUntil = s.now + s.settings.KeyRest
	}
	if msg.ended = msg.ended || o.Final; msg.ended {
		s.release(msg)
	} else {
		s.scheduleRetry(msg)
	}
}

// closeIfUnused closes idle links, also where what waits may not go yet. Those of a fleet fill tables: the more
// connections of their kind fail, the oftener one must be used to stay.
func (s *Sender) closeIfUnused(ep *endpoint) {
	use := ep.sent.read(s.now, rateWindow*Time(s.fleetSize)) * seconds(s.settings.ConnIdle)
	idle := ep.inFlight == 0 && (ep.destination.queued == 0 || !ep.route.ready(s.now) || !s.slowStartReady(ep))
	if idle && use < keepUseFactor*ep.destination.kind.connectFailShare {
		s.host.CloseIdle(ep.id)
		ep.idleConnUntil = s.now
	}
}

// onConnectionTableFull answers that an endpoint has no place for one more connection, which tells nothing of its limits:
// printClosings that idle at its kind may go, and one call at a time tries there. Harm: some shut ones look alike.
func (s *Sender) onConnectionTableFull(ep *endpoint) {
	ep.concurrencyLimit, ep.destination.kind.connectFailShare = 1, ep.destination.kind.connectFailShare+recentWeight*(1-ep.destination.kind.connectFailShare)
	for _, other := range selectSorted(s.endpoints, func(other *endpoint) bool { return other.destination.kind == ep.destination.kind }) {
		s.closeIfUnused(other)
	}
}

func (s *Sender) recordOutcome(call *call, o Outcome) {
	ep, route, full := call.endpoint, call.endpoint.route, one(o.Result == Full)
	if s.markDirty(ep.destination); o.Report.Known {
		route.limit, ep.destination.kind.reportsLimits = o.Report.Limit, true
	}
	route.answered, ep.recentAnswered, ep.recentRejected, ep.rejectedShare = route.answered+1, ep.recentAnswered+1, ep.recentRejected+full, ep.rejectedShare+recentWeight*(full-ep.rejectedShare)
	ep.errorShare += one(!ep.ejected) * longTermWeight * (1 - full) * (one(o.Result != Done) - ep.errorShare)
	s.reusedResetShare += one(o.Kept) * recentWeight * (one(o.Result == Reset) - s.reusedResetShare)
	switch o.Result {
	case Done:
		ep.observe(float64(o.Took), recentWeight, longTermWeight)
		ep.destination.kind.observe(float64(o.Took), recentWeight, longTermWeight)
		ep.destination.kind.connectFailShare *= 1 - recentWeight*one(call.newConnection)
		s.retryBudget(ep.destination).tokens += either(s.exchangesNotes, kindRetryCredit, 1)
		route.succeeded.count(s.now, rateWindow*Time(s.fleetSize))
		route.peakSuccessRate, route.consecutiveFailures, route.consecutiveRejections, route.guessedWait, ep.consecutiveFailures, ep.successesNeeded = max(route.peakSuccessRate, route.succeeded.rate), 0, 0, 0, 0, max(0, ep.successesNeeded-1)
		route.limiter.rate = max(route.limiter.rate, route.limit/s.fleetSize*one(o.Report.Left > exhaustedShare)) // it has filled up again
		if ep.ejected {
			s.readmit(ep, call.sentAt)
		} else if ep.mean < 2*ep.longMean {
			ep.concurrencyLimit = min(float64(s.settings.InFlightLimit), ep.concurrencyLimit+1/ep.concurrencyLimit)
		}
		ep.lastSuccess, route.lastSuccess = s.now, s.now
	case Full:
		if o.Closed && !o.Kept && o.Wait == 0 { // no place for one more connection, no word of limits
			s.onConnectionTableFull(ep)
		} else {
			s.onRejected(call, o)
		}
	case Errored, Reset, Spoilt:
		// A kept link that breaks or a spoilt answer shows no outage: a crash refuses new connections too.
		if o.Result == Errored || o.Result == Reset && !o.Kept || s.now-ep.lastSuccess > recentSuccessSpan {
			s.recordFailure(ep, 0)
		}
	case TimedOut, ConnectFailed:
		if o.Result == ConnectFailed && !s.settings.TellsFull {
			ep.destination.kind.connectFailShare += recentWeight * (1 - ep.destination.kind.connectFailShare)
			s.sendNote(ep, 0)
		}
		if float64(s.now-call.sentAt) >= 2*s.assumedCallTime || s.now < s.messages[o.Message].Deadline-2*s.turnInterval { // else cut short
			s.noteUnanswered(call)
		}
	}
}
