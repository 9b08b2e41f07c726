// Package plan decides, for each zone, which share of each destination's messages goes to which zone.
//
// The zones that messages go to while all is well are called their home, or near: the sender's own zone if an endpoint
// is listed there, otherwise the other zones of its region, otherwise all zones. A route is an exception to that.
//
// The planner (planner.go) is a state machine with a method for each thing that happens. It uses the phases of a route
// (route.go), the capacity of places (capacity.go), the demand of zones (demand.go), the tiers of zones around a sender
// (tiers.go) and the assignment of demand to capacity (share.go). InForce (inforce.go) is the state machine that the
// consensus group replicates; it keeps epochs from forking.
//
// The package is pure. A plan never gives a receiver more than its capacity, never diverts a route more often than its
// return delay allows, and moves nothing while no zone is healthy.
package plan

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// Share is the fraction of a route's messages that goes to a zone.
type Share struct {
	Zone     view.Zone `json:"z"`
	Fraction float64   `json:"p"`
}

// Phase is how far a route is from sending all to its home.
type Phase string

const (
	Diverted     Phase = "away"   // near is failing: all that others have capacity for goes to them
	Returning    Phase = "return" // near takes a growing share, step by step
	Overloaded   Phase = "over"   // near has not capacity for all
	Unrestricted Phase = "free"   // no zone is healthy: package choice decides alone

	steady Phase = "" // all goes near; such a route is not in a plan
)

// Route is one exception: where a zone's messages to a destination go while not all of them go near.
type Route struct {
	Destination choice.DestinationID `json:"d"`
	From        view.Zone            `json:"from"`
	Phase       Phase                `json:"phase"`
	NearShare   float64              `json:"near"`             // share that stays near: trials, and what nobody else has capacity for
	Shares      []Share              `json:"to,omitempty"`     // where the rest goes, nearest first; they add up to 1-Near
	HomeZones   []view.Zone          `json:"home,omitempty"`   // the home zones, unless that is From alone
	Step        int                  `json:"step,omitempty"`   // while Returning: index of the step
	Diversions  int                  `json:"turns,omitempty"`  // recent ones; each doubles the delay of the next return
	Outage      time.Duration        `json:"outage,omitempty"` // how long the last one lasted
}

// Plan is what is decided in common. Where it has no route for a destination and a zone, messages go to their home. It
// stays in force for Hold after it was last renewed, by the clock of each process; its age travels beside it.
type Plan struct {
	Epoch   view.Epoch                `json:"epoch"` // one more than that of the plan it follows
	Hold    time.Duration             `json:"hold"`
	Regions map[view.Zone]view.Region `json:"regions"`
	Routes  []Route                   `json:"routes,omitempty"` // sorted by destination and zone
}

// Bounds of a plan. The consensus group takes commands of up to 256 KB; a route is 100 to 200 bytes.
const (
	MaxRoutes    = 5000
	maxPlanBytes = 200 << 10
	maxShares    = 16
	maxHold      = time.Minute
)

// Find returns the route for a destination from a zone.
func (p *Plan) Find(d choice.DestinationID, from view.Zone) (*Route, bool) {
	i, found := slices.BinarySearchFunc(p.Routes, routeKey{d, from}, func(r Route, k routeKey) int { return r.key().compare(k) })
	if !found {
		return nil, false
	}
	return &p.Routes[i], true
}

// routeKey names a route.
type routeKey struct {
	destination choice.DestinationID
	from        view.Zone
}

func (k routeKey) compare(o routeKey) int {
	return cmp.Or(cmp.Compare(k.destination, o.destination), cmp.Compare(k.from, o.from))
}

// placeIn is the route's destination in a zone.
func (k routeKey) placeIn(z view.Zone) healthreport.Locality {
	return healthreport.Locality{Destination: k.destination, Zone: z}
}

func (r Route) key() routeKey { return routeKey{r.Destination, r.From} }

// Check returns the first thing that is wrong with a plan, naming the field.
func (p *Plan) Check() error {
	if p.Hold <= 0 || p.Hold > maxHold {
		return fmt.Errorf("plan: hold: %v is not between 0 and %v", p.Hold, maxHold)
	}
	if len(p.Routes) > MaxRoutes {
		return fmt.Errorf("plan: routes: %d are more than %d", len(p.Routes), MaxRoutes)
	}
	for i, r := range p.Routes {
		if i > 0 && p.Routes[i-1].key().compare(r.key()) >= 0 {
			return fmt.Errorf("plan: routes[%d]: out of order", i)
		}
		if err := r.check(); err != nil {
			return fmt.Errorf("plan: routes[%d]: %w", i, err)
		}
	}
	return nil
}

func (r Route) check() error {
	total := r.NearShare
	if len(r.Shares) > maxShares {
		return fmt.Errorf("to: %d are more than %d", len(r.Shares), maxShares)
	}
	for _, s := range r.Shares {
		if !(s.Fraction >= 0) {
			return fmt.Errorf("to: zone %q: part %v", s.Zone, s.Fraction)
		}
		total += s.Fraction
	}
	switch {
	case !slices.Contains([]Phase{Diverted, Returning, Overloaded, Unrestricted}, r.Phase):
		return fmt.Errorf("phase: %q is none", r.Phase)
	case !(r.NearShare >= 0) || math.Abs(total-1) > 0.01:
		return fmt.Errorf("near and to: add up to %v", total)
	}
	return nil
}

// EncodedSize is the number of bytes of a plan as it travels.
func (p *Plan) EncodedSize() int {
	b, err := json.Marshal(p)
	if err != nil {
		return 0
	}
	return len(b)
}
