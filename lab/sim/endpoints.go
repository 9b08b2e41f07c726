package sim

// This file applies updates of the endpoint list.

import (
	"cmp"
	"slices"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

// updateEndpoints applies an update of the endpoint list and passes it to the policy.
func (n *node) updateEndpoints(l world.List) {
	n.whenRunning(func() {
		if l.Full {
			for _, e := range n.endpoints {
				e.gone = true
			}
		}
		entries := make([]choice.Entry, 0, len(l.Entries))
		for _, entry := range l.Entries {
			entries = append(entries, n.updateEndpoint(entry))
		}
		n.closeIdleLinksOfGone()
		n.policy.UpdateEndpoints(entries, l.Full)
		n.scheduleTick()
	})
}

// updateEndpoint applies one entry of an update and returns it converted for the policy.
func (n *node) updateEndpoint(entry world.ListEntry) choice.Entry {
	listed := entry.Endpoint
	e := n.endpoints[listed.ID]
	if e == nil {
		e = &endpoint{id: listed.ID}
		n.endpoints[e.id] = e
	}
	if e.addr != entry.Address {
		n.closeIdleLinks(e)
		e.addr = entry.Address
	}
	e.gone = entry.Stage == choice.Gone
	e.zone = choice.ZoneNo(listed.Zone)
	return choice.Entry{Endpoint: listed.ID, Destination: choice.DestinationID(listed.Partner.No),
		Kind: choice.KindNo(listed.Partner.KindNo), Zone: choice.ZoneNo(listed.Zone), Rating: n.e.w.Rating(listed), Stage: entry.Stage,
		Impairment: n.takeImpairment(listed.ID), Unproven: n.unproven(choice.DestinationID(listed.Partner.No))}
}

// closeIdleLinksOfGone closes the idle links to endpoints that are off the list, in the order of the endpoints' ids, so that
// the order does not depend on the map.
func (n *node) closeIdleLinksOfGone() {
	var gone []*endpoint
	for _, e := range n.endpoints {
		if e.gone && len(e.idle) > 0 {
			gone = append(gone, e)
		}
	}
	slices.SortFunc(gone, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	for _, e := range gone {
		n.closeIdleLinks(e)
	}
}
