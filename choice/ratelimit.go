package choice

import "math"

// This file finds the rate of calls that a route takes, from rejections.

const (
	// unlimitedRate is the rate, in calls a second, of a route whose limit was never met.
	unlimitedRate = 1e6
	// minFleetRate is the least rate of a route, in calls a second of all senders together.
	minFleetRate = 0.6
	// exhaustedShare: a rejection whose report leaves less of the allowance than this is explained by the limit.
	exhaustedShare = 0.3
	// rejectionRun is how many rejections in a row, with no call done, count as a run.
	rejectionRun = 2
	// fullQueueSpan: a rejection so soon after a call was done means that an endpoint without a limit has a full queue.
	fullQueueSpan = Second / 2

	// judgeInterval is the shortest time between two adjustments of a rate.
	judgeInterval = Second
	// answersToJudge is how many answers a share rejected can be judged by. By fewer, a fleet takes it for a limit.
	answersToJudge = 16
	// fewCalls is a number of calls that overload no endpoint, and of which few rejections are nothing unusual.
	fewCalls = 4.0
	// toleratedRejections is the share rejected that is accepted, as the price of finding free capacity.
	toleratedRejections = 0.02
	// maxNoiseShare is the highest share rejected that is taken as independent of the load.
	maxNoiseShare = 0.25
	// noiseDeviations is how many standard deviations two shares rejected lie apart that differ not by chance alone.
	noiseDeviations = 3.0
	// sameLoadShare is the share of a load that still counts as the same load.
	sameLoadShare = 0.95
	// recentFade is what is left of an endpoint's recent counts after each adjustment.
	recentFade = 0.95
	// peakLoadFade is the time constant, in seconds, with which the highest load is forgotten.
	peakLoadFade = 10.0
	// rateCutShare is to which part a rate is cut at most; to half of that after more than a few rejections.
	rateCutShare = 0.5
	// rateGrowth is the relative growth of a rate each second, and more the longer no limit was met.
	rateGrowth = 0.05
	// fastGrowthAfter is how long after a rate was adjusted its growth begins to speed up.
	fastGrowthAfter = 3 * Second
)

// onRejected handles a rejected call. It tells a rate limit, which a report shows as used up, from a shut destination.
// A drawback: a very low limit without reports is taken for one that is shut.
func (s *Sender) onRejected(call *call, o Outcome) {
	ep, route, kind := call.endpoint, call.endpoint.route, call.endpoint.destination.kind
	pausedUntil := route.pausedUntil // before this rejection
	limited := o.Report.Limit > 0 && (o.Report.Left-exhaustedShare)*o.Report.Limit < 1
	route.consecutiveRejections++
	if s.exchangesNotes && s.now >= pausedUntil && (limited || o.RetryAfter > 0 || !kind.reportsLimits) {
		s.sendNote(ep, max(o.RetryAfter, noteUnit))
		s.applyPeerLimit(ep, o.RetryAfter)
	}
	if o.RetryAfter > 0 {
		unexplained := kind.reportsLimits && !limited && s.now-route.lastSuccess > fullQueueSpan
		s.pauseRoute(ep, o.RetryAfter, o.RetryAfter > longRetryAfter || unexplained)
	}
	switch {
	case limited && o.RetryAfter <= longRetryAfter:
		s.readmit(ep, call.sentAt) // it answers, so it is no outage
	case o.RetryAfter == 0 && s.queueFull(ep):
		// Cutting the rate for it would starve an endpoint that has no limit.
		ep.concurrencyLimit = max(1, min(ep.concurrencyLimit, float64(ep.inFlight)-1))
		return
	case ep.ejected || kind.reportsLimits:
		s.recordFailure(ep, o.Report.Limit)
	case o.RetryAfter == 0 && s.needsGuessedWait(route):
		s.pauseByGuess(ep)
	}
	// A first Retry-After is enough by itself. Where another one follows at once, the rate is too high.
	if o.RetryAfter == 0 || s.now-pausedUntil <= recentSuccessSpan {
		s.adjustRate(ep.destination, route)
	}
}

// queueFull reports whether a rejection means that an endpoint has too many calls at once: its kind reports limits, it
// has none, and it has just done calls.
func (s *Sender) queueFull(ep *endpoint) bool {
	unlimited := ep.destination.kind.reportsLimits && ep.route.limit == 0
	return unlimited && !ep.ejected && s.now-ep.route.lastSuccess < fullQueueSpan
}

// adjustRate counts a rejection and, once a second at most, cuts the rate of a route in proportion to the share
// rejected since it last did so, from the highest load of late. A share that stays the same at a lower load is noise
// and no limit's, once chance does not explain it. Drawbacks: a limit that is not reported is met more often than need
// be, and nothing can be said of few calls.
func (s *Sender) adjustRate(dest *destination, route *route) {
	route.rejected++
	if s.now-route.judgedAt <= judgeInterval {
		return
	}
	rejected, answered := s.routeRejections(dest, route)
	elapsed := max(1, seconds(s.now-route.judgedAt))
	share := rejected / answered
	fadedPeak := route.peakLoad * math.Exp(-elapsed/peakLoadFade)
	route.peakLoad = max(route.sent.read(s.now, s.loadWindow), route.answered/elapsed, fadedPeak)
	load := route.separateNoise(min(route.peakLoad, route.limiter.rate), share, answered)

	noiseBound := route.noiseShare + 2*math.Sqrt(route.noiseShare*(1-route.noiseShare)/answered)
	excess := share - max(toleratedRejections, noiseBound)
	if s.fleetSize > smallFleetSize && route.answered < answersToJudge {
		excess = max(excess, 1)
	}
	route.judgedAt = s.now
	route.answered = 0
	route.rejected = 0
	if excess > 0 {
		s.cutRate(route, load, excess, rejected)
	}
}

// separateNoise compares the share rejected at a load with that at the last different load, and updates the share that
// is rejected whatever the load. It returns the load that the share stands for: the earlier one, where the lower load
// has changed nothing.
func (r *route) separateNoise(load, share, answered float64) float64 {
	// What a limit would reject of so much less load, had it rejected the earlier share.
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

// cutRate cuts the rate of a route at which a load had an excess share of calls rejected. Where a limit is reported,
// the rate becomes this sender's part of it; where rejections go on at that, less, since rejected calls count against
// some limits, which all senders together would keep used up.
func (s *Sender) cutRate(route *route, load, excess, rejected float64) {
	route.limiter.tokens = min(0, route.limiter.tokens)
	leastPart := rateCutShare
	if rejected > fewCalls {
		leastPart = rateCutShare - rateCutShare/2
	}
	rate := max(leastPart, 1-excess) * load
	if route.limit > 0 {
		part := route.limit / s.fleetSize
		rate = part
		if route.consecutiveRejections >= rejectionRun {
			rate = rateCutShare * min(route.limiter.rate, part)
		}
	}
	least := minFleetRate / s.fleetSize
	if s.exchangesNotes { // the fleet then pauses together at a limit: a call in each shortest backoff is allowed
		least = max(least, 1/seconds(s.retryBase))
	}
	route.limiter.rate = max(least, rate)
}

// routeRejections returns how many calls of a route were rejected, and how many answered, since its rate was adjusted.
// Where one endpoint rejects more than the others, and not by chance, that is no limit of the route, and only the
// others count, by their recent counts.
func (s *Sender) routeRejections(dest *destination, route *route) (rejected, answered float64) {
	worst := &endpoint{}
	for ep := range dest.endpointsOf(route) {
		rejected += ep.recentRejected
		answered += ep.recentAnswered
		ep.recentRejected *= recentFade
		ep.recentAnswered *= recentFade
		if ep.recentRejected >= worst.recentRejected {
			worst = ep
		}
	}
	worstRejected := worst.recentRejected / recentFade
	worstAnswered := worst.recentAnswered / recentFade
	restAnswered := answered - worstAnswered
	if restAnswered >= answersToJudge/2 {
		restRejected := rejected - worstRejected
		apart := worstRejected/worstAnswered - restRejected/restAnswered
		if apart > noiseDeviations*shareDeviation(rejected/answered, worstAnswered, restAnswered) {
			return restRejected, restAnswered
		}
	}
	return route.rejected, route.answered + 1
}

// ready lets the rate of a route grow, and reports whether it may be sent a call. The rate grows faster the longer, and
// the more calls were answered, since it was adjusted, and while it is far below what was once done.
func (r *route) ready(now Time) bool {
	sinceAdjusted := seconds(now - r.judgedAt - fastGrowthAfter)
	speedUp := max(0, min(sinceAdjusted, r.answered/answersToJudge)) / 2
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
