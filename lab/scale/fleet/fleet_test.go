package fleet

import (
	"testing"

	"flaxcove/internal/cluster/settings"
	"flaxcove/internal/cluster/view"
)

// TestPlan: all planned sizes have voters in several regions, real members that coordinate nothing, and files that the
// program takes.
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
			t.Errorf("%+v: %d real members", size, len(real))
		} else if size.Real < size.Members {
			for _, m := range real {
				if m.Region == f.LastRegion() || m.Role != Plain {
					t.Errorf("%+v: %+v is real", size, m)
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
				t.Errorf("%+v: %d founders in %s", size, n, region)
			}
		}
		for _, i := range []int{0, size.Members - 1} {
			set, err := settings.Parse("member.toml", f.File(i, "/folder", []int{1}))
			if err != nil {
				t.Errorf("%+v: %v", size, err)
			} else if a, known := set.Reach(f.Members[1].Name); !known || a != f.RelayAddresses(1) {
				t.Errorf("%+v: member 1 is reached at %+v", size, a)
			}
		}
	}
}
