package schedule

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Selection selects the processes that a fault affects in fleets that are too large to list them. A zero field does not
// restrict the selection; the zero Selection selects no process.
type Selection struct {
	Zone   int     `toml:"zone"`   // number of a zone, from 1
	Region int     `toml:"region"` // number of a region, from 1
	Share  float64 `toml:"share"`  // fraction of all processes of the schedule
	Count  int     `toml:"count"`
	// OverS spreads the fault over this many seconds: it affects one process after the other at even intervals.
	OverS float64 `toml:"over_s"`
}

// Locations returns the zone and the region of a process, counted from 1.
type Locations struct{ Zone, Region func(process int) int }

// Affected returns the processes that a fault affects: those in From, or else those that Select matches. If Select asks for
// fewer than match, they are drawn with the schedule's seed.
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
