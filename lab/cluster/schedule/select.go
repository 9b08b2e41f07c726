package schedule

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Selection chooses the processes that a fault affects, for fleets too large to name each. A field that is left out does
// not narrow the choice; the zero Selection chooses none.
type Selection struct {
	Zone   int     `toml:"zone"`   // from 1
	Region int     `toml:"region"` // from 1
	Share  float64 `toml:"share"`  // of all processes
	Count  int     `toml:"count"`
	// OverS has the fault affect one process after the other, evenly over this many seconds.
	OverS float64 `toml:"over_s"`
}

// Locations give the zone and the region of a process, counted from 1.
type Locations struct{ Zone, Region func(process int) int }

// Affected returns the processes that a fault affects: those it names, or else those that it selects, which are drawn from
// the schedule's seed if they are only a part.
func (s *Schedule) Affected(f *Fault, at Locations) []int {
	if len(f.From) > 0 || f.Select == (Selection{}) {
		return f.From
	}
	var all []int
	for i := range s.Processes {
		if (f.Select.Zone == 0 || at.Zone(i) == f.Select.Zone) && (f.Select.Region == 0 || at.Region(i) == f.Select.Region) {
			all = append(all, i)
		}
	}
	most := len(all)
	if f.Select.Share > 0 {
		most = min(most, int(math.Round(f.Select.Share*float64(s.Processes))))
	}
	if f.Select.Count > 0 {
		most = min(most, f.Select.Count)
	}
	if most == len(all) {
		return all
	}
	r := rand.New(rand.NewPCG(s.Seed, 0x5e1ec7))
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:most]
	slices.Sort(all)
	return all
}
