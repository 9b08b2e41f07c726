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
		Name: "limits", Usage: "measure the effect of rejections: random failures, and rate limits that many senders share",
		Description: "Runs two grids of scenarios in simulated time. Noise: one sender, one destination with spare capacity, and a share\n" +
			"of calls that fail independently of the load. Sharing: 2 to 250 senders share one rate limit that is not\nannounced, falls to a third and rises again.\n" +
			"Exit code 3 means that a point of the noise grid did not pass, or that a rule was broken.\n\n" +
			"Examples: flaxcove lab limits\n          flaxcove lab limits --only noise --rates 1,1000 --shares 0.06 --policy backoff",
		Flags: []cli.Flag{flagJSON, flagSeed,
			&cli.StringFlag{Name: "only", Usage: "run one grid only: noise or sharing (default: both)"},
			&cli.FloatSliceFlag{Name: "rates", Usage: "messages per second (noise)", Value: []float64{1, 10, 100, 1000}},
			&cli.FloatSliceFlag{Name: "shares", Usage: "shares of calls that fail (noise)", Value: []float64{0, 0.001, 0.01, 0.03, 0.06, 0.2}},
			&cli.IntSliceFlag{Name: "senders", Usage: "numbers of senders that share the limit (sharing)", Value: []int{2, 8, 50, 250}},
			&cli.FloatFlag{Name: "part", Usage: "each sender's part of the limit, in calls per second (sharing)", Value: 4},
			&cli.FloatFlag{Name: "seconds", Usage: "simulated seconds for each point", Value: 60},
			flagCores("number of points run in parallel"),
			&cli.StringFlag{Name: "policy", Usage: "choice (the default) or the name of a baseline"}},
		Action: untilStopSignal(runLimits),
	}
}

// The grids, by their names in --only and in the JSON output.
const (
	gridNoise   = "noise"
	gridSharing = "sharing"
)

// runLimits runs the points of the grids selected by --only, and prints them. The exit code is exitRuleBroken if a point did
// not pass.
func runLimits(ctx context.Context, c *cli.Command) error {
	only := c.String("only")
	if only != "" && only != gridNoise && only != gridSharing {
		return wrongInput(fmt.Errorf("--only: %q is neither noise nor sharing", only))
	}
	o, err := newLimitsOptions(c)
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

// newLimitsOptions returns the options that all points of both grids share, as set by the flags.
func newLimitsOptions(c *cli.Command) (limits.Options, error) {
	policy, err := findPolicy(c.String("policy"))
	return limits.Options{Seed: c.Uint64("seed"), Seconds: c.Float("seconds"), Policy: policy}, err
}

// limitsGrids holds the points of both grids, and the jobs that compute them. Each job writes one point, so that jobs can run
// in parallel.
type limitsGrids struct {
	jobs    []func() error
	noise   []*limits.NoisePoint
	sharing []*limits.SharingPoint
}

// addNoise adds a point and its job for each combination of mode, rate in messages per second, and share of calls that fail.
func (g *limitsGrids) addNoise(o limits.Options, rates, shares []float64) {
	for _, mode := range limits.Modes {
		for _, rate := range rates {
			for _, failing := range shares {
				i := len(g.noise)
				g.noise = append(g.noise, nil)
				g.jobs = append(g.jobs, func() (err error) {
					g.noise[i], err = limits.RunNoise(o, mode, rate, failing)
					return err
				})
			}
		}
	}
}

// addSharing adds, for each number of senders, a point and its job for each way in which the limit counts calls. Part is each
// sender's part of the limit, in calls per second.
func (g *limitsGrids) addSharing(o limits.Options, senderCounts []int, part float64) {
	for _, senders := range senderCounts {
		for _, counting := range []struct {
			span float64 // length of the counting window in seconds; 0 for a rate limit
			all  bool    // rejected calls count, too
		}{{0, false}, {0, true}, {1, false}, {2, true}} {
			i := len(g.sharing)
			g.sharing = append(g.sharing, nil)
			g.jobs = append(g.jobs, func() (err error) {
				g.sharing[i], err = limits.RunSharing(o, senders, part, counting.span, counting.all)
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
	// Flush between the tables, so that the columns of each are aligned on their own.
	if err := table.Flush(); err != nil {
		return err
	}
	printSharing(table, g.sharing)
	return table.Flush()
}

// broken reports whether a point of the noise grid did not pass or a point of the sharing grid broke a rule.
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

// inParallel runs jobs, at most cores of them at a time, and shows the progress. It starts no further job after ctx has ended
// or a job has failed, and returns the first error.
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

// printNoise writes the noise grid with a row for each point, or nothing if there are no points.
func printNoise(table io.Writer, points []*limits.NoisePoint) {
	if len(points) > 0 {
		fmt.Fprintln(table, "noise\trate\tshare\tdelivered\tin time\tof ideal\tnon-idempotent\tcalls\tmax calls\trules broken\t")
	}
	for _, p := range points {
		mark := ""
		if !p.Passed() {
			mark = "!"
		}
		fmt.Fprintf(table, "%s\t%g\t%g\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%s\n", p.Mode, p.Rate, p.Share, p.Delivered, p.InTime, p.IdealRatio,
			p.NonIdempotent, p.Calls, p.MaxCalls, p.BrokenRules, mark)
	}
}

// printSharing writes the sharing grid with a row for each phase of each point, or nothing if there are no points.
func printSharing(table io.Writer, points []*limits.SharingPoint) {
	if len(points) > 0 {
		fmt.Fprintln(table, "senders\tlimit\tcounts\tphase\tutilization\trejected\tsettled s\tovershoot\tvariation\tJain\tby chance\tjoiner\trules broken\t")
	}
	for _, p := range points {
		for i, phase := range p.Phases {
			fmt.Fprintf(table, "%d\t%.0f\t%s\t%d\t%.2f\t%.3f\t%.0f\t%.2f\t%.2f\t", p.Senders, phase.Limit, countingText(p), i+1, phase.Utilization, phase.Refused,
				phase.Settled, phase.Overshoot, phase.Variation)
			if i == 0 {
				fmt.Fprintf(table, "%.3f\t%.3f\t%.2f\t%d\t\n", p.Jain, p.JainByChance, p.Joiner, p.BrokenRules)
			} else {
				fmt.Fprintf(table, "\t\t\t\t\n")
			}
		}
	}
}

// countingText describes how the limit of a point counts calls: as a rate or in a window, and whether rejected calls count.
func countingText(p *limits.SharingPoint) string {
	counts := "rate"
	if p.Span > 0 {
		counts = fmt.Sprintf("%g s", p.Span)
	}
	if p.CountAll {
		counts += ", with rejected calls"
	}
	return counts
}
