package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"flaxcove/lab/limits"
)

func labLimits() *cli.Command {
	return &cli.Command{
		Name: "limits", Usage: "what refusals do: noise by rate and share, and limits that many senders share",
		Description: "Two grids in simulated time. Noise: one sender, one destination with room, a share of calls that fail whatever\n" +
			"the load. Sharing: 2 to 250 senders at one limit that none is told, which falls to a third and rises again.\n" +
			"Exit code 3 tells that a point of the noise grid did not hold, or that a rule was broken.\n\n" +
			"Examples: flaxcove lab limits\n          flaxcove lab limits --only noise --rates 1,1000 --shares 0.06 --policy backoff",
		Flags: []cli.Flag{flagJSON, flagSeed,
			&cli.StringFlag{Name: "only", Usage: "noise or sharing; both if left out"},
			&cli.FloatSliceFlag{Name: "rates", Usage: "notices a second (noise)", Value: []float64{1, 10, 100, 1000}},
			&cli.FloatSliceFlag{Name: "shares", Usage: "shares of calls that fail (noise)", Value: []float64{0, 0.001, 0.01, 0.03, 0.06, 0.2}},
			&cli.IntSliceFlag{Name: "senders", Usage: "at one limit (sharing)", Value: []int{2, 8, 50, 250}},
			&cli.FloatFlag{Name: "part", Usage: "of the limit for each sender, in calls a second (sharing)", Value: 4},
			&cli.FloatFlag{Name: "seconds", Usage: "simulated, for each point", Value: 60},
			flagCores("points at once"),
			&cli.StringFlag{Name: "policy", Usage: "choice, or a baseline"}},
		Action: untilStopSignal(runLimits),
	}
}

// The grids, as --only names them.
const (
	gridNoise   = "noise"
	gridSharing = "sharing"
)

// runLimits plays the points of the grids that the flags ask for, prints them, and ends with the exit code that they ask for.
func runLimits(ctx context.Context, c *cli.Command) error {
	only := c.String("only")
	if only != "" && only != gridNoise && only != gridSharing {
		return wrongInput(fmt.Errorf("--only: %q is neither noise nor sharing", only))
	}
	o, err := limitsOptions(c)
	if err != nil {
		return err
	}
	var g limitsGrids
	if only != gridSharing {
		g.addNoise(o, c.FloatSlice("rates"), c.FloatSlice("shares"))
	}
	if only != gridNoise {
		g.addSharing(o, c.IntSlice("senders"), c.Float("part"))
	}
	if err := inParallel(ctx, c.Int("cores"), g.jobs); err != nil {
		return err
	}
	if err := g.print(c.Bool("json")); err != nil {
		return err
	}
	if g.broken() {
		return exitSilently(exitRuleBroken)
	}
	return nil
}

// limitsOptions are the options that all points of both grids share, from the flags.
func limitsOptions(c *cli.Command) (limits.Options, error) {
	policy, err := findPolicy(c.String("policy"))
	return limits.Options{Seed: c.Uint64("seed"), Seconds: c.Float("seconds"), Policy: policy}, err
}

// limitsGrids are the points of both grids and the jobs that fill them in; each job writes its own point only.
type limitsGrids struct {
	jobs    []func() error
	noise   []*limits.NoisePoint
	sharing []*limits.SharePoint
}

// addNoise adds a point for each mode, rate and share of calls that fail.
func (g *limitsGrids) addNoise(o limits.Options, rates, shares []float64) {
	for _, mode := range limits.Modes {
		for _, rate := range rates {
			for _, failing := range shares {
				i := len(g.noise)
				g.noise = append(g.noise, nil)
				g.jobs = append(g.jobs, func() (err error) {
					g.noise[i], err = limits.Noise(o, mode, rate, failing)
					return err
				})
			}
		}
	}
}

// addSharing adds, for each number of senders, a point for each way of counting at the limit.
func (g *limitsGrids) addSharing(o limits.Options, senderCounts []int, part float64) {
	for _, senders := range senderCounts {
		for _, counting := range []struct {
			span float64 // seconds of a window; 0 for a steady rate
			all  bool    // refused calls count too
		}{{0, false}, {0, true}, {1, false}, {2, true}} {
			i := len(g.sharing)
			g.sharing = append(g.sharing, nil)
			g.jobs = append(g.jobs, func() (err error) {
				g.sharing[i], err = limits.Share(o, senders, part, counting.span, counting.all)
				return err
			})
		}
	}
}

// print writes both grids as JSON or as tables.
func (g *limitsGrids) print(asJSON bool) error {
	if asJSON {
		return printJSON(map[string]any{gridNoise: g.noise, gridSharing: g.sharing})
	}
	table := tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', tabwriter.AlignRight)
	printNoise(table, g.noise)
	// Columns are aligned within a table only.
	if err := table.Flush(); err != nil {
		return err
	}
	printSharing(table, g.sharing)
	return table.Flush()
}

// broken says whether a point of the noise grid did not hold or a point of the sharing grid broke a rule.
func (g *limitsGrids) broken() bool {
	for _, p := range g.noise {
		if !p.Passed() {
			return true
		}
	}
	for _, p := range g.sharing {
		if p.BrokenRules > 0 {
			return true
		}
	}
	return false
}

// inParallel runs jobs on so many cores, tells how far it is, and ends early with the context or the first error.
func inParallel(ctx context.Context, cores int, jobs []func() error) error {
	progress := newProgress()
	defer progress.clear()
	var mu sync.Mutex
	done := 0
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, cores))
	for _, job := range jobs {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			err := job()
			mu.Lock()
			defer mu.Unlock()
			done++
			progress.show("%d of %d", done, len(jobs))
			return err
		})
	}
	return group.Wait()
}

// printNoise writes the noise grid, a row for each point; nothing where it was not played.
func printNoise(table io.Writer, points []*limits.NoisePoint) {
	if len(points) > 0 {
		fmt.Fprintln(table, "noise\trate\tshare\tdelivered\tin time\tof ideal\tsingle-use\tcalls\tat most\trules\t")
	}
	for _, p := range points {
		mark := ""
		if !p.Passed() {
			mark = "!"
		}
		fmt.Fprintf(table, "%s\t%g\t%g\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%s\n", p.Mode, p.Rate, p.Share, p.Delivered, p.InTime, p.OfIdeal,
			p.Single, p.Calls, p.CallsMost, p.BrokenRules, mark)
	}
}

// printSharing writes the sharing grid, a row for each phase of each point; nothing where it was not played.
func printSharing(table io.Writer, points []*limits.SharePoint) {
	if len(points) > 0 {
		fmt.Fprintln(table, "senders\tlimit\tcounts\tpart\tdone/limit\trefused\tsettled s\tovershoot\twaves\tJain\tby luck\tjoiner\trules\t")
	}
	for _, p := range points {
		for i, phase := range p.Phases {
			fmt.Fprintf(table, "%d\t%.0f\t%s\t%d\t%.2f\t%.3f\t%.0f\t%.2f\t%.2f\t", p.Senders, phase.Limit, countedBy(p), i+1, phase.Done, phase.Refused,
				phase.Settled, phase.Overshoot, phase.Waves)
			if i == 0 {
				fmt.Fprintf(table, "%.3f\t%.3f\t%.2f\t%d\t\n", p.Jain, p.JainLuck, p.Joiner, p.BrokenRules)
			} else {
				fmt.Fprintf(table, "\t\t\t\t\n")
			}
		}
	}
}

// countedBy says how the limit of a point counts calls.
func countedBy(p *limits.SharePoint) string {
	counts := "rate"
	if p.Span > 0 {
		counts = fmt.Sprintf("%g s", p.Span)
	}
	if p.CountAll {
		counts += ", refused too"
	}
	return counts
}
