// Package apply applies the routing plan at one process: it tells each attempt whether a message may go to a zone.
//
// A Guide assigns messages to zones (guide.go). A Holder knows which plan is in force at the process and until when
// (holder.go). The package is pure: it reads no clock and starts no goroutine.
//
// A plan never leaves a message without a zone to go to. All zones are allowed, and package choice alone decides, if the
// process lists no endpoint in the zone that the plan assigns, if the process itself sees that zone fail, or if the plan
// has expired.
package apply

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/view"
)

// Endpoints identifies the endpoints of a destination in one zone, like healthreport.Locality, but by the zone number
// that the process uses.
type Endpoints struct {
	Destination choice.DestinationID
	Zone        choice.ZoneNo
}

// Local is the state of one process that a plan is compiled with.
type Local struct {
	Zone    view.Zone                                // zone of the process
	Numbers map[view.Zone]choice.ZoneNo              // the process's zone numbers; zones without one are not restricted by a plan
	Listed  map[choice.DestinationID][]choice.ZoneNo // zones in which the process lists endpoints
	Failing map[Endpoints]bool                       // endpoints that the process itself sees fail; see assess.SeesFailure
}

// Guide holds the rules that one plan has for the messages of one process. It is immutable, and thereby safe for
// concurrent use.
type Guide struct {
	rules   map[choice.DestinationID]*rule // a destination without a rule is not restricted
	outside []bool                         // by zone number: true if the plan lacks the zone; higher numbers are outside too
}

// rule assigns the messages for one destination to zones.
type rule struct {
	nearShare float64 // share of messages that go to homeZones
	planned   bool    // set by a route of the plan; otherwise all messages go near
	homeZones []choice.ZoneNo
	targets   []target // for the other messages, by ascending upperBound
}

// target receives the messages that don't go near and whose draw is below upperBound but not below the upperBound of
// the previous target.
type target struct {
	upperBound   float64
	zone         choice.ZoneNo
	unrestricted bool // the process cannot use the zone; all zones are allowed instead
}

// Allowed reports whether a message may go to an endpoint of a destination in a zone. The result depends only on the
// arguments and the Guide, so that it is the same for all attempts of a message.
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

// Planned reports whether the plan has a route for messages from this process to a destination. If it has none, Allowed
// permits only the home zones. A sender that has ejected all endpoints there need not wait for a plan and may use any
// zone.
func (g *Guide) Planned(d choice.DestinationID) bool {
	r := g.rules[d]
	return r != nil && r.planned
}

// placementDraws derives two independent numbers from a message id, uniformly distributed in [0, 1). The first decides
// whether the message goes near: when the near share changes, only messages between the old and the new share move. The
// second decides which target receives the message otherwise.
//
// It is called for each endpoint considered at each attempt. xxhash is used instead of hash/crc32, which has only 32
// bits for both numbers, is unevenly distributed for ids that differ in their last digits, and copies each id to the
// heap.
func placementDraws(n choice.MessageID) (near, away float64) {
	sum := xxhash.Sum64String(string(n))
	return float64(sum>>32) / (1 << 32), float64(sum&math.MaxUint32) / (1 << 32)
}

// Compile returns the rules that a plan has for the messages of one process.
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
		return g // the plan does not know the zone of the process, and so restricts nothing
	}
	for d, listed := range l.Listed {
		near := homeZones(listed, here, regions)
		if r := compileRule(p, l, d, listed, near); r != nil {
			g.rules[d] = r
		}
	}
	return g
}

// maxZoneNo bounds the length of Guide.outside. Zones with higher numbers are treated as outside the plan.
const maxZoneNo = 4096

// homeZones returns the zones that messages go to while no zone fails: the process's own zone if an endpoint is listed
// there, otherwise the listed zones of its region. It returns nil if there are none, which means all zones.
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

// compileRule returns the rule for one destination, or nil if all zones are allowed.
func compileRule(p *plan.Plan, l Local, d choice.DestinationID, listed, homeZones []choice.ZoneNo) *rule {
	route, found := p.Find(d, l.Zone)
	if !found || route.Phase == plan.Overloaded {
		homeFailing := !slices.ContainsFunc(homeZones, func(z choice.ZoneNo) bool { return !l.Failing[Endpoints{d, z}] })
		if homeFailing {
			return nil // the plan does not reflect the failure yet, or only the process's own link fails
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
		// Other processes of the zone list endpoints near, but this one does not; no message should wait for them.
		r.homeZones = listed
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

// compileTargets converts the shares of a route to targets, scaled so that they add up to 1. It returns nil if the
// shares are 0.
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
			upperBound = 1 // exactly, in spite of rounding errors
		}
		no, known := l.Numbers[s.Zone]
		usable := known && slices.Contains(listed, no) && !l.Failing[Endpoints{route.Destination, no}]
		targets = append(targets, target{upperBound: upperBound, zone: no, unrestricted: !usable})
	}
	return targets
}
