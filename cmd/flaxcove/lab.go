package main

// This file declares the list of lab commands, and what they share: exit codes, flags and helpers.

import (
	"context"
	"fmt"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/urfave/cli/v3"

	"flaxcove/lab/referee"
	"flaxcove/lab/scenario"
)

// Exit codes of all lab commands and of the routes commands. Code 0 means success, code 1 any other failure.
const (
	exitWrongInput = 2 // a file or a flag is invalid; nothing has run
	exitRuleBroken = 3 // a rule was broken, an expectation failed, or a hunt saved a find
	exitVoidRun    = 4 // the machine was too busy, so the result of the run is void
)

// The engines that can run a scenario, by their names in --engine.
const (
	engineSimulated = "simulated"
	engineSockets   = "sockets"
)

var (
	flagSet    = &cli.StringSliceFlag{Name: "set", Usage: "set a field of the scenario to a value: `FIELD=VALUE`, for example load.rate=100; may be repeated"}
	flagSize   = &cli.FloatFlag{Name: "size", Usage: "factor by which to multiply the scenario's senders, destinations and rate", Value: 1}
	flagEngine = &cli.StringFlag{Name: "engine", Usage: "simulated (in simulated time) or sockets (real senders on loopback sockets)", Value: engineSimulated}
	flagSeed   = &cli.Uint64Flag{Name: "seed", Usage: "seed of all random draws", Value: 1}
	flagJSON   = &cli.BoolFlag{Name: "json", Usage: "print JSON"}
	flagBinary = &cli.StringFlag{Name: "binary", Usage: "path of another build of this program to use for the run"}
	flagLogs   = &cli.StringFlag{Name: "logs", Usage: "folder in which to store the logs of real senders"}
)

// flagCores returns the flag --cores, whose default is the number of CPUs. The usage text says what the command runs that
// many of in parallel.
func flagCores(usage string) *cli.IntFlag {
	return &cli.IntFlag{Name: "cores", Usage: usage, Value: runtime.NumCPU()}
}

func labCommand() *cli.Command {
	return &cli.Command{
		Name:  "lab",
		Usage: "test senders against a simulated environment",
		Description: "All traffic stays on this machine: the engine \"simulated\" runs in simulated time, the engine \"sockets\" on\nloopback sockets.\n" +
			"Exit codes: 0 success, 1 failure, 2 a file or a flag is invalid and nothing has run, 3 a rule was broken or a\n" +
			"find was saved, 4 the machine was too busy and the run is void.\n\n" +
			"Example: flaxcove lab run crash",
		Commands: []*cli.Command{labRun(), labServe(), labLoad(), labExperiment(), labHunt(), labReport(), labLimits(), labScenarios(), labYardstick(), labScale(), labRecovery()},
	}
}

// untilStopSignal returns an action whose context ends on SIGINT or SIGTERM, so that the action can stop its processes and
// remove its temporary folders.
func untilStopSignal(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		return action(ctx, c)
	}
}

// withScenario returns an action that loads the scenario named by the command's only argument, and passes it to the given
// function. The context ends on SIGINT or SIGTERM.
func withScenario(action func(context.Context, *cli.Command, *scenario.Scenario) error) cli.ActionFunc {
	return untilStopSignal(func(ctx context.Context, c *cli.Command) error {
		s, err := findScenario(c)
		if err != nil {
			return err
		}
		return action(ctx, c, s)
	})
}

// wrongInput returns an error that makes the program print err and exit with exitWrongInput.
func wrongInput(err error) error {
	return cli.Exit(fmt.Errorf("flaxcove: %w", err), exitWrongInput)
}

// exitSilently returns an error that makes the program exit with a code and print nothing, because the result has already
// been printed.
func exitSilently(code int) error { return cli.Exit("", code) }

// verdictCode returns an error that makes the program exit with exitVoidRun for a void run and with exitRuleBroken for a
// run that broke a rule. It returns nil for any other run.
func verdictCode(v *referee.Verdict) error {
	switch {
	case v.Void != "":
		return exitSilently(exitVoidRun)
	case v.Broken():
		return exitSilently(exitRuleBroken)
	}
	return nil
}
