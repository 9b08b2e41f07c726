package plan

import (
	"slices"

	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/view"
)

// zoneTiers are the zones that list a destination, as seen from one zone.
type zoneTiers struct {
	home   []view.Zone    // where messages go while all is well
	others [2][]view.Zone // the rest of the region, and the zones beyond
}

// tiersFor caches the tiers until places or zones change: a leader asks for them thousands of times a turn.
func (p *Planner) tiersFor(k routeKey) zoneTiers {
	t, found := p.tiers[k]
	if !found {
		t = p.buildTiers(k)
		p.tiers[k] = t
	}
	return t
}

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

// rebuildIndex finds anew which zones list which destination, if that changed, and forgets places not seen for long.
func (p *Planner) rebuildIndex(now view.Uptime) {
	if !p.indexStale && now-p.indexedAt < forgetAfter/10 {
		return
	}
	p.indexStale, p.indexedAt = false, now
	clear(p.listedZones)
	clear(p.tiers)
	for at, pl := range p.places {
		if now-pl.seenAt > forgetAfter {
			delete(p.places, at)
			continue
		}
		if pl.listed() {
			p.listedZones[at.Destination] = append(p.listedZones[at.Destination], at.Zone)
		}
	}
	for _, zones := range p.listedZones {
		slices.Sort(zones)
	}
}

func (p *place) listed() bool { return p.Endpoints > 0 || len(p.ByZone) > 0 }

// stateSeenBy is the state in which the sending zone of a key sees its destination in zone z; Unknown if nobody
// reported on it lately.
func (p *Planner) stateSeenBy(k routeKey, z view.Zone) (assess.State, float64) {
	pl := p.places[k.placeIn(z)]
	if pl == nil || pl.seenAt != p.assessedAt {
		return assess.Unknown, 1
	}
	return pl.StateFrom(k.from)
}
