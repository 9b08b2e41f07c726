package plan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

const (
	overloadTolerance = 1.05            // multiple of a receiver's capacity above which routes to it are reassigned
	negligibleRate    = 0.5             // excess over that multiple in calls per second that does not count as an overload
	reassignInterval  = 3 * time.Second // minimum time between two attempts to divert messages that stayed near for lack of capacity
)

// planRoutes returns the routes of the next plan. Routes in force are reused unchanged while they fit, so that varying
// rates cause no plan. changed reports whether any route differs from the plan in force, and urgent whether more than
// shares differ, or a route in force sends to a failing locality.
func (p *Planner) planRoutes(now view.Uptime) (routes []Route, changed, urgent bool) {
	if !p.anyRouteActive() {
		return nil, false, false
	}
	spare := p.spareCapacity(now)
	keys := slices.SortedFunc(maps.Keys(p.routes), routeKey.compare)
	reused, reassigned := p.reusableRoutes(now, keys, spare)
	routes = make([]Route, 0, len(keys))
	for _, k := range keys {
		if reused[k] {
			p.reserve(k, p.routes[k].published, spare)
			routes = append(routes, p.routes[k].published)
		} else if p.routes[k].published.Phase != steady && p.routes[k].phase == steady {
			changed, urgent = true, true
		}
	}
	for _, next := range p.assignRoutes(reassigned, spare) {
		k := next.key()
		if published := p.routes[k].published; !sameEffect(next, published) {
			changed = true
			urgent = urgent || next.Phase != published.Phase || next.Step != published.Step || p.sendsToFailing(k, published)
		}
		routes = append(routes, next)
	}
	slices.SortFunc(routes, func(a, b Route) int { return a.key().compare(b.key()) })
	return routes, changed, urgent
}

// assignRoutes returns routes for these keys, and subtracts the calls that they send from the spare capacity. Keys that
// come earlier are served first.
func (p *Planner) assignRoutes(keys []routeKey, spare capacities) []Route {
	routes := make([]Route, len(keys))
	for i, k := range keys {
		r := p.routes[k]
		routes[i] = Route{Destination: k.destination, From: k.from, Phase: r.phase, NearShare: r.nearShare,
			Diversions: len(r.diversions), Outage: r.outage}
		if r.phase == Returning {
			routes[i].Step = r.step
		}
	}
	for tier := range 2 { // capacity in the own region of each route is assigned before that in other regions
		for i, k := range keys {
			p.fillTier(k, &routes[i], p.tiersFor(k).others[tier], spare)
		}
	}
	for i, k := range keys {
		p.assignRemainder(k, &routes[i])
	}
	return routes
}

// sendsToFailing reports whether a route sends to a locality that is failing.
func (p *Planner) sendsToFailing(k routeKey, r Route) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool {
		state, _ := p.stateSeenBy(k, s.Zone)
		return s.Fraction > 0 && state == assess.Failing
	})
}

// anyRouteActive reports whether any route has a phase other than steady, here or in the plan in force.
func (p *Planner) anyRouteActive() bool {
	for _, r := range p.routes {
		if r.phase != steady || r.published.Phase != steady {
			return true
		}
	}
	return false
}

// reusableRoutes returns which routes in force stay unchanged, and the keys of the others that need a route.
func (p *Planner) reusableRoutes(now view.Uptime, keys []routeKey, spare capacities) (reused map[routeKey]bool, reassigned []routeKey) {
	reused = map[routeKey]bool{}
	used := map[healthreport.Locality]float64{}
	for _, k := range keys {
		r := p.routes[k]
		if r.phase == steady {
			continue
		}
		if r.published.Phase != steady && r.revision == r.publishedRevision && p.stillFits(now, k, r, spare) {
			reused[k] = true
			for _, s := range r.published.Shares {
				used[k.localityIn(s.Zone)] += s.Fraction * p.demand(k)
			}
		}
	}
	for _, k := range keys {
		r := p.routes[k]
		if r.phase == steady {
			continue
		}
		if reused[k] && sendsToOverloaded(k, r.published, used, spare) {
			reused[k] = false
		}
		if !reused[k] {
			reassigned = append(reassigned, k)
		}
	}
	return reused, reassigned
}

// sendsToOverloaded reports whether a receiver of a route gets more than its spare capacity from all reused routes. A
// receiver whose spare capacity is unknown, as at a new leader, does not count as overloaded.
func sendsToOverloaded(k routeKey, r Route, used map[healthreport.Locality]float64, spare capacities) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool {
		at := k.localityIn(s.Zone)
		capacity, known := spare[at]
		return known && s.Fraction > 0 && used[at] > capacity*overloadTolerance+negligibleRate
	})
}

// stillFits reports whether a route in force can stay unchanged: no receiver is failing, and other zones have no capacity
// for messages that stayed near because there was none.
func (p *Planner) stillFits(now view.Uptime, k routeKey, r *routeState, spare capacities) bool {
	if p.sendsToFailing(k, r.published) {
		return false
	}
	excess := r.published.NearShare - r.nearShare
	if r.published.Phase == Unrestricted {
		excess = 1
	}
	if excess <= p.settings.MinShareChange || now-r.publishedAt < reassignInterval {
		return true
	}
	available, rate := 0.0, p.demand(k)
	others := p.tiersFor(k).others
	for _, z := range slices.Concat(others[0], others[1]) {
		if p.usable(k, z) {
			available += spare[k.localityIn(z)]
		}
	}
	movable := available >= (1-r.published.NearShare+p.settings.MinShareChange)*rate
	return !movable || r.published.Phase == Unrestricted && available == 0
}

// usable reports whether a route may send to zone z: its locality there is not failing.
func (p *Planner) usable(k routeKey, z view.Zone) bool {
	state, _ := p.stateSeenBy(k, z)
	return state != assess.Failing
}

// reserve subtracts the calls that a route sends from the spare capacity of its receivers.
func (p *Planner) reserve(k routeKey, r Route, spare capacities) {
	for _, s := range r.Shares {
		at := k.localityIn(s.Zone)
		spare[at] = max(0, spare[at]-s.Fraction*p.demand(k))
	}
}

// fillTier assigns the share that is still to be diverted to the zones of a tier, in proportion to their spare capacity.
func (p *Planner) fillTier(k routeKey, r *Route, zones []view.Zone, spare capacities) {
	remaining, available := 1-r.NearShare, 0.0
	for _, s := range r.Shares {
		remaining -= s.Fraction
	}
	zones = slices.DeleteFunc(slices.Clone(zones), func(z view.Zone) bool { return !p.usable(k, z) })
	for _, z := range zones {
		available += spare[k.localityIn(z)]
	}
	if remaining <= 1e-9 || available <= 0 {
		return
	}
	rate := max(minRate, p.demand(k))
	fraction := min(1, available/(remaining*rate)) // fraction of the remaining share that there is capacity for
	for _, z := range zones {
		at := k.localityIn(z)
		if s := floorShare(remaining * fraction * spare[at] / available); s > 0 && len(r.Shares) < maxShares {
			r.Shares = append(r.Shares, Share{z, s})
			spare[at] = max(0, spare[at]-s*rate)
		}
	}
}

// assignRemainder lets the rest of the messages go near, where package choice sheds messages beyond the capacity, with a
// Retry-After. If no other zone is usable, a diverted route becomes unrestricted, so that messages go where they would
// go without a plan.
func (p *Planner) assignRemainder(k routeKey, r *Route) {
	if home := p.tiersFor(k).home; !slices.Equal(home, []view.Zone{k.from}) {
		r.HomeZones = home
	}
	moved := 0.0
	for _, s := range r.Shares {
		moved += s.Fraction
	}
	if moved == 0 && r.Phase == Diverted {
		others := p.tiersFor(k).others
		if !slices.ContainsFunc(slices.Concat(others[0], others[1]), func(z view.Zone) bool { return p.usable(k, z) }) {
			r.Phase = Unrestricted
		}
	}
	r.NearShare = math.Round((1-moved)*1e4) / 1e4
}

// sameEffect reports whether two routes send messages to the same zones in the same shares, in the same phase and step.
func sameEffect(a, b Route) bool {
	return a.Phase == b.Phase && a.NearShare == b.NearShare && a.Step == b.Step && slices.Equal(a.Shares, b.Shares)
}

// trimToLimits removes the routes with the lowest demand until the plan is within MaxRoutes and maxPlanBytes. Messages of
// removed routes go to their home zones, except that each process avoids endpoints that it sees fail itself.
func (p *Planner) trimToLimits(next *Plan) {
	size := next.EncodedSize()
	if size <= maxPlanBytes && len(next.Routes) <= MaxRoutes {
		return
	}
	n := min(MaxRoutes, len(next.Routes)*9/10*maxPlanBytes/size)
	byDemand := slices.Clone(next.Routes)
	slices.SortStableFunc(byDemand, func(a, b Route) int { return cmp.Compare(p.demand(b.key()), p.demand(a.key())) })
	next.Routes = byDemand[:n]
	slices.SortFunc(next.Routes, func(a, b Route) int { return a.key().compare(b.key()) })
}

// floorShare rounds a share down to a ten-thousandth, so that the shares of a route never add up to more than 1.
func floorShare(v float64) float64 { return math.Floor(v*1e4) / 1e4 }
