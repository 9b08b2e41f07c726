// Flaxcove is the gateway's command line.
//
// The package owns flags, exit codes and what is printed on a terminal, one file a sub-command; what the sub-commands do
// is in internal (serve), lab (lab ...) and internal/routes (routes ...). It never decides anything about a message.
// This file owns the list of sub-commands and the logger; serve.go owns the process's limits and signals.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"flaxcove/internal/config"
)

// version is set by the build where it is known: -ldflags "-X main.version=...".
var version = "development"

func main() {
	app := &cli.Command{
		Name:  "flaxcove",
		Usage: "take notices from clients and deliver them to partners' endpoints",
		Commands: []*cli.Command{serveCommand(), addCommand(),
			{Name: "counters", Usage: "print a running sender's counters", Action: counters, Flags: []cli.Flag{flagAddr}},
			{Name: "ping", Usage: "ask a sender whether it is ready", Action: ping, Flags: []cli.Flag{flagAddr}},
			{Name: "check", Usage: "read the configuration and say what is wrong with it", Action: checkConfig},
			labCommand(), routesCommand(),
			{Name: "version", Usage: "print the version", Action: printVersion},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "flaxcove:", err)
		os.Exit(1)
	}
}

func printVersion(context.Context, *cli.Command) error {
	_, err := fmt.Println("flaxcove", version, runtime.Version())
	return err
}

// checkConfig reads the configuration as serve would and sums it up.
func checkConfig(context.Context, *cli.Command) error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d endpoints known, %d workloads, %d slots\n", cfg.Name, len(cfg.Known.Entries), len(cfg.ClassNumbers), cfg.Settings.InFlightLimit)
	return nil
}

// newLogger writes a line of JSON for each entry to standard error, and drops none.
func newLogger(trace bool) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	if trace {
		cfg.Level.SetLevel(zap.DebugLevel)
	}
	cfg.Sampling = nil
	cfg.DisableCaller, cfg.DisableStacktrace = true, true
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	return cfg.Build()
}
