// Package apply makes of a plan what one process's attempts ask for.
//
// It owns how a message is matched to a zone (this file) and which plan counts here and for how long (holder.go). Pure.
// It must never leave a message without any place to go because of a plan: where the process lists no endpoint in the
// zone that a plan names, sees that zone fail by itself, or has heard of no plan for too long, all is allowed and
// package choice decides alone.
package apply

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/view"
)

// At is a destination's endpoints in a zone, by the process's own number of it.
type At struct {
	Destination choice.DestinationID
	Zone        choice.ZoneNo
}

// Local is what a process knows itself.
type Local struct {
	Zone    view.Zone
	Numbers map[view.Zone]choice.ZoneNo              // its numbers of zones; what is missing is outside the plan
	Listed  map[choice.DestinationID][]choice.ZoneNo // where it lists endpoints
	Ill     map[At]bool                              // what it sees fail by itself (weigh.Ill)
}

// Guide answers for one plan and one list of endpoints. Immutable.
type Guide struct {
	rules   map[choice.DestinationID]*rule
	outside []bool // by zone number: in the plan (false) or not; beyond its end all are outside
}

type rule struct {
	nearShare float64
	planned   bool // by a route of the plan
	homeZones []choice.ZoneNo
	targets   []target
}

// target takes what falls below upTo, of what does not go near.
type target struct {
	upperBound   float64
	zone         choice.ZoneNo
	unrestricted bool // it cannot be used here: package choice alone
}

// Allowed tells whether a message may go to an endpoint of a destination in a zone. It hangs on its arguments alone, so
// that a message has the same answer each time it is tried under one plan.
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

// Firm tells whether a plan is in force for what this process sends to a destination. Where none is, Allowed keeps to
// what is near; a sender that finds all of that set aside need not wait for the plan and may go anywhere.
func (g *Guide) Firm(d choice.DestinationID) bool {
	r := g.rules[d]
	return r != nil && r.planned
}

// draws are two even draws from an id. The first says whether a message goes near: as that share grows, only messages in
// between move. The second says where else; it does not hang on the first. xxhash rather than hash/crc32, which has 32
// bits for both, uneven for ids that differ in their last digits, and copies each id to the heap: this is asked at
// each attempt, for each endpoint looked at.
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
		return g // where it stands is outside the plan
	}
	for d, listed := range l.Listed {
		near := homeZones(listed, here, regions)
		if r := compileRule(p, l, d, listed, near); r != nil {
			g.rules[d] = r
		}
	}
	return g
}

// mostZoneNo bounds the table of zones.
const maxZoneNo = 4096

// homeOf are the zones that messages go to while all is well; nil where these are all that there are.
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

func compileRule(p *plan.Plan, l Local, d choice.DestinationID, listed, homeZones []choice.ZoneNo) *rule {
	homeFailing := !slices.ContainsFunc(homeZones, func(z choice.ZoneNo) bool { return !l.Ill[At{d, z}] })
	route, found := p.Find(d, l.Zone)
	switch {
	case !found || route.Phase == plan.Overloaded:
		// Its own traffic alone: the plan has not heard yet, or this process's link is ill.
		if len(homeZones) == 0 || homeFailing {
			return nil
		}
		if !found {
			return &rule{nearShare: 1, homeZones: homeZones}
		}
	case route.Phase == plan.Unrestricted:
		return nil
	}
	r := &rule{nearShare: route.Near, planned: true, homeZones: homeZones}
	if len(homeZones) == 0 {
		r.homeZones = listed // none near here, though others of the zone list some: no message is to wait for it
	}
	sum := 0.0
	for _, s := range route.Shares {
		sum += s.Fraction
	}
	if sum <= 0 {
		if route.Near >= 1 && len(homeZones) > 0 {
			return &rule{nearShare: 1, planned: true, homeZones: homeZones}
		}
		return nil
	}
	upperBound := 0.0
	for i, s := range route.Shares {
		upperBound += s.Fraction / sum
		if i == len(route.Shares)-1 {
			upperBound = 1
		}
		no, known := l.Numbers[s.Zone]
		t := target{upperBound: upperBound, zone: no, unrestricted: !known || !slices.Contains(listed, no) || l.Ill[At{d, no}]}
		r.targets = append(r.targets, t)
	}
	return r
}
