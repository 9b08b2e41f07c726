package tree

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"flaxcove/internal/cluster/view"
)

// fleet returns members spread evenly over zones, and zones over regions. In each zone every third process is small.
func fleet(processes, zones, regions int) []view.Member {
	var all []view.Member
	for i := range processes {
		z := i % zones
		m := view.Member{Instance: view.Instance{Name: view.Name(fmt.Sprintf("p%04d", i)), Incarnation: 1}, Size: view.Large,
			Zone: view.Zone(fmt.Sprintf("z%02d", z)), Region: view.Region(fmt.Sprintf("r%d", z%regions))}
		if i/zones%3 == 1 {
			m.Size = view.Small
		}
		all = append(all, m)
	}
	return all
}

// checkInvariants checks the invariants of a tree: every present member reaches the one root in at most depth steps,
// parents and children agree, and no process has more than 3*MaxChildren children, which are MaxChildren for each of
// three roles.
func checkInvariants(t interface{ Fatalf(string, ...any) }, tr *Tree, members []view.Member, depth int) {
	present := 0
	for _, m := range members {
		if !m.Present() {
			if _, has := tr.Parent(m.Name); has {
				t.Fatalf("%s is not present but has a parent", m.Name)
			}
			continue
		}
		present++
		p, steps := m.Name, 0
		for p != tr.Root() {
			parent, has := tr.Parent(p)
			if !has || steps > depth {
				t.Fatalf("%s does not reach the root %s: it is at %s after %d steps, limit is %d", m.Name, tr.Root(), p, steps, depth)
			}
			p, steps = parent, steps+1
		}
	}
	reporting := 0
	for _, m := range members {
		children := tr.Children(m.Name)
		reporting += len(children)
		if len(children) > 3*MaxChildren {
			t.Fatalf("%s has %d children, limit is %d", m.Name, len(children), 3*MaxChildren)
		}
		for _, c := range children {
			if parent, _ := tr.Parent(c); parent != m.Name {
				t.Fatalf("%s is a child of %s but its parent is %s", c, m.Name, parent)
			}
		}
	}
	if present > 0 && reporting != present-1 {
		t.Fatalf("of %d present members %d have a parent, want all but one", present, reporting)
	}
}

// TestInvariantsAndOrderIndependence checks for random members that the tree has its invariants, does not depend on the
// order of the members, and has no small process as the coordinator of a zone with a large one.
func TestInvariantsAndOrderIndependence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) view.Member {
			z := rapid.IntRange(0, 5).Draw(t, "zone")
			return view.Member{
				Instance: view.Instance{Name: view.Name(fmt.Sprintf("p%d", rapid.IntRange(0, 400).Draw(t, "name")))},
				Zone:     view.Zone(fmt.Sprintf("z%d", z)),
				Region:   view.Region(fmt.Sprintf("r%d", z%3+rapid.IntRange(0, 20).Draw(t, "slip")/20)),
				Size:     rapid.SampledFrom([]view.Size{view.Large, view.Small}).Draw(t, "size"),
				State:    rapid.SampledFrom([]view.State{view.Alive, view.Suspected, view.Left, view.Dead}).Draw(t, "state"),
			}
		}), 0, 120, func(m view.Member) view.Name { return m.Name }).Draw(t, "members")
		tr := Derive(view.New("p0", 1, members))
		checkInvariants(t, tr, members, 5)
		shuffled := rapid.Permutation(members).Draw(t, "order")
		other := Derive(&view.View{Self: "p1", Version: 9, Members: shuffled})
		if d := cmp.Diff(tr, other, cmp.AllowUnexported(Tree{})); d != "" {
			t.Fatalf("the tree depends on the order of the members: %s", d)
		}
		for _, m := range members {
			isCoordinator := tr.ZoneCoordinator(m.Zone) == m.Name
			if !m.Present() || !isCoordinator || m.Size == view.Large {
				continue
			}
			for _, o := range members {
				if o.Present() && o.Zone == m.Zone && o.Size == view.Large {
					t.Fatalf("small process %s is the coordinator of zone %s, which has the large process %s", m.Name, m.Zone, o.Name)
				}
			}
		}
	})
}

// TestCoordinatorsBelongToTheirGroups checks that the coordinator of a region is the coordinator of one of its zones,
// that those of the region's other zones report to it, and that it reports to the root.
func TestCoordinatorsBelongToTheirGroups(t *testing.T) {
	tr := Derive(view.New("", 1, fleet(300, 12, 4)))
	for _, r := range tr.Regions() {
		among := false
		for _, z := range tr.Zones(r) {
			among = among || tr.ZoneCoordinator(z) == tr.RegionCoordinator(r)
			if parent, _ := tr.Parent(tr.ZoneCoordinator(z)); tr.ZoneCoordinator(z) != tr.RegionCoordinator(r) && parent != tr.RegionCoordinator(r) {
				t.Errorf("the coordinator of zone %s reports to %s, not to the coordinator of region %s", z, parent, r)
			}
			if tr.Region(z) != r {
				t.Errorf("zone %s of region %s has region %s", z, r, tr.Region(z))
			}
		}
		if parent, _ := tr.Parent(tr.RegionCoordinator(r)); !among || (tr.RegionCoordinator(r) != tr.Root() && parent != tr.Root()) {
			t.Errorf("the coordinator of region %s, %s, is not that of a zone or reports to %s instead of the root", r, tr.RegionCoordinator(r), parent)
		}
	}
}

// TestDepartureMovesOnlyItsChildren checks that if one of 300 members leaves, only its children get another parent. The
// zones are small enough not to be divided into groups.
func TestDepartureMovesOnlyItsChildren(t *testing.T) {
	all := fleet(300, 12, 4)
	before := Derive(view.New("", 1, all))
	for i, gone := range all {
		rest := append(append([]view.Member{}, all[:i]...), all[i+1:]...)
		after := Derive(view.New("", 2, rest))
		for _, m := range rest {
			was, _ := before.Parent(m.Name)
			is, _ := after.Parent(m.Name)
			if was != is && was != gone.Name && !(was == "" && gone.Name == before.Root()) {
				t.Errorf("after %s left, %s reports to %s instead of %s", gone.Name, m.Name, is, was)
			}
		}
	}
}

// TestMaxChildrenAtSize checks the number of children and the depth of the tree in clusters of up to 3,000 members, and
// how many members get another parent when one without children leaves.
func TestMaxChildrenAtSize(t *testing.T) {
	for _, c := range []struct{ processes, zones, regions, maxChildren, depth int }{
		{1000, 12, 4, MaxChildren, 4}, {1000, 1, 1, MaxChildren, 3}, {1000, 200, 2, 2 * MaxChildren, 6}, {3000, 3, 3, 2 * MaxChildren, 6}, {1, 1, 1, 0, 0},
	} {
		all := fleet(c.processes, c.zones, c.regions)
		rand.New(rand.NewPCG(1, 2)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		tr := Derive(view.New("", 1, all))
		checkInvariants(t, tr, all, c.depth)
		for _, m := range all {
			if n := len(tr.Children(m.Name)); n > c.maxChildren {
				t.Errorf("%+v: %s has %d children", c, m.Name, n)
			}
		}
		// The departure of a member without children moves no other member, except if its group then needs one level
		// less: in that case it may move the members of that group.
		for i, gone := range all {
			if i > 20 || len(tr.Children(gone.Name)) > 0 || c.processes == 1 {
				continue
			}
			moved := 0
			after := Derive(view.New("", 2, append(append([]view.Member{}, all[:i]...), all[i+1:]...)))
			for _, m := range all {
				was, _ := tr.Parent(m.Name)
				if is, _ := after.Parent(m.Name); m.Name != gone.Name && is != was {
					moved++
				}
			}
			if moved > MaxChildren {
				t.Errorf("%+v: after %s left, %d others have another parent, limit is %d", c, gone.Name, moved, MaxChildren)
			}
		}
	}
}

// TestEmptyViews checks that the tree of a view without present members has no root and no regions.
func TestEmptyViews(t *testing.T) {
	dead := view.New("a", 1, []view.Member{{Instance: view.Instance{Name: "a"}, State: view.Dead}})
	for _, v := range []*view.View{nil, {}, dead} {
		if tr := Derive(v); tr.Root() != "" || len(tr.Regions()) != 0 {
			t.Errorf("%v: root %q, regions %v, want none", v, tr.Root(), tr.Regions())
		}
	}
}

func BenchmarkDerive(b *testing.B) {
	v := view.New("", 1, fleet(1000, 12, 4))
	for b.Loop() {
		Derive(v)
	}
}
