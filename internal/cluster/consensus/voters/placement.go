package voters

// This file rates how well a set of voters is distributed over regions and zones.

import (
	"cmp"

	"flaxcove/internal/cluster/view"
)

// placedServer is a server with the properties that the placement of voters depends on.
type placedServer struct {
	ID
	zone   view.Zone
	region view.Region
	size   view.Size
}

// votersWithout returns all voters except one; with the zero ID it returns all. A voter that is not in the view has an
// empty zone and region.
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

// cost rates the placement of a set of voters; lower is better. Its fields are the number of pairs of voters in the
// same region, the number of pairs in the same zone, and the number of voters on small processes. They are compared in
// this order.
type cost struct{ sameRegion, sameZone, small int }

// less reports whether s is the better (lower) cost.
func (s cost) less(o cost) bool {
	return cmp.Or(cmp.Compare(s.sameRegion, o.sameRegion), cmp.Compare(s.sameZone, o.sameZone), cmp.Compare(s.small, o.small)) < 0
}

// placementCost returns the cost of a set of voters.
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
