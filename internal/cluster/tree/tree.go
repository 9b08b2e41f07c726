// Package tree derives who reports to whom (fleet > region > zone > process) from the present members and nothing else.
//
// It has no clock, socket, lock or memory of earlier views: every process with the same members derives the same tree,
// in whatever order it learnt of them, so that a coordinator is replaced without an election. It must never include a
// member that is not present, give a process two parents, or make a small process a coordinator where a large one could
// be. Two processes may disagree while their views differ: a process must accept reports even if it does not consider
// itself a coordinator.
package tree

import (
	"cmp"
	"maps"
	"slices"

	"flaxcove/internal/cluster/view"
)

// Fan is the maximum number of children of a process in one of its roles. A coordinator of a zone may also be that of
// its region and of the fleet, with this many children in each role. It is a power of two, so that groups are halved and
// never redistributed. At 100 bytes twice a second from each of 32 children the busiest process receives 6.4 KB/s, where
// the target is 2 KB/s for each process.
const Fan = 32

// Tree holds who reports to whom. Immutable.
type Tree struct {
	root        view.Name
	parents     map[view.Name]view.Name
	children    map[view.Name][]view.Name
	zoneHeads   map[view.Zone]view.Name
	regionHeads map[view.Region]view.Name
	regionOf    map[view.Zone]view.Region
	zones       map[view.Region][]view.Zone
	members     map[view.Zone][]view.Name
}

// candidate is a process that may become its group's coordinator.
type candidate struct {
	name view.Name
	// key is what the candidate is ranked by: a process by its own name, a zone's head by its zone's, a region's head by
	// its region's. So a new head of one zone never replaces the region's head of another.
	key   string
	large bool
}

// Derive builds the tree of a view. A nil or empty view gives a tree without a root.
func Derive(v *view.View) *Tree {
	t := &Tree{
		parents: map[view.Name]view.Name{}, children: map[view.Name][]view.Name{}, zoneHeads: map[view.Zone]view.Name{},
		regionHeads: map[view.Region]view.Name{}, regionOf: map[view.Zone]view.Region{},
		zones: map[view.Region][]view.Zone{}, members: map[view.Zone][]view.Name{},
	}
	present := presentMembers(v)
	t.assignZones(present)
	large := map[view.Name]bool{}
	for _, m := range present {
		large[m.Name] = m.Size != view.Small
	}
	var regionHeads []candidate
	for _, region := range t.Regions() {
		regionHeads = append(regionHeads, t.deriveRegion(region, large))
	}
	if len(regionHeads) > 0 {
		head := selectCoordinator("fleet", "", regionHeads)
		t.root = head.name
		t.assignChildren("fleet", head, regionHeads)
	}
	for _, children := range t.children {
		slices.Sort(children)
	}
	return t
}

// deriveRegion selects the heads of a region and of its zones, and returns the region's head as a candidate for the
// fleet's.
func (t *Tree) deriveRegion(region view.Region, large map[view.Name]bool) candidate {
	var zoneHeads []candidate
	for _, zone := range t.zones[region] {
		zoneHeads = append(zoneHeads, t.deriveZone(zone, large))
	}
	head := selectCoordinator("region", string(region), zoneHeads)
	t.regionHeads[region] = head.name
	t.assignChildren("region\x00"+string(region), head, zoneHeads)
	return candidate{head.name, string(region), head.large}
}

// deriveZone selects the head of a zone, and returns it as a candidate for the region's.
func (t *Tree) deriveZone(zone view.Zone, large map[view.Name]bool) candidate {
	var members []candidate
	for _, name := range t.members[zone] {
		members = append(members, candidate{name, string(name), large[name]})
	}
	head := selectCoordinator("zone", string(zone), members)
	t.zoneHeads[zone] = head.name
	t.assignChildren("zone\x00"+string(zone), head, members)
	return candidate{head.name, string(zone), head.large}
}

// presentMembers returns the members that are present, by name, each once.
func presentMembers(v *view.View) []view.Member {
	if v == nil {
		return nil
	}
	here := slices.DeleteFunc(slices.Clone(v.Members), func(m view.Member) bool { return !m.Present() })
	slices.SortFunc(here, func(a, b view.Member) int {
		// A roster holds one life of a name; should there be two, the later counts.
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(b.Incarnation, a.Incarnation), cmp.Compare(a.Zone, b.Zone))
	})
	return slices.CompactFunc(here, func(a, b view.Member) bool { return a.Name == b.Name })
}

// assignZones assigns processes to zones and zones to regions. Where members of one zone name different regions, the
// majority decides: a mistake in one process's settings must not split its zone.
func (t *Tree) assignZones(present []view.Member) {
	votes := map[view.Zone]map[view.Region]int{}
	for _, m := range present {
		t.members[m.Zone] = append(t.members[m.Zone], m.Name)
		if votes[m.Zone] == nil {
			votes[m.Zone] = map[view.Region]int{}
		}
		votes[m.Zone][m.Region]++
	}
	for _, z := range slices.Sorted(maps.Keys(votes)) {
		regions := slices.SortedFunc(maps.Keys(votes[z]), func(a, b view.Region) int {
			return cmp.Or(cmp.Compare(votes[z][b], votes[z][a]), cmp.Compare(a, b))
		})
		t.regionOf[z] = regions[0]
		t.zones[regions[0]] = append(t.zones[regions[0]], z)
	}
}

// Parent returns whom p reports to; false for the root and for a process that is not present.
func (t *Tree) Parent(p view.Name) (view.Name, bool) {
	parent, has := t.parents[p]
	return parent, has
}

// Children returns those who report to p, sorted.
func (t *Tree) Children(p view.Name) []view.Name { return slices.Clone(t.children[p]) }

// Root returns the fleet's coordinator; "" when no member is present.
func (t *Tree) Root() view.Name { return t.root }

// ZoneHead returns a zone's coordinator; "" for a zone without members.
func (t *Tree) ZoneHead(z view.Zone) view.Name { return t.zoneHeads[z] }

// RegionHead returns a region's coordinator, one of its zones' heads; "" for a region without members.
func (t *Tree) RegionHead(r view.Region) view.Name { return t.regionHeads[r] }

// Regions returns the regions with members, sorted.
func (t *Tree) Regions() []view.Region { return slices.Sorted(maps.Keys(t.zones)) }

// Zones returns the zones of a region with members, sorted.
func (t *Tree) Zones(r view.Region) []view.Zone { return slices.Clone(t.zones[r]) }

// Processes returns the present members of a zone, sorted.
func (t *Tree) Processes(z view.Zone) []view.Name { return slices.Clone(t.members[z]) }

// Region returns the region of a zone; "" for a zone without members.
func (t *Tree) Region(z view.Zone) view.Region { return t.regionOf[z] }
