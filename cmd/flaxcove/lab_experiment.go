package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"flaxcove/lab/experiment"
	"flaxcove/lab/report"
	"flaxcove/lab/scenario"
)

func labExperiment() *cli.Command {
	return &cli.Command{
		Name: "experiment", Usage: "play scenarios with several variants on shared seeds and tell the difference", ArgsUsage: "PLAN.toml",
		Description: "A plan names scenarios, seeds and variants. Each result is a line of JSON in --out, written as it comes; a\n" +
			"plan that was cut off goes on where it stopped. A difference whose 95% interval includes 0 cannot be told.\n\n" +
			"    scenarios = [\"crash\", \"slow\", \"mine.toml\"]\n    seeds = 8\n    [[variant]]\n    name = \"ours\"\n" +
			"    [[variant]]\n    name = \"plain backoff\"\n    policy = \"backoff\"\n    [[variant]]\n    name = \"fewer slots\"\n" +
			"    set = {\"sender.slots\" = 4}\n    [[variant]]\n    name = \"yesterday\"\n    binary = \"../old/flaxcove\"\n\n" +
			"Example: flaxcove lab experiment --report tiers.html tiers.toml",
		Flags: []cli.Flag{flagJSON, flagCores("runs at once (simulated)"),
			&cli.StringFlag{Name: "out", Usage: "the file of results (default: PLAN.jsonl)"},
			&cli.StringFlag{Name: "report", Usage: "write an HTML report to this file"}},
		Action: untilStopSignal(runExperiment),
	}
}

// runExperiment plays what is left of a plan and prints how its variants differ.
func runExperiment(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return wrongInput(errors.New("name one plan"))
	}
	path := c.Args().First()
	plan, jobs, err := experiment.Load(path, scenario.Find)
	if err != nil {
		return wrongInput(err)
	}
	results, err := playPlan(ctx, c, path, plan, jobs)
	if err != nil {
		return err
	}
	rows := experiment.Compare(results, plan.Base)
	if file := c.String("report"); file != "" {
		if err := writeReport(file, &report.Page{Title: plan.Name, Results: results, Base: plan.Base}); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		return printJSON(rows)
	}
	printFailedRuns(results)
	if len(rows) == 0 {
		printAverages(results)
		return nil
	}
	return report.Differences(os.Stdout, rows, plan.Base)
}

// playPlan plays the plan's jobs, each result a line of the file that --out names, and shows the progress.
func playPlan(ctx context.Context, c *cli.Command, path string, plan *experiment.Plan, jobs []*experiment.Job) ([]*experiment.Result, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	out := c.String("out")
	if out == "" {
		out = strings.TrimSuffix(path, ".toml") + ".jsonl"
	}
	progress := newProgress()
	defer progress.clear()
	return experiment.Run(ctx, plan, jobs, experiment.Options{Cores: c.Int("cores"), Out: out, Self: self,
		Progress: func(done, all int, left time.Duration, r *experiment.Result) {
			progress.show("%d of %d runs, about %v left; %s %s seed %d: %.3f %s", done, all, left.Round(time.Second), r.Scenario, r.Variant, r.Seed, r.Figure, r.Error)
		}})
}

// printFailedRuns names the runs that gave no result on standard error.
func printFailedRuns(results []*experiment.Result) {
	for _, r := range results {
		if r.Error != "" {
			printStatus("flaxcove: %s, %s, seed %d: %s", r.Scenario, r.Variant, r.Seed, r.Error)
		}
	}
}

// printAverages prints a line for each variant of a plan that has nothing to compare.
func printAverages(results []*experiment.Result) {
	for _, m := range experiment.Averages(results) {
		fmt.Printf("%s  size %g  %s  %d runs  %.3f  broken in %d\n", m.Scenario, m.Size, m.Variant, m.Runs, m.Figure, m.Broken)
	}
}
