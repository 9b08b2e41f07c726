package choice

// How calls end and what is learnt of it.

func (s *Sender) Ended(o Outcome) {
	n := s.messages[o.Message]
	if s.now = s.h.Now(); n == nil || n.inFlight == nil || o.Attempt != n.attempts-1 {
		return
	}
	c := n.inFlight
	n.rejected, n.lastEndpoint, n.inFlight = o.Result == Full, c.endpoint, nil
	if !c.judged && o.Result != Moot && o.Result != Cancelled { // these tell nothing of the endpoint
		c.judged = true
		s.learn(c, o)
	} else if o.Wait > 0 {
		s.pauseRoute(c.endpoint, o.Wait, false) // those of one call may be told one by one, and it counts from the last
	}
	if c.pending--; c.pending == 0 {
		c.endpoint.calls, c.endpoint.linkUntil, n.destination.rejectedRetriesOut = c.endpoint.calls-1, s.now+s.set.ConnIdle, n.destination.rejectedRetriesOut-int(one(c.rejectedRetry))
		s.spare(c.endpoint)
		s.calls = without(s.calls, c)
	}
	runs := o.Result == TimedOut || o.Result == Reset || o.Result == Cancelled // it may, still
	if !n.MayRun && (runs || o.Result == Errored || o.Result == Spoilt) {
		n.MayRun, n.RanAt, n.RanIn = true, c.sentAt, c.endpoint.zone
	}
	if runs && n.keyQueue != nil {
		n.keyQueue.pausedUntil = s.now + s.set.KeyRest
	}
	if n.ended = n.ended || o.Final; n.ended {
		s.release(n)
	} else {
		s.scheduleRetry(n)
	}
}

// spare closes idle links, also where what waits may not go yet. Those of a fleet fill tables: the more
// connections of their kind fail, the oftener one must be used to stay.
func (s *Sender) spare(e *endpoint) {
	use := e.used.read(s.now, loadSpan*Time(s.senders)) * seconds(s.set.ConnIdle)
	idle := e.calls == 0 && (e.d.queued == 0 || !e.route.ready(s.now) || !s.slowStartReady(e))
	if idle && use < closeMore*e.d.kind.connectFailShare {
		s.h.CloseIdle(e.id)
		e.linkUntil = s.now
	}
}

// crowded answers that an endpoint has no place for one more connection, which tells nothing of its limits:
// links that idle at its kind may go, and one call at a time tries there. Harm: some shut ones look alike.
func (s *Sender) crowded(e *endpoint) {
	e.limit, e.d.kind.connectFailShare = 1, e.d.kind.connectFailShare+meanWeight*(1-e.d.kind.connectFailShare)
	for _, other := range pick(s.endpoints, func(other *endpoint) bool { return other.d.kind == e.d.kind }) {
		s.spare(other)
	}
}

func (s *Sender) learn(c *call, o Outcome) {
	e, r, full := c.endpoint, c.endpoint.route, one(o.Result == Full)
	if s.markDirty(e.d); o.Report.Known {
		r.limit, e.d.kind.reportsLimits = o.Report.Limit, true
	}
	r.answered, e.asked, e.full, e.bad = r.answered+1, e.asked+1, e.full+full, e.bad+meanWeight*(full-e.bad)
	e.wrong += one(!e.ejected) * pastWeight * (1 - full) * (one(o.Result != Done) - e.wrong)
	s.kept += one(o.Kept) * meanWeight * (one(o.Result == Reset) - s.kept)
	switch o.Result {
	case Done:
		e.measure(float64(o.Took), meanWeight, pastWeight)
		e.d.kind.measure(float64(o.Took), meanWeight, pastWeight)
		e.d.kind.connectFailShare *= 1 - meanWeight*one(c.newConnection)
		s.retryBudget(e.d).level += either(s.notes, kindRetryCredit, 1)
		r.succeeded.count(s.now, loadSpan*Time(s.senders))
		r.peakSuccessRate, r.consecutiveFailures, r.consecutiveRejections, r.guessedWait, e.fails, e.doubt = max(r.peakSuccessRate, r.succeeded.rate), 0, 0, 0, 0, max(0, e.doubt-1)
		r.limiter.rate = max(r.limiter.rate, r.limit/s.senders*one(o.Report.Left > exhaustedShare)) // it has filled up again
		if e.ejected {
			s.readmit(e, c.sentAt)
		} else if e.mean < 2*e.past {
			e.limit = min(float64(s.set.InFlightLimit), e.limit+1/e.limit)
		}
		e.goodAt, r.lastSuccess = s.now, s.now
	case Full:
		if o.Closed && !o.Kept && o.Wait == 0 { // no place for one more connection, no word of limits
			s.crowded(e)
		} else {
			s.onRejected(c, o)
		}
	case Errored, Reset, Spoilt:
		// A kept link that breaks or a spoilt answer shows no outage: a crash refuses new connections too.
		if o.Result == Errored || o.Result == Reset && !o.Kept || s.now-e.goodAt > recentSuccessSpan {
			s.recordFailure(e, 0)
		}
	case TimedOut, ConnectFailed:
		if o.Result == ConnectFailed && !s.set.TellsFull {
			e.d.kind.connectFailShare += meanWeight * (1 - e.d.kind.connectFailShare)
			s.sendNote(e, 0)
		}
		if float64(s.now-c.sentAt) >= 2*s.prior || s.now < s.messages[o.Message].Deadline-2*s.turn { // else cut short
			s.noteUnanswered(c)
		}
	}
}
