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

// The programs that are measured, as the table and the JSON name them.
const (
	programServe     = "serve"
	programYardstick = "yardstick"
)

// programArguments are the arguments with which a build of this program becomes the one that is measured.
var programArguments = map[string][]string{
	programServe:     {"serve"},
	programYardstick: {"lab", "yardstick"},
}

// Bounds of what may be asked for.
const (
	maxRate = 100_000 // messages a second
	maxSoak = time.Hour
)

// loadStep is what one rate gave.
type loadStep struct {
	Command   string  `json:"command"` // programServe or programYardstick
	Rate      float64 `json:"rate"`
	Sustained bool    `json:"held"`
	Reason    string  `json:"why,omitempty"` // why it was not sustained
	InTime    float64 `json:"in_time"`       // share of what was asked
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
		Name: "load", Usage: "measure what real senders hold on sockets, by rate", ArgsUsage: "SCENARIO",
		Description: "Arrivals are open-loop: a notice's time counts from when it was meant to be handed in, so that a sender that\n" +
			"stalls cannot hide it. Forms: --search finds the highest rate that is held, --rates plays several in turn,\n" +
			"--soak plays one for long. A step in which the lab itself was late is void and says so.\n\n" +
			"Examples: flaxcove lab load --search --share 0.99 calm\n" +
			"          flaxcove lab load --rates 100,200,400 --yardstick --seconds 10 calm\n" +
			"          flaxcove lab load --soak 10m --set load.rate=300 calm",
		Flags: []cli.Flag{flagSeed, flagSet, flagSize, flagJSON, flagBinary, flagLogs,
			&cli.BoolFlag{Name: "search", Usage: "find the highest rate that is held"},
			&cli.StringFlag{Name: "rates", Usage: "notices a second, parted by commas"},
			&cli.DurationFlag{Name: "soak", Usage: "play the scenario's own rate for so long, an hour at most"},
			&cli.FloatFlag{Name: "share", Usage: "share of notices that must be delivered in contract time", Value: 0.99},
			&cli.FloatFlag{Name: "seconds", Usage: "of each step", Value: 8},
			&cli.FloatFlag{Name: "from", Usage: "rate at which the search begins", Value: 200},
			&cli.FloatFlag{Name: "most", Usage: "rate at which it ends", Value: 20000},
			&cli.IntFlag{Name: "steps", Usage: "most steps of a search", Value: 14},
			&cli.StringFlag{Name: "profile", Usage: "write a CPU profile of the last step's sender to this file"},
			&cli.BoolFlag{Name: "yardstick", Usage: "play each step with the plain forwarder too"}},
		Action: withScenario(runLoad),
	}
}

// runLoad plays the steps that the flags ask for and prints what each gave.
func runLoad(ctx context.Context, c *cli.Command, s *scenario.Scenario) error {
	r, err := newLoadRun(c, s)
	if err != nil {
		return err
	}
	if err := r.playChosenForm(ctx); err != nil {
		return err
	}
	if r.json {
		return printJSON(r.steps)
	}
	return nil
}

// loadRun holds what the steps of one `lab load` share: the scenario, the program that sends, and what was measured.
type loadRun struct {
	flags    *cli.Command
	json     bool // the steps are printed as JSON once all are played, not as rows of the table
	scenario *scenario.Scenario
	binary   string
	steps    []loadStep
	table    *tabwriter.Writer
}

// newLoadRun finds the program to play, and prints the table's head unless JSON was asked for.
func newLoadRun(c *cli.Command, s *scenario.Scenario) (*loadRun, error) {
	binary, err := loadBinary(c)
	if err != nil {
		return nil, err
	}
	r := &loadRun{flags: c, json: c.Bool("json"), scenario: s, binary: binary, table: tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', tabwriter.AlignRight)}
	if !r.json {
		fmt.Fprintln(r.table, "program\trate\tin time\tok p50\tp99\tp99.9 ms\tdelivery p50\tp99\tp99.9 ms\tCPU us a notice\tpeak MB\t\t")
	}
	return r, nil
}

// loadBinary is the program given by --binary, or this one.
func loadBinary(c *cli.Command) (string, error) {
	if binary := c.String("binary"); binary != "" {
		return binary, nil
	}
	return os.Executable()
}

// playChosenForm plays the form that the flags ask for: a search, a list of rates, or a soak.
func (r *loadRun) playChosenForm(ctx context.Context) error {
	switch {
	case r.flags.Bool("search"):
		return r.search(ctx)
	case r.flags.String("rates") != "":
		return r.playRates(ctx, r.flags.String("rates"))
	case r.flags.Duration("soak") > 0:
		_, err := r.playStep(ctx, r.scenario.Spec.Load.Rate, min(r.flags.Duration("soak"), maxSoak).Seconds(), 0)
		return err
	default:
		return wrongInput(errors.New("say --search, --rates or --soak"))
	}
}

// search plays rates until the highest one that is sustained is found, and prints it.
func (r *loadRun) search(ctx context.Context) error {
	search := load.NewSearch(r.flags.Float("from"), r.flags.Float("most"), r.flags.Int("steps"))
	for stepNo := 0; ; stepNo++ {
		rate, more := search.Next()
		if !more {
			break
		}
		step, err := r.playStep(ctx, rate, r.flags.Float("seconds"), stepNo)
		if err != nil {
			return err
		}
		search.Record(rate, step.Sustained)
	}
	good, bad := search.Best()
	if !r.json {
		fmt.Printf("held at %.0f a second; not at %.0f\n", good, bad)
	}
	return nil
}

// playRates plays each rate of a list parted by commas in turn.
func (r *loadRun) playRates(ctx context.Context, list string) error {
	for stepNo, text := range strings.Split(list, ",") {
		rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || !(rate > 0 && rate <= maxRate) {
			return wrongInput(fmt.Errorf("--rates: %q is not a rate", text))
		}
		if _, err := r.playStep(ctx, rate, r.flags.Float("seconds"), stepNo); err != nil {
			return err
		}
	}
	return nil
}

// playStep plays a step with the sender and, where --yardstick asks for it, with the plain forwarder too. The order of
// sender and yardstick changes from step to step, so that neither always plays on a warm machine. It returns the
// sender's step.
func (r *loadRun) playStep(ctx context.Context, rate, seconds float64, stepNo int) (loadStep, error) {
	if !r.flags.Bool("yardstick") {
		return r.play(ctx, rate, seconds, programServe)
	}
	if stepNo%2 == 1 {
		if _, err := r.play(ctx, rate, seconds, programYardstick); err != nil {
			return loadStep{}, err
		}
		return r.play(ctx, rate, seconds, programServe)
	}
	step, err := r.play(ctx, rate, seconds, programServe)
	if err == nil {
		_, err = r.play(ctx, rate, seconds, programYardstick)
	}
	return step, err
}

// play runs one step of a program at the given rate, notes what it gave, and prints its row.
func (r *loadRun) play(ctx context.Context, rate, seconds float64, program string) (loadStep, error) {
	spec := *r.scenario.Spec
	spec.Load.Rate, spec.Seconds = rate, seconds
	arguments := programArguments[program]
	printStatus("%s at %.0f a second for %.0f s", arguments[0], rate, seconds)
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

// printRow writes one step's line of the table and flushes it, so that each step shows as soon as it ends.
func (r *loadRun) printRow(step loadStep, rate float64) {
	verdict := "held"
	if !step.Sustained {
		verdict = step.Reason
	}
	fmt.Fprintf(r.table, "%s\t%.0f\t%.4f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%s\t\n", step.Command, rate, step.InTime, step.OKP50,
		step.OKP99, step.OKP999, step.P50, step.P99, step.P999, step.CPUUS, step.PeakMB, verdict)
	r.table.Flush()
}

// measureStep plays one rate and says whether it was sustained.
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
	for _, w := range r.Classes {
		step.P50, step.P99, step.P999 = max(step.P50, w.Delivery.P50), max(step.P99, w.Delivery.P99), max(step.P999, w.Delivery.P999)
	}
	step.PeakMB, step.JournalB, step.Fds = r.Figures.PeakMB, float64(r.Figures.JournalBytes), r.Figures.Descriptors
	step.LateShare, step.WorstLate = r.Figures.LateShare, r.Figures.WorstLateMS
	step.Reason = notSustained(r, step.InTime, c.Float("share"))
	step.Sustained = step.Reason == ""
	return step, nil
}

// notSustained says why a rate was not sustained; "" where it was.
func notSustained(r *live.Result, inTime, wanted float64) string {
	switch {
	case r.Fault != "":
		return r.Fault
	case r.Void != "":
		return "the lab was the bottleneck: " + r.Void
	case r.Broken():
		return fmt.Sprintf("rules broken: %v", r.Rules)
	case inTime < wanted:
		return "too few in contract time"
	}
	return ""
}
