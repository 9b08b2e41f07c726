package play

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"flaxcove/choice"
	"flaxcove/internal/cluster/status"
	"flaxcove/internal/cluster/view"
	"flaxcove/lab/cluster/schedule"
)

// binary is built once for all tests.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "flaxcove-play-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "flaxcove")
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "flaxcove/cmd/flaxcove").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Println(err)
		code = 1
	}
	os.Exit(code)
}

// runSlots bounds the number of concurrent runs. Each run has up to seven processes and a world that runs in real time.
var runSlots = make(chan struct{}, 6)

// run plays a schedule and returns its result and everything that is wrong with it. saw gets the statuses of each poll.
func run(t *testing.T, s *schedule.Schedule, saw func(choice.Time, []*status.Status)) (r *Result, wrong []string) {
	t.Helper()
	return runPolling(t, s, 0, saw)
}

// runPolling is run with a poll interval; 0 for the default.
func runPolling(t *testing.T, s *schedule.Schedule, every time.Duration, saw func(choice.Time, []*status.Status)) (r *Result, wrong []string) {
	t.Helper()
	runSlots <- struct{}{}
	defer func() { <-runSlots }()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	logs := os.Getenv("PLAY_LOGS")
	if logs != "" {
		logs = filepath.Join(logs, s.Name)
		saw = timeline(t, logs, saw)
	}
	r, err := Run(ctx, Options{Schedule: s, Command: []string{binary, "serve"}, Logs: logs, OnStatuses: saw, PollInterval: every})
	if err != nil {
		return nil, []string{err.Error()}
	}
	t.Logf("%s: figure %.3f, %d of %d delivered, %d epochs, all processes agree %d ms after the last fault, %d losses excused, void %q",
		s.Name, r.Figure, r.Delivered, r.Asked, r.Epochs, r.SettledMS, r.Excused, r.Void)
	for _, f := range r.Outages {
		t.Logf("%s: outage of zone %d: plan in force after %d ms; after its end: first routes returned after %d ms, all after %d ms",
			s.Name, f.Zone, f.InForceMS, f.FirstReturnedMS, f.AllReturnedMS)
	}
	for _, p := range r.Purges {
		t.Logf("%s: purge %s ordered at %d ms, decided %d ms later and %q %d ms later, %d requests", s.Name, p.ID, p.Ordered/10,
			(p.Decided-p.Ordered)/10, p.State, (p.Complete-p.Ordered)/10, p.Attempts)
	}
	for _, c := range r.Changes {
		t.Logf("%s: change %s ordered at %d ms, decided as version %d %d ms later and in force at all processes %d ms later, %d attempts", s.Name, c.ID,
			c.Ordered/10, c.Version, (c.Decided-c.Ordered)/10, (c.InForce-c.Ordered)/10, c.Attempts)
	}
	for _, b := range r.Breaches {
		wrong = append(wrong, fmt.Sprintf("%s: %s", b.Promise, b.Detail))
	}
	if r.Fault != "" {
		wrong = append(wrong, r.Fault)
	}
	// A run on a machine that was too busy is void: the referee's rules are checked only if the machine kept time.
	if r.Void == "" && r.Broken() {
		wrong = append(wrong, fmt.Sprintf("violated rules %v: %v", r.Rules, r.Result.Verdict.Violations))
	}
	if r.Delivered*2 < r.Asked {
		wrong = append(wrong, fmt.Sprintf("only %d of %d messages delivered", r.Delivered, r.Asked))
	}
	return r, wrong
}

// timeline returns a callback that writes the statuses of each poll as a line of the file timeline.txt in a folder, and then
// calls saw.
func timeline(t *testing.T, folder string, saw func(choice.Time, []*status.Status)) func(choice.Time, []*status.Status) {
	err := os.MkdirAll(folder, 0o755)
	var out *os.File
	if err == nil {
		out, err = os.Create(filepath.Join(folder, "timeline.txt"))
	}
	if err != nil {
		t.Error(err)
		return saw
	}
	t.Cleanup(func() { out.Close() })
	return func(now choice.Time, all []*status.Status) {
		fmt.Fprintf(out, "%6.2f", float64(now)/float64(choice.Second))
		for _, s := range all {
			present := 0
			for _, m := range s.Members {
				if m.Present() {
					present++
				}
			}
			fmt.Fprintf(out, "  %s epoch %d of %s sees %d root %s purged %d", s.Self.Name, s.Epoch, s.Leader, present, s.Root, s.LastPurge)
			if c := s.Configuration; c != nil {
				fmt.Fprintf(out, " version %d", c.Version)
			}
			for _, name := range slices.Sorted(maps.Keys(s.Counts)) {
				if strings.HasPrefix(name, "away_") || name == "plan_routes" && s.Counts[name] > 0 {
					fmt.Fprintf(out, " %s %d", name, s.Counts[name])
				}
			}
			fmt.Fprint(out, ";")
		}
		fmt.Fprintln(out)
		if saw != nil {
			saw(now, all)
		}
	}
}

// playAndCheck plays a schedule and fails the test for everything that is wrong with it.
func playAndCheck(t *testing.T, s *schedule.Schedule) {
	t.Helper()
	_, wrong := run(t, s, nil)
	for _, w := range wrong {
		t.Errorf("%s: %s", s.Name, w)
	}
}

// TestCalm plays a purge without faults.
func TestCalm(t *testing.T) {
	t.Parallel()
	playAndCheck(t, &schedule.Schedule{Name: "calm", Seed: 1, Processes: 5, Zones: 3, Regions: 2, Seconds: 8, Rate: 60,
		Purges: []schedule.Purge{{At: 5, By: 3, Subject: "notices", Destination: 1}}})
}

// TestSmall checks that exactly the small processes evict learned state and that no rule is violated, also while the coordinator
// of their region is killed and a small process is cut off.
func TestSmall(t *testing.T) {
	t.Parallel()
	s := &schedule.Schedule{Name: "small-ones", Seed: 31, Processes: 6, Zones: 3, Regions: 1, Seconds: 20, Rate: 60, Small: []int{4, 5},
		Faults: []schedule.Fault{{Kind: "kill", At: 8, Seconds: 1, From: []int{0}}, {Kind: "cut", At: 12, Seconds: 3, From: []int{4}}},
		Purges: []schedule.Purge{{At: 6, By: 4, Subject: "learnt", Destination: 1}}}
	most := map[view.Name]uint64{}
	_, wrong := run(t, s, func(_ choice.Time, all []*status.Status) {
		for _, one := range all {
			if one.Popularity == nil {
				t.Errorf("%s does not report popularity", one.Self.Name)
			} else {
				most[one.Self.Name] = max(most[one.Self.Name], one.Popularity.Evicted)
			}
		}
	})
	for _, w := range wrong {
		t.Errorf("%s: %s", s.Name, w)
	}
	t.Logf("evicted: %v", most)
	for i := range s.Processes {
		if name := view.Name(fmt.Sprintf("s%d", i)); (most[name] > 0) != slices.Contains(s.Small, i) {
			t.Errorf("%s evicted the state of %d destinations", name, most[name])
		}
	}
}

// TestStoredSchedules replays all stored schedules in testdata.
func TestStoredSchedules(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) < 12 {
		t.Fatalf("found %d schedules in testdata, error %v", len(files), err)
	}
	replay(t, files)
}

// replay plays schedule files in parallel subtests.
func replay(t *testing.T, files []string) {
	t.Helper()
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s, err := schedule.Parse(file, text)
			if err != nil {
				t.Fatal(err)
			}
			playAndCheck(t, s)
		})
	}
}

// TestDrawn plays schedules drawn from three seeds.
func TestDrawn(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playAndCheck(t, schedule.Draw(seed, sizes[6]))
		})
	}
}
