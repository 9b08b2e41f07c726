package main

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"flaxcove/choice"
	"flaxcove/lab/live"
	"flaxcove/lab/scenario"
)

func labServe() *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "run a world alone, to try a sender of your own against", ArgsUsage: "SCENARIO",
		Description: "It listens for partners, discovery and platform, writes a configuration for each sender to --dir and waits\n" +
			"until senders serve. Its programs hand in as the scenario says; load.rate=0.001 leaves that to you. SIGINT\n" +
			"ends it, with a verdict on what was played.\n\n" +
			"Example: flaxcove lab serve --dir /tmp/try calm\n" +
			"         EDGE_CONFIG=/tmp/try/s0/config.json flaxcove serve      # in another terminal, for each sender",
		Flags: []cli.Flag{flagSeed, flagSet, flagSize, flagJSON,
			&cli.StringFlag{Name: "dir", Usage: "where configurations and the senders' folders go", Value: "lab-senders"}},
		Action: withScenario(runWorld),
	}
}

// runWorld plays the outside world of the scenario until it ends or a stop signal comes, and prints the verdict.
func runWorld(ctx context.Context, c *cli.Command, s *scenario.Scenario) error {
	folder := c.String("dir")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	progress := newProgress()
	showTime := func(now choice.Time) { progress.show("%d of %.0f s", now/choice.Second, s.Spec.Seconds) }
	result, err := live.Run(ctx, live.Options{Spec: s.Spec, Seed: c.Uint64("seed"), Trace: s.Trace, WorldOnlyFolder: folder, KeepVerdict: true,
		Say: printStatus, Watch: showTime})
	progress.clear()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	if err != nil {
		return err
	}
	return printVerdict(c, result, result.Verdict)
}
