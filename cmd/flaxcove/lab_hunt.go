package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"flaxcove/lab/hunt"
	"flaxcove/lab/referee"
	"flaxcove/lab/world"
)

// huntStream selects the random stream from which scenarios are drawn. It must not change: a seed must draw the same
// scenario in every version.
const huntStream = 0x4047

// shrinkRuns is the maximum number of runs to shrink one find.
const shrinkRuns = 120

func labHunt() *cli.Command {
	return &cli.Command{
		Name: "hunt", Usage: "run random scenarios and save those that break a rule or reach much less value than the bound",
		Description: "Each find is shrunk to a small scenario and saved; `flaxcove lab run FILE` runs it. The bound is the value that\nthe policy all_seen reaches, which sees the true state of all endpoints. Exit code 3 means that there are finds.\n\n" +
			"Examples: flaxcove lab hunt --rules --runs 500\n          flaxcove lab hunt --gap 0.3 --scale 4 --for 2m --dir finds",
		Flags: []cli.Flag{flagJSON, &cli.Uint64Flag{Name: "seed", Usage: "seed of the first scenario; each further scenario has the next seed", Value: 1},
			&cli.BoolFlag{Name: "rules", Usage: "save only scenarios that break a rule"},
			&cli.FloatFlag{Name: "gap", Usage: "smallest missing share of the bound's value for which a scenario is saved", Value: 0.25},
			&cli.FloatFlag{Name: "scale", Usage: "size of the scenarios; 1 means up to six senders", Value: 1},
			&cli.IntFlag{Name: "runs", Usage: "number of scenarios to draw", Value: 200},
			&cli.DurationFlag{Name: "for", Usage: "maximum duration of the hunt", Value: 10 * time.Minute},
			&cli.IntFlag{Name: "finds", Usage: "number of finds after which the hunt ends", Value: 5},
			flagCores("number of parallel runs"),
			&cli.StringFlag{Name: "dir", Usage: "folder in which finds are saved", Value: "finds"}},
		Action: untilStopSignal(runHunt),
	}
}

// runHunt runs random scenarios until the hunt ends, and prints the finds. The exit code is exitRuleBroken if there are any.
func runHunt(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("for"))
	defer cancel()
	h := &hunter{goal: hunt.Goal{RulesOnly: c.Bool("rules"), MinGap: c.Float("gap")}, firstSeed: c.Uint64("seed"), scale: c.Float("scale"),
		maxRuns: c.Int("runs"), maxFinds: c.Int("finds"), folder: c.String("dir"), progress: newProgress()}
	h.runAll(ctx, max(1, c.Int("cores")))
	if h.err != nil {
		return h.err
	}
	if err := printFinds(c.Bool("json"), h.completed, h.finds); err != nil {
		return err
	}
	if len(h.finds) > 0 {
		return exitSilently(exitRuleBroken)
	}
	return nil
}

// huntFind is one saved find in the output of the command.
type huntFind struct {
	File    string       `json:"file"`
	Rule    referee.Rule `json:"rule,omitempty"`
	Gap     float64      `json:"gap"`
	Seed    uint64       `json:"seed"`
	Senders int          `json:"senders"`
	About   string       `json:"about"`
}

// hunter draws and runs scenarios on several goroutines.
type hunter struct {
	goal              hunt.Goal
	firstSeed         uint64 // seed of the first scenario; each further scenario has the next seed
	scale             float64
	maxRuns, maxFinds int
	folder            string // in which finds are saved

	mu        sync.Mutex // guards the fields below
	progress  *progress
	drawn     int // scenarios whose seed has been assigned
	completed int // scenarios that have been run
	finds     []huntFind
	err       error // the error that ended the hunt, nil if there is none
}

// runAll runs scenarios on the given number of goroutines until the hunt ends.
func (h *hunter) runAll(ctx context.Context, cores int) {
	var wg sync.WaitGroup
	for range cores {
		wg.Go(func() {
			for h.runNext(ctx) {
			}
		})
	}
	wg.Wait()
	h.progress.clear()
}

// nextSeed returns the seed of the next scenario. More is false once the hunt has ended: all scenarios are drawn, there are
// enough finds, an error occurred, or ctx has ended.
func (h *hunter) nextSeed(ctx context.Context) (seed uint64, more bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.drawn >= h.maxRuns || len(h.finds) >= h.maxFinds || h.err != nil || ctx.Err() != nil {
		return 0, false
	}
	seed = h.firstSeed + uint64(h.drawn)
	h.drawn++
	return seed, true
}

// runNext draws, runs and records one scenario. It returns false once the hunt has ended.
func (h *hunter) runNext(ctx context.Context) bool {
	seed, more := h.nextSeed(ctx)
	if !more {
		return false
	}
	spec := hunt.Draw(rand.New(rand.NewPCG(seed, huntStream)), h.scale)
	saved, err := runAndShrink(ctx, spec, seed, h.goal)
	h.record(ctx, seed, saved, err)
	return true
}

// record counts a scenario that has been run, saves its find unless that is nil, and shows the progress.
func (h *hunter) record(ctx context.Context, seed uint64, found *hunt.SavedFind, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.completed++
	if err != nil && ctx.Err() == nil { // a run that the end of the hunt interrupted has not failed
		h.err = err
	}
	if found != nil {
		path, err := hunt.Save(h.folder, found)
		if err != nil {
			h.err = err
		}
		h.finds = append(h.finds, huntFind{path, found.Found.Rule, found.Found.Gap, seed, found.Senders, found.About})
	}
	h.progress.show("%d of %d scenarios, %d finds", h.completed, h.maxRuns, len(h.finds))
}

// printFinds prints the finds as JSON, or as a summary line followed by a line for each find.
func printFinds(asJSON bool, completed int, finds []huntFind) error {
	if asJSON {
		return printJSON(finds)
	}
	fmt.Printf("%d scenarios run, %d finds\n", completed, len(finds))
	for _, f := range finds {
		finding := fmt.Sprintf("gap %.2f", f.Gap)
		if f.Rule != "" {
			finding = "breaks rule " + string(f.Rule)
		}
		fmt.Printf("  %s: %s, seed %d, %d senders; %s\n", f.File, finding, f.Seed, f.Senders, f.About)
	}
	return nil
}

// runAndShrink runs a scenario. If the outcome matches the goal, it returns the smallest scenario with the same finding that
// it reaches within shrinkRuns runs; otherwise it returns nil.
func runAndShrink(ctx context.Context, spec *world.Spec, seed uint64, goal hunt.Goal) (*hunt.SavedFind, error) {
	outcome, err := hunt.RunSimulated(spec, seed, !goal.RulesOnly)
	if err != nil {
		return nil, err
	}
	rule, matches := goal.Matches(outcome)
	if !matches || ctx.Err() != nil {
		return nil, nil
	}
	small, outcome, err := hunt.Shrink(spec, seed, goal, hunt.RunSimulated, shrinkRuns, nil)
	if err != nil {
		return nil, err
	}
	kind := "gap"
	if rule != "" {
		kind = string(rule)
	}
	small.Name = fmt.Sprintf("%s-%d", kind, seed)
	small.About = "found by hunt:"
	for _, fault := range small.Faults {
		small.About += " " + fault.Kind
	}
	return &hunt.SavedFind{Spec: *small, Found: hunt.Find{Rule: rule, Seed: seed, Gap: cutToThousandths(outcome.Gap), Open: true}}, nil
}

// cutToThousandths truncates x after the third decimal place, to keep saved files readable.
func cutToThousandths(x float64) float64 { return float64(int(x*1000)) / 1000 }
