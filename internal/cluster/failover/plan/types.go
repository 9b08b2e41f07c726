// Package plan makes the routing plan. For each destination and each zone of senders, a plan says which share of the
// messages goes to which zone.
//
// Without failures, messages go to their home zones, also called near: the sender's own zone if an endpoint is listed
// there, otherwise the other zones of its region, otherwise all zones. A plan lists only the exceptions, called routes.
//
// The Planner (planner.go) is a state machine that the consensus leader runs. It combines the phases of a route
// (route.go), the capacity of localities (capacity.go), the demand of zones (demand.go), the tiers of zones around a
// sender (tiers.go), and the assignment of demand to capacity (share.go). A locality is the endpoints of one
// destination in one zone. InForce (inforce.go) is the state machine that the consensus group replicates. It accepts
// one plan for each epoch, so that all processes follow the same sequence of plans.
//
// The package is pure: it reads no clock and starts no goroutine. A plan never assigns a receiver more than its
// capacity, diverts a route again only after its return delay, and moves no message while no zone is healthy.
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

// Share is the fraction of a route's messages that goes to one zone.
type Share struct {
	Zone     view.Zone `json:"z"`
	Fraction float64   `json:"p"`
}

// Phase says why not all messages of a route go near.
type Phase string

const (
	Diverted     Phase = "away"   // near is failing; messages go to other zones as far as these have capacity
	Returning    Phase = "return" // near is healthy again and receives a share that grows in steps
	Overloaded   Phase = "over"   // near lacks capacity for all messages
	Unrestricted Phase = "free"   // no zone is healthy; package choice alone decides

	steady Phase = "" // all messages go near; a plan contains no such route
)

// Route says where the messages from one zone to one destination go while not all of them go near.
type Route struct {
	Destination choice.DestinationID `json:"d"`
	From        view.Zone            `json:"from"`
	Phase       Phase                `json:"phase"`
	NearShare   float64              `json:"near"`             // share that goes near: trial calls, and messages that no other zone has capacity for
	Shares      []Share              `json:"to,omitempty"`     // other zones, nearest first; the fractions add up to 1-NearShare
	HomeZones   []view.Zone          `json:"home,omitempty"`   // empty if From is the only home zone
	Step        int                  `json:"step,omitempty"`   // index into Settings.Steps if Returning
	Diversions  int                  `json:"turns,omitempty"`  // number of recent diversions; each but one doubles the return delay
	Outage      time.Duration        `json:"outage,omitempty"` // duration of the last outage of near
}

// Plan is the routing plan that all processes follow. Messages from a zone to a destination without a route go to their
// home zones. At each process the plan expires TTL after its last renewal, by the process's own clock; the age of the
// renewal is sent along with it.
type Plan struct {
	Epoch   view.Epoch                `json:"epoch"` // that of the preceding plan plus 1
	TTL     time.Duration             `json:"hold"`
	Regions map[view.Zone]view.Region `json:"regions"`          // all known zones
	Routes  []Route                   `json:"routes,omitempty"` // sorted by destination and zone
}

// Bounds of a plan. The consensus group accepts commands of up to 256 KB, and a route takes 100 to 200 bytes.
const (
	MaxRoutes    = 5000
	maxPlanBytes = 200 << 10 // encoded as JSON
	maxShares    = 16        // of a route
	maxTTL       = time.Minute
)

// Find returns the route for messages from a zone to a destination, or false if the plan has none.
func (p *Plan) Find(d choice.DestinationID, from view.Zone) (*Route, bool) {
	i, found := slices.BinarySearchFunc(p.Routes, routeKey{d, from}, func(r Route, k routeKey) int { return r.key().compare(k) })
	if !found {
		return nil, false
	}
	return &p.Routes[i], true
}

// routeKey identifies a route.
type routeKey struct {
	destination choice.DestinationID
	from        view.Zone
}

func (k routeKey) compare(o routeKey) int {
	return cmp.Or(cmp.Compare(k.destination, o.destination), cmp.Compare(k.from, o.from))
}

// localityIn returns the locality of the route's destination in a zone.
func (k routeKey) localityIn(z view.Zone) healthreport.Locality {
	return healthreport.Locality{Destination: k.destination, Zone: z}
}

func (r Route) key() routeKey { return routeKey{r.Destination, r.From} }

// Check returns an error that names the first invalid field, or nil if the plan is valid.
func (p *Plan) Check() error {
	if p.TTL <= 0 || p.TTL > maxTTL {
		return fmt.Errorf("plan: hold: %v is not above 0 and up to %v", p.TTL, maxTTL)
	}
	if len(p.Routes) > MaxRoutes {
		return fmt.Errorf("plan: routes: %d routes exceed the maximum of %d", len(p.Routes), MaxRoutes)
	}
	for i, r := range p.Routes {
		if i > 0 && p.Routes[i-1].key().compare(r.key()) >= 0 {
			return fmt.Errorf("plan: routes[%d]: not sorted after the previous route by destination and zone", i)
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
		return fmt.Errorf("to: %d shares exceed the maximum of %d", len(r.Shares), maxShares)
	}
	for _, s := range r.Shares {
		if !(s.Fraction >= 0) {
			return fmt.Errorf("to: zone %q: fraction %v is not 0 or more", s.Zone, s.Fraction)
		}
		total += s.Fraction
	}
	switch {
	case !slices.Contains([]Phase{Diverted, Returning, Overloaded, Unrestricted}, r.Phase):
		return fmt.Errorf("phase: %q is unknown", r.Phase)
	case !(r.NearShare >= 0) || math.Abs(total-1) > 0.01:
		return fmt.Errorf("near, to: shares add up to %v instead of 1, or near is negative", total)
	}
	return nil
}

// EncodedSize returns the number of bytes of the plan encoded as JSON.
func (p *Plan) EncodedSize() int {
	b, err := json.Marshal(p)
	if err != nil {
		return 0
	}
	return len(b)
}
