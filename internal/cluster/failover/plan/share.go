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
	overloadTolerance  = 1.05            // multiple of a receiver's capacity beyond which its routes are assigned anew
	negligibleCapacity = 0.5             // calls a second that are too few to count as an overload
	improveInterval    = 3 * time.Second // between two attempts to move what had to stay
)

// shareOut makes the routes of the next plan. Routes in force are kept unchanged while they fit, so that a varying
// rate makes no plan. changed reports whether some are new or gone, and urgent whether more than shares changed.
func (p *Planner) shareOut(now view.Uptime) (routes []Route, changed, urgent bool) {
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
	for _, next := range p.assign(reassigned, spare) {
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

// assign makes routes for these keys, in their order, out of the spare capacity.
func (p *Planner) assign(keys []routeKey, spare capacities) []Route {
	routes := make([]Route, len(keys))
	for i, k := range keys {
		r := p.routes[k]
		routes[i] = Route{Destination: k.destination, From: k.from, Phase: r.phase, NearShare: r.nearShare,
			Diversions: len(r.diversions), Outage: r.outage}
		if r.phase == Returning {
			routes[i].Step = r.step
		}
	}
	for tier := range 2 { // the regions of all zones before anything goes beyond them
		for i, k := range keys {
			p.fillTier(k, &routes[i], p.tiersFor(k).others[tier], spare)
		}
	}
	for i, k := range keys {
		p.assignRemainder(k, &routes[i])
	}
	return routes
}

// sendsToFailing reports whether a route sends to a place that is failing.
func (p *Planner) sendsToFailing(k routeKey, r Route) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool {
		state, _ := p.stateSeenBy(k, s.Zone)
		return s.Fraction > 0 && state == assess.Failing
	})
}

// anyRouteActive reports whether any route is not steady, or is not yet steady in the plan in force.
func (p *Planner) anyRouteActive() bool {
	for _, r := range p.routes {
		if r.phase != steady || r.published.Phase != steady {
			return true
		}
	}
	return false
}

// reusableRoutes returns which routes in force stay as they are, and which are to be assigned anew.
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
				used[k.placeIn(s.Zone)] += s.Fraction * p.demand(k)
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

// sendsToOverloaded reports whether a receiver of a route gets more than its spare capacity. Where that is not known, as
// to a new leader, what is in force stays.
func sendsToOverloaded(k routeKey, r Route, used map[healthreport.Locality]float64, spare capacities) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool {
		at := k.placeIn(s.Zone)
		capacity, known := spare[at]
		return known && s.Fraction > 0 && used[at] > capacity*overloadTolerance+negligibleCapacity
	})
}

// stillFits reports whether a route in force can stay: no receiver fails, and nothing that had to stay near could go
// now.
func (p *Planner) stillFits(now view.Uptime, k routeKey, r *routeState, spare capacities) bool {
	if p.sendsToFailing(k, r.published) {
		return false
	}
	stays := r.published.NearShare - r.nearShare
	if r.published.Phase == Unrestricted {
		stays = 1
	}
	if stays <= p.settings.MinShareChange || now-r.publishedAt < improveInterval {
		return true
	}
	available, rate := 0.0, p.demand(k)
	others := p.tiersFor(k).others
	for _, z := range slices.Concat(others[0], others[1]) {
		if p.usable(k, z) {
			available += spare[k.placeIn(z)]
		}
	}
	movable := available >= (1-r.published.NearShare+p.settings.MinShareChange)*rate
	return !movable || r.published.Phase == Unrestricted && available == 0
}

func (p *Planner) usable(k routeKey, z view.Zone) bool {
	state, _ := p.stateSeenBy(k, z)
	return state != assess.Failing
}

// reserve takes what a route sends from the spare capacity.
func (p *Planner) reserve(k routeKey, r Route, spare capacities) {
	for _, s := range r.Shares {
		at := k.placeIn(s.Zone)
		spare[at] = max(0, spare[at]-s.Fraction*p.demand(k))
	}
}

// fillTier assigns what is still to go to the zones of a tier, in proportion to their spare capacity.
func (p *Planner) fillTier(k routeKey, r *Route, zones []view.Zone, spare capacities) {
	remaining, available := 1-r.NearShare, 0.0
	for _, s := range r.Shares {
		remaining -= s.Fraction
	}
	zones = slices.DeleteFunc(slices.Clone(zones), func(z view.Zone) bool { return !p.usable(k, z) })
	for _, z := range zones {
		available += spare[k.placeIn(z)]
	}
	if remaining <= 1e-9 || available <= 0 {
		return
	}
	rate := max(minRate, p.demand(k))
	fraction := min(1, available/(remaining*rate)) // of the remaining share, that there is capacity for
	for _, z := range zones {
		at := k.placeIn(z)
		if s := floorShare(remaining * fraction * spare[at] / available); s > 0 && len(r.Shares) < maxShares {
			r.Shares = append(r.Shares, Share{z, s})
			spare[at] = max(0, spare[at]-s*rate)
		}
	}
}

// assignRemainder lets the rest stay near, where package choice sheds it with a Retry-After. Where no other zone can
// take anything, nothing moves and all is as without a plan.
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

// sameEffect reports whether two routes send messages alike.
func sameEffect(a, b Route) bool {
	return a.Phase == b.Phase && a.NearShare == b.NearShare && a.Step == b.Step && slices.Equal(a.Shares, b.Shares)
}

// trimToLimits drops routes with the fewest calls until the plan is small enough to be proposed. Messages of dropped
// routes go to their home, and each process by itself avoids what it sees fail.
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

// floorShare rounds down to a ten-thousandth: shares must never add up to more than 1.
func floorShare(v float64) float64 { return math.Floor(v*1e4) / 1e4 }
