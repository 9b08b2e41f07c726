package choice

import "math"

// What a route may be sent: paces after refusals, told waits, and what senders tell each other of them.

// onRejected tells a limit, which a report shows used up, from a shut destination. With neither report nor wait
// told, a run with nothing done has one guessed, doubling. Harm: a very low limit not reported.
func (s *Sender) onRejected(c *call, o Outcome) {
	e, r, halted := c.endpoint, c.endpoint.route, c.endpoint.route.pausedUntil
	limited := o.Report.Limit > 0 && (o.Report.Left-exhaustedShare)*o.Report.Limit < 1
	if r.consecutiveRejections++; s.exchangesNotes && s.now >= halted && (limited || o.Wait > 0 || !e.destination.kind.reportsLimits) {
		s.sendNote(e, max(o.Wait, noteUnit))
		s.applyPeerLimit(e, o.Wait)
	}
	if o.Wait > 0 {
		s.pauseRoute(e, o.Wait, o.Wait > longRetryAfter || e.destination.kind.reportsLimits && !limited && s.now-r.lastSuccess > fullQueueSpan)
	}
	if limited && o.Wait <= longRetryAfter {
		s.readmit(e, c.sentAt)
	} else if o.Wait == 0 && e.destination.kind.reportsLimits && r.limit == 0 && !e.ejected && s.now-r.lastSuccess < fullQueueSpan {
		e.concurrencyLimit = max(1, min(e.concurrencyLimit, float64(e.inFlight)-1)) // a pace cut for it would starve what has no limit
		return
	} else if e.ejected || e.destination.kind.reportsLimits {
		s.recordFailure(e, o.Report.Limit)
	} else if o.Wait == 0 && r.consecutiveRejections >= rejectionRun && s.now-r.lastSuccess > recentSuccessSpan && s.now >= r.pausedUntil {
		r.guessedWait = min(longestGuessedWait, max(firstTrialPause, 2*r.guessedWait))
		s.pauseRoute(e, r.guessedWait/2+s.random.jitter(string(e.id), r.guessedWait/2), false)
	}
	if o.Wait == 0 || s.now-halted <= recentSuccessSpan { // a wait that comes anew is heeded, and that is enough
		s.adjustRate(e.destination, r)
	}
}

// adjustRate answers the share of calls refused since it last judged, once a second at most, in proportion,
// from the highest load of late. A share that stays when there is less load is noise, once luck does not
// explain it. Harm: a limit told nowhere is met oftener, and of few calls nothing can be told.
func (s *Sender) adjustRate(d *destination, r *route) {
	if r.rejected++; s.now-r.judgedAt <= Second {
		return
	}
	full, seen := s.routeRejections(d, r)
	since, share := max(1, seconds(s.now-r.judgedAt)), full/seen
	r.peakLoad = max(r.sent.read(s.now, s.loadWindow), r.answered/since, r.peakLoad*math.Exp(-since/peakLoadFade))
	load := min(r.peakLoad, r.limiter.rate)
	limited := max(0, 1-(1-r.previousShare)*r.previousLoad/load) // what a limit would refuse of so much less
	both := (share*seen + r.previousShare*r.previousAnswered) / (seen + r.previousAnswered)
	told := r.previousShare-limited > noiseDeviations*shareDeviation(both, seen, r.previousAnswered)
	if told && share > (limited+r.previousShare)/2 {
		r.noiseShare, load = max(r.noiseShare, min(maxNoiseShare, r.previousShare, share)), r.previousLoad
		r.limiter.rate = max(r.limiter.rate, load)
	}
	if told || load > r.previousLoad {
		r.previousLoad, r.previousShare, r.previousAnswered = load, share, seen
	} else if load > sameLoadShare*r.previousLoad {
		r.previousShare, r.previousAnswered = both, seen+r.previousAnswered
	}
	r.noiseShare += recentWeight * min(0, share-r.noiseShare)
	over := share - max(toleratedRejections, r.noiseShare+2*math.Sqrt(r.noiseShare*(1-r.noiseShare)/seen))
	over = max(over, one(s.fleetSize > smallFleetSize && r.answered < answersToJudge))
	r.judgedAt, r.answered, r.rejected = s.now, 0, 0
	if over > 0 {
		r.limiter.tokens = min(0, r.limiter.tokens)
		to := max(rateCutShare-rateCutShare/2*one(full > fewCalls), 1-over) * load
		if part := r.limit / s.fleetSize; r.limit > 0 { // where refused calls count, parts would keep it used up
			to = either(r.consecutiveRejections >= rejectionRun, rateCutShare*min(r.limiter.rate, part), part)
		}
		r.limiter.rate = max(minFleetRate/s.fleetSize, one(s.exchangesNotes)/seconds(s.retryBase), to)
	}
}

// routeRejections counts what tells of a route. What one endpoint refuses of late beyond luck is its own affair.
func (s *Sender) routeRejections(d *destination, r *route) (float64, float64) {
	worst, full, seen := &endpoint{}, 0.0, 0.0
	for e := range d.endpointsOf(r) {
		full, seen, e.recentRejected, e.recentAnswered = full+e.recentRejected, seen+e.recentAnswered, e.recentRejected*sameLoadShare, e.recentAnswered*sameLoadShare
		if e.recentRejected >= worst.recentRejected {
			worst = e
		}
	}
	own, most, rest := worst.recentAnswered/sameLoadShare, worst.recentRejected/sameLoadShare, seen-worst.recentAnswered/sameLoadShare
	if rest >= answersToJudge/2 && most/own-(full-most)/rest > noiseDeviations*shareDeviation(full/seen, own, rest) {
		return full - most, rest
	}
	return r.rejected, r.answered + 1
}

// pauseRoute heeds a told wait, jittered so that senders told alike do not return in step.
func (s *Sender) pauseRoute(e *endpoint, wait Time, shut bool) {
	end := s.now + wait + s.random.jitter(string(e.id), min(wait/8, tickInterval*4))
	e.route.pausedUntil = max(e.route.pausedUntil, end)
	for other := range e.destination.endpointsOf(e.route) {
		other.slowStart.updatedAt = max(other.slowStart.updatedAt, end) // what all may send after it must not pile up in it
		if shut {
			s.beginSlowStart(other, end)
		}
	}
}

func (r *route) ready(now Time) bool {
	// Room is tried again little by little, and faster the longer and the more calls show that there is some.
	faster := max(0, min(seconds(now-r.judgedAt-3*Second), r.answered/answersToJudge))/2 + one(r.limiter.rate < r.peakSuccessRate/2)
	r.limiter.rate = min(unlimitedRate, r.limiter.rate*math.Exp(rateGrowth*(1+faster)*seconds(now-r.limiter.updatedAt)))
	return now >= r.pausedUntil && r.limiter.refill(now, max(1, r.limiter.rate/2)) >= 1
}

// Heard takes a note of another sender: that a limit was met, or, with no wait, that no place was found.
func (s *Sender) Heard(note []byte) {
	s.now = s.host.Now()
	g, wait := decodeNote(note)
	if e := s.endpointsByHash[g]; e != nil && wait > 0 {
		s.applyPeerLimit(e, wait)
	} else if e != nil && wait == 0 {
		if e.connectionNoteAt = s.now; e.inFlight == 0 && e.idleConnUntil > s.now {
			e.idleConnUntil = s.now
			s.host.CloseIdle(e.id)
		}
	}
}

func (s *Sender) sendNote(e *endpoint, wait Time) {
	if s.exchangesNotes && (wait > 0 || s.now >= e.connectionNoteAt+recentSuccessSpan) {
		e.connectionNoteAt = s.now
		s.host.Tell(encodeNote(e.id, wait))
	}
}

// applyPeerLimit rests a route whose limit a sender of the fleet met, jittered, as what all hold back must not come at
// once: as long as its kind usually tells to wait, longer the sooner it is met again. Harm: room lies idle.
func (s *Sender) applyPeerLimit(e *endpoint, wait Time) {
	r, k := e.route, e.destination.kind
	k.usualWait += Time(one(wait > noteUnit && wait < longestGuessedWait/2) * recentWeight * float64(wait-k.usualWait))
	if s.now < r.limitMetAt+r.limitPause/2 {
		return
	}
	longer := min(max(Second, 2*k.usualWait), r.limitPause+r.limitPause/2)
	r.limitPause, r.limitMetAt = either(s.now >= r.limitMetAt+2*longer, k.usualWait, longer), s.now
	r.pausedUntil = max(r.pausedUntil, s.now+max(wait, r.limitPause/2)+s.random.jitter(string(e.id), r.limitPause))
}
