package choice

import "math"

// Outages: how an endpoint is ejected, and how it comes back without being pushed over.

// noteUnanswered tells of a call without an answer, once. Others answered meanwhile: less at once is enough.
func (s *Sender) noteUnanswered(call *call) {
	if !call.unanswered && call.endpoint.lastSuccess > call.sentAt {
		call.endpoint.concurrencyLimit, call.endpoint.successesNeeded, call.endpoint.unansweredAt = max(1, call.endpoint.concurrencyLimit/2), successesAfterUnanswered, s.now
	} else if !call.unanswered {
		s.recordFailure(call.endpoint, 0)
	}
	call.unanswered = true
}

func (s *Sender) recordFailure(ep *endpoint, limit float64) {
	ep.consecutiveFailures, ep.route.consecutiveFailures = ep.consecutiveFailures+1, ep.route.consecutiveFailures+1
	// One is enough where nothing was answered lately, as a large fleet seldom sees two, and two of a route are
	// all of it, or each sender would push at every endpoint in turn. Of many calls some fail by chance.
	used := ep.sent.read(s.now, rateWindow*Time(s.fleetSize))
	run := math.Log(chanceEjectionSpan*used) / -math.Log(max(toleratedRejections, ep.errorShare))
	if ep.ejected || ep.consecutiveFailures >= max(failuresToEject, int(math.Ceil(run))) || limit == 0 && s.now-ep.lastSuccess > recentSuccessSpan {
		all := s.fleetSize > smallFleetSize && ep.route.consecutiveFailures >= failuresToEject && s.now-ep.route.lastSuccess > recentSuccessSpan
		for _, other := range ep.destination.ranked {
			if other == ep || other.route == ep.route && !other.ejected && all {
				s.eject(other)
			}
		}
	}
}

// eject stops sends to an endpoint whose calls fail, whatever the cause. It comes back by a probe, where
// the fleet is small, and then a trial call. Harm: a healthy endpoint with two chance failures.
func (s *Sender) eject(ep *endpoint) {
	if s.markDirty(ep.destination); ep.ejected {
		ep.trialPause, ep.lastFailure = min(longestTrialPause, 2*ep.trialPause), s.now
	} else {
		ep.ejectedAt, ep.lastFailure, ep.trialPause, ep.previousSlowStart = s.now, s.now, firstTrialPause, ep.slowStartAt
		s.beginSlowStart(ep, max(s.now, ep.route.pausedUntil))
	}
	ep.ejected, ep.probePassed, ep.nextTrial = true, false, s.now+ep.trialPause/2+s.random.jitter(string(ep.id), ep.trialPause/2)
}

func (s *Sender) readmit(ep *endpoint, sentAt Time) {
	if ep.ejected && s.now-ep.lastSuccess < blinkSpan {
		ep.slowStartAt = ep.previousSlowStart
	} else if ep.ejected && sentAt >= ep.ejectedAt { // a call from before shows no return
		s.beginSlowStart(ep, (ep.lastFailure+s.now)/2)
	}
	ep.consecutiveFailures, ep.ejected = 0, false
}

// beginSlowStart starts a cold budget: two senders begin at once, those of a fleet each by chance. One under way goes
// on, or each would send twice at its own return; but for few senders, whose parts fill often in a fall span.
func (s *Sender) beginSlowStart(ep *endpoint, from Time) {
	level := 1 - s.random.fraction(string(ep.id))*max(0, 1-2/s.fleetSize)
	if s.impaired(ep) && (s.fleetSize > smallFleetSize || ep.slowStart.rate*s.overloadWindow <= fewCalls) {
		level = min(level, ep.slowStart.tokens) // nor may what piled up leave in one moment, as a told wait ends
	}
	ep.concurrencyLimit, ep.mean, ep.slowStartAt, ep.slowStart = initialConcurrency, ep.longMean, from, tokenBucket{ep.slowStart.rate, level, max(from, s.now)}
}

func (s *Sender) impaired(ep *endpoint) bool {
	return ep.ejected || s.now < ep.slowStartAt+s.settings.Cold
}

// slowStartReady bounds all that goes to what is ejected or may be cold, against pushing it over.
func (s *Sender) slowStartReady(ep *endpoint) bool {
	if !s.impaired(ep) {
		return true
	}
	ends := 1 + one(ep.route == ep.destination.route)*float64(len(ep.destination.ranked)-1)
	cold := max(1, s.settings.Cold)
	warm := s.settings.ColdFrom + one(!ep.ejected)*(1-s.settings.ColdFrom)*float64(s.now-ep.slowStartAt)/float64(cold)
	told := min(unlimitedRate, max(ep.route.limit, ep.route.rating*s.ratingShare*s.fleetSize))
	// Where it is not known what it takes, less would keep a large fleet away.
	floor := either(told*s.settings.FallMultiple == 0, slowStartFloor/seconds(cold)/ends, 0)
	share := s.slowStartMean(s.settings.FallMultiple*warm*max(minFleetRate, told)/ends*s.overloadWindow) / s.overloadWindow / s.fleetSize
	ep.slowStart.rate = max(floor, share)
	return ep.slowStart.refill(s.now, 1) >= 1
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
	if ep := s.endpoints[id]; ep != nil && ep.probing {
		if ep.probing, ep.probePassed = false, result == Done; result == Cancelled { // it never left, and tells nothing
			ep.nextTrial = s.now + ep.trialPause
		} else if ep.ejected && !ep.probePassed {
			s.eject(ep)
		}
	}
}
