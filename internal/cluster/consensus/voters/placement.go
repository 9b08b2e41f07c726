package voters

// This file is how well a set of voters is spread over regions and zones.

import (
	"cmp"

	"flaxcove/internal/cluster/view"
)

// placedServer is a server with what decides how well it is placed.
type placedServer struct {
	ID
	zone   view.Zone
	region view.Region
	size   view.Size
}

// votersWithout are all voters but one. A voter that is not in the view has an empty zone and region.
func (p *planner) votersWithout(id ID) []placedServer {
	var rest []placedServer
	for _, v := range p.voters {
		if v.ID == id {
			continue
		}
		m, _ := p.View.Find(v.Name)
		rest = append(rest, placedServer{v.ID, m.Zone, m.Region, m.Size})
	}
	return rest
}

// cost is how badly votes are spread: pairs in the same region, pairs in the same zone, and votes of small processes,
// compared in this order. Less is better.
type cost struct{ sameRegion, sameZone, small int }

func (s cost) less(o cost) bool {
	return cmp.Or(cmp.Compare(s.sameRegion, o.sameRegion), cmp.Compare(s.sameZone, o.sameZone), cmp.Compare(s.small, o.small)) < 0
}

// placementCost is the cost of a set of voters.
func (p *planner) placementCost(all []placedServer) cost {
	var s cost
	for i, a := range all {
		if a.size == view.Small {
			s.small++
		}
		for _, b := range all[:i] {
			if a.region == b.region {
				s.sameRegion++
			}
			if a.zone == b.zone {
				s.sameZone++
			}
		}
	}
	return s
}
