package choice

// How calls end and what is learnt of it.

func (s *Sender) Ended(o Outcome) {
	n := s.messages[o.Message]
	if s.now = s.host.Now(); n == nil || n.inFlight == nil || o.Attempt != n.attempts-1 {
		return
	}
	c := n.inFlight
	n.rejected, n.lastEndpoint, n.inFlight = o.Result == Full, c.endpoint, nil
	if !c.judged && o.Result != Moot && o.Result != Cancelled { // these tell nothing of the endpoint
		c.judged = true
		s.recordOutcome(c, o)
	} else if o.Wait > 0 {
		s.pauseRoute(c.endpoint, o.Wait, false) // those of one call may be told one by one, and it counts from the last
	}
	if c.pending--; c.pending == 0 {
		c.endpoint.inFlight, c.endpoint.idleConnUntil, n.destination.rejectedRetriesOut = c.endpoint.inFlight-1, s.now+s.settings.ConnIdle, n.destination.rejectedRetriesOut-int(one(c.rejectedRetry))
		s.closeIfUnused(c.endpoint)
		s.calls = removeValue(s.calls, c)
	}
	runs := o.Result == TimedOut || o.Result == Reset || o.Result == Cancelled // it may, still
	if !n.MayRun && (runs || o.Result == Errored || o.Result == Spoilt) {
		n.MayRun, n.RanAt, n.RanIn = true, c.sentAt, c.endpoint.zone
	}
	if runs && n.keyQueue != nil {
		n.keyQueue.pausedUntil = s.now + s.settings.KeyRest
	}
	if n.ended = n.ended || o.Final; n.ended {
		s.release(n)
	} else {
		s.scheduleRetry(n)
	}
}

// closeIfUnused closes idle links, also where what waits may not go yet. Those of a fleet fill tables: the more
// connections of their kind fail, the oftener one must be used to stay.
func (s *Sender) closeIfUnused(e *endpoint) {
	use := e.sent.read(s.now, rateWindow*Time(s.fleetSize)) * seconds(s.settings.ConnIdle)
	idle := e.inFlight == 0 && (e.destination.queued == 0 || !e.route.ready(s.now) || !s.slowStartReady(e))
	if idle && use < keepUseFactor*e.destination.kind.connectFailShare {
		s.host.CloseIdle(e.id)
		e.idleConnUntil = s.now
	}
}

// onConnectionTableFull answers that an endpoint has no place for one more connection, which tells nothing of its limits:
// links that idle at its kind may go, and one call at a time tries there. Harm: some shut ones look alike.
func (s *Sender) onConnectionTableFull(e *endpoint) {
	e.concurrencyLimit, e.destination.kind.connectFailShare = 1, e.destination.kind.connectFailShare+recentWeight*(1-e.destination.kind.connectFailShare)
	for _, other := range selectSorted(s.endpoints, func(other *endpoint) bool { return other.destination.kind == e.destination.kind }) {
		s.closeIfUnused(other)
	}
}

func (s *Sender) recordOutcome(c *call, o Outcome) {
	e, r, full := c.endpoint, c.endpoint.route, one(o.Result == Full)
	if s.markDirty(e.destination); o.Report.Known {
		r.limit, e.destination.kind.reportsLimits = o.Report.Limit, true
	}
	r.answered, e.recentAnswered, e.recentRejected, e.rejectedShare = r.answered+1, e.recentAnswered+1, e.recentRejected+full, e.rejectedShare+recentWeight*(full-e.rejectedShare)
	e.errorShare += one(!e.ejected) * longTermWeight * (1 - full) * (one(o.Result != Done) - e.errorShare)
	s.reusedResetShare += one(o.Kept) * recentWeight * (one(o.Result == Reset) - s.reusedResetShare)
	switch o.Result {
	case Done:
		e.observe(float64(o.Took), recentWeight, longTermWeight)
		e.destination.kind.observe(float64(o.Took), recentWeight, longTermWeight)
		e.destination.kind.connectFailShare *= 1 - recentWeight*one(c.newConnection)
		s.retryBudget(e.destination).tokens += either(s.exchangesNotes, kindRetryCredit, 1)
		r.succeeded.count(s.now, rateWindow*Time(s.fleetSize))
		r.peakSuccessRate, r.consecutiveFailures, r.consecutiveRejections, r.guessedWait, e.consecutiveFailures, e.successesNeeded = max(r.peakSuccessRate, r.succeeded.rate), 0, 0, 0, 0, max(0, e.successesNeeded-1)
		r.limiter.rate = max(r.limiter.rate, r.limit/s.fleetSize*one(o.Report.Left > exhaustedShare)) // it has filled up again
		if e.ejected {
			s.readmit(e, c.sentAt)
		} else if e.mean < 2*e.longMean {
			e.concurrencyLimit = min(float64(s.settings.InFlightLimit), e.concurrencyLimit+1/e.concurrencyLimit)
		}
		e.lastSuccess, r.lastSuccess = s.now, s.now
	case Full:
		if o.Closed && !o.Kept && o.Wait == 0 { // no place for one more connection, no word of limits
			s.onConnectionTableFull(e)
		} else {
			s.onRejected(c, o)
		}
	case Errored, Reset, Spoilt:
		// A kept link that breaks or a spoilt answer shows no outage: a crash refuses new connections too.
		if o.Result == Errored || o.Result == Reset && !o.Kept || s.now-e.lastSuccess > recentSuccessSpan {
			s.recordFailure(e, 0)
		}
	case TimedOut, ConnectFailed:
		if o.Result == ConnectFailed && !s.settings.TellsFull {
			e.destination.kind.connectFailShare += recentWeight * (1 - e.destination.kind.connectFailShare)
			s.sendNote(e, 0)
		}
		if float64(s.now-c.sentAt) >= 2*s.assumedCallTime || s.now < s.messages[o.Message].Deadline-2*s.turnInterval { // else cut short
			s.noteUnanswered(c)
		}
	}
}
