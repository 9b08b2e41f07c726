package routes

import (
	"cmp"
	"slices"

	"flaxcove/choice"
)

// Allowed is an endpoint that a message may go to now. Its JSON form is printed by `routes explain --json`.
type Allowed struct {
	Endpoint choice.EndpointID
	Weight   float64 // above 0; the endpoint's share is its weight divided by the sum over all allowed endpoints
}

// Route says which endpoints a message may go to, and which rule and override decided that.
type Route struct {
	Rule       string           // name of the matching rule; "" if none matches
	Sets       int              // number of open sets of the rule
	StickyBy   OverrideID       // the sticky override in effect; "" if there is none
	Allowed    []Allowed        // sorted by endpoint; empty if no endpoint is allowed now
	NoEndpoint NoEndpointPolicy // what happens to the message if Allowed is empty
}

// Resolve returns the route of a message. The first matching rule selects endpoints; if no rule matches, all endpoints
// of the destination are selected with the same weight. A sticky override replaces this selection. Endpoints that are
// draining, gone or out of service are left out. Resolve never adds other endpoints: if none is left, the rule's
// NoEndpointPolicy applies. The endpoints may be in any order; those of other destinations are ignored.
func Resolve(t *Table, o *Overrides, m *Message, endpoints []Endpoint) Route {
	r := Route{}
	sets := []Set{{Targets: []Target{{Weight: 1}}}} // without a rule all endpoints are allowed with the same weight
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
			// A sticky override takes precedence over the rule, because it states what an operator wants now.
			named, weight = slices.Contains(effect.stickyTo, e.ID) && e.Destination == m.Destination, 1
		}
		if named && weight > 0 && effect.inService(e) {
			r.Allowed = append(r.Allowed, Allowed{e.ID, weight})
		}
	}
	slices.SortFunc(r.Allowed, func(a, b Allowed) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return r
}

// openSets opens sets in order. It opens a set only if the fraction of ready endpoints in the open sets before it is
// less than the set's Under, or if those sets select no endpoints. It returns the weights of the endpoints that the open
// sets select, including those that are not in service, and the number of open sets.
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
