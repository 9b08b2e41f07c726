package rate

import (
	"context"
	"flag"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var (
	pairs   = flag.Int("rate.pairs", 5, "number of pairs of runs to measure, each without the cluster and with it")
	seconds = flag.Float64("rate.seconds", 11, "measured span of each run in seconds")
	every   = flag.Duration("rate.every", 2*time.Second, "time from a change of the settings in force to the next change")
)

const (
	members = 3
	warmUp  = 2 * time.Second
	// testPort is the first port of the tests, below the ports that the tests of lab/cluster/play use.
	testPort = 27000
)

// binary is built once for all tests.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	folder, err := os.MkdirTemp("", "flaxcove-rate-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(folder, "flaxcove")
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "flaxcove/cmd/flaxcove").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// run measures once, logs the figure and returns it.
func run(t testing.TB, o Options) Figure {
	t.Helper()
	o.Command, o.Members, o.Port = []string{binary, "serve"}, members, testPort+os.Getpid()%2500
	figure, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("cluster %t, plain %t: %.0f messages a second, %v of processor time each, %.2f cores; %d refused, %d ended, %d changes in force; load %s",
		o.Cluster, o.Plain, figure.PerSecond(), figure.ProcessorPerMessage(), figure.Cores(), figure.Refused, figure.Undelivered, figure.Changes, loadAverage())
	return figure
}

// loadAverage returns the contents of /proc/loadavg: the machine's load and the number of its processes.
func loadAverage() string {
	text, _ := os.ReadFile("/proc/loadavg")
	return strings.TrimSpace(string(text))
}

// TestAllWays checks that every kind of run delivers messages and that changes come into force where there are any. It does not
// check rates.
func TestAllWays(t *testing.T) {
	for name, o := range map[string]Options{"cluster=false": {}, "cluster=true": {Cluster: true}, "plain cluster": {Cluster: true, Plain: true}} {
		t.Run(name, func(t *testing.T) {
			o.WarmUp, o.MeasuredSpan, o.ChangeInterval = time.Second, 2*time.Second, 300*time.Millisecond
			figure := run(t, o)
			if figure.Delivered == 0 || figure.Refused > 0 {
				t.Errorf("measured %+v", figure)
			}
			if changes := o.Cluster && !o.Plain; changes != (figure.Changes > 0) {
				t.Errorf("%d changes came into force", figure.Changes)
			}
		})
	}
}

// BenchmarkPairs compares a cluster with a shared configuration with a sender without a cluster. With BenchmarkClusterPairs it
// produces the figures of docs/design/cluster/configuration.md. Run both with -benchtime 1x, which measures all pairs in one
// round.
func BenchmarkPairs(b *testing.B) { compare(b, Options{}, Options{Cluster: true}) }

// BenchmarkClusterPairs compares a cluster with a shared configuration with a cluster without one. Senders run Go code on two
// threads in both.
func BenchmarkClusterPairs(b *testing.B) {
	compare(b, Options{Cluster: true, Plain: true}, Options{Cluster: true})
}

// compare measures pairs of runs. The order within a pair alternates, so that a change of the machine's load during the
// benchmark favours neither side.
func compare(b *testing.B, without, with Options) {
	for _, o := range []*Options{&without, &with} {
		o.WarmUp, o.MeasuredSpan, o.ChangeInterval = warmUp, time.Duration(*seconds*float64(time.Second)), *every
	}
	var rates, processor []float64
	for no := range *pairs {
		var pair Pair
		if no%2 == 0 {
			pair.Without, pair.With = run(b, without), run(b, with)
		} else {
			pair.With, pair.Without = run(b, with), run(b, without)
		}
		rates = append(rates, pair.Ratio())
		processor = append(processor, float64(pair.With.ProcessorPerMessage())/float64(pair.Without.ProcessorPerMessage()))
	}
	b.Logf("message rate with divided by without: %.4f", rates)
	b.Logf("message rate with divided by without: %+.4f", Summarize(rates))
	b.Logf("processor time per message with divided by without: %.4f", processor)
	b.Logf("processor time per message with divided by without: %+.4f", Summarize(processor))
	b.ReportMetric(Summarize(rates).Mean, "rate-ratio")
	b.ReportMetric(Summarize(processor).Mean, "processor-ratio")
}

func TestSummarize(t *testing.T) {
	got := Summarize([]float64{0.98, 1.00, 1.02})
	want := Summary{Mean: 1, Deviation: 0.02, Min: 0.98, Max: 1.02}
	if math.Abs(got.Mean-want.Mean) > 1e-12 || math.Abs(got.Deviation-want.Deviation) > 1e-12 || got.Min != want.Min || got.Max != want.Max {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if one := Summarize([]float64{0.9}); one != (Summary{0.9, 0, 0.9, 0.9}) {
		t.Errorf("summary of one ratio: %+v", one)
	}
}

func TestFigure(t *testing.T) {
	f := Figure{Delivered: 20_000, Span: 2 * time.Second, Processor: time.Second}
	if f.PerSecond() != 10_000 || f.ProcessorPerMessage() != 50*time.Microsecond || f.Cores() != 0.5 {
		t.Errorf("%v messages a second, %v of processor time each, %v cores", f.PerSecond(), f.ProcessorPerMessage(), f.Cores())
	}
	if none := (Figure{Span: time.Second, Processor: time.Second}); none.ProcessorPerMessage() != time.Second {
		t.Errorf("processor time per message with nothing delivered: %v", none.ProcessorPerMessage())
	}
}

func TestParseProcessorTime(t *testing.T) {
	got, err := parseProcessorTime("77 (a name) of) S 1 77 77 0 -1 4194560 1 0 0 0 150 25 0 0 20 0 9 0 100")
	if want := 1750 * time.Millisecond; err != nil || got != want {
		t.Errorf("got %v, %v; want %v", got, err, want)
	}
	if _, err := parseProcessorTime("77 (name) S 1"); err == nil {
		t.Error("a line with too few fields was accepted")
	}
}
