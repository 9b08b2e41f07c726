package plan

import (
	"slices"

	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/view"
)

// zoneTiers groups the zones with endpoints of a destination by their distance from one sending zone.
type zoneTiers struct {
	home   []view.Zone    // where messages go without failures
	others [2][]view.Zone // other zones of the same region; zones of other regions
}

// tiersFor returns the tiers for a route. It caches them until localities or zones change, since a leader asks for them
// thousands of times per tick.
func (p *Planner) tiersFor(k routeKey) zoneTiers {
	t, found := p.tiers[k]
	if !found {
		t = p.buildTiers(k)
		p.tiers[k] = t
	}
	return t
}

// buildTiers computes the tiers for a route. The nearest tier that is not empty becomes the home.
func (p *Planner) buildTiers(k routeKey) (t zoneTiers) {
	region, known := p.regions[k.from]
	for _, z := range p.listedZones[k.destination] {
		switch r, ok := p.regions[z]; {
		case z == k.from:
			t.home = append(t.home, z)
		case known && ok && r == region:
			t.others[0] = append(t.others[0], z)
		default:
			t.others[1] = append(t.others[1], z)
		}
	}
	for i := range t.others {
		if t.home == nil {
			t.home, t.others[i] = t.others[i], nil
		}
	}
	return t
}

// rebuildIndex recomputes which zones list which destination if that may have changed, and deletes localities that were
// not updated for localityTTL.
func (p *Planner) rebuildIndex(now view.Uptime) {
	if !p.indexStale && now-p.indexedAt < localityTTL/10 {
		return
	}
	p.indexStale, p.indexedAt = false, now
	clear(p.listedZones)
	clear(p.tiers)
	for at, locality := range p.localities {
		if now-locality.updatedAt > localityTTL {
			delete(p.localities, at)
			continue
		}
		if locality.listed() {
			p.listedZones[at.Destination] = append(p.listedZones[at.Destination], at.Zone)
		}
	}
	for _, zones := range p.listedZones {
		slices.Sort(zones)
	}
}

// listed reports whether the locality has endpoints, or receives calls.
func (l *localityState) listed() bool { return l.Endpoints > 0 || len(l.ByZone) > 0 }

// stateSeenBy returns the state and the success share of the route's destination in zone z as seen from the route's
// sending zone. The state is Unknown if the last health update did not include the locality.
func (p *Planner) stateSeenBy(k routeKey, z view.Zone) (assess.State, float64) {
	locality := p.localities[k.localityIn(z)]
	if locality == nil || locality.updatedAt != p.assessedAt {
		return assess.Unknown, 1
	}
	return locality.StateFrom(k.from)
}
