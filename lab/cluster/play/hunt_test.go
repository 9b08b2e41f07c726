package play

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"flaxcove/lab/cluster/schedule"
)

// This file searches for failing schedules (flag -cluster.hunt). It shrinks those that it finds and saves them in the folder
// found.

var (
	hunt        = flag.Int("cluster.hunt", 0, "number of schedules to draw and play")
	size        = flag.Int("cluster.size", 7, "number of processes of a drawn schedule: 6, 7, 12 or 30")
	firstSeed   = flag.Uint64("cluster.seed", 100, "the first seed")
	replayFound = flag.Bool("cluster.found", false, "replay the schedules saved in the folder found")
	shrinkRuns  = flag.Int("cluster.asks", 12, "largest number of runs for shrinking a failing schedule")
)

// sizes are the sizes of drawn schedules by their number of processes.
var sizes = map[int]schedule.Size{
	6:  {Processes: 6, Zones: 3, Regions: 2, Seconds: 10, Rate: 60, Faults: 3, Purges: 2, Changes: 2},
	7:  {Processes: 7, Zones: 3, Regions: 2, Seconds: 12, Rate: 80, Faults: 4, Purges: 3, Changes: 3},
	12: {Processes: 12, Zones: 4, Regions: 2, Seconds: 15, Rate: 120, Faults: 5, Purges: 4, Changes: 4},
	30: {Processes: 30, Zones: 6, Regions: 3, Seconds: 20, Rate: 200, Faults: 6, Purges: 5, Changes: 5},
}

// TestHunt draws and plays schedules, and shrinks and saves those that fail.
func TestHunt(t *testing.T) {
	drawn, known := sizes[*size]
	if !known {
		t.Fatalf("-cluster.size %d is not one of 6, 7, 12, 30", *size)
	}
	for seed := *firstSeed; seed < *firstSeed+uint64(*hunt); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := schedule.Draw(seed, drawn)
			_, wrong := run(t, s, nil)
			if len(wrong) == 0 {
				return
			}
			t.Errorf("seed %d: %q", seed, wrong)
			small := schedule.Shrink(s, *shrinkRuns, func(s *schedule.Schedule) bool {
				_, wrong := run(t, s, nil)
				return len(wrong) > 0
			})
			small.About = "found by a hunt: " + wrong[0]
			saveFound(t, small)
		})
	}
}

// TestFound replays all saved schedules.
func TestFound(t *testing.T) {
	if !*replayFound {
		t.Skip("needs -cluster.found")
	}
	files, err := filepath.Glob("found/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	replay(t, files)
}

// TestManyPurges orders a thousand purges while processes, among them the leader, are killed. It checks that no matching message
// that was accepted before a purge is sent after that purge was reported complete.
func TestManyPurges(t *testing.T) {
	if !*replayFound {
		t.Skip("needs -cluster.found")
	}
	r := rand.New(rand.NewPCG(7, 1000))
	s := &schedule.Schedule{Name: "purges-1000", Seed: 77, Processes: 7, Zones: 3, Regions: 2, Seconds: 66, Rate: 80}
	for at := 5.0; at < 60; at += 6 {
		f := schedule.Fault{Kind: "kill", At: at, Seconds: 1.5, From: []int{r.IntN(s.Processes)}}
		if len(s.Faults)%3 == 2 {
			f.Kind, f.From = "leader", nil
		}
		s.Faults = append(s.Faults, f)
	}
	for range 1000 {
		s.Purges = append(s.Purges, schedule.Purge{At: 2 + 58*r.Float64(), By: r.IntN(s.Processes), Subject: "notices",
			Destination: r.IntN(4), Class: []string{"status", "order"}[r.IntN(2)]})
	}
	playAndCheck(t, s)
}

// saveFound writes a schedule into the folder found.
func saveFound(t *testing.T, s *schedule.Schedule) {
	t.Helper()
	text, err := schedule.Write(s)
	if err == nil {
		err = os.MkdirAll("found", 0o755)
	}
	path := filepath.Join("found", s.Name+".toml")
	if err == nil {
		err = os.WriteFile(path, text, 0o644)
	}
	if err != nil {
		t.Error(err)
	}
	t.Logf("schedule saved in %s", path)
}
