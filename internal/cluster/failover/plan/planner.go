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
	pendingTimeout = 3 * time.Second // how long Step waits for SetPlanInForce before it makes another plan
)

// Planner makes plans at the consensus leader. A new leader creates a Planner, passes the plan in force to
// SetPlanInForce, and then the health of all localities to UpdateHealth. A Planner is not safe for concurrent use.
type Planner struct {
	settings         Settings
	regions          map[view.Zone]view.Region
	localities       map[healthreport.Locality]*localityState
	listedZones      map[choice.DestinationID][]view.Zone // zones with endpoints of a destination, sorted
	tiers            map[routeKey]zoneTiers               // computed by tiersFor
	indexStale       bool                                 // localities or zones changed since listedZones and tiers were computed
	indexedAt        view.Uptime                          // when listedZones was last computed
	demands          map[routeKey]*demand
	homeDemand       map[healthreport.Locality]float64 // calls per second from the zones whose home the locality is
	routes           map[routeKey]*routeState
	lastFailing      map[routeKey]view.Uptime // when the home was last seen failing
	assessedAt       view.Uptime              // last health update
	lastStepAt       view.Uptime              // last step of any returning route
	healthyLinks     map[link]bool            // see the function healthyLinks
	inForce          Plan
	pending          *Plan            // plan that Step returned, until SetPlanInForce is called
	pendingRevisions map[routeKey]int // routeState.revision of each route when pending was made
	plannedAt        view.Uptime      // when Step last returned a plan
	regionsChanged   bool             // regions differ from those of the plan in force
}

// New returns a Planner without any state.
func New(s Settings) *Planner {
	return &Planner{
		settings:    s,
		regions:     map[view.Zone]view.Region{},
		localities:  map[healthreport.Locality]*localityState{},
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

// Epoch returns the epoch of the plan last passed to SetPlanInForce, 0 if none was.
func (p *Planner) Epoch() view.Epoch { return p.inForce.Epoch }

// SetRegions sets the regions of all zones that have processes. Zones that are no longer among them stay known, since
// their endpoints may still work. Of new zones, those beyond maxZones are ignored.
func (p *Planner) SetRegions(regions map[view.Zone]view.Region) {
	for z, r := range regions {
		if old, known := p.regions[z]; (!known || old != r) && (known || len(p.regions) < maxZones) {
			p.regions[z], p.regionsChanged, p.indexStale = r, true, true
		}
	}
}

// UpdateHealth sets the current health of all localities. Of new localities, those beyond maxLocalities are ignored.
func (p *Planner) UpdateHealth(now view.Uptime, localities []assess.LocalityHealth) {
	p.assessedAt = now
	for _, s := range localities {
		locality := p.localities[s.Locality]
		if locality == nil {
			if len(p.localities) >= maxLocalities {
				continue
			}
			locality = &localityState{updatedAt: now}
			p.localities[s.Locality] = locality
		}
		wasListed := locality.listed()
		locality.update(now, s)
		p.indexStale = p.indexStale || wasListed != locality.listed()
	}
	p.healthyLinks = healthyLinks(localities)
	p.rebuildIndex(now)
	p.updateDemands(now, localities)
	p.updateHomeDemand()
}

// link is the direction from a sending zone to a receiving zone.
type link struct{ from, to view.Zone }

// healthyLinks returns the links over which at least two localities are healthy and none is failing.
func healthyLinks(localities []assess.LocalityHealth) map[link]bool {
	healthyCount, failing := map[link]int{}, map[link]bool{}
	for _, s := range localities {
		for _, seen := range s.ByZone {
			l := link{seen.From, s.Zone}
			switch seen.State {
			case assess.Healthy:
				healthyCount[l]++
			case assess.Failing:
				failing[l] = true
			}
		}
	}
	healthy := map[link]bool{}
	for l, n := range healthyCount {
		healthy[l] = n >= 2 && !failing[l]
	}
	return healthy
}

// SetPlanInForce sets the plan in force, made by this planner or by that of another leader. A plan of a lower epoch
// than the last one is ignored.
func (p *Planner) SetPlanInForce(now view.Uptime, in Plan) {
	if in.Epoch < p.inForce.Epoch {
		return
	}
	isPending := p.pending != nil && p.pending.Epoch == in.Epoch
	p.inForce = in
	for z, r := range in.Regions {
		if _, known := p.regions[z]; !known {
			p.regions[z], p.indexStale = r, true
		}
	}
	p.regionsChanged = !maps.Equal(p.regions, in.Regions)
	p.recordPublished(now, in, isPending)
	p.pending, p.pendingRevisions = nil, nil
}

// recordPublished records in each routeState its route in the plan in force. isPending reports whether that plan is the
// pending plan of this planner.
func (p *Planner) recordPublished(now view.Uptime, in Plan, isPending bool) {
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
		if revision, found := p.pendingRevisions[k]; isPending && found {
			r.publishedRevision = revision
		}
	}
}

// resumeRoute returns the state of a route that another planner published. The times of its diversions are not known;
// they count as if they happened now.
func (p *Planner) resumeRoute(now view.Uptime, published Route) *routeState {
	p.assumeHomeListed(now, published)
	r := newRouteState()
	r.phase, r.nearShare, r.outage = published.Phase, published.NearShare, published.Outage
	r.step = min(max(0, published.Step), len(p.settings.Steps)-1)
	switch published.Phase { // NearShare may include messages that no other zone had capacity for
	case Diverted, Unrestricted:
		r.phase, r.nearShare = Diverted, min(published.NearShare, p.settings.MaxTrialShare)
	case Returning:
		r.nearShare = min(published.NearShare, p.settings.Steps[r.step])
	}
	r.failingSince, r.directionChangedAt, r.steppedAt = now-published.Outage, now, now
	for range min(published.Diversions, maxDiversions) {
		r.diversions = append(r.diversions, now)
	}
	return r
}

// assumeHomeListed adds the home localities of a published route that are not known yet. The processes that report on
// them may be down, and without them another zone would be taken for the home.
func (p *Planner) assumeHomeListed(now view.Uptime, published Route) {
	home := published.HomeZones
	if len(home) == 0 {
		home = []view.Zone{published.From}
	}
	for _, z := range home {
		at := healthreport.Locality{Destination: published.Destination, Zone: z}
		if p.localities[at] == nil && len(p.localities) < maxLocalities {
			health := assess.LocalityHealth{Locality: at, SuccessShare: 1, Endpoints: 1}
			p.localities[at], p.indexStale = &localityState{LocalityHealth: health, updatedAt: now}, true
		}
	}
}

// Step advances the phases of all routes and returns the next plan, or false if the plan in force needs no change yet.
// The caller proposes the plan to the consensus group and then calls SetPlanInForce, whatever the outcome. Until then
// Step returns no other plan for up to pendingTimeout.
func (p *Planner) Step(now view.Uptime) (Plan, bool) {
	p.advanceRoutes(now)
	sinceLast := now - p.plannedAt
	if p.pending != nil && sinceLast < pendingTimeout || sinceLast < p.settings.MinPlanInterval || len(p.regions) == 0 {
		return Plan{}, false
	}
	routes, changed, urgent := p.planRoutes(now)
	if !p.regionsChanged {
		unchanged := !changed && p.inForce.Epoch > 0
		tooSoon := !urgent && sinceLast < p.settings.MinSharesOnlyInterval
		if unchanged || tooSoon {
			return Plan{}, false
		}
	}
	next := Plan{Epoch: p.inForce.Epoch + 1, TTL: p.settings.PlanTTL, Regions: maps.Clone(p.regions), Routes: routes}
	p.trimToLimits(&next)
	p.pending, p.plannedAt, p.pendingRevisions = &next, now, map[routeKey]int{}
	for k, r := range p.routes {
		p.pendingRevisions[k] = r.revision
	}
	return next, true
}

// advanceRoutes advances the phases of all routes that have demand or a state, in the order of their keys.
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
			if r != nil && p.assessedAt != neverAt && now-r.directionChangedAt > p.settings.DiversionWindow {
				r.setPhase(steady, 1)
				p.forgetIfSettled(now, k, r)
			}
			continue
		}
		isNew := r == nil
		if isNew {
			r = newRouteState()
		}
		p.advanceRoute(now, k, r, home)
		if isNew && r.phase == steady && r.overloadedSince == neverAt {
			continue // no state to keep
		}
		p.routes[k] = r
		p.forgetIfSettled(now, k, r)
	}
}

// forgetIfSettled deletes the state of a route that is steady, both here and in the plan in force, once its diversions no
// longer count.
func (p *Planner) forgetIfSettled(now view.Uptime, k routeKey, r *routeState) {
	settled := r.phase == steady && r.published.Phase == steady && r.overloadedSince == neverAt
	if settled && now-r.directionChangedAt > p.settings.DiversionWindow {
		delete(p.routes, k)
		delete(p.lastFailing, k)
	}
}
