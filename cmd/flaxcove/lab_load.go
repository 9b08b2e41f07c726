package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"flaxcove/lab/live"
	"flaxcove/lab/load"
	"flaxcove/lab/scenario"
)

// The programs that can be measured, by their names in the table and in the JSON output.
const (
	programServe     = "serve"
	programYardstick = "yardstick"
)

// programArguments holds the arguments that make a build of this program run as the measured program.
var programArguments = map[string][]string{
	programServe:     {"serve"},
	programYardstick: {"lab", "yardstick"},
}

// Upper bounds on --rates and --soak.
const (
	maxRate = 100_000 // messages per second
	maxSoak = time.Hour
)

// loadStep holds the measurements of one program at one rate.
type loadStep struct {
	Command   string  `json:"command"` // programServe or programYardstick
	Rate      float64 `json:"rate"`
	Sustained bool    `json:"held"`
	Reason    string  `json:"why,omitempty"` // why the rate was not sustained; "" if it was
	InTime    float64 `json:"in_time"`       // share of the requested messages that were delivered within the latency objective
	OKP50     float64 `json:"ok_p50_ms"`
	OKP99     float64 `json:"ok_p99_ms"`
	OKP999    float64 `json:"ok_p999_ms"`
	P50       float64 `json:"delivery_p50_ms"`
	P99       float64 `json:"delivery_p99_ms"`
	P999      float64 `json:"delivery_p999_ms"`
	CPUUS     float64 `json:"cpu_us_a_notice"`
	PeakMB    float64 `json:"peak_mb"`
	JournalB  float64 `json:"journal_bytes"`
	Fds       int     `json:"descriptors"`
	LateShare float64 `json:"lab_late_share"`
	WorstLate float64 `json:"lab_worst_late_ms"`
}

func labLoad() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "measure which message rates real senders sustain on sockets", ArgsUsage: "SCENARIO",
		Description: "Arrivals are open-loop: the latency of a message counts from the time at which it was due to be submitted, so\nthat a sender that stalls cannot hide it. Modes: --search finds the highest rate that is sustained, --rates\n" +
			"runs several rates in turn, --soak runs the scenario's own rate for a long time. A step in which the lab\n" +
			"itself was late is reported as void.\n\n" +
			"Examples: flaxcove lab load --search --share 0.99 calm\n" +
			"          flaxcove lab load --rates 100,200,400 --yardstick --seconds 10 calm\n" +
			"          flaxcove lab load --soak 10m --set load.rate=300 calm",
		Flags: []cli.Flag{flagSeed, flagSet, flagSize, flagJSON, flagBinary, flagLogs,
			&cli.BoolFlag{Name: "search", Usage: "find the highest rate that is sustained"},
			&cli.StringFlag{Name: "rates", Usage: "run these rates in turn: messages per second, separated by commas"},
			&cli.DurationFlag{Name: "soak", Usage: "run the scenario's own rate for this time, an hour at most"},
			&cli.FloatFlag{Name: "share", Usage: "share of messages that must be delivered within their latency objective", Value: 0.99},
			&cli.FloatFlag{Name: "seconds", Usage: "duration of each step", Value: 8},
			&cli.FloatFlag{Name: "from", Usage: "rate at which the search starts", Value: 200},
			&cli.FloatFlag{Name: "most", Usage: "highest rate that the search tries", Value: 20000},
			&cli.IntFlag{Name: "steps", Usage: "maximum number of steps of the search", Value: 14},
			&cli.StringFlag{Name: "profile", Usage: "write a CPU profile of the last step's sender to this file"},
			&cli.BoolFlag{Name: "yardstick", Usage: "run each step with the yardstick, a minimal forwarder, too"}},
		Action: withScenario(runLoad),
	}
}

// runLoad runs the steps selected by the flags and prints the measurements of each.
func runLoad(ctx context.Context, c *cli.Command, s *scenario.Scenario) error {
	r, err := newLoadRun(c, s)
	if err != nil {
		return err
	}
	if err := r.runMode(ctx); err != nil {
		return err
	}
	if r.json {
		return printJSON(r.steps)
	}
	return nil
}

// loadRun holds the state that the steps of one `lab load` share.
type loadRun struct {
	flags    *cli.Command
	json     bool // print all steps as JSON after the last one, in place of a table row for each
	scenario *scenario.Scenario
	binary   string     // path of the program to measure
	steps    []loadStep // in the order in which they ran
	table    *tabwriter.Writer
}

// newLoadRun finds the program to measure, and prints the heading of the table unless --json is set.
func newLoadRun(c *cli.Command, s *scenario.Scenario) (*loadRun, error) {
	binary, err := loadBinary(c)
	if err != nil {
		return nil, err
	}
	r := &loadRun{flags: c, json: c.Bool("json"), scenario: s, binary: binary, table: tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', tabwriter.AlignRight)}
	if !r.json {
		fmt.Fprintln(r.table, "program\trate\tin time\taccepted p50\tp99\tp99.9 ms\tdelivered p50\tp99\tp99.9 ms\tCPU us/message\tpeak MB\tresult\t")
	}
	return r, nil
}

// loadBinary returns the path given by --binary, or else the path of this program.
func loadBinary(c *cli.Command) (string, error) {
	if binary := c.String("binary"); binary != "" {
		return binary, nil
	}
	return os.Executable()
}

// runMode runs the mode selected by the flags: a search, a list of rates, or a soak.
func (r *loadRun) runMode(ctx context.Context) error {
	switch {
	case r.flags.Bool("search"):
		return r.search(ctx)
	case r.flags.String("rates") != "":
		return r.runRates(ctx, r.flags.String("rates"))
	case r.flags.Duration("soak") > 0:
		_, err := r.runStep(ctx, r.scenario.Spec.Load.Rate, min(r.flags.Duration("soak"), maxSoak).Seconds(), 0)
		return err
	default:
		return wrongInput(errors.New("one of --search, --rates and --soak is required"))
	}
}

// search runs rates until the highest one that is sustained is found, and prints it.
func (r *loadRun) search(ctx context.Context) error {
	search := load.NewSearch(r.flags.Float("from"), r.flags.Float("most"), r.flags.Int("steps"))
	for stepNo := 0; ; stepNo++ {
		rate, more := search.Next()
		if !more {
			break
		}
		step, err := r.runStep(ctx, rate, r.flags.Float("seconds"), stepNo)
		if err != nil {
			return err
		}
		search.Record(rate, step.Sustained)
	}
	sustained, notSustained := search.Best()
	if !r.json {
		fmt.Printf("sustained at %.0f messages per second; not sustained at %.0f\n", sustained, notSustained)
	}
	return nil
}

// runRates runs each rate of a comma-separated list in turn.
func (r *loadRun) runRates(ctx context.Context, list string) error {
	for stepNo, text := range strings.Split(list, ",") {
		rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || !(rate > 0 && rate <= maxRate) {
			return wrongInput(fmt.Errorf("--rates: %q is not a valid rate in messages per second", text))
		}
		if _, err := r.runStep(ctx, rate, r.flags.Float("seconds"), stepNo); err != nil {
			return err
		}
	}
	return nil
}

// runStep runs a step with the sender and, if --yardstick is set, with the yardstick too. The order of sender and yardstick
// alternates from step to step, so that neither always runs on a warm machine. It returns the sender's step.
func (r *loadRun) runStep(ctx context.Context, rate, seconds float64, stepNo int) (loadStep, error) {
	if !r.flags.Bool("yardstick") {
		return r.runAndRecord(ctx, rate, seconds, programServe)
	}
	if stepNo%2 == 1 {
		if _, err := r.runAndRecord(ctx, rate, seconds, programYardstick); err != nil {
			return loadStep{}, err
		}
		return r.runAndRecord(ctx, rate, seconds, programServe)
	}
	step, err := r.runAndRecord(ctx, rate, seconds, programServe)
	if err == nil {
		_, err = r.runAndRecord(ctx, rate, seconds, programYardstick)
	}
	return step, err
}

// runAndRecord runs one step of a program at the given rate, in messages per second, for the given number of seconds. It
// records the step and, unless --json is set, prints its row.
func (r *loadRun) runAndRecord(ctx context.Context, rate, seconds float64, program string) (loadStep, error) {
	spec := *r.scenario.Spec
	spec.Load.Rate, spec.Seconds = rate, seconds
	arguments := programArguments[program]
	printStatus("%s at %.0f messages per second for %.0f s", arguments[0], rate, seconds)
	command := append([]string{r.binary}, arguments...)
	if file := r.flags.String("profile"); file != "" && program == programServe {
		command = append(command, "--profile", file)
	}
	step, err := measureStep(ctx, &scenario.Scenario{Spec: &spec, Trace: r.scenario.Trace}, r.flags, command)
	step.Command = program
	if err != nil {
		return step, err
	}
	r.steps = append(r.steps, step)
	if !r.json {
		r.printRow(step, rate)
	}
	return step, nil
}

// printRow writes one step's row of the table and flushes it, so that each step is shown as soon as it ends.
func (r *loadRun) printRow(step loadStep, rate float64) {
	result := "sustained"
	if !step.Sustained {
		result = step.Reason
	}
	fmt.Fprintf(r.table, "%s\t%.0f\t%.4f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%s\t\n", step.Command, rate, step.InTime, step.OKP50,
		step.OKP99, step.OKP999, step.P50, step.P99, step.P999, step.CPUUS, step.PeakMB, result)
	r.table.Flush()
}

// measureStep runs a scenario with real senders that are started by command, and returns the measurements.
func measureStep(ctx context.Context, s *scenario.Scenario, c *cli.Command, command []string) (loadStep, error) {
	step := loadStep{Rate: s.Spec.Load.Rate}
	r, err := live.Run(ctx, live.Options{Spec: s.Spec, Seed: c.Uint64("seed"), Trace: s.Trace, Command: command, Logs: c.String("logs")})
	if err != nil {
		return step, err
	}
	if r.Asked > 0 {
		step.InTime = float64(r.InTime) / float64(r.Asked)
		step.CPUUS = r.Figures.CPUS * 1e6 / float64(r.Asked)
	}
	step.OKP50, step.OKP99, step.OKP999 = r.AcceptLatencyMS.P50, r.AcceptLatencyMS.P99, r.AcceptLatencyMS.P999
	for _, class := range r.Classes {
		step.P50, step.P99, step.P999 = max(step.P50, class.Delivery.P50), max(step.P99, class.Delivery.P99), max(step.P999, class.Delivery.P999)
	}
	step.PeakMB, step.JournalB, step.Fds = r.Figures.PeakMB, float64(r.Figures.JournalBytes), r.Figures.Descriptors
	step.LateShare, step.WorstLate = r.Figures.LateShare, r.Figures.WorstLateMS
	step.Reason = whyNotSustained(r, step.InTime, c.Float("share"))
	step.Sustained = step.Reason == ""
	return step, nil
}

// whyNotSustained returns the reason why a rate was not sustained, or "" if it was. InTime is the share of messages delivered
// within the latency objective, required the smallest share that counts as sustained.
func whyNotSustained(r *live.Result, inTime, required float64) string {
	switch {
	case r.Fault != "":
		return r.Fault
	case r.Void != "":
		return "void, the lab was the bottleneck: " + r.Void
	case r.Broken():
		return fmt.Sprintf("rules broken: %v", r.Rules)
	case inTime < required:
		return "too few messages delivered within the latency objective"
	}
	return ""
}
