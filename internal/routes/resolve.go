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
	Rule    string // "" where none matched
	Sets    int    // how many of the rule's sets are open
	Pin     OverrideID
	Allowed []Allowed // sorted by endpoint; empty where it may go nowhere now
	Nowhere Nowhere   // what becomes of it then
}

// Resolve tells where a message may go: the first rule that matches names the endpoints, overrides narrow them, and what is
// drained, gone or out of service is left out. It is never widened: where nothing is left the message waits or is handed
// back, as its rule says. Endpoints are those of the message's destination, in any order.
func Resolve(t *Table, o *Overrides, n *Message, endpoints []Endpoint) Route {
	r := Route{}
	all := []Set{{Targets: []Target{{Weight: 1}}}}
	if rule := t.Rule(n); rule != nil {
		r.Rule, r.Nowhere, all = rule.Name, rule.Nowhere, rule.Sets
	}
	var out, sticky []choice.EndpointID
	weights := map[choice.EndpointID]float64{}
	for i := range o.standing {
		v := &o.standing[i].Override
		if v.Destination != n.Destination || v.Class != "" && v.Class != n.Class {
			continue
		}
		switch v.Kind {
		case Out:
			out = append(out, v.Endpoints...)
		case Pin:
			if r.Pin == "" && !allIn(v.Endpoints, out) {
				r.Pin, sticky = v.ID, v.Endpoints
			}
		case Weight:
			if _, set := weights[v.Endpoints[0]]; !set {
				weights[v.Endpoints[0]] = v.Weight
			}
		}
	}
	weighs := map[choice.EndpointID]float64{} // what the sets that are open name
	ready, named := 0, 0
	for i := range all {
		if i > 0 && named > 0 && float64(ready) >= all[i].Under*float64(named) {
			continue
		}
		r.Sets++
		for j := range endpoints {
			e := &endpoints[j]
			if _, is := weighs[e.ID]; is || e.Destination != n.Destination {
				continue
			}
			k := slices.IndexFunc(all[i].Targets, func(t Target) bool { return t.names(e) })
			if k < 0 {
				continue
			}
			weighs[e.ID] = all[i].Targets[k].Weight
			if set, has := weights[e.ID]; has {
				weighs[e.ID] = set
			}
			named++
			if e.Ready && !slices.Contains(out, e.ID) && weighs[e.ID] > 0 {
				ready++
			}
		}
	}
	for j := range endpoints {
		e := &endpoints[j]
		w, is := weighs[e.ID]
		if r.Pin != "" {
			// A pin goes before the rule: it is what an operator wants now.
			is, w = slices.Contains(sticky, e.ID) && e.Destination == n.Destination, 1
		}
		if is && w > 0 && e.Ready && !slices.Contains(out, e.ID) {
			r.Allowed = append(r.Allowed, Allowed{e.ID, w})
		}
	}
	slices.SortFunc(r.Allowed, func(a, b Allowed) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return r
}

func allIn(some, all []choice.EndpointID) bool {
	return !slices.ContainsFunc(some, func(id choice.EndpointID) bool { return !slices.Contains(all, id) })
}
