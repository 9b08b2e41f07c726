package capacity

import (
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// raw is output of benchmarks and of the traffic test, with lines that are not results.
const raw = `goos: linux
pkg: flaxcove/choice
BenchmarkCapacityOpen/open=10-8 	 100	 210 ns/op	 1100 heap-B
BenchmarkCapacityOpen/open=10-8 	 100	 200 ns/op	 1000 heap-B
BenchmarkCapacityOpen/open=10-8 	 100	 290 ns/op	 1200 heap-B
BenchmarkCapacityOpen/open=100-8 	 100	 1100 ns/op	 2000 heap-B
BenchmarkCapacityOpen/open=1000-8	 100	 10100 ns/op	 11000 heap-B
BenchmarkOther/of-1000-8	 100	 10100 ns/op
platform: {"message":"m"}
    traffic_test.go:58: 30 processes, each: 431 B/s, 4.0 packets/s (543 B/s with UDP and IP headers), 0.29% of a core, 17 goroutines
PASS
`

// read parses output into new samples.
func read(t *testing.T, text string) Samples {
	t.Helper()
	s := Samples{}
	if err := s.Read(strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	return s
}

// TestRead checks that Points takes the shortest time and the median of other metrics for each size, and that Read ignores lines
// that are not results.
func TestRead(t *testing.T) {
	s := read(t, raw)
	for k, want := range map[Key][]Point{
		{"choice", "Open", "open", "ns/op"}:                           {{10, 200}, {100, 1100}, {1000, 10100}},
		{"choice", "Open", "open", "heap-B"}:                          {{10, 1100}, {100, 2000}, {1000, 11000}},
		{"internal/cluster/member", "Gossip", "members", "wire-B/s"}:  {{30, 431}},
		{"internal/cluster/member", "Gossip", "members", "packets/s"}: {{30, 4}},
		{"internal/cluster/member", "Gossip", "members", "core-%"}:    {{30, 0.29}},
	} {
		if d := cmp.Diff(want, s.Points(k)); d != "" {
			t.Error(k, d)
		}
	}
	if n := len(s.Keys()); n != 5 {
		t.Errorf("%d series, want 5", n)
	}
	if err := (Samples{}).Read(strings.NewReader("BenchmarkCapacityOpen/open=10-8 1 x ns/op")); err == nil {
		t.Error("a value that is not a number was accepted")
	}
}

// TestLine checks the fit of points on a line, that points on a parabola give a large residual and the power 2, and that too few
// points, or points that are not above 0, are rejected.
func TestLine(t *testing.T) {
	f, err := Line([]Point{{10, 200}, {100, 1100}, {1000, 10100}})
	if err != nil || math.Abs(f.Slope-10) > 1e-6 || math.Abs(f.Fixed-100) > 1e-6 || f.Residual > 1e-9 || f.Largest.Size != 1000 {
		t.Error(f, err)
	}
	if f, _ = Line([]Point{{10, 100}, {100, 10_000}, {1000, 1_000_000}}); math.Abs(f.Power-2) > 1e-9 || f.Residual < 0.5 {
		t.Error("fit of points on a parabola:", f)
	}
	for _, points := range [][]Point{{{1, 1}, {2, 2}}, {{1, 1}, {2, 0}, {3, 1}}, {{0, 1}, {2, 1}, {3, 1}}} {
		if _, err := Line(points); err == nil {
			t.Error("no error for the points", points)
		}
	}
}

// TestPlanned checks the interpolation between neighbouring sizes, and the extrapolation beyond the largest size with the last
// slope.
func TestPlanned(t *testing.T) {
	points := []Point{{10, 100}, {100, 200}, {1000, 10_000}}
	for size, want := range map[float64]float64{10: 100, 55: 150, 100: 200, 1000: 10_000, 1900: 19_800} {
		if got := Planned(points, size); math.Abs(got-want) > 1e-6 {
			t.Errorf("value at size %g: %g, want %g", size, got, want)
		}
	}
}

// TestFigures checks that a figure states the value at the planned size and the ratio of that size to the largest measured one,
// and that Markdown lists the series without a figure, too.
func TestFigures(t *testing.T) {
	s := read(t, raw)
	all := Figures(s)
	if len(all) != 2 || all[1].Metric != "ns/op" || math.Abs(all[1].Planned-(100+10*OpenPerSender)) > 1 || math.Abs(all[1].Beyond-OpenPerSender/1000) > 1e-6 {
		t.Fatal(all)
	}
	text := Markdown(s)
	for _, want := range []string{"| `choice` Open | ns/op | 10: 200, 100: 1100, 1000: 10.1 k | 100 + 10 x n | 0% |", "2.58e+03 times",
		"| `internal/cluster/member` Gossip | members | wire-B/s | 30: 431 |"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in\n%s", want, text)
		}
	}
}
