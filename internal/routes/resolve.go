package routes

import (
	"cmp"
	"slices"

	"flaxcove/choice"
)

// Allowed is one endpoint that a message may use now.
type Allowed struct {
	Endpoint choice.EndpointID
	Weight   float64 // above 0; shares follow from the weights of all that are allowed
}

// Route is where a message may go, and why.
type Route struct {
	Rule       string     // "" where none matched
	Sets       int        // how many of the rule's sets are open
	StickyBy   OverrideID // of the override that makes the message sticky; "" for none
	Allowed    []Allowed  // sorted by endpoint; empty where it may go nowhere now
	NoEndpoint NoEndpointPolicy
}

// Resolve returns where a message may go: the first rule that matches names the endpoints, overrides narrow them, and what
// is draining, gone or out of service is left out. It is never widened: where nothing is left the message waits or is handed
// back, as its rule says. Endpoints are those of the message's destination, in any order.
func Resolve(t *Table, o *Overrides, m *Message, endpoints []Endpoint) Route {
	r := Route{}
	sets := []Set{{Targets: []Target{{Weight: 1}}}} // without a rule all endpoints are allowed alike
	if rule := t.Rule(m); rule != nil {
		r.Rule, r.NoEndpoint, sets = rule.Name, rule.NoEndpoint, rule.Sets
	}
	effect := o.effectOn(m)
	r.StickyBy = effect.stickyBy
	var weights map[choice.EndpointID]float64
	weights, r.Sets = openSets(sets, &effect, m, endpoints)
	for i := range endpoints {
		e := &endpoints[i]
		weight, named := weights[e.ID]
		if r.StickyBy != "" {
			// A sticky override goes before the rule: it is what an operator wants now.
			named, weight = slices.Contains(effect.stickyTo, e.ID) && e.Destination == m.Destination, 1
		}
		if named && weight > 0 && effect.inService(e) {
			r.Allowed = append(r.Allowed, Allowed{e.ID, weight})
		}
	}
	slices.SortFunc(r.Allowed, func(a, b Allowed) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return r
}

// openSets opens sets in order, each while too few endpoints of those before it are ready. It returns the weights of the
// endpoints that the open sets name and how many sets are open.
func openSets(sets []Set, effect *overrideEffect, m *Message, endpoints []Endpoint) (weights map[choice.EndpointID]float64, open int) {
	weights = map[choice.EndpointID]float64{}
	ready := 0
	for i := range sets {
		if i > 0 && len(weights) > 0 && float64(ready) >= sets[i].Under*float64(len(weights)) {
			continue
		}
		open++
		for j := range endpoints {
			e := &endpoints[j]
			if _, named := weights[e.ID]; named || e.Destination != m.Destination {
				continue
			}
			target := slices.IndexFunc(sets[i].Targets, func(t Target) bool { return t.matches(e) })
			if target < 0 {
				continue
			}
			weight, overridden := effect.weights[e.ID]
			if !overridden {
				weight = sets[i].Targets[target].Weight
			}
			weights[e.ID] = weight
			if weight > 0 && effect.inService(e) {
				ready++
			}
		}
	}
	return weights, open
}
