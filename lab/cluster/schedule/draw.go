package schedule

// This file draws schedules from a seed.

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// Size bounds the schedules that Draw draws.
type Size struct {
	Processes, Zones, Regions int
	Seconds, Rate             float64
	Faults                    int // at most this many
	Purges                    int
	Changes                   int
}

// drawnKinds are the kinds of fault that Draw draws from. Their order determines the schedule that belongs to a seed.
var drawnKinds = []string{"cut", "one_way", "flap", "stall", "late", "reset", "stop", "kill", "empty", "leader", "zone"}

// settleSeconds is the time in seconds between the end of the last fault and the end of the traffic. Without it the verdict
// of a run would depend on chance.
const settleSeconds = 2

// Draw returns a schedule that depends on the seed and the size only. It leaves out what would make the verdict of a run
// depend on chance: all faults end settleSeconds before the traffic does, and at most one process has its folder emptied,
// since the messages that it accepted are lost.
func Draw(seed uint64, size Size) *Schedule {
	r := rand.New(rand.NewPCG(seed, 0xc105))
	s := &Schedule{Name: fmt.Sprintf("drawn-%d", seed), Seed: seed, Processes: size.Processes, Zones: size.Zones,
		Regions: size.Regions, Seconds: size.Seconds, Rate: size.Rate}
	last := size.Seconds - settleSeconds
	emptied := false
	for range 1 + r.IntN(max(1, size.Faults)) {
		f := drawFault(r, size, last)
		if f.Kind == "empty" {
			if emptied {
				continue
			}
			emptied = true
		}
		f.clearUnusedFields()
		s.Faults = append(s.Faults, f)
	}
	for range size.Purges {
		s.Purges = append(s.Purges, Purge{At: truncateToTenth(1 + r.Float64()*(last-1)), By: r.IntN(size.Processes), Subject: "notices",
			Destination: r.IntN(4), Class: []string{"", "status", "order"}[r.IntN(3)]})
	}
	for range size.Changes {
		s.Changes = append(s.Changes, Change{At: truncateToTenth(1 + r.Float64()*(last-1)), By: r.IntN(size.Processes), Back: r.IntN(4) == 0})
	}
	return s
}

// drawFault draws a fault that ends by second last. It draws the same random numbers for every kind, whether or not the kind
// uses them.
func drawFault(r *rand.Rand, size Size, last float64) Fault {
	f := Fault{
		Kind:  drawnKinds[r.IntN(len(drawnKinds))],
		At:    truncateToTenth(1 + r.Float64()*(last-2)),
		MS:    float64(20 + r.IntN(300)),
		Every: 0.5 + float64(r.IntN(4))/2,
	}
	f.Seconds = truncateToTenth(min(0.5+r.Float64()*4, last-f.At))
	group := 1 + r.IntN(max(1, (size.Processes-1)/2))
	f.From = r.Perm(size.Processes)[:group]
	slices.Sort(f.From)
	f.Zone = 1 + r.IntN(size.Zones)
	return f
}

// clearUnusedFields clears the drawn fields that this kind of fault does not use.
func (f *Fault) clearUnusedFields() {
	switch f.Kind {
	case "stop", "kill":
		f.From = f.From[:min(2, len(f.From))]
	case "empty":
		f.From = f.From[:1]
	case "leader", "zone":
		f.From = nil
	}
	if f.Kind != "late" {
		f.MS = 0
	}
	if f.Kind != "flap" {
		f.Every = 0
	}
	if f.Kind != "zone" {
		f.Zone = 0
	}
}

// truncateToTenth drops the digits after the first decimal place.
func truncateToTenth(v float64) float64 { return float64(int(v*10)) / 10 }
