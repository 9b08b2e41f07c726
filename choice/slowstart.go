package choice

import "math"

// This file bounds what is sent to endpoints that are ejected, or back from an outage and warming up: too much at once
// would overload them again. An endpoint's capacity grows linearly over Settings.SlowStart from a share of it to the whole,
// and it is overloaded by more than a multiple of that within a window (Settings.FallMultiple, Settings.Fall).

const (
	// slowStartFloor is how many calls in the length of a slow start all senders may have at a route whose capacity is
	// unknown. Less would keep a large fleet away.
	slowStartFloor = 1.0
	// slowStartShare bounds the mean of the calls of all senders in a window, in multiples of what is allowed.
	slowStartShare = 1.2
	// slowStartDeviations is how many standard deviations the calls of a fleet stay below what overloads an endpoint.
	slowStartDeviations = 2.5
)

// impaired reports whether an endpoint is ejected or in slow start.
func (s *Sender) impaired(ep *endpoint) bool {
	return ep.ejected || s.now < ep.slowStartAt+s.settings.SlowStart
}

// beginSlowStart has slow start begin at the given time. The endpoint's concurrency limit and recent call times start
// over.
//
// The budget begins full for two senders, and at a level by chance the more senders there are, so that they do not call
// at the same moment. A budget in use is not refilled: each sender would otherwise call twice, at the return and as it
// sees that itself; but few senders, whose budgets fill several times in a window, are not held to that. Nor may calls
// that have piled up during a pause all leave at its end.
func (s *Sender) beginSlowStart(ep *endpoint, from Time) {
	tokens := 1 - s.random.fraction(string(ep.id))*max(0, 1-2/s.fleetSize)
	if s.impaired(ep) && (s.fleetSize > smallFleetSize || ep.slowStart.rate*s.overloadWindow <= fewCalls) {
		tokens = min(tokens, ep.slowStart.tokens)
	}
	ep.slowStartAt = from
	ep.slowStart.tokens = tokens
	ep.slowStart.updatedAt = max(from, s.now)
	ep.concurrencyLimit = initialConcurrency
	ep.mean = ep.longMean
}

// slowStartReady reports whether the slow start budget allows a call, after updating its rate. It allows any where the
// endpoint is neither ejected nor in slow start.
func (s *Sender) slowStartReady(ep *endpoint) bool {
	if !s.impaired(ep) {
		return true
	}
	ep.slowStart.rate = s.slowStartRate(ep)
	return ep.slowStart.refill(s.now, 1) >= 1
}

// slowStartRate is the rate of calls, in calls a second, that this sender may send to an endpoint that is ejected or in
// slow start.
func (s *Sender) slowStartRate(ep *endpoint) float64 {
	sharing := 1.0 // endpoints that share the route's capacity
	if ep.route == ep.destination.route {
		sharing = 1 + float64(len(ep.destination.ranked)-1)
	}
	length := max(1, s.settings.SlowStart)
	warmth := s.settings.SlowStartFrom // present share of its capacity
	if !ep.ejected {
		warmth = s.settings.SlowStartFrom + (1-s.settings.SlowStartFrom)*float64(s.now-ep.slowStartAt)/float64(length)
	}
	capacity := min(unlimitedRate, max(ep.route.limit, ep.route.rating*s.ratingShare*s.fleetSize))
	floor := 0.0
	if capacity*s.settings.OverloadMultiple == 0 {
		floor = slowStartFloor / seconds(length) / sharing
	}
	allowed := s.settings.OverloadMultiple * warmth * max(minFleetRate, capacity) / sharing * s.overloadWindow
	share := s.slowStartMean(allowed) / s.overloadWindow / s.fleetSize
	return max(floor, share)
}

// slowStartMean is how many calls all senders together may have in an overload window, on average, where the settings
// allow n. Calls come by chance: an endpoint is overloaded beyond n + 2 sqrt(n) + 2 of them.
//
// Few senders stay below that even with all their budgets full at once. A fleet stays slowStartDeviations below it, if
// its senders act by chance and not in step. A drawback: where few senders of a fleet have messages for an endpoint,
// its return is seen late.
func (s *Sender) slowStartMean(n float64) float64 {
	n = min(max(0, n), unlimitedRate*s.overloadWindow)
	overload := n + 2*math.Sqrt(n) + 2
	certain := min(overload, max(fewCalls+s.fleetSize, slowStartShare*n)) - s.fleetSize
	byChance := fewCalls
	if s.fleetSize > smallFleetSize {
		byChance = fewCalls + n
	}
	byChance = min(byChance, poissonMeanBelow(overload, slowStartDeviations))
	return min(slowStartShare*max(n, 1/fewCalls), max(certain, byChance))
}
