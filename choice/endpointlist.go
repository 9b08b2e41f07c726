package choice

import (
	"cmp"
	"slices"
)

// This file applies the endpoint list: it adds and drops endpoints and destinations.

// initialConcurrency is the concurrency limit of an endpoint that has no calls yet or begins slow start. An endpoint
// without a recent successful call gets no more calls in flight than this, whatever its limit.
const initialConcurrency = 2.0

// UpdateEndpoints applies the endpoint list. With whole, entries are the complete list; otherwise they are the entries
// that changed.
func (s *Sender) UpdateEndpoints(entries []Entry, whole bool) {
	s.now = s.host.Now()
	if whole {
		for _, ep := range s.endpoints {
			ep.listed = false
		}
	}
	for _, entry := range entries {
		s.updateEndpoint(entry)
	}
}

// updateEndpoint applies one entry of the endpoint list. An endpoint that has moved to another destination is treated
// as a new one.
func (s *Sender) updateEndpoint(entry Entry) {
	dest, ep := s.ensureDestination(entry.Destination), s.endpoints[entry.Endpoint]
	lastKind := len(s.kinds) - 1
	dest.kind = s.kinds[max(0, min(int(entry.Kind), lastKind))]
	if ep != nil && ep.destination != dest {
		ep.listed = false
		ep = nil
	}
	if ep == nil {
		ep = s.addEndpoint(dest, entry)
	}
	ep.kind, ep.zone = dest.kind, entry.Zone
	ep.listed = entry.Stage == Ready
	ep.route.rating = entry.Rating
}

// addEndpoint adds an endpoint to a destination. It starts with the health of the other endpoints of its route, because
// most of a destination may be replaced during an outage.
func (s *Sender) addEndpoint(dest *destination, entry Entry) *endpoint {
	ep := &endpoint{
		id:               entry.Endpoint,
		destination:      dest,
		route:            dest.route,
		connectionNoteAt: -recentSuccessSpan,
		healthState:      healthState{slowStartAt: -forever / 2},
	}
	if dest.kind.SeparateRoutes {
		ep.route = newRoute(s.now)
	}
	s.restoreLearned(ep, entry.LearnedState)
	if entry.Impairment != nil {
		s.restoreImpairment(ep, *entry.Impairment)
	} else if entry.Unproven {
		s.beginCaution(ep)
	}
	for _, other := range dest.ranked {
		if other.route == ep.route && (other.ejected && !ep.ejected || other.slowStartAt > ep.slowStartAt) {
			s.copyHealth(ep, other)
		}
	}
	s.endpoints[ep.id] = ep
	s.endpointsByHash[hashOf(ep.id)] = ep
	dest.ranked = append(dest.ranked, ep)
	return ep
}

// copyHealth gives an endpoint the health and call times of another endpoint of its route. Its slow start budget begins
// at a random level: all senders learn of a new endpoint at the same moment, and they must not all call it then.
func (s *Sender) copyHealth(ep, other *endpoint) {
	s.beginSlowStart(ep, other.slowStartAt)
	ep.callTimes = other.callTimes
	ep.healthState = other.healthState
	ep.slowStart.updatedAt = max(s.now, other.slowStart.updatedAt)
}

// ensureDestination returns a destination, which it creates if necessary, and marks it dirty.
func (s *Sender) ensureDestination(id DestinationID) *destination {
	dest := s.destinations[id]
	if dest == nil {
		dest = &destination{id: id, route: newRoute(s.now), retryBudget: s.newRetryBudget()}
		s.destinations[id] = dest
	}
	s.markDirty(dest)
	return dest
}

// newRoute returns a route without a known limit.
func newRoute(now Time) *route {
	return &route{
		limiter:        tokenBucket{rate: unlimitedRate, tokens: unlimitedRate, updatedAt: now},
		rateAdjustedAt: now,
	}
}

// markDirty makes the next tick refresh a destination. The work of a tick therefore depends on the number of changes
// and not on the size of the list.
func (s *Sender) markDirty(dest *destination) {
	if !dest.dirty {
		dest.dirty = true
		s.dirty = append(s.dirty, dest)
	}
}

// refreshDestination drops the endpoints of a destination that are no longer needed, ranks the others, and probes
// ejected ones. It reports whether the next tick may skip the destination.
func (s *Sender) refreshDestination(dest *destination) bool {
	dest.ranked = slices.DeleteFunc(dest.ranked, s.dropIfUnneeded)
	slices.SortStableFunc(dest.ranked, func(a, b *endpoint) int { return cmp.Compare(s.rankCost(a), s.rankCost(b)) })
	dest.dirty = false
	for _, ep := range dest.ranked {
		s.probeIfDue(ep)
		if ep.ejected || !ep.listed {
			dest.dirty = true
		}
	}
	if len(dest.ranked) == 0 && dest.openMessages == 0 {
		delete(s.destinations, dest.id)
	}
	return !dest.dirty
}

// dropIfUnneeded drops an endpoint that is no longer listed, once it has nothing in flight and its pause and slow start
// are over. It reports whether it did.
func (s *Sender) dropIfUnneeded(ep *endpoint) bool {
	knownUntil := max(ep.slowStartAt+s.settings.SlowStart, ep.route.pausedUntil)
	if ep.listed || ep.inFlight > 0 || ep.probing || s.now < knownUntil {
		return false
	}
	if s.endpoints[ep.id] == ep { // otherwise an endpoint with the same id has joined another destination
		delete(s.endpoints, ep.id)
		deleteValue(s.endpointsByHash, ep) // by value, since two endpoints may have the same hash
	}
	return true
}
