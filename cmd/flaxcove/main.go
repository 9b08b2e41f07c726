// Flaxcove is the gateway's command line.
//
// The package defines flags, exit codes and terminal output, with one file for each sub-command. The work is done by the
// packages below internal (serve), lab (lab ...) and internal/routes (routes ...); no decision about a message is made here.
// This file declares the list of sub-commands, logger.go makes the logger, and serve.go sets the process's limits and handles its signals.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"

	"github.com/urfave/cli/v3"

	"flaxcove/internal/config"
)

// version is the version of the program. A release build sets it with -ldflags "-X main.version=...".
var version = "development"

func main() {
	app := &cli.Command{
		Name:  "flaxcove",
		Usage: "an outbound gateway: accept messages from clients and deliver them to the endpoints of their destinations",
		Commands: []*cli.Command{serveCommand(), addCommand(),
			{Name: "counters", Usage: "print a running sender's counters", Action: counters, Flags: []cli.Flag{flagAddr}},
			{Name: "ping", Usage: "check whether a sender is ready", Action: ping, Flags: []cli.Flag{flagAddr}},
			{Name: "check", Usage: "check the configuration and print a summary or the first error", Action: checkConfig},
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

// checkConfig reads the configuration as serve does, and prints a summary.
func checkConfig(context.Context, *cli.Command) error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d known endpoints, %d classes, in-flight limit %d\n", cfg.Name, len(cfg.InitialList.Entries), len(cfg.ClassNumbers), cfg.Settings.InFlightLimit)
	return nil
}
