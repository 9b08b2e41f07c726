package choice

import "math"

// This file limits what is sent to endpoints that are ejected or in slow start after an outage, since too many calls at
// once would overload them again. The capacity of an endpoint grows linearly over Settings.SlowStart from the share
// Settings.SlowStartFrom to the whole. More than Settings.OverloadMultiple times its present capacity within
// Settings.OverloadWindow overloads it.

const (
	// slowStartFloor is the number of calls per length of a slow start that all senders together may send to a route of
	// unknown capacity. A lower number would keep a large fleet away.
	slowStartFloor = 1.0
	// slowStartShare bounds the mean of the calls of all senders in an overload window, as a multiple of what the
	// settings allow.
	slowStartShare = 1.2
	// slowStartDeviations is the number of standard deviations by which the calls of a large fleet stay below what
	// overloads an endpoint.
	slowStartDeviations = 2.5
	// cautionSpan is the time after a start within which an endpoint that has answered no call is called with caution. Each sender
	// may call it once within that time.
	cautionSpan = 10 * Second
	// lastChance is the time before the latest attempt of a message from which on caution does not hold the message back.
	lastChance = Second
)

// impaired reports whether an endpoint is ejected or in slow start.
func (s *Sender) impaired(ep *endpoint) bool {
	return ep.ejected || s.now < ep.slowStartAt+s.settings.SlowStart
}

// beginSlowStart begins slow start at the given time. It resets the endpoint's concurrency limit and its recent call
// times.
//
// The budget starts full for two senders. With more senders it starts at a random level, so that they do not call at
// the same moment. A budget that is already in use is not refilled: otherwise, each sender would call twice, first when
// the endpoint returns and again when it sees the return itself. This does not apply to few senders, whose budgets fill
// several times in a window. Calls that have piled up during a pause must not all be sent at its end, either.
func (s *Sender) beginSlowStart(ep *endpoint, from Time) {
	tokens := s.newSlowStartTokens(ep)
	inUse := s.impaired(ep) || s.now < ep.cautiousUntil
	if inUse && (s.fleetSize > smallFleetSize || ep.slowStart.rate*s.overloadWindow <= negligibleCalls) {
		tokens = min(tokens, ep.slowStart.tokens)
	}
	ep.slowStartAt = from
	ep.slowStart.tokens = tokens
	ep.slowStart.updatedAt = max(from, s.now)
	ep.concurrencyLimit = initialConcurrency
	ep.mean = ep.longTermMean
}

// beginCaution makes an endpoint get a share of the budget of an ejected one until its first successful call. A sender that
// starts can't know whether the endpoint has just returned, and many senders may start at once.
func (s *Sender) beginCaution(ep *endpoint) {
	ep.cautiousUntil = s.now + cautionSpan
	ep.slowStart.tokens = s.newSlowStartTokens(ep)
	ep.slowStart.updatedAt = s.now
}

// newSlowStartTokens draws the level at which the budget of an endpoint starts; see beginSlowStart.
func (s *Sender) newSlowStartTokens(ep *endpoint) float64 {
	return 1 - s.random.fraction(string(ep.id))*max(0, 1-2/s.fleetSize)
}

// slowStartReady updates the rate of the slow start budget and reports whether the budget allows a call. It always does
// if the endpoint is neither ejected nor in slow start, and is not called with caution.
func (s *Sender) slowStartReady(ep *endpoint) bool {
	switch {
	case s.impaired(ep):
		ep.slowStart.rate = s.slowStartRate(ep)
	case s.now < ep.cautiousUntil:
		ep.slowStart.rate = max(s.budgetRate(ep, s.settings.SlowStartFrom), 1/seconds(cautionSpan))
	default:
		return true
	}
	return ep.slowStart.refill(s.now, 1) >= 1
}

// slowStartAllows reports whether the slow start budget allows a call for a message that could be sent otherwise. If not, it
// counts the endpoint once a turn.
func (s *Sender) slowStartAllows(msg *message, ep *endpoint) bool {
	if s.slowStartReady(ep) || s.isLastChance(msg, ep) {
		return true
	}
	if turn := s.turnNumber + 1; ep.heldInTurn != turn { // 0 is no turn
		ep.heldInTurn = turn
		s.heldBySlowStart++
	}
	return false
}

// isLastChance reports whether a message that an earlier incarnation accepted has had no attempt, and would get none if caution
// held it back.
func (s *Sender) isLastChance(msg *message, ep *endpoint) bool {
	untried := msg.AcceptedLifetime > 0 && !msg.attempted()
	return untried && !s.impaired(ep) && s.now >= s.lastAttemptAt(msg)-lastChance
}

// HeldBySlowStart returns in how many turns the slow start budget of an endpoint has held a message back, summed over the
// endpoints.
func (s *Sender) HeldBySlowStart() int64 { return s.heldBySlowStart }

// slowStartRate returns the rate, in calls a second, at which this sender may call an endpoint that is ejected or in
// slow start.
func (s *Sender) slowStartRate(ep *endpoint) float64 {
	capacityShare := s.settings.SlowStartFrom // share of its capacity that the endpoint has now
	if !ep.ejected {
		length := max(1, s.settings.SlowStart)
		capacityShare += (1 - s.settings.SlowStartFrom) * float64(s.now-ep.slowStartAt) / float64(length)
	}
	return s.budgetRate(ep, capacityShare)
}

// budgetRate returns the rate, in calls a second, at which this sender may call an endpoint that has a share of its capacity.
func (s *Sender) budgetRate(ep *endpoint, capacityShare float64) float64 {
	endpoints := 1.0 // number of endpoints that share the route's capacity
	if ep.route == ep.destination.route {
		endpoints = 1 + float64(len(ep.destination.ranked)-1)
	}
	length := max(1, s.settings.SlowStart)
	capacity := min(unlimitedRate, max(ep.route.limit, ep.route.rating*s.ratingShare*s.fleetSize))
	floor := 0.0
	if capacity*s.settings.OverloadMultiple == 0 {
		floor = slowStartFloor / seconds(length) / endpoints
	}
	allowed := s.settings.OverloadMultiple * capacityShare * max(minFleetRate, capacity) / endpoints * s.overloadWindow
	share := s.slowStartMean(allowed) / s.overloadWindow / s.fleetSize
	return max(floor, share)
}

// slowStartMean returns the mean number of calls that all senders together may send in an overload window in which the
// settings allow n. Calls arrive at random; an endpoint is overloaded by more than n + 2 sqrt(n) + 2 of them.
//
// Few senders stay below that even if all their budgets are full at once. A large fleet stays slowStartDeviations below
// it, provided that its senders act independently. Drawback: if only a few senders of a fleet have messages for an
// endpoint, its return is noticed late.
func (s *Sender) slowStartMean(n float64) float64 {
	n = min(max(0, n), unlimitedRate*s.overloadWindow)
	overload := n + 2*math.Sqrt(n) + 2
	safeMean := min(overload, max(negligibleCalls+s.fleetSize, slowStartShare*n)) - s.fleetSize
	randomMean := negligibleCalls
	if s.fleetSize > smallFleetSize {
		randomMean = negligibleCalls + n
	}
	randomMean = min(randomMean, poissonMeanBelow(overload, slowStartDeviations))
	return min(slowStartShare*max(n, 1/negligibleCalls), max(safeMean, randomMean))
}
