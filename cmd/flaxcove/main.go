// Flaxcove is the gateway's command line.
//
// This file owns the list of sub-commands, the logger and the process's limits; serve.go owns the signals. It must never decide anything about a
// message.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"flaxcove/internal/config"
)

// version is set by the build where it is known: -ldflags "-X main.version=...".
var version = "development"

// heapShare of the memory limit is left to the collector; stacks, sockets and the program itself need the rest.
const heapShare = 0.6

func main() {
	app := &cli.Command{
		Name:  "flaxcove",
		Usage: "take notices from clients and deliver them to partners' endpoints",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "run one sender, as EDGE_CONFIG and the other EDGE_ variables say", Action: serve, Flags: []cli.Flag{
				&cli.BoolFlag{Name: "notes", Usage: "tell other senders of limits met and hear them, where the configuration allows it"},
				&cli.StringFlag{Name: "profile", Usage: "write a CPU profile of the whole run to this file"},
				&cli.StringFlag{Name: "cluster", Usage: "join the processes around this one, as this file says"},
				&cli.BoolFlag{Name: "trace", Usage: "log each step of each notice too, by its id, and the settings once"}}},
			{Name: "add", Usage: "hand one notice to a running sender", ArgsUsage: "BODY", Action: add, Flags: []cli.Flag{addr,
				&cli.StringFlag{Name: "class", Usage: "its workload, as the settings name it", Required: true},
				&cli.Int64Flag{Name: "dest", Usage: "the number of its destination", Required: true},
				&cli.DurationFlag{Name: "within", Usage: "how long it may still be delivered", Value: 5 * time.Second}}},
			{Name: "counters", Usage: "print a running sender's counters", Action: counters, Flags: []cli.Flag{addr}},
			{Name: "ping", Usage: "ask a sender whether it is ready", Action: ping, Flags: []cli.Flag{addr}},
			{Name: "check", Usage: "read the configuration and say what is wrong with it", Action: check},
			labCommand(), routesCommand(),
			{Name: "version", Usage: "print the version", Action: func(context.Context, *cli.Command) error {
				_, err := fmt.Println("flaxcove", version, runtime.Version())
				return err
			}},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "flaxcove:", err)
		os.Exit(1)
	}
}

func check(context.Context, *cli.Command) error {
	c, err := config.Load(os.Getenv)
	if err == nil {
		fmt.Printf("%s: %d endpoints known, %d workloads, %d slots\n", c.Name, len(c.Known.Servers), len(c.ClassNumbers), c.Settings.InFlightLimit)
	}
	return err
}

// logger writes a line of JSON for each entry to standard error, and drops none.
func logger(trace bool) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	if trace {
		c.Level.SetLevel(zap.DebugLevel)
	}
	c.Sampling = nil
	c.DisableCaller, c.DisableStacktrace = true, true
	c.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	return c.Build()
}
