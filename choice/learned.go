package choice

import "slices"

// This file exports and restores learned state, and answers the host's questions about it.

// LearnedState returns the part of an endpoint's learned state that remains valid in another incarnation and in another
// fleet: its call times, its reported limit and the remaining time of a pause. The result is empty for an unknown
// endpoint.
func (s *Sender) LearnedState(id EndpointID) LearnedState {
	ep := s.endpoints[id]
	if ep == nil {
		return LearnedState{}
	}
	return LearnedState{
		Mean:  ep.mean,
		Dev:   ep.deviation,
		Past:  ep.longTermMean,
		Seen:  ep.samples,
		Limit: ep.route.limit,
		Wait:  max(0, ep.route.pausedUntil-s.host.Now()),
	}
}

// restoreLearned sets an endpoint to its initial state, and then applies the learned state if it is not nil.
func (s *Sender) restoreLearned(ep *endpoint, learned *LearnedState) {
	ep.callTimes = assumedCallTimes(s.assumedCallTime)
	ep.concurrencyLimit = initialConcurrency
	if learned == nil {
		return
	}
	if learned.Seen > 0 {
		ep.callTimes = callTimes{mean: learned.Mean, deviation: learned.Dev, longTermMean: learned.Past, samples: learned.Seen}
	}
	ep.route.limit = learned.Limit
	ep.route.pausedUntil = max(ep.route.pausedUntil, s.now+learned.Wait)
}

// ReplaceLearnedState replaces the learned state of an endpoint and its route by the given state, or by the initial one
// if that is nil. It is called, for example, when the destination has moved. An outage is not lifted: ejection, slow
// start and the slow start budget stay. While an endpoint of the route is ejected or in slow start, its pause stays as
// well and the given limit is ignored.
func (s *Sender) ReplaceLearnedState(id EndpointID, learned *LearnedState) {
	s.now = s.host.Now()
	ep := s.endpoints[id]
	if ep == nil {
		return
	}
	old := *ep.route
	*ep.route = *newRoute(s.now)
	s.restoreLearned(ep, learned)
	ep.consecutiveFailures = 0
	ep.errorShare, ep.rejectedShare = 0, 0
	ep.recentAnswered, ep.recentRejected = 0, 0
	ep.usual = usualCalls{}
	ep.lastSuccess = 0
	ep.route.rating = old.rating
	s.markDirty(ep.destination)
	if s.routeImpaired(ep) {
		ep.route.limit = 0
		ep.route.consecutiveFailures = old.consecutiveFailures
		ep.route.pausedUntil = max(ep.route.pausedUntil, old.pausedUntil)
	}
}

// routeImpaired reports whether an endpoint, or another one that shares its route, is ejected or in slow start.
func (s *Sender) routeImpaired(ep *endpoint) bool {
	if s.impaired(ep) {
		return true
	}
	shared := ep.route == ep.destination.route
	return shared && slices.ContainsFunc(ep.destination.ranked, s.impaired)
}

// LearnedCalls returns the number of measured calls behind the learned state of a destination, and whether the
// destination is in use. It is in use while it has open messages, calls in flight, a paused order key, an endpoint that
// is not listed as ready, or a pause, ejection or slow start that is not over. A destination that is not in use may be
// evicted.
func (s *Sender) LearnedCalls(id DestinationID) (calls float64, inUse bool) {
	dest := s.destinations[id]
	s.now = s.host.Now()
	if dest == nil {
		return 0, false
	}
	inUse = dest.openMessages > 0 || s.now < dest.keysPausedUntil
	for _, ep := range dest.ranked {
		calls += ep.samples
		active := ep.inFlight > 0 || ep.probing || !ep.listed
		recovering := s.impaired(ep) || ep.suspected || s.now < ep.route.pausedUntil
		if active || recovering {
			inUse = true
		}
	}
	return calls, inUse
}
