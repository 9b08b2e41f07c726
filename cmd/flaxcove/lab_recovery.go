package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"flaxcove/lab/recovery"
)

func labRecovery() *cli.Command {
	return &cli.Command{
		Name: "recovery", Usage: "measure how a fleet of real senders treats an endpoint that returns from an outage",
		Description: "Each run takes half a minute of real time. With --drawn the plans are drawn from consecutive seeds; otherwise the\n" +
			"flags describe the plan. Exit code 3 means that the endpoint was overloaded in a run.\n\n" +
			"Examples: flaxcove lab recovery --drawn --runs 50\n" +
			"          flaxcove lab recovery --senders 48 --rate 23 --outage refuse_and_close --killed 0.33 --kill-before 4s",
		Flags: []cli.Flag{flagSeed, flagBinary, flagLogs,
			&cli.IntFlag{Name: "runs", Usage: "number of runs, with consecutive seeds", Value: 1},
			&cli.BoolFlag{Name: "drawn", Usage: "draw each plan from its seed"},
			&cli.IntFlag{Name: "senders", Value: 48},
			&cli.FloatFlag{Name: "rating", Usage: "capacity of the endpoint, in calls per second", Value: 8},
			&cli.FloatFlag{Name: "rate", Usage: "messages per second for the endpoint, at all senders together", Value: 12},
			&cli.FloatFlag{Name: "skew", Usage: "exponent of the differences in load between senders"},
			&cli.BoolFlag{Name: "rough", Usage: "the endpoint list names a rating that is half too high"},
			&cli.BoolFlag{Name: "reports", Usage: "answers carry a load report"},
			&cli.BoolFlag{Name: "used-up", Usage: "the reports of the outage say that a rate limit is used up"},
			&cli.BoolFlag{Name: "probing", Usage: "senders may send health probes"},
			&cli.StringSliceFlag{Name: "outage", Usage: "how the endpoint fails; several values follow one another", Value: []string{string(recovery.RefuseAndClose)}},
			&cli.FloatFlag{Name: "killed", Usage: "share of the senders that are killed and started again"},
			&cli.DurationFlag{Name: "kill-before", Usage: "time of the first kill before the return", Value: 4 * time.Second},
			&cli.DurationFlag{Name: "kill-spread", Usage: "time over which the kills are drawn", Value: time.Second}},
		Action: untilStopSignal(runRecovery),
	}
}

// runRecovery plays the plans that the flags describe and prints a line for each.
func runRecovery(ctx context.Context, c *cli.Command) error {
	command, err := recoveryCommand(c)
	if err != nil {
		return err
	}
	overloaded := 0
	for i := range c.Int("runs") {
		plan := recoveryPlan(c, c.Uint64("seed")+uint64(i))
		result, err := playRecovery(ctx, plan, command, c.String("logs"))
		if err != nil {
			return err
		}
		fmt.Printf("%s\n  %+v\n", result, plan)
		if result.Share > 1 {
			overloaded++
		}
	}
	if overloaded > 0 {
		return cli.Exit(fmt.Sprintf("overloaded in %d of %d runs", overloaded, c.Int("runs")), exitRuleBroken)
	}
	return nil
}

// recoveryCommand returns the command of a sender.
func recoveryCommand(c *cli.Command) ([]string, error) {
	if binary := c.String("binary"); binary != "" {
		return []string{binary, "serve"}, nil
	}
	self, err := os.Executable()
	return []string{self, "serve"}, err
}

// recoveryPlan returns the plan for a seed.
func recoveryPlan(c *cli.Command, seed uint64) recovery.Plan {
	if c.Bool("drawn") {
		return recovery.Draw(seed)
	}
	plan := recovery.Plan{Senders: c.Int("senders"), Rating: c.Float("rating"), Rate: c.Float("rate"), Skew: c.Float("skew"),
		RoughRating: c.Bool("rough"), Reports: c.Bool("reports"), UsedUp: c.Bool("used-up"), Probing: c.Bool("probing"),
		KilledShare: c.Float("killed"), KillBefore: c.Duration("kill-before"), KillSpread: c.Duration("kill-spread"), Seed: seed}
	for _, name := range c.StringSlice("outage") {
		plan.Outages = append(plan.Outages, recovery.Outage(name))
	}
	return plan
}

// playRecovery plays a plan. The folders of the senders, with their logs, stay in the folder logs; if that is "", they are
// removed.
func playRecovery(ctx context.Context, plan recovery.Plan, command []string, logs string) (recovery.Result, error) {
	folder, err := os.MkdirTemp("", "flaxcove-recovery-")
	if err != nil {
		return recovery.Result{}, err
	}
	defer os.RemoveAll(folder)
	if logs != "" {
		folder = filepath.Join(logs, fmt.Sprintf("seed-%d", plan.Seed))
	}
	return recovery.Run(ctx, plan, command, folder)
}
