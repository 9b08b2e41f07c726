package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"flaxcove/lab/baseline"
	"flaxcove/lab/experiment"
	"flaxcove/lab/referee"
	"flaxcove/lab/report"
	"flaxcove/lab/scenario"
	"flaxcove/lab/sim"
)

func labRun() *cli.Command {
	return &cli.Command{
		Name: "run", Usage: "run one scenario and check the rules", ArgsUsage: "SCENARIO",
		Description: "SCENARIO is the name of a file that ends in .toml, or the name of a built-in scenario. A find that a hunt has\n" +
			"saved is run with the seed of its file, unless --seed is set.\n\n" +
			"Examples: flaxcove lab run crash\n" +
			"          flaxcove lab run --engine sockets --report crash.html crash\n" +
			"          flaxcove lab run --policy backoff --set load.rate=100 slow",
		Flags: []cli.Flag{flagEngine, flagSeed, flagSet, flagSize, flagJSON, flagBinary, flagLogs,
			&cli.StringFlag{Name: "policy", Usage: "choice (the default) or a baseline (engine simulated only): one_try, fixed, backoff, least, all_seen"},
			&cli.StringFlag{Name: "out", Usage: "write the verdict as JSON to this file"},
			&cli.StringFlag{Name: "report", Usage: "write an HTML report to this file"}},
		Action: withScenario(runScenario),
	}
}

// runScenario runs the scenario once, and writes and prints the verdict. The exit code depends on the verdict, see
// verdictCode.
func runScenario(ctx context.Context, c *cli.Command, s *scenario.Scenario) error {
	run, err := newRunSpec(c, s)
	if err != nil {
		return err
	}
	if run.Engine == engineSockets {
		fmt.Fprintf(os.Stderr, "%s: %d senders, %.0f s and the time to finish pending messages\n", s.Spec.Name, s.Spec.Senders, s.Spec.Seconds)
	}
	verdict, err := experiment.RunOnce(ctx, run)
	if err != nil {
		return err
	}
	if err := writeVerdict(c, s.Spec.Name, verdict); err != nil {
		return err
	}
	if err := printVerdict(c, verdict, verdict); err != nil {
		return err
	}
	return verdictCode(verdict)
}

// newRunSpec returns the run that the flags describe.
func newRunSpec(c *cli.Command, s *scenario.Scenario) (experiment.RunSpec, error) {
	policy := c.String("policy")
	if _, err := findPolicy(policy); err != nil {
		return experiment.RunSpec{}, err
	}
	engine := c.String("engine")
	if engine != engineSimulated && engine != engineSockets {
		return experiment.RunSpec{}, wrongInput(fmt.Errorf("--engine: %q is neither simulated nor sockets", engine))
	}
	self, err := os.Executable()
	if err != nil {
		return experiment.RunSpec{}, err
	}
	return experiment.RunSpec{Engine: engine, Spec: s.Spec, Scenario: s, Seed: c.Uint64("seed"),
		Policy: policy, Binary: c.String("binary"), Self: self, Logs: c.String("logs")}, nil
}

// findPolicy returns the policy with a name, or nil if the name is "": nil selects the project's own decisions.
func findPolicy(name string) (sim.NewPolicy, error) {
	if name == "" {
		return nil, nil
	}
	policy := baseline.Named(name)
	if policy == nil {
		return nil, wrongInput(fmt.Errorf("--policy: unknown policy %q", name))
	}
	return policy, nil
}

// writeVerdict writes the verdict to the files named by --out and --report, if these are set.
func writeVerdict(c *cli.Command, title string, verdict *referee.Verdict) error {
	if path := c.String("out"); path != "" {
		if err := writeJSON(path, verdict); err != nil {
			return err
		}
	}
	if path := c.String("report"); path != "" {
		return writeReport(path, &report.Page{Title: title, Verdicts: []*referee.Verdict{verdict}})
	}
	return nil
}
