// Package tree derives who reports to whom: fleet > region > zone > process, from who is here and nothing else.
//
// It owns no clock, socket, lock or memory of earlier views: every process with the same members derives the same
// tree, whatever the order in which it heard of them, so that a coordinator is replaced without an election. It must
// never count one that is not here, give a process two parents, or make a small process coordinate where a large one
// could. Two processes with different views may disagree for as long as these differ: who sends up or down must bear
// being sent to one that does not take itself for a coordinator.
package tree

import (
	"cmp"
	"maps"
	"slices"

	"flaxcove/internal/cluster/view"
)

// Fan is the most processes that report to one process in one of its roles. A coordinator of a zone may be that of
// its region and of the fleet as well, with this many in each. A power of two: groups are halved, never dealt anew.
// At the aim of 2 KB/s a process a digest of 100 bytes twice a second from each of 32 is 6.4 KB/s at the busiest.
const Fan = 32

// Tree is who reports to whom. Immutable.
type Tree struct {
	root      view.Name
	parents   map[view.Name]view.Name
	children  map[view.Name][]view.Name
	heads     map[view.Zone]view.Name
	regional  map[view.Region]view.Name
	regionOf  map[view.Zone]view.Region
	zones     map[view.Region][]view.Zone
	processes map[view.Zone][]view.Name
}

// node is one process as a candidate: under is what it stands for when its group's coordinator is drawn (a process
// for itself, a zone's head for its zone), so that a new head of another zone never unseats a region's.
type node struct {
	name  view.Name
	under string
	large bool
}

// Derive builds the tree of a view. A nil or empty view gives a tree without a root.
func Derive(v *view.View) *Tree {
	t := &Tree{
		parents: map[view.Name]view.Name{}, children: map[view.Name][]view.Name{}, heads: map[view.Zone]view.Name{},
		regional: map[view.Region]view.Name{}, regionOf: map[view.Zone]view.Region{},
		zones: map[view.Region][]view.Zone{}, processes: map[view.Zone][]view.Name{},
	}
	here := present(v)
	t.place(here)
	large := map[view.Name]bool{}
	for _, m := range here {
		large[m.Name] = m.Size != view.Small
	}
	var tops []node
	for _, r := range t.Regions() {
		var firsts []node
		for _, z := range t.zones[r] {
			var all []node
			for _, p := range t.processes[z] {
				all = append(all, node{p, string(p), large[p]})
			}
			head := first("zone", string(z), all)
			t.heads[z] = head.name
			t.gather("zone\x00"+string(z), head, all)
			firsts = append(firsts, node{head.name, string(z), head.large})
		}
		head := first("region", string(r), firsts)
		t.regional[r] = head.name
		t.gather("region\x00"+string(r), head, firsts)
		tops = append(tops, node{head.name, string(r), head.large})
	}
	if len(tops) > 0 {
		head := first("fleet", "", tops)
		t.root = head.name
		t.gather("fleet", head, tops)
	}
	for _, list := range t.children {
		slices.Sort(list)
	}
	return t
}

// present are the members that are here, by name, each once.
func present(v *view.View) []view.Member {
	if v == nil {
		return nil
	}
	here := slices.DeleteFunc(slices.Clone(v.Members), func(m view.Member) bool { return !m.Here() })
	slices.SortFunc(here, func(a, b view.Member) int {
		// Two lives of one name do not come from a roster; if they come, the later counts.
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(b.Incarnation, a.Incarnation), cmp.Compare(a.Zone, b.Zone))
	})
	return slices.CompactFunc(here, func(a, b view.Member) bool { return a.Name == b.Name })
}

// place puts processes into zones and zones into regions. Members of one zone that tell different regions are put
// where most of them say: a slip in one process's settings must not split its zone.
func (t *Tree) place(here []view.Member) {
	told := map[view.Zone]map[view.Region]int{}
	for _, m := range here {
		t.processes[m.Zone] = append(t.processes[m.Zone], m.Name)
		if told[m.Zone] == nil {
			told[m.Zone] = map[view.Region]int{}
		}
		told[m.Zone][m.Region]++
	}
	for _, z := range slices.Sorted(maps.Keys(told)) {
		regions := slices.SortedFunc(maps.Keys(told[z]), func(a, b view.Region) int {
			return cmp.Or(cmp.Compare(told[z][b], told[z][a]), cmp.Compare(a, b))
		})
		t.regionOf[z] = regions[0]
		t.zones[regions[0]] = append(t.zones[regions[0]], z)
	}
}

// Parent is whom p reports to; false at the root and for a process that is not here.
func (t *Tree) Parent(p view.Name) (view.Name, bool) {
	parent, has := t.parents[p]
	return parent, has
}

// Children are those who report to p, sorted.
func (t *Tree) Children(p view.Name) []view.Name { return slices.Clone(t.children[p]) }

// Root is the fleet's coordinator; "" when nobody is here.
func (t *Tree) Root() view.Name { return t.root }

// ZoneHead is a zone's coordinator; "" for a zone where nobody is.
func (t *Tree) ZoneHead(z view.Zone) view.Name { return t.heads[z] }

// RegionHead is a region's coordinator, one of its zones' heads; "" for a region where nobody is.
func (t *Tree) RegionHead(r view.Region) view.Name { return t.regional[r] }

// Regions are the regions in which somebody is, sorted.
func (t *Tree) Regions() []view.Region { return slices.Sorted(maps.Keys(t.zones)) }

// Zones are the zones of a region in which somebody is, sorted.
func (t *Tree) Zones(r view.Region) []view.Zone { return slices.Clone(t.zones[r]) }

// Processes are those here in a zone, sorted.
func (t *Tree) Processes(z view.Zone) []view.Name { return slices.Clone(t.processes[z]) }

// Region is where a zone lies; "" for a zone where nobody is.
func (t *Tree) Region(z view.Zone) view.Region { return t.regionOf[z] }
