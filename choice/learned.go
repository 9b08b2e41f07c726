package choice

import "slices"

// This file holds what passes between incarnations of a sender, and what others ask of a sender's state.

// LearnedState returns the learned state of an endpoint that stays valid in another incarnation or another fleet: its call
// times, a reported limit and the rest of a pause. It is empty for an unknown endpoint.
func (s *Sender) LearnedState(id EndpointID) LearnedState {
	ep := s.endpoints[id]
	if ep == nil {
		return LearnedState{}
	}
	return LearnedState{
		Mean:  ep.mean,
		Dev:   ep.deviation,
		Past:  ep.longMean,
		Seen:  ep.samples,
		Limit: ep.route.limit,
		Wait:  max(0, ep.route.pausedUntil-s.host.Now()),
	}
}

// restoreLearned puts an endpoint into the state of one of which nothing is known, but for state learned earlier, if
// there is any.
func (s *Sender) restoreLearned(ep *endpoint, learned *LearnedState) {
	ep.callTimes = guessedTimes(s.assumedCallTime)
	ep.concurrencyLimit = initialConcurrency
	if learned == nil {
		return
	}
	if learned.Seen > 0 {
		ep.callTimes = callTimes{mean: learned.Mean, deviation: learned.Dev, longMean: learned.Past, samples: learned.Seen}
	}
	ep.route.limit = learned.Limit
	ep.route.pausedUntil = max(ep.route.pausedUntil, s.now+learned.Wait)
}

// Void drops the learned state of an endpoint and its route, or replaces it by the given one, as when the destination
// has moved. It does not lift an outage: ejection, slow start and its budget stay, and while there is one on the route,
// pauses stay too and a limit that was learned elsewhere does not count.
func (s *Sender) Void(id EndpointID, l *LearnedState) {
	s.now = s.host.Now()
	ep := s.endpoints[id]
	if ep == nil {
		return
	}
	was := *ep.route
	*ep.route = *newRoute(s.now)
	s.restoreLearned(ep, l)
	ep.consecutiveFailures = 0
	ep.errorShare, ep.rejectedShare = 0, 0
	ep.recentAnswered, ep.recentRejected = 0, 0
	ep.lastSuccess = 0
	ep.route.rating = was.rating
	s.markDirty(ep.destination)
	if s.routeImpaired(ep) {
		ep.route.limit = 0
		ep.route.consecutiveFailures = was.consecutiveFailures
		ep.route.pausedUntil = max(ep.route.pausedUntil, was.pausedUntil)
	}
}

// routeImpaired reports whether an endpoint, or another one of the route it shares, is ejected or in slow start.
func (s *Sender) routeImpaired(ep *endpoint) bool {
	if s.impaired(ep) {
		return true
	}
	shared := ep.route == ep.destination.route
	return shared && slices.ContainsFunc(ep.destination.ranked, s.impaired)
}

// Holds returns how many measured calls the knowledge of a destination rests on, and whether the destination is in use:
// with messages open, calls in flight, an order key paused, or an outage or pause not over. What is not in use may be
// evicted.
func (s *Sender) Holds(id DestinationID) (calls float64, inUse bool) {
	dest := s.destinations[id]
	s.now = s.host.Now()
	if dest == nil {
		return 0, false
	}
	inUse = dest.openMessages > 0 || s.now < dest.keysPausedUntil
	for _, ep := range dest.ranked {
		calls += ep.samples
		active := ep.inFlight > 0 || ep.probing || !ep.listed
		recovering := s.impaired(ep) || s.now < ep.route.pausedUntil
		if active || recovering {
			inUse = true
		}
	}
	return calls, inUse
}
