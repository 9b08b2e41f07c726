package fleet

import (
	"testing"

	"flaxcove/internal/cluster/settings"
	"flaxcove/internal/cluster/view"
)

// TestPlan checks for fleets of the planned sizes that no region has a majority of the founders, that the real members coordinate
// nothing, and that the program accepts the cluster files.
func TestPlan(t *testing.T) {
	for _, size := range []Size{
		{Members: 660, Real: 8, Zones: 24, Regions: 3, Large: 3, Port: 12000, Uses: []string{"failover"}},
		{Members: 660, Real: 8, Zones: 8, Regions: 3, Large: 3, Port: 12000},
		{Members: 200, Real: 8, Zones: 8, Regions: 3, Large: 3, Port: 12000},
		{Members: 60, Real: 2, Zones: 24, Regions: 3, Large: 3, Port: 12000},
		{Members: 40, Real: 2, Zones: 8, Regions: 3, Large: 3, Port: 12000},
		{Members: 30, Real: 30, Zones: 6, Regions: 3, Large: 3, Port: 12000},
		{Members: 30, Real: 5, Zones: 6, Regions: 3, Large: 3, Port: 12000},
	} {
		f := Plan(size)
		if real := f.RealMembers(); len(real) != size.Real {
			t.Errorf("%+v: %d members are real", size, len(real))
		} else if size.Real < size.Members {
			for _, m := range real {
				if m.Region == f.LastRegion() || m.Role != Plain {
					t.Errorf("%+v: member %+v must not be real", size, m)
				}
			}
		}
		if len(f.Founders) != founderCount {
			t.Errorf("%+v: founders %v", size, f.Founders)
		}
		regions := map[view.Region]int{}
		for _, name := range f.Founders {
			regions[f.Members[f.MemberNo(name)].Region]++
		}
		for region, n := range regions {
			if 2*n > founderCount {
				t.Errorf("%+v: %d founders in region %s", size, n, region)
			}
		}
		for _, i := range []int{0, size.Members - 1} {
			set, err := settings.Parse("member.toml", f.File(i, "/folder", []int{1}))
			if err != nil {
				t.Errorf("%+v: %v", size, err)
			} else if a, known := set.Reach(f.Members[1].Name); !known || a != f.RelayAddresses(1) {
				t.Errorf("%+v: the cluster file has address %+v of member 1, want its relay", size, a)
			}
		}
	}
}
