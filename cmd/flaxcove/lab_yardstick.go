package main

import (
	"context"
	"fmt"
	"os"
	"runtime"

	"github.com/urfave/cli/v3"

	"flaxcove/internal/config"
	"flaxcove/lab/yardstick"
)

func labYardstick() *cli.Command {
	return &cli.Command{
		Name: "yardstick", Hidden: true, Usage: "run the forwarder that lab load measures senders against; keeps no rule",
		Action: untilStopSignal(runYardstick),
	}
}

// runYardstick forwards until a stop signal, on one thread as a sender does, so that both are measured alike.
func runYardstick(ctx context.Context, _ *cli.Command) error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	fmt.Fprintln(os.Stderr, "yardstick: a plain forwarder for measurements; it keeps no rule")
	return yardstick.Run(ctx, cfg)
}
