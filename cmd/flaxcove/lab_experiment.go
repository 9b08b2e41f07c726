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
		Name: "experiment", Usage: "run scenarios with several variants on the same seeds and compare the results", ArgsUsage: "PLAN.toml",
		Description: "A plan names scenarios, seeds and variants. Each result is appended to --out at once, as a line of JSON; a plan\n" +
			"that was interrupted resumes where it stopped. A difference whose 95% confidence interval includes 0 is not\nsignificant.\n\n" +
			"    scenarios = [\"crash\", \"slow\", \"mine.toml\"]\n    seeds = 8\n    [[variant]]\n    name = \"ours\"\n" +
			"    [[variant]]\n    name = \"plain backoff\"\n    policy = \"backoff\"\n    [[variant]]\n    name = \"fewer slots\"\n" +
			"    set = {\"sender.slots\" = 4}\n    [[variant]]\n    name = \"yesterday\"\n    binary = \"../old/flaxcove\"\n\n" +
			"Example: flaxcove lab experiment --report tiers.html tiers.toml",
		Flags: []cli.Flag{flagJSON, flagCores("number of parallel runs (engine simulated only)"),
			&cli.StringFlag{Name: "out", Usage: "file to which results are appended (default: PLAN.jsonl)"},
			&cli.StringFlag{Name: "report", Usage: "write an HTML report to this file"}},
		Action: untilStopSignal(runExperiment),
	}
}

// runExperiment runs the jobs of a plan that have no result yet, and prints the differences between its variants.
func runExperiment(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return wrongInput(errors.New("expected one argument: the plan's file"))
	}
	path := c.Args().First()
	plan, jobs, err := experiment.Load(path, scenario.Find)
	if err != nil {
		return wrongInput(err)
	}
	results, err := runPlan(ctx, c, path, plan, jobs)
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

// runPlan runs the plan's jobs, appends each result to the file named by --out, and shows the progress.
func runPlan(ctx context.Context, c *cli.Command, path string, plan *experiment.Plan, jobs []*experiment.Job) ([]*experiment.Result, error) {
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
		Progress: func(done, all int, remaining time.Duration, r *experiment.Result) {
			progress.show("%d of %d runs, about %v left; %s %s seed %d: %.3f %s", done, all, remaining.Round(time.Second), r.Scenario, r.Variant, r.Seed, r.Figure, r.Error)
		}})
}

// printFailedRuns prints each run that ended with an error to standard error.
func printFailedRuns(results []*experiment.Result) {
	for _, r := range results {
		if r.Error != "" {
			printStatus("flaxcove: %s, %s, seed %d: %s", r.Scenario, r.Variant, r.Seed, r.Error)
		}
	}
}

// printAverages prints the mean figures of each scenario, size and variant. It is used if the plan has no variant beside
// the base to compare.
func printAverages(results []*experiment.Result) {
	for _, m := range experiment.Averages(results) {
		fmt.Printf("%s  size %g  %s  %d runs  %.3f  rules broken in %d\n", m.Scenario, m.Size, m.Variant, m.Runs, m.Figure, m.Broken)
	}
}
