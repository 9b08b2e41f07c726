package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"flaxcove/lab/hunt"
	"flaxcove/lab/referee"
	"flaxcove/lab/world"
)

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
			&cli.IntFlag{Name: "cores", Usage: "scenarios at once", Value: runtime.NumCPU()},
			&cli.StringFlag{Name: "dir", Usage: "where finds go", Value: "finds"}},
		Action: runHunt,
	}
}

func runHunt(ctx context.Context, c *cli.Command) error {
	ctx, stop := stoppable(ctx)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Duration("for"))
	defer cancel()
	h := &hunter{ctx: ctx, c: c, goal: hunt.Goal{Rules: c.Bool("rules"), Least: c.Float("gap")}, runs: c.Int("runs"), p: newProgress()}
	h.playAll(max(1, c.Int("cores")))
	if h.failed != nil {
		return h.failed
	}
	if err := printFinds(c.Bool("json"), h.done, h.finds); err != nil {
		return err
	}
	if len(h.finds) > 0 {
		return cli.Exit("", exitBroken)
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

// hunter draws and plays scenarios on several goroutines; mu guards all that they share.
type hunter struct {
	ctx  context.Context
	c    *cli.Command
	goal hunt.Goal
	runs int
	p    *progress

	mu     sync.Mutex
	next   int
	done   int
	finds  []huntFind
	failed error
}

// playAll plays scenarios on the given number of goroutines until the hunt ends.
func (h *hunter) playAll(cores int) {
	var wg sync.WaitGroup
	for range cores {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for h.playNext() {
			}
		}()
	}
	wg.Wait()
	h.p.end()
}

// nextSeed hands out the seed of the next scenario, or says that the hunt has ended: all runs drawn, enough finds,
// a failure, or the time is up.
func (h *hunter) nextSeed() (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.next >= h.runs || len(h.finds) >= h.c.Int("finds") || h.failed != nil || h.ctx.Err() != nil {
		return 0, false
	}
	seed := h.c.Uint64("seed") + uint64(h.next)
	h.next++
	return seed, true
}

// playNext draws, plays and records one scenario; it says false when the hunt has ended.
func (h *hunter) playNext() bool {
	seed, more := h.nextSeed()
	if !more {
		return false
	}
	spec := hunt.Draw(rand.New(rand.NewPCG(seed, 0x4047)), h.c.Float("scale"))
	found, saved, err := huntOne(h.ctx, spec, seed, h.goal)
	h.record(seed, found, saved, err)
	return true
}

// record counts a played scenario, saves what it found, and shows the progress.
func (h *hunter) record(seed uint64, found bool, saved *hunt.Kept, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.done++
	if err != nil && h.ctx.Err() == nil {
		h.failed = err
	}
	if found {
		path, err := hunt.Save(h.c.String("dir"), saved)
		if err != nil {
			h.failed = err
		}
		h.finds = append(h.finds, huntFind{path, saved.Found.Rule, saved.Found.Gap, seed, saved.Senders, saved.About})
	}
	h.p.say("%d of %d scenarios, %d finds", h.done, h.runs, len(h.finds))
}

// printFinds prints the finds as JSON or as lines for a person.
func printFinds(asJSON bool, done int, finds []huntFind) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(finds)
	}
	fmt.Printf("%d scenarios played, %d finds\n", done, len(finds))
	for _, f := range finds {
		what := fmt.Sprintf("gap %.2f", f.Gap)
		if f.Rule != "" {
			what = "breaks " + string(f.Rule)
		}
		fmt.Printf("  %s: %s, seed %d, %d senders; %s\n", f.File, what, f.Seed, f.Senders, f.About)
	}
	return nil
}

// huntOne plays a scenario and, where it shows something, makes it small.
func huntOne(ctx context.Context, spec *world.Spec, seed uint64, goal hunt.Goal) (bool, *hunt.Kept, error) {
	played, err := hunt.Simulated(spec, seed, !goal.Rules)
	if err != nil {
		return false, nil, err
	}
	rule, hit := goal.Hit(played)
	if !hit || ctx.Err() != nil {
		return false, nil, nil
	}
	small, played, err := hunt.Shrink(spec, seed, goal, hunt.Simulated, 120, nil)
	if err != nil {
		return false, nil, err
	}
	what := "gap"
	if rule != "" {
		what = string(rule)
	}
	small.Name = fmt.Sprintf("%s-%d", what, seed)
	small.About = "found by hunt:"
	for _, t := range small.Faults {
		small.About += " " + t.Kind
	}
	return true, &hunt.Kept{Spec: *small, Found: hunt.Find{Rule: rule, Seed: seed, Gap: float64(int(played.Gap*1000)) / 1000, Open: true}}, nil
}
