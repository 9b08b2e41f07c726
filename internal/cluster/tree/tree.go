// Package tree derives the reporting tree of a cluster (cluster > region > zone > process) from the present members and
// nothing else.
//
// It has no clock, socket, lock or memory of earlier views. All processes with the same members derive the same tree,
// in whatever order they learned of the members, so that a coordinator is replaced without an election. The tree must
// never include a member that is not present, give a process two parents, or have a small process as the coordinator of
// a zone, region or cluster that has a large one. Two processes may derive different trees while their views differ, so
// a process must accept reports even if it is not a coordinator in its own tree.
package tree

import (
	"cmp"
	"maps"
	"slices"

	"flaxcove/internal/cluster/view"
)

// MaxChildren is the maximum number of children of a process in one role. The coordinator of a zone may also be the
// coordinator of its region and of the cluster, with this many children in each role. It is a power of two, so that
// groups are split in halves and members are never redistributed among all groups. At 100 bytes twice a second from
// each of 32 children the busiest process receives 6.4 KB/s; the target is 2 KB/s for each process.
const MaxChildren = 32

// Tree is the reporting tree of a view: it holds the parent and the children of each present member. It is immutable.
type Tree struct {
	root               view.Name
	parents            map[view.Name]view.Name
	children           map[view.Name][]view.Name
	zoneCoordinators   map[view.Zone]view.Name
	regionCoordinators map[view.Region]view.Name
	regionOf           map[view.Zone]view.Region
	zones              map[view.Region][]view.Zone
	members            map[view.Zone][]view.Name
}

// candidate is a process that may become the coordinator of a group.
type candidate struct {
	name view.Name
	// key is the string that the candidate's rank is computed from: the name of the process in its zone, the name of
	// its zone if it is a zone's coordinator, and the name of its region if it is a region's coordinator. So a zone's
	// new coordinator does not change which zone provides the region's coordinator.
	key   string
	large bool
}

// Derive returns the tree of a view. The tree of a nil view, or of one without present members, has no root.
func Derive(v *view.View) *Tree {
	t := &Tree{
		parents: map[view.Name]view.Name{}, children: map[view.Name][]view.Name{}, zoneCoordinators: map[view.Zone]view.Name{},
		regionCoordinators: map[view.Region]view.Name{}, regionOf: map[view.Zone]view.Region{},
		zones: map[view.Region][]view.Zone{}, members: map[view.Zone][]view.Name{},
	}
	present := presentMembers(v)
	t.assignZones(present)
	large := map[view.Name]bool{}
	for _, m := range present {
		large[m.Name] = m.Size != view.Small
	}
	var regionCoordinators []candidate
	for _, region := range t.Regions() {
		regionCoordinators = append(regionCoordinators, t.deriveRegion(region, large))
	}
	if len(regionCoordinators) > 0 {
		coordinator := selectCoordinator("fleet", "", regionCoordinators)
		t.root = coordinator.name
		t.assignChildren("fleet", coordinator, regionCoordinators)
	}
	for _, children := range t.children {
		slices.Sort(children)
	}
	return t
}

// deriveRegion selects the coordinators of a region and of its zones, and assigns their children. It returns the
// region's coordinator as a candidate for the coordinator of the cluster.
func (t *Tree) deriveRegion(region view.Region, large map[view.Name]bool) candidate {
	var zoneCoordinators []candidate
	for _, zone := range t.zones[region] {
		zoneCoordinators = append(zoneCoordinators, t.deriveZone(zone, large))
	}
	coordinator := selectCoordinator("region", string(region), zoneCoordinators)
	t.regionCoordinators[region] = coordinator.name
	t.assignChildren("region\x00"+string(region), coordinator, zoneCoordinators)
	return candidate{coordinator.name, string(region), coordinator.large}
}

// deriveZone selects the coordinator of a zone and assigns its children. It returns the coordinator as a candidate for
// the coordinator of the region.
func (t *Tree) deriveZone(zone view.Zone, large map[view.Name]bool) candidate {
	var members []candidate
	for _, name := range t.members[zone] {
		members = append(members, candidate{name, string(name), large[name]})
	}
	coordinator := selectCoordinator("zone", string(zone), members)
	t.zoneCoordinators[zone] = coordinator.name
	t.assignChildren("zone\x00"+string(zone), coordinator, members)
	return candidate{coordinator.name, string(zone), coordinator.large}
}

// presentMembers returns the members that are present, sorted by name, each once.
func presentMembers(v *view.View) []view.Member {
	if v == nil {
		return nil
	}
	here := slices.DeleteFunc(slices.Clone(v.Members), func(m view.Member) bool { return !m.Present() })
	slices.SortFunc(here, func(a, b view.Member) int {
		// A roster holds one incarnation of a name. If a view has several, the latest is used.
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(b.Incarnation, a.Incarnation), cmp.Compare(a.Zone, b.Zone))
	})
	return slices.CompactFunc(here, func(a, b view.Member) bool { return a.Name == b.Name })
}

// assignZones assigns processes to zones and zones to regions. If members of one zone announce different regions, the
// zone belongs to the one that most of them announce, so that a mistake in one process's settings does not split a
// zone.
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

// Parent returns the process that p reports to; false for the root and for a process that is not present.
func (t *Tree) Parent(p view.Name) (view.Name, bool) {
	parent, has := t.parents[p]
	return parent, has
}

// Children returns the processes that report to p, sorted.
func (t *Tree) Children(p view.Name) []view.Name { return slices.Clone(t.children[p]) }

// Root returns the cluster's coordinator; "" if no member is present.
func (t *Tree) Root() view.Name { return t.root }

// ZoneCoordinator returns the coordinator of a zone; "" if no member of it is present.
func (t *Tree) ZoneCoordinator(z view.Zone) view.Name { return t.zoneCoordinators[z] }

// RegionCoordinator returns the coordinator of a region, which also coordinates one of its zones; "" if no member of
// the region is present.
func (t *Tree) RegionCoordinator(r view.Region) view.Name { return t.regionCoordinators[r] }

// Regions returns the regions with present members, sorted.
func (t *Tree) Regions() []view.Region { return slices.Sorted(maps.Keys(t.zones)) }

// Zones returns the zones of a region that have present members, sorted.
func (t *Tree) Zones(r view.Region) []view.Zone { return slices.Clone(t.zones[r]) }

// Processes returns the present members of a zone, sorted.
func (t *Tree) Processes(z view.Zone) []view.Name { return slices.Clone(t.members[z]) }

// Region returns the region of a zone; "" if no member of the zone is present.
func (t *Tree) Region(z view.Zone) view.Region { return t.regionOf[z] }
