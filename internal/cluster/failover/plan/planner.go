package plan

import (
	"maps"
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/weigh"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

const (
	mostZones    = 256
	pendingFor   = 3 * time.Second // a plan handed out that was not applied by then is made anew
	improveAfter = 3 * time.Second // between two tries to move what had to stay
)

// Planner makes plans. It belongs to one goroutine, of the council's leader; a new leader begins with the plan in
// force (Applied) and what it then hears.
type Planner struct {
	set       Settings
	regions   map[view.Zone]view.Region
	places    map[healthreport.Locality]*place
	listed    map[choice.DestinationID][]view.Zone
	tiers     map[key]tiers
	stale     bool // places or zones changed since listed and tiers were made
	listedAt  view.Now
	loads     map[key]*load
	homed     map[healthreport.Locality]float64 // calls a second that are handed in by those whose home it is
	routes    map[key]*route
	lastBad   map[key]view.Now
	judgedAt  view.Now
	beatAt    view.Now              // when returns last took a step
	wellZones map[[2]view.Zone]bool // from, to: two places or more are answered and none fails
	inForce   Plan
	pending   *Plan
	revs      map[key]int // of the routes in pending
	madeAt    view.Now
	regioned  bool // zones differ from those of the plan in force
}

// New makes a planner that knows nothing.
func New(s Settings) *Planner {
	return &Planner{set: s, regions: map[view.Zone]view.Region{}, places: map[healthreport.Locality]*place{},
		listed: map[choice.DestinationID][]view.Zone{}, tiers: map[key]tiers{}, loads: map[key]*load{},
		routes:  map[key]*route{},
		lastBad: map[key]view.Now{}, homed: map[healthreport.Locality]float64{}, judgedAt: never, madeAt: never, beatAt: never}
}

// Epoch is of the plan in force, as far as it was told.
func (p *Planner) Epoch() view.Epoch { return p.inForce.Epoch }

// Members tells which zones there are. A zone that is gone stays known: its endpoints may still be there.
func (p *Planner) Members(regions map[view.Zone]view.Region) {
	for z, r := range regions {
		if old, known := p.regions[z]; (!known || old != r) && (known || len(p.regions) < mostZones) {
			p.regions[z], p.regioned, p.stale = r, true, true
		}
	}
}

// Judged tells what is known of all places now.
func (p *Planner) Judged(now view.Now, all []weigh.Standing) {
	p.judgedAt = now
	for _, s := range all {
		pl := p.places[s.Locality]
		if pl == nil {
			if len(p.places) >= mostPlaces {
				continue
			}
			pl = &place{seen: now}
			p.places[s.Locality] = pl
		}
		was := pl.listed()
		pl.take(now, s)
		p.stale = p.stale || was != pl.listed()
	}
	p.wellZones = wellZones(all)
	p.relist(now)
	p.demands(now, all)
	clear(p.homed)
	for k, l := range p.loads {
		home, _ := p.home(k.d, k.from)
		for _, z := range home {
			p.homed[healthreport.Locality{Destination: k.d, Zone: z}] += l.rate / float64(len(home))
		}
	}
}

func wellZones(all []weigh.Standing) map[[2]view.Zone]bool {
	wells, fails := map[[2]view.Zone]int{}, map[[2]view.Zone]bool{}
	for _, s := range all {
		for _, pair := range s.Pairs {
			switch k := [2]view.Zone{pair.From, s.Zone}; pair.State {
			case weigh.Well:
				wells[k]++
			case weigh.Bad:
				fails[k] = true
			}
		}
	}
	well := map[[2]view.Zone]bool{}
	for k, n := range wells {
		well[k] = n >= 2 && !fails[k]
	}
	return well
}

// Applied tells which plan is in force, of this planner or of another before it.
func (p *Planner) Applied(now view.Now, in Plan) {
	if in.Epoch < p.inForce.Epoch {
		return
	}
	ours := p.pending != nil && p.pending.Epoch == in.Epoch
	p.inForce = in
	for z, r := range in.Regions {
		if _, known := p.regions[z]; !known {
			p.regions[z], p.stale = r, true
		}
	}
	p.regioned = !maps.Equal(p.regions, in.Regions)
	for k, r := range p.routes {
		if _, found := in.Find(k.d, k.from); !found {
			r.out, r.outRev = Route{}, p.revs[k]
		}
	}
	for _, o := range in.Routes {
		k := o.key()
		r := p.routes[k]
		if r == nil {
			r = p.resumed(now, o)
			p.routes[k] = r
		}
		r.out, r.shared = o, now
		if rev, found := p.revs[k]; ours && found {
			r.outRev = rev
		}
	}
	p.pending, p.revs = nil, nil
}

// resumed takes up a route that another planner made: its turns count as of now.
func (p *Planner) resumed(now view.Now, o Route) *route {
	r := newRoute()
	r.phase, r.step, r.near, r.outage = o.Phase, min(max(0, o.Step), len(p.set.Steps)-1), o.Near, o.Outage
	home := o.Home
	if len(home) == 0 {
		home = []view.Zone{o.From}
	}
	for _, z := range home { // whoever tells of it may be gone: what is near must not be taken for another zone by that
		at := healthreport.Locality{Destination: o.Destination, Zone: z}
		if p.places[at] == nil && len(p.places) < mostPlaces {
			s := weigh.Standing{Locality: at, Part: 1, Endpoints: 1}
			p.places[at], p.stale = &place{Standing: s, seen: now}, true
		}
	}
	switch o.Phase { // of Near, a part may be what there was no room for
	case Away, Free:
		r.phase, r.near = Away, min(o.Near, p.set.MostTest)
	case Returning:
		r.near = min(o.Near, p.set.Steps[r.step])
	}
	r.downAt, r.turned, r.stepped = now-o.Outage, now, now
	for range min(o.Turns, mostTurns) {
		r.turns = append(r.turns, now)
	}
	return r
}

// Step moves all routes on and tells the next plan where one is worth it: the caller has it decided in common and
// tells Applied. Until then, for a while, there is no other.
func (p *Planner) Step(now view.Now) (Plan, bool) {
	p.move(now)
	if p.pending != nil && now-p.madeAt < pendingFor || now-p.madeAt < p.set.Gap || len(p.regions) == 0 {
		return Plan{}, false
	}
	routes, changed, urgent := p.share(now)
	if !changed && !p.regioned && p.inForce.Epoch > 0 || !urgent && !p.regioned && now-p.madeAt < p.set.CalmGap {
		return Plan{}, false
	}
	next := Plan{Epoch: p.inForce.Epoch + 1, Hold: p.set.Hold, Regions: maps.Clone(p.regions), Routes: routes}
	p.most(&next)
	p.pending, p.madeAt, p.revs = &next, now, map[key]int{}
	for k, r := range p.routes {
		p.revs[k] = r.rev
	}
	return next, true
}

// move advances what has a load or is under way, in order.
func (p *Planner) move(now view.Now) {
	keys := slices.Collect(maps.Keys(p.routes))
	for k := range p.loads {
		if p.routes[k] == nil {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, key.compare)
	for _, k := range keys {
		home, _ := p.home(k.d, k.from)
		r := p.routes[k]
		if len(home) == 0 {
			if r != nil && p.judgedAt != never && now-r.turned > p.set.TurnsFor {
				r.to("", 1)
				p.forget(now, k, r)
			}
			continue
		}
		fresh := r == nil
		if fresh {
			r = newRoute()
		}
		p.advance(now, k, r, home)
		if fresh && r.phase == "" && r.overAt == never {
			continue // steady: nothing to remember
		}
		p.routes[k] = r
		p.forget(now, k, r)
	}
}

// forget lets go of a route that goes near again once its turns no longer count.
func (p *Planner) forget(now view.Now, k key, r *route) {
	if r.phase == "" && r.out.Phase == "" && r.overAt == never && now-r.turned > p.set.TurnsFor {
		delete(p.routes, k)
		delete(p.lastBad, k)
	}
}
