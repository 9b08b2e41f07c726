// Package apply turns a plan into what the attempts of one process ask: whether a message may go to a zone.
//
// It matches messages to zones (guide.go) and knows which plan is in force here and for how long (holder.go). The package
// is pure. No message is left without any place to go because of a plan: where the process lists no endpoint in the zone
// that a plan names, sees that zone fail by itself, or has received no plan for too long, all is allowed and package
// choice decides alone.
package apply

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/view"
)

// Endpoints is a destination's endpoints in a zone, by the process's own number of the zone.
type Endpoints struct {
	Destination choice.DestinationID
	Zone        choice.ZoneNo
}

// Local is what a process knows itself.
type Local struct {
	Zone    view.Zone
	Numbers map[view.Zone]choice.ZoneNo              // its numbers of zones; other zones are outside the plan
	Listed  map[choice.DestinationID][]choice.ZoneNo // where it lists endpoints
	Failing map[Endpoints]bool                       // endpoints that it sees fail by itself (assess.SeesFailure)
}

// Guide answers for one plan and one list of endpoints. It is immutable.
type Guide struct {
	rules   map[choice.DestinationID]*rule
	outside []bool // by zone number: in the plan (false) or not; beyond its end all are outside
}

// rule is for one destination.
type rule struct {
	nearShare float64
	planned   bool // by a route of the plan; otherwise all goes near
	homeZones []choice.ZoneNo
	targets   []target
}

// target takes messages that don't go near and whose draw is below upperBound, and not below that of the target before.
type target struct {
	upperBound   float64
	zone         choice.ZoneNo
	unrestricted bool // the zone cannot be used here: package choice decides alone
}

// Allowed reports whether a message may go to an endpoint of a destination in a zone. It depends on its arguments
// alone, so that a message gets the same answer at each attempt under one plan.
func (g *Guide) Allowed(n choice.MessageID, d choice.DestinationID, zone choice.ZoneNo) bool {
	r := g.rules[d]
	if r == nil || zone < 0 || int(zone) >= len(g.outside) || g.outside[zone] {
		return true
	}
	if r.nearShare >= 1 {
		return slices.Contains(r.homeZones, zone)
	}
	near, away := placementDraws(n)
	if near < r.nearShare {
		return slices.Contains(r.homeZones, zone)
	}
	for _, t := range r.targets {
		if away < t.upperBound {
			return t.unrestricted || t.zone == zone
		}
	}
	return true
}

// Planned reports whether a route of the plan is in force for what this process sends to a destination. Where none is,
// Allowed keeps to the home; a sender that finds all of that ejected need not wait for a plan and may go anywhere.
func (g *Guide) Planned(d choice.DestinationID) bool {
	r := g.rules[d]
	return r != nil && r.planned
}

// placementDraws are two even draws from an id. The first says whether a message goes near: as that share grows, only
// messages in between move. The second says where else, and does not depend on the first. It uses xxhash rather than
// hash/crc32, which has 32 bits for both, is uneven for ids that differ in their last digits, and copies each id to
// the heap: this is asked at each attempt, for each endpoint considered.
func placementDraws(n choice.MessageID) (near, away float64) {
	sum := xxhash.Sum64String(string(n))
	return float64(sum>>32) / (1 << 32), float64(sum&math.MaxUint32) / (1 << 32)
}

// Compile resolves a plan for one process.
func Compile(p *plan.Plan, l Local) *Guide {
	g := &Guide{rules: make(map[choice.DestinationID]*rule, len(l.Listed))}
	regions := make(map[choice.ZoneNo]view.Region, len(l.Numbers))
	for z, no := range l.Numbers {
		region, known := p.Regions[z]
		if no < 0 || no >= maxZoneNo || !known {
			continue
		}
		regions[no] = region
		for int(no) >= len(g.outside) {
			g.outside = append(g.outside, true)
		}
		g.outside[no] = false
	}
	here, known := l.Numbers[l.Zone]
	if _, planned := p.Regions[l.Zone]; !known || !planned {
		return g // its own zone is outside the plan
	}
	for d, listed := range l.Listed {
		near := homeZones(listed, here, regions)
		if r := compileRule(p, l, d, listed, near); r != nil {
			g.rules[d] = r
		}
	}
	return g
}

// maxZoneNo bounds the table of zones.
const maxZoneNo = 4096

// homeZones returns the zones that messages go to while all is well; nil if those are all zones.
func homeZones(listed []choice.ZoneNo, here choice.ZoneNo, regions map[choice.ZoneNo]view.Region) []choice.ZoneNo {
	if slices.Contains(listed, here) {
		return []choice.ZoneNo{here}
	}
	var home []choice.ZoneNo
	for _, z := range listed {
		if region, known := regions[z]; known && region == regions[here] {
			home = append(home, z)
		}
	}
	return home
}

// compileRule makes the rule for one destination; nil if all is allowed.
func compileRule(p *plan.Plan, l Local, d choice.DestinationID, listed, homeZones []choice.ZoneNo) *rule {
	route, found := p.Find(d, l.Zone)
	if !found || route.Phase == plan.Overloaded {
		homeFailing := !slices.ContainsFunc(homeZones, func(z choice.ZoneNo) bool { return !l.Failing[Endpoints{d, z}] })
		if homeFailing {
			return nil // at this process alone: the plan does not know yet, or the process's link fails
		}
	}
	switch {
	case !found:
		return &rule{nearShare: 1, homeZones: homeZones}
	case route.Phase == plan.Unrestricted:
		return nil
	}
	r := &rule{nearShare: route.NearShare, planned: true, homeZones: homeZones}
	if len(homeZones) == 0 {
		r.homeZones = listed // none near here, though others of the zone list some: no message is to wait for it
	}
	r.targets = compileTargets(route, l, listed)
	if len(r.targets) > 0 {
		return r
	}
	if route.NearShare >= 1 && len(homeZones) > 0 {
		return &rule{nearShare: 1, planned: true, homeZones: homeZones}
	}
	return nil
}

// compileTargets scales a route's shares so that they add up to 1; it returns none if nothing is to go elsewhere.
func compileTargets(route *plan.Route, l Local, listed []choice.ZoneNo) []target {
	total := 0.0
	for _, s := range route.Shares {
		total += s.Fraction
	}
	if total <= 0 {
		return nil
	}
	targets := make([]target, 0, len(route.Shares))
	upperBound := 0.0
	for i, s := range route.Shares {
		upperBound += s.Fraction / total
		if i == len(route.Shares)-1 {
			upperBound = 1 // whatever rounding left
		}
		no, known := l.Numbers[s.Zone]
		usable := known && slices.Contains(listed, no) && !l.Failing[Endpoints{route.Destination, no}]
		targets = append(targets, target{upperBound: upperBound, zone: no, unrestricted: !usable})
	}
	return targets
}
