package choice

// How calls end and what is learnt of it.

func (s *Sender) Ended(o Outcome) {
	n := s.held[o.Message]
	if s.now = s.h.Now(); n == nil || n.out == nil || o.Attempt != n.tries-1 {
		return
	}
	c := n.out
	n.refused, n.by, n.out = o.Result == Full, c.e, nil
	if !c.judged && o.Result != Moot && o.Result != Cancelled { // these tell nothing of the endpoint
		c.judged = true
		s.learn(c, o)
	} else if o.Wait > 0 {
		s.halt(c.e, o.Wait, false) // those of one call may be told one by one, and it counts from the last
	}
	if c.left--; c.left == 0 {
		c.e.calls, c.e.linkUntil, n.d.laneOut = c.e.calls-1, s.now+s.set.ConnIdle, n.d.laneOut-int(one(c.lane))
		s.spare(c.e)
		s.calls = without(s.calls, c)
	}
	runs := o.Result == TimedOut || o.Result == Reset || o.Result == Cancelled // it may, still
	if !n.MayRun && (runs || o.Result == Errored || o.Result == Spoilt) {
		n.MayRun, n.RanAt, n.RanIn = true, c.sentAt, c.e.zone
	}
	if runs && n.line != nil {
		n.line.restUntil = s.now + s.set.KeyRest
	}
	if n.over = n.over || o.Final; n.over {
		s.release(n)
	} else {
		s.again(n)
	}
}

// spare closes idle links, also where what waits may not go yet. Those of a fleet fill tables: the more
// connections of their kind fail, the oftener one must be used to stay.
func (s *Sender) spare(e *endpoint) {
	use := e.used.read(s.now, loadSpan*Time(s.senders)) * seconds(s.set.ConnIdle)
	idle := e.calls == 0 && (e.d.waiting == 0 || !e.route.ready(s.now) || !s.coldReady(e))
	if idle && use < closeMore*e.d.kind.short {
		s.h.CloseIdle(e.id)
		e.linkUntil = s.now
	}
}

// crowded answers that an endpoint has no place for one more connection, which tells nothing of its limits:
// links that idle at its kind may go, and one call at a time tries there. Harm: some shut ones look alike.
func (s *Sender) crowded(e *endpoint) {
	e.limit, e.d.kind.short = 1, e.d.kind.short+meanWeight*(1-e.d.kind.short)
	for _, other := range pick(s.endpoints, func(other *endpoint) bool { return other.d.kind == e.d.kind }) {
		s.spare(other)
	}
}

func (s *Sender) learn(c *call, o Outcome) {
	e, r, full := c.e, c.e.route, one(o.Result == Full)
	if s.stir(e.d); o.Report.Known {
		r.limit, e.d.kind.reports = o.Report.Limit, true
	}
	r.seen, e.asked, e.full, e.bad = r.seen+1, e.asked+1, e.full+full, e.bad+meanWeight*(full-e.bad)
	e.wrong += one(!e.ejected) * pastWeight * (1 - full) * (one(o.Result != Done) - e.wrong)
	s.kept += one(o.Reused) * meanWeight * (one(o.Result == Reset) - s.kept)
	switch o.Result {
	case Done:
		e.measure(float64(o.Took), meanWeight, pastWeight)
		e.d.kind.measure(float64(o.Took), meanWeight, pastWeight)
		e.d.kind.short *= 1 - meanWeight*one(c.fresh)
		s.budget(e.d).level += either(s.notes, notedPay, 1)
		r.good.count(s.now, loadSpan*Time(s.senders))
		r.peak, r.fails, r.run, r.guess, e.fails, e.doubt = max(r.peak, r.good.rate), 0, 0, 0, 0, max(0, e.doubt-1)
		r.pace.rate = max(r.pace.rate, r.limit/s.senders*one(o.Report.Left > usedUp)) // it has filled up again
		if e.ejected {
			s.comeBack(e, c.sentAt)
		} else if e.mean < 2*e.past {
			e.limit = min(float64(s.set.InFlightLimit), e.limit+1/e.limit)
		}
		e.goodAt, r.lastGood = s.now, s.now
	case Full:
		if o.Closed && !o.Reused && o.Wait == 0 { // no place for one more connection, no word of limits
			s.crowded(e)
		} else {
			s.refused(c, o)
		}
	case Errored, Reset, Spoilt:
		// A kept link that breaks or a spoilt answer shows no outage: a crash refuses new connections too.
		if o.Result == Errored || o.Result == Reset && !o.Reused || s.now-e.goodAt > quietFor {
			s.failed(e, 0)
		}
	case TimedOut, ConnectFailed:
		if o.Result == ConnectFailed && !s.set.TellsFull {
			e.d.kind.short += meanWeight * (1 - e.d.kind.short)
			s.tell(e, 0)
		}
		if float64(s.now-c.sentAt) >= 2*s.prior || s.now < s.held[o.Message].Deadline-2*s.turn { // else cut short
			s.lost(c)
		}
	}
}
