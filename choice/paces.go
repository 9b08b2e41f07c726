package choice

import "math"

// What a route may be sent: paces after refusals, told waits, and what senders tell each other of them.

// onRejected tells a limit, which a report shows used up, from a shut destination. With neither report nor wait
// told, a run with nothing done has one guessed, doubling. Harm: a very low limit not reported.
func (s *Sender) onRejected(call *call, o Outcome) {
	ep, route, halted := call.endpoint, call.endpoint.route, call.endpoint.route.pausedUntil
	limited := o.Report.Limit > 0 && (o.Report.Left-exhaustedShare)*o.Report.Limit < 1
	if route.consecutiveRejections++; s.exchangesNotes && s.now >= halted && (limited || o.Wait > 0 || !ep.destination.kind.reportsLimits) {
		s.sendNote(ep, max(o.Wait, noteUnit))
		s.applyPeerLimit(ep, o.Wait)
	}
	if o.Wait > 0 {
		s.pauseRoute(ep, o.Wait, o.Wait > longRetryAfter || ep.destination.kind.reportsLimits && !limited && s.now-route.lastSuccess > fullQueueSpan)
	}
	if limited && o.Wait <= longRetryAfter {
		s.readmit(ep, call.sentAt)
	} else if o.Wait == 0 && ep.destination.kind.reportsLimits && route.limit == 0 && !ep.ejected && s.now-route.lastSuccess < fullQueueSpan {
		ep.concurrencyLimit = max(1, min(ep.concurrencyLimit, float64(ep.inFlight)-1)) // a pace cut for it would starve what has no limit
		return
	} else if ep.ejected || ep.destination.kind.reportsLimits {
		s.recordFailure(ep, o.Report.Limit)
	} else if o.Wait == 0 && route.consecutiveRejections >= rejectionRun && s.now-route.lastSuccess > recentSuccessSpan && s.now >= route.pausedUntil {
		route.guessedWait = min(longestGuessedWait, max(firstTrialPause, 2*route.guessedWait))
		s.pauseRoute(ep, route.guessedWait/2+s.random.jitter(string(ep.id), route.guessedWait/2), false)
	}
	if o.Wait == 0 || s.now-halted <= recentSuccessSpan { // a wait that comes anew is heeded, and that is enough
		s.adjustRate(ep.destination, route)
	}
}

// adjustRate answers the share of calls refused since it last judged, once a second at most, in proportion,
// from the highest load of late. A share that stays when there is less load is noise, once luck does not
// explain it. Harm: a limit told nowhere is met oftener, and of few calls nothing can be told.
func (s *Sender) adjustRate(dest *destination, route *route) {
	if route.rejected++; s.now-route.judgedAt <= Second {
		return
	}
	full, seen := s.routeRejections(dest, route)
	since, share := max(1, seconds(s.now-route.judgedAt)), full/seen
	route.peakLoad = max(route.sent.read(s.now, s.loadWindow), route.answered/since, route.peakLoad*math.Exp(-since/peakLoadFade))
	load := min(route.peakLoad, route.limiter.rate)
	limited := max(0, 1-(1-route.previousShare)*route.previousLoad/load) // what a limit would refuse of so much less
	both := (share*seen + route.previousShare*route.previousAnswered) / (seen + route.previousAnswered)
	told := route.previousShare-limited > noiseDeviations*shareDeviation(both, seen, route.previousAnswered)
	if told && share > (limited+route.previousShare)/2 {
		route.noiseShare, load = max(route.noiseShare, min(maxNoiseShare, route.previousShare, share)), route.previousLoad
		route.limiter.rate = max(route.limiter.rate, load)
	}
	if told || load > route.previousLoad {
		route.previousLoad, route.previousShare, route.previousAnswered = load, share, seen
	} else if load > sameLoadShare*route.previousLoad {
		route.previousShare, route.previousAnswered = both, seen+route.previousAnswered
	}
	route.noiseShare += recentWeight * min(0, share-route.noiseShare)
	over := share - max(toleratedRejections, route.noiseShare+2*math.Sqrt(route.noiseShare*(1-route.noiseShare)/seen))
	over = max(over, one(s.fleetSize > smallFleetSize && route.answered < answersToJudge))
	route.judgedAt, route.answered, route.rejected = s.now, 0, 0
	if over > 0 {
		route.limiter.tokens = min(0, route.limiter.tokens)
		to := max(rateCutShare-rateCutShare/2*one(full > fewCalls), 1-over) * load
		if part := route.limit / s.fleetSize; route.limit > 0 { // where refused calls count, parts would keep it used up
			to = either(route.consecutiveRejections >= rejectionRun, rateCutShare*min(route.limiter.rate, part), part)
		}
		route.limiter.rate = max(minFleetRate/s.fleetSize, one(s.exchangesNotes)/seconds(s.retryBase), to)
	}
}

// routeRejections counts what tells of a route. What one endpoint refuses of late beyond luck is its own affair.
func (s *Sender) routeRejections(dest *destination, route *route) (float64, float64) {
	worst, full, seen := &endpoint{}, 0.0, 0.0
	for ep := range dest.endpointsOf(route) {
		full, seen, ep.recentRejected, ep.recentAnswered = full+ep.recentRejected, seen+ep.recentAnswered, ep.recentRejected*sameLoadShare, ep.recentAnswered*sameLoadShare
		if ep.recentRejected >= worst.recentRejected {
			worst = ep
		}
	}
	own, most, rest := worst.recentAnswered/sameLoadShare, worst.recentRejected/sameLoadShare, seen-worst.recentAnswered/sameLoadShare
	if rest >= answersToJudge/2 && most/own-(full-most)/rest > noiseDeviations*shareDeviation(full/seen, own, rest) {
		return full - most, rest
	}
	return route.rejected, route.answered + 1
}

// pauseRoute heeds a told wait, jittered so that senders told alike do not return in step.
func (s *Sender) pauseRoute(ep *endpoint, wait Time, shut bool) {
	end := s.now + wait + s.random.jitter(string(ep.id), min(wait/8, tickInterval*4))
	ep.route.pausedUntil = max(ep.route.pausedUntil, end)
	for other := range ep.destination.endpointsOf(ep.route) {
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
	if ep := s.endpointsByHash[g]; ep != nil && wait > 0 {
		s.applyPeerLimit(ep, wait)
	} else if ep != nil && wait == 0 {
		if ep.connectionNoteAt = s.now; ep.inFlight == 0 && ep.idleConnUntil > s.now {
			ep.idleConnUntil = s.now
			s.host.CloseIdle(ep.id)
		}
	}
}

func (s *Sender) sendNote(ep *endpoint, wait Time) {
	if s.exchangesNotes && (wait > 0 || s.now >= ep.connectionNoteAt+recentSuccessSpan) {
		ep.connectionNoteAt = s.now
		s.host.Tell(encodeNote(ep.id, wait))
	}
}

// applyPeerLimit rests a route whose limit a sender of the fleet met, jittered, as what all hold back must not come at
// once: as long as its kind usually tells to wait, longer the sooner it is met again. Harm: room lies idle.
func (s *Sender) applyPeerLimit(ep *endpoint, wait Time) {
	route, kind := ep.route, ep.destination.kind
	kind.usualWait += Time(one(wait > noteUnit && wait < longestGuessedWait/2) * recentWeight * float64(wait-kind.usualWait))
	if s.now < route.limitMetAt+route.limitPause/2 {
		return
	}
	longer := min(max(Second, 2*kind.usualWait), route.limitPause+route.limitPause/2)
	route.limitPause, route.limitMetAt = either(s.now >= route.limitMetAt+2*longer, kind.usualWait, longer), s.now
	route.pausedUntil = max(route.pausedUntil, s.now+max(wait, route.limitPause/2)+s.random.jitter(string(ep.id), route.limitPause))
}
