package plan

import (
	"maps"
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

const (
	maxZones       = 256
	pendingTimeout = 3 * time.Second // a proposed plan that is not in force by then is made anew
)

// Planner makes plans. It belongs to one goroutine, of the consensus leader. A new leader starts with the plan in
// force (Applied) and with the reports that it then receives.
type Planner struct {
	settings         Settings
	regions          map[view.Zone]view.Region
	places           map[healthreport.Locality]*place
	listedZones      map[choice.DestinationID][]view.Zone
	tiers            map[routeKey]zoneTiers
	indexStale       bool // places or zones changed since listedZones and tiers were made
	indexedAt        view.Uptime
	demands          map[routeKey]*demand
	homeDemand       map[healthreport.Locality]float64 // calls a second of the zones whose home it is
	routes           map[routeKey]*routeState
	lastFailing      map[routeKey]view.Uptime
	assessedAt       view.Uptime
	lastStepAt       view.Uptime   // when returns last took a step
	healthyLinks     map[link]bool // two places or more are healthy and none fails
	inForce          Plan
	pending          *Plan
	pendingRevisions map[routeKey]int // of the routes in pending
	plannedAt        view.Uptime
	regionsChanged   bool // regions differ from those of the plan in force
}

// New returns a planner that knows nothing yet.
func New(s Settings) *Planner {
	return &Planner{
		settings:    s,
		regions:     map[view.Zone]view.Region{},
		places:      map[healthreport.Locality]*place{},
		listedZones: map[choice.DestinationID][]view.Zone{},
		tiers:       map[routeKey]zoneTiers{},
		demands:     map[routeKey]*demand{},
		homeDemand:  map[healthreport.Locality]float64{},
		routes:      map[routeKey]*routeState{},
		lastFailing: map[routeKey]view.Uptime{},
		assessedAt:  neverAt,
		plannedAt:   neverAt,
		lastStepAt:  neverAt,
	}
}

// Epoch returns the epoch of the plan in force, as far as the planner knows it.
func (p *Planner) Epoch() view.Epoch { return p.inForce.Epoch }

// SetRegions sets which zones there are. A zone that has gone stays known: its endpoints may still be there.
func (p *Planner) SetRegions(regions map[view.Zone]view.Region) {
	for z, r := range regions {
		if old, known := p.regions[z]; (!known || old != r) && (known || len(p.regions) < maxZones) {
			p.regions[z], p.regionsChanged, p.indexStale = r, true, true
		}
	}
}

// UpdateHealth takes the current health of all places.
func (p *Planner) UpdateHealth(now view.Uptime, places []assess.PlaceHealth) {
	p.assessedAt = now
	for _, s := range places {
		pl := p.places[s.Locality]
		if pl == nil {
			if len(p.places) >= maxPlaces {
				continue
			}
			pl = &place{seenAt: now}
			p.places[s.Locality] = pl
		}
		wasListed := pl.listed()
		pl.update(now, s)
		p.indexStale = p.indexStale || wasListed != pl.listed()
	}
	p.healthyLinks = healthyLinks(places)
	p.rebuildIndex(now)
	p.updateDemands(now, places)
	p.updateHomeDemand()
}

// link is from a zone that sends to a zone that is sent to.
type link struct{ from, to view.Zone }

// healthyLinks returns the links on which two places or more are healthy and none fails.
func healthyLinks(places []assess.PlaceHealth) map[link]bool {
	healthyPlaces, failing := map[link]int{}, map[link]bool{}
	for _, s := range places {
		for _, seen := range s.ByZone {
			l := link{seen.From, s.Zone}
			switch seen.State {
			case assess.Healthy:
				healthyPlaces[l]++
			case assess.Failing:
				failing[l] = true
			}
		}
	}
	healthy := map[link]bool{}
	for l, n := range healthyPlaces {
		healthy[l] = n >= 2 && !failing[l]
	}
	return healthy
}

// PlanInForce takes the plan in force, of this planner or of another before it.
func (p *Planner) PlanInForce(now view.Uptime, in Plan) {
	if in.Epoch < p.inForce.Epoch {
		return
	}
	ours := p.pending != nil && p.pending.Epoch == in.Epoch
	p.inForce = in
	for z, r := range in.Regions {
		if _, known := p.regions[z]; !known {
			p.regions[z], p.indexStale = r, true
		}
	}
	p.regionsChanged = !maps.Equal(p.regions, in.Regions)
	p.takePublished(now, in, ours)
	p.pending, p.pendingRevisions = nil, nil
}

// takePublished notes for each route what the plan in force has of it; ours if it is the pending plan of this planner.
func (p *Planner) takePublished(now view.Uptime, in Plan, ours bool) {
	for k, r := range p.routes {
		if _, found := in.Find(k.destination, k.from); !found {
			r.published, r.publishedRevision = Route{}, p.pendingRevisions[k]
		}
	}
	for _, published := range in.Routes {
		k := published.key()
		r := p.routes[k]
		if r == nil {
			r = p.resumeRoute(now, published)
			p.routes[k] = r
		}
		r.published, r.publishedAt = published, now
		if revision, found := p.pendingRevisions[k]; ours && found {
			r.publishedRevision = revision
		}
	}
}

// resumeRoute takes over a route that another planner made: its diversions count as of now.
func (p *Planner) resumeRoute(now view.Uptime, published Route) *routeState {
	p.assumeHomeListed(now, published)
	r := newRouteState()
	r.phase, r.nearShare, r.outage = published.Phase, published.NearShare, published.Outage
	r.step = min(max(0, published.Step), len(p.settings.Steps)-1)
	switch published.Phase { // Near may include what there was no capacity for
	case Diverted, Unrestricted:
		r.phase, r.nearShare = Diverted, min(published.NearShare, p.settings.MaxTrialShare)
	case Returning:
		r.nearShare = min(published.NearShare, p.settings.Steps[r.step])
	}
	r.failingSince, r.turnedAt, r.steppedAt = now-published.Outage, now, now
	for range min(published.Diversions, maxDiversions) {
		r.diversions = append(r.diversions, now)
	}
	return r
}

// assumeHomeListed takes the home zones of a route as listed: those that report on them may be gone, and another zone
// must not be taken for the home because of that.
func (p *Planner) assumeHomeListed(now view.Uptime, published Route) {
	home := published.HomeZones
	if len(home) == 0 {
		home = []view.Zone{published.From}
	}
	for _, z := range home {
		at := healthreport.Locality{Destination: published.Destination, Zone: z}
		if p.places[at] == nil && len(p.places) < maxPlaces {
			health := assess.PlaceHealth{Locality: at, SuccessShare: 1, Endpoints: 1}
			p.places[at], p.indexStale = &place{PlaceHealth: health, seenAt: now}, true
		}
	}
}

// Step moves all routes on and returns the next plan if one is worth making. The caller proposes it and reports the
// outcome by Applied; until then, for a while, Step makes no other.
func (p *Planner) Step(now view.Uptime) (Plan, bool) {
	p.advanceRoutes(now)
	sinceLast := now - p.plannedAt
	if p.pending != nil && sinceLast < pendingTimeout || sinceLast < p.settings.MinPlanInterval || len(p.regions) == 0 {
		return Plan{}, false
	}
	routes, changed, urgent := p.shareOut(now)
	if !p.regionsChanged {
		unchanged := !changed && p.inForce.Epoch > 0
		tooSoon := !urgent && sinceLast < p.settings.MinSharesOnlyInterval
		if unchanged || tooSoon {
			return Plan{}, false
		}
	}
	next := Plan{Epoch: p.inForce.Epoch + 1, Hold: p.settings.Hold, Regions: maps.Clone(p.regions), Routes: routes}
	p.trimToLimits(&next)
	p.pending, p.plannedAt, p.pendingRevisions = &next, now, map[routeKey]int{}
	for k, r := range p.routes {
		p.pendingRevisions[k] = r.revision
	}
	return next, true
}

// advanceRoutes moves on, in order, all routes that have demand or are not steady.
func (p *Planner) advanceRoutes(now view.Uptime) {
	keys := slices.Collect(maps.Keys(p.routes))
	for k := range p.demands {
		if p.routes[k] == nil {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, routeKey.compare)
	for _, k := range keys {
		home := p.tiersFor(k).home
		r := p.routes[k]
		if len(home) == 0 {
			if r != nil && p.assessedAt != neverAt && now-r.turnedAt > p.settings.DiversionMemory {
				r.setPhase(steady, 1)
				p.forgetIfSettled(now, k, r)
			}
			continue
		}
		fresh := r == nil
		if fresh {
			r = newRouteState()
		}
		p.advanceRoute(now, k, r, home)
		if fresh && r.phase == steady && r.overloadedSince == neverAt {
			continue // nothing to remember
		}
		p.routes[k] = r
		p.forgetIfSettled(now, k, r)
	}
}

// forgetIfSettled drops a route that is steady again once its diversions no longer count.
func (p *Planner) forgetIfSettled(now view.Uptime, k routeKey, r *routeState) {
	settled := r.phase == steady && r.published.Phase == steady && r.overloadedSince == neverAt
	if settled && now-r.turnedAt > p.settings.DiversionMemory {
		delete(p.routes, k)
		delete(p.lastFailing, k)
	}
}
