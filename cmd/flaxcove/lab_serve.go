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
		Name: "serve", Usage: "run only the simulated environment, for senders that you start yourself", ArgsUsage: "SCENARIO",
		Description: "It listens in place of destinations, discovery and platform, writes a configuration for each sender to --dir and\n" +
			"waits until the senders serve. Its clients submit messages as the scenario describes; --set load.rate=0.001\n" +
			"leaves that to you. SIGINT ends the run and prints the verdict up to that time.\n\n" +
			"Example: flaxcove lab serve --dir /tmp/try calm\n" +
			"         EDGE_CONFIG=/tmp/try/s0/config.json flaxcove serve      # in another terminal, for each sender",
		Flags: []cli.Flag{flagSeed, flagSet, flagSize, flagJSON,
			&cli.StringFlag{Name: "dir", Usage: "folder for the senders' configurations and data", Value: "lab-senders"}},
		Action: withScenario(runWorld),
	}
}

// runWorld runs the simulated environment of the scenario until its end or until a stop signal arrives, and prints the
// verdict.
func runWorld(ctx context.Context, c *cli.Command, s *scenario.Scenario) error {
	folder := c.String("dir")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	progress := newProgress()
	showTime := func(now choice.Time) { progress.show("%d of %.0f s", now/choice.Second, s.Spec.Seconds) }
	result, err := live.Run(ctx, live.Options{Spec: s.Spec, Seed: c.Uint64("seed"), Trace: s.Trace, WorldOnlyFolder: folder, KeepVerdict: true,
		Progress: printStatus, Watch: showTime})
	progress.clear()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	if err != nil {
		return err
	}
	return printVerdict(c, result, result.Verdict)
}
