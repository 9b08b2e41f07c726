package main

// This file owns what the lab commands share: their list, their exit codes and the flags that several of them take.

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

// Exit codes of all lab commands and of the routes commands, beside 0 and 1 for what else went wrong.
const (
	exitWrongInput = 2 // a file or a flag is wrong; nothing has run
	exitRuleBroken = 3 // a rule was broken, or a find was made
	exitVoid       = 4 // the machine was too busy for the run to say anything
)

// The engines that can play a scenario, as --engine names them.
const (
	engineSimulated = "simulated"
	engineSockets   = "sockets"
)

var (
	flagSet    = &cli.StringSliceFlag{Name: "set", Usage: "`FIELD=VALUE` of the scenario, as in load.rate=100; may be repeated"}
	flagSize   = &cli.FloatFlag{Name: "size", Usage: "times the scenario's senders, partners and rate", Value: 1}
	flagEngine = &cli.StringFlag{Name: "engine", Usage: "simulated, or sockets with real senders", Value: engineSimulated}
	flagSeed   = &cli.Uint64Flag{Name: "seed", Usage: "from which all chance comes", Value: 1}
	flagJSON   = &cli.BoolFlag{Name: "json", Usage: "print JSON"}
	flagBinary = &cli.StringFlag{Name: "binary", Usage: "another build of this program, to play with"}
	flagLogs   = &cli.StringFlag{Name: "logs", Usage: "keep the senders' logs in this folder (sockets)"}
)

// flagCores is --cores with what the command does so many of at once.
func flagCores(usage string) *cli.IntFlag {
	return &cli.IntFlag{Name: "cores", Usage: usage, Value: runtime.NumCPU()}
}

func labCommand() *cli.Command {
	return &cli.Command{
		Name:  "lab",
		Usage: "try senders against a model of the outside world",
		Description: "All of it stays on this machine: engine one plays in simulated time, engine two on loopback sockets.\n" +
			"Exit codes: 0 done, 1 it could not be done, 2 a file or flag is wrong and nothing has run, 3 a rule was\n" +
			"broken or a find was made, 4 the machine was too busy and the run is void.\n\n" +
			"Example: flaxcove lab run crash",
		Commands: []*cli.Command{labRun(), labServe(), labLoad(), labExperiment(), labHunt(), labReport(), labLimits(), labScenarios(), labYardstick(), labScale()},
	}
}

// untilStopSignal is an action whose context ends with SIGINT or SIGTERM, so that neither a process nor a folder is left behind.
func untilStopSignal(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		return action(ctx, c)
	}
}

// withScenario is an action on the scenario that the command's only argument names; its context ends with a stop signal.
func withScenario(action func(context.Context, *cli.Command, *scenario.Scenario) error) cli.ActionFunc {
	return untilStopSignal(func(ctx context.Context, c *cli.Command) error {
		s, err := findScenario(c)
		if err != nil {
			return err
		}
		return action(ctx, c, s)
	})
}

// wrongInput ends the program with the error as its message and the exit code for wrong input.
func wrongInput(err error) error {
	return cli.Exit(fmt.Errorf("flaxcove: %w", err), exitWrongInput)
}

// exitSilently ends the program with a code and no message: what went wrong has been printed already.
func exitSilently(code int) error { return cli.Exit("", code) }

// verdictCode is the exit code that a verdict asks for.
func verdictCode(v *referee.Verdict) error {
	switch {
	case v.Void != "":
		return exitSilently(exitVoid)
	case v.Broken():
		return exitSilently(exitRuleBroken)
	}
	return nil
}
