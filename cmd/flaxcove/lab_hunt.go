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

// huntStream selects the random stream from which scenarios are drawn; a seed gives the same scenario in every version.
const huntStream = 0x4047

// shrinkRuns is how many runs may go into making one find small.
const shrinkRuns = 120

func labHunt() *cli.Command {
	return &cli.Command{
		Name: "hunt", Usage: "draw random scenarios and keep those that break a rule or lie far under the bound",
		Description: "Each find is shrunk to a small scenario and saved; `flaxcove lab run FILE` plays it. Exit code 3 tells of finds.\n\n" +
			"Examples: flaxcove lab hunt --rules --runs 500\n          flaxcove lab hunt --gap 0.3 --scale 4 --for 2m --dir finds",
		Flags: []cli.Flag{flagJSON, &cli.Uint64Flag{Name: "seed", Usage: "of the first scenario; each next one has the next", Value: 1},
			&cli.BoolFlag{Name: "rules", Usage: "look for broken rules only"},
			&cli.FloatFlag{Name: "gap", Usage: "share of the bound's gain that is missing, from which on a scenario is kept", Value: 0.25},
			&cli.FloatFlag{Name: "scale", Usage: "size of scenarios; 1 is a handful of senders", Value: 1},
			&cli.IntFlag{Name: "runs", Usage: "scenarios to draw", Value: 200},
			&cli.DurationFlag{Name: "for", Usage: "and for no longer than this", Value: 10 * time.Minute},
			&cli.IntFlag{Name: "finds", Usage: "finds after which it ends", Value: 5},
			flagCores("scenarios at once"),
			&cli.StringFlag{Name: "dir", Usage: "where finds go", Value: "finds"}},
		Action: untilStopSignal(runHunt),
	}
}

// runHunt plays random scenarios until the hunt ends, prints the finds, and ends with the exit code that they ask for.
func runHunt(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("for"))
	defer cancel()
	h := &hunter{goal: hunt.Goal{Rules: c.Bool("rules"), Least: c.Float("gap")}, firstSeed: c.Uint64("seed"), scale: c.Float("scale"),
		maxRuns: c.Int("runs"), maxFinds: c.Int("finds"), folder: c.String("dir"), progress: newProgress()}
	h.playAll(ctx, max(1, c.Int("cores")))
	if h.err != nil {
		return h.err
	}
	if err := printFinds(c.Bool("json"), h.played, h.finds); err != nil {
		return err
	}
	if len(h.finds) > 0 {
		return exitSilently(exitRuleBroken)
	}
	return nil
}

// huntFind is one scenario that a hunt kept, as it is printed.
type huntFind struct {
	File    string       `json:"file"`
	Rule    referee.Rule `json:"rule,omitempty"`
	Gap     float64      `json:"gap"`
	Seed    uint64       `json:"seed"`
	Senders int          `json:"senders"`
	About   string       `json:"about"`
}

// hunter draws and plays scenarios on several goroutines.
type hunter struct {
	goal              hunt.Goal
	firstSeed         uint64 // of the first scenario; each next one has the next
	scale             float64
	maxRuns, maxFinds int
	folder            string // where finds are saved

	mu       sync.Mutex // guards what follows
	progress *progress
	drawn    int
	played   int
	finds    []huntFind
	err      error // ends the hunt
}

// playAll plays scenarios on the given number of goroutines until the hunt ends.
func (h *hunter) playAll(ctx context.Context, cores int) {
	var wg sync.WaitGroup
	for range cores {
		wg.Go(func() {
			for h.playNext(ctx) {
			}
		})
	}
	wg.Wait()
	h.progress.clear()
}

// nextSeed hands out the seed of the next scenario, or says that the hunt has ended: all runs drawn, enough finds,
// an error, or the time is up.
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

// playNext draws, plays and records one scenario; it says false when the hunt has ended.
func (h *hunter) playNext(ctx context.Context) bool {
	seed, more := h.nextSeed(ctx)
	if !more {
		return false
	}
	spec := hunt.Draw(rand.New(rand.NewPCG(seed, huntStream)), h.scale)
	saved, err := playAndShrink(ctx, spec, seed, h.goal)
	h.record(ctx, seed, saved, err)
	return true
}

// record counts a played scenario, saves what was found in it, nil for nothing, and shows the progress.
func (h *hunter) record(ctx context.Context, seed uint64, found *hunt.SavedFind, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.played++
	if err != nil && ctx.Err() == nil { // a run that the end of the hunt cut off has not failed
		h.err = err
	}
	if found != nil {
		path, err := hunt.Save(h.folder, found)
		if err != nil {
			h.err = err
		}
		h.finds = append(h.finds, huntFind{path, found.Found.Rule, found.Found.Gap, seed, found.Senders, found.About})
	}
	h.progress.show("%d of %d scenarios, %d finds", h.played, h.maxRuns, len(h.finds))
}

// printFinds prints the finds as JSON or as lines for a person.
func printFinds(asJSON bool, played int, finds []huntFind) error {
	if asJSON {
		return printJSON(finds)
	}
	fmt.Printf("%d scenarios played, %d finds\n", played, len(finds))
	for _, f := range finds {
		what := fmt.Sprintf("gap %.2f", f.Gap)
		if f.Rule != "" {
			what = "breaks " + string(f.Rule)
		}
		fmt.Printf("  %s: %s, seed %d, %d senders; %s\n", f.File, what, f.Seed, f.Senders, f.About)
	}
	return nil
}

// playAndShrink plays a scenario and, where it shows something, returns a small scenario that shows the same; else nil.
func playAndShrink(ctx context.Context, spec *world.Spec, seed uint64, goal hunt.Goal) (*hunt.SavedFind, error) {
	played, err := hunt.Simulated(spec, seed, !goal.Rules)
	if err != nil {
		return nil, err
	}
	rule, hit := goal.Hit(played)
	if !hit || ctx.Err() != nil {
		return nil, nil
	}
	small, played, err := hunt.Shrink(spec, seed, goal, hunt.Simulated, shrinkRuns, nil)
	if err != nil {
		return nil, err
	}
	kind := "gap"
	if rule != "" {
		kind = string(rule)
	}
	small.Name = fmt.Sprintf("%s-%d", kind, seed)
	small.About = "found by hunt:"
	for _, t := range small.Faults {
		small.About += " " + t.Kind
	}
	return &hunt.SavedFind{Spec: *small, Found: hunt.Find{Rule: rule, Seed: seed, Gap: cutToThousandths(played.Gap), Open: true}}, nil
}

// cutToThousandths drops the digits that would only make the saved file harder to read.
func cutToThousandths(x float64) float64 { return float64(int(x*1000)) / 1000 }
