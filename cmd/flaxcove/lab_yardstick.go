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
		Name: "yardstick", Hidden: true, Usage: "run the minimal forwarder with which `lab load` compares senders; it follows no rules",
		Action: untilStopSignal(runYardstick),
	}
}

// runYardstick forwards messages until a stop signal arrives. It uses one thread, as a sender does, so that the two can be
// compared.
func runYardstick(ctx context.Context, _ *cli.Command) error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	fmt.Fprintln(os.Stderr, "yardstick: a minimal forwarder for measurements only; it follows no rules")
	return yardstick.Run(ctx, cfg)
}
