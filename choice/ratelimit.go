package choice

import "math"

// This file estimates, from rejections, the rate of calls that a route accepts.

const (
	// unlimitedRate is the rate, in calls a second, of a route whose limit was never hit.
	unlimitedRate = 1e6
	// minFleetRate is the lowest rate of a route, in calls a second of all senders together.
	minFleetRate = 0.6
	// exhaustedShare is the share of the allowance below which a report explains a rejection by the limit.
	exhaustedShare = 0.3
	// minRejectionRun is the least number of consecutive rejections that counts as a run.
	minRejectionRun = 2
	// fullQueueSpan is the time after a successful call within which a rejection means, for an endpoint without a
	// limit, that its queue is full.
	fullQueueSpan = Second / 2

	// minAdjustInterval is the shortest time between two adjustments of a rate.
	minAdjustInterval = Second
	// minAnswersToAdjust is the number of answers from which a rejection share can be estimated. With fewer answers, a
	// sender of a large fleet attributes all rejections to a limit.
	minAnswersToAdjust = 16
	// negligibleCalls is a number of calls that overloads no endpoint, and a number of rejections that is not unusual.
	negligibleCalls = 4.0
	// toleratedRejections is the rejection share that is accepted as the price of finding free capacity.
	toleratedRejections = 0.02
	// maxNoiseShare is the highest rejection share that counts as independent of the load.
	maxNoiseShare = 0.25
	// noiseDeviations is the number of standard deviations between two rejection shares from which on the difference is
	// not attributed to chance.
	noiseDeviations = 3.0
	// sameLoadShare is the share of the previous load above which a load counts as the same.
	sameLoadShare = 0.95
	// recentCountDecay is the factor by which the recent counts of an endpoint decay with each adjustment.
	recentCountDecay = 0.95
	// peakLoadTimeConstant is the time constant, in seconds, of the decay of the peak load.
	peakLoadTimeConstant = 10.0
	// rateCutFactor is the lowest factor by which one adjustment cuts a rate. After more than negligibleCalls
	// rejections it is half of that.
	rateCutFactor = 0.5
	// rateGrowth is the relative growth of a rate in one second. Growth speeds up the longer no limit is hit.
	rateGrowth = 0.05
	// fastGrowthAfter is the time from the adjustment of a rate until its growth speeds up.
	fastGrowthAfter = 3 * Second
)

// adjustRate counts a rejection and, at most once a second, cuts the rate of a route. The cut starts from the recent
// peak load and is proportional to the share rejected since the previous adjustment. A rejection share that does not
// fall at a lower load, beyond what chance explains, is noise and not the effect of a limit. Drawbacks: a limit that is
// not reported is hit more often than necessary, and a few calls allow no conclusion.
func (s *Sender) adjustRate(dest *destination, route *route) {
	route.rejected++
	if s.now-route.rateAdjustedAt <= minAdjustInterval {
		return
	}
	rejected, answered := s.routeRejections(dest, route)
	elapsed := max(1, seconds(s.now-route.rateAdjustedAt))
	share := rejected / answered
	fadedPeak := route.peakLoad * math.Exp(-elapsed/peakLoadTimeConstant)
	route.peakLoad = max(route.sent.read(s.now, s.loadWindow), route.answered/elapsed, fadedPeak)
	load := route.separateNoise(min(route.peakLoad, route.limiter.rate), share, answered)

	noiseBound := route.noiseShare + 2*math.Sqrt(route.noiseShare*(1-route.noiseShare)/answered)
	excess := share - max(toleratedRejections, noiseBound)
	if s.fleetSize > smallFleetSize && route.answered < minAnswersToAdjust {
		excess = max(excess, 1)
	}
	route.rateAdjustedAt = s.now
	route.answered = 0
	route.rejected = 0
	if excess > 0 {
		s.cutRate(route, load, excess, rejected)
	}
}

// separateNoise compares the rejection shares at this load and at the previous different load, and updates the share
// that is rejected at any load. It returns the load that the share applies to: the previous one, if the lower load has
// made no difference.
func (r *route) separateNoise(load, share, answered float64) float64 {
	// The share that a limit would reject at this load if it rejected previousShare at previousLoad.
	byLimit := max(0, 1-(1-r.previousShare)*r.previousLoad/load)
	bothShare := (share*answered + r.previousShare*r.previousAnswered) / (answered + r.previousAnswered)
	distinct := r.previousShare-byLimit > noiseDeviations*shareDeviation(bothShare, answered, r.previousAnswered)
	if distinct && share > (byLimit+r.previousShare)/2 {
		r.noiseShare = max(r.noiseShare, min(maxNoiseShare, r.previousShare, share))
		load = r.previousLoad
		r.limiter.rate = max(r.limiter.rate, load)
	}
	if distinct || load > r.previousLoad {
		r.previousLoad = load
		r.previousShare = share
		r.previousAnswered = answered
	} else if load > sameLoadShare*r.previousLoad {
		r.previousShare = bothShare
		r.previousAnswered = answered + r.previousAnswered
	}
	r.noiseShare += recentWeight * min(0, share-r.noiseShare)
	return load
}

// cutRate cuts the rate of a route, given the load and the share of it that was rejected in excess. If a limit is
// reported, the rate becomes this sender's part of the limit. If rejections continue at that rate, it is cut further:
// some limits count rejected calls, so all senders together would keep the limit used up.
func (s *Sender) cutRate(route *route, load, excess, rejected float64) {
	route.limiter.tokens = min(0, route.limiter.tokens)
	minFactor := rateCutFactor
	if rejected > negligibleCalls {
		minFactor = rateCutFactor - rateCutFactor/2
	}
	rate := max(minFactor, 1-excess) * load
	if route.limit > 0 {
		part := route.limit / s.fleetSize
		rate = part
		if route.consecutiveRejections >= minRejectionRun {
			rate = rateCutFactor * min(route.limiter.rate, part)
		}
	}
	minRate := minFleetRate / s.fleetSize
	if s.exchangesNotes { // the fleet then pauses together at a limit, so one call in each shortest backoff is allowed
		minRate = max(minRate, 1/seconds(s.retryBase))
	}
	route.limiter.rate = max(minRate, rate)
}

// routeRejections returns how many calls of a route were rejected and how many were answered since its rate was last
// adjusted. If one endpoint rejects more than the others, beyond chance, its rejections are not caused by a limit of
// the route. Then the recent counts of the others are returned.
func (s *Sender) routeRejections(dest *destination, route *route) (rejected, answered float64) {
	worst := &endpoint{}
	for ep := range dest.endpointsOf(route) {
		rejected += ep.recentRejected
		answered += ep.recentAnswered
		ep.recentRejected *= recentCountDecay
		ep.recentAnswered *= recentCountDecay
		if ep.recentRejected >= worst.recentRejected {
			worst = ep
		}
	}
	worstRejected := worst.recentRejected / recentCountDecay
	worstAnswered := worst.recentAnswered / recentCountDecay
	restAnswered := answered - worstAnswered
	if restAnswered >= minAnswersToAdjust/2 {
		restRejected := rejected - worstRejected
		difference := worstRejected/worstAnswered - restRejected/restAnswered
		if difference > noiseDeviations*shareDeviation(rejected/answered, worstAnswered, restAnswered) {
			return restRejected, restAnswered
		}
	}
	return route.rejected, route.answered + 1
}

// ready lets the rate of a route grow and reports whether the route may be sent a call. The rate grows faster with the
// time and with the calls answered since its adjustment, and also while it is far below the highest rate of successful
// calls.
func (r *route) ready(now Time) bool {
	sinceAdjusted := seconds(now - r.rateAdjustedAt - fastGrowthAfter)
	speedUp := max(0, min(sinceAdjusted, r.answered/minAnswersToAdjust)) / 2
	if r.limiter.rate < r.peakSuccessRate/2 {
		speedUp++
	}
	growth := math.Exp(rateGrowth * (1 + speedUp) * seconds(now-r.limiter.updatedAt))
	r.limiter.rate = min(unlimitedRate, r.limiter.rate*growth)
	if now < r.pausedUntil {
		return false
	}
	return r.limiter.refill(now, max(1, r.limiter.rate/2)) >= 1
}
