package choice

import "math"

// Outages: how an endpoint is ejected, and how it comes back without being pushed over.

// noteUnanswered tells of a call without an answer, once. Others answered meanwhile: less at once is enough.
func (s *Sender) noteUnanswered(c *call) {
	if !c.unanswered && c.endpoint.lastSuccess > c.sentAt {
		c.endpoint.concurrencyLimit, c.endpoint.successesNeeded, c.endpoint.unansweredAt = max(1, c.endpoint.concurrencyLimit/2), successesAfterUnanswered, s.now
	} else if !c.unanswered {
		s.recordFailure(c.endpoint, 0)
	}
	c.unanswered = true
}

func (s *Sender) recordFailure(e *endpoint, limit float64) {
	e.consecutiveFailures, e.route.consecutiveFailures = e.consecutiveFailures+1, e.route.consecutiveFailures+1
	// One is enough where nothing was answered lately, as a large fleet seldom sees two, and two of a route are
	// all of it, or each sender would push at every endpoint in turn. Of many calls some fail by chance.
	used := e.sent.read(s.now, rateWindow*Time(s.fleetSize))
	run := math.Log(chanceEjectionSpan*used) / -math.Log(max(toleratedRejections, e.errorShare))
	if e.ejected || e.consecutiveFailures >= max(failuresToEject, int(math.Ceil(run))) || limit == 0 && s.now-e.lastSuccess > recentSuccessSpan {
		all := s.fleetSize > smallFleetSize && e.route.consecutiveFailures >= failuresToEject && s.now-e.route.lastSuccess > recentSuccessSpan
		for _, other := range e.destination.ranked {
			if other == e || other.route == e.route && !other.ejected && all {
				s.eject(other)
			}
		}
	}
}

// eject stops sends to an endpoint whose calls fail, whatever the cause. It comes back by a probe, where
// the fleet is small, and then a trial call. Harm: a healthy endpoint with two chance failures.
func (s *Sender) eject(e *endpoint) {
	if s.markDirty(e.destination); e.ejected {
		e.trialPause, e.lastFailure = min(longestTrialPause, 2*e.trialPause), s.now
	} else {
		e.ejectedAt, e.lastFailure, e.trialPause, e.previousSlowStart = s.now, s.now, firstTrialPause, e.slowStartAt
		s.beginSlowStart(e, max(s.now, e.route.pausedUntil))
	}
	e.ejected, e.probePassed, e.nextTrial = true, false, s.now+e.trialPause/2+s.random.jitter(string(e.id), e.trialPause/2)
}

func (s *Sender) readmit(e *endpoint, sentAt Time) {
	if e.ejected && s.now-e.lastSuccess < blinkSpan {
		e.slowStartAt = e.previousSlowStart
	} else if e.ejected && sentAt >= e.ejectedAt { // a call from before shows no return
		s.beginSlowStart(e, (e.lastFailure+s.now)/2)
	}
	e.consecutiveFailures, e.ejected = 0, false
}

// beginSlowStart starts a cold budget: two senders begin at once, those of a fleet each by chance. One under way goes
// on, or each would send twice at its own return; but for few senders, whose parts fill often in a fall span.
func (s *Sender) beginSlowStart(e *endpoint, from Time) {
	level := 1 - s.random.fraction(string(e.id))*max(0, 1-2/s.fleetSize)
	if s.impaired(e) && (s.fleetSize > smallFleetSize || e.slowStart.rate*s.overloadWindow <= fewCalls) {
		level = min(level, e.slowStart.tokens) // nor may what piled up leave in one moment, as a told wait ends
	}
	e.concurrencyLimit, e.mean, e.slowStartAt, e.slowStart = initialConcurrency, e.longMean, from, tokenBucket{e.slowStart.rate, level, max(from, s.now)}
}

func (s *Sender) impaired(e *endpoint) bool {
	return e.ejected || s.now < e.slowStartAt+s.settings.Cold
}

// slowStartReady bounds all that goes to what is ejected or may be cold, against pushing it over.
func (s *Sender) slowStartReady(e *endpoint) bool {
	if !s.impaired(e) {
		return true
	}
	ends := 1 + one(e.route == e.destination.route)*float64(len(e.destination.ranked)-1)
	cold := max(1, s.settings.Cold)
	warm := s.settings.ColdFrom + one(!e.ejected)*(1-s.settings.ColdFrom)*float64(s.now-e.slowStartAt)/float64(cold)
	told := min(unlimitedRate, max(e.route.limit, e.route.rating*s.ratingShare*s.fleetSize))
	// Where it is not known what it takes, less would keep a large fleet away.
	floor := either(told*s.settings.FallMultiple == 0, slowStartFloor/seconds(cold)/ends, 0)
	share := s.slowStartMean(s.settings.FallMultiple*warm*max(minFleetRate, told)/ends*s.overloadWindow) / s.overloadWindow / s.fleetSize
	e.slowStart.rate = max(floor, share)
	return e.slowStart.refill(s.now, 1) >= 1
}

// slowStartMean is the design's ramp for all senders together: their calls in a fall span, on average, where n are
// allowed. It falls beyond n + 2 root n + 2. Few senders stay below with all buckets full; a fleet, coldLuck
// deviations below, if it acts by chance, not in step. Harm: if few of it have calls, returns are seen late.
func (s *Sender) slowStartMean(n float64) float64 {
	n = min(max(0, n), unlimitedRate*s.overloadWindow)
	most, many := n+2*math.Sqrt(n)+2, one(s.fleetSize > smallFleetSize)
	sure := min(most, max(fewCalls+s.fleetSize, slowStartShare*n)) - s.fleetSize
	return min(slowStartShare*max(n, 1/fewCalls), max(sure, min(fewCalls+many*n, poissonMeanBelow(most, slowStartDeviations))))
}

func (s *Sender) Probed(id EndpointID, result Result) {
	s.now = s.host.Now()
	if e := s.endpoints[id]; e != nil && e.probing {
		if e.probing, e.probePassed = false, result == Done; result == Cancelled { // it never left, and tells nothing
			e.nextTrial = s.now + e.trialPause
		} else if e.ejected && !e.probePassed {
			s.eject(e)
		}
	}
}
