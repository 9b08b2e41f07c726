package capacity

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Key identifies a series: one metric of one benchmark along its axis.
type Key struct {
	Package   string // below the module
	Benchmark string // without "Benchmark" or "BenchmarkCapacity"
	Axis      string
	Metric    string
}

// Samples are the measured values, by series and size.
type Samples map[Key]map[float64][]float64

const modulePrefix = "flaxcove/"

var (
	benchmarkName = regexp.MustCompile(`^Benchmark(?:Capacity)?(\w+)/(?:([\w-]+)[=/])?(\d+)(-\d+)?$`)
	// trafficLine is the line of the traffic test of internal/cluster/member, which measures over three minutes.
	trafficLine = regexp.MustCompile(`(\d+) processes, each: ([\d.]+) B/s, ([\d.]+) packets/s .*, ([\d.]+)% of a core`)
)

// Read reads the output of `go test -bench` or of the traffic test. Other lines are ignored.
func (s Samples) Read(from io.Reader) error {
	lines, pkg := bufio.NewScanner(from), ""
	for lines.Scan() {
		line := lines.Text()
		if after, is := strings.CutPrefix(line, "pkg: "); is {
			pkg = strings.TrimPrefix(after, modulePrefix)
			continue
		}
		if m := trafficLine.FindStringSubmatch(line); m != nil {
			for i, metric := range []string{"wire-B/s", "packets/s", "core-%"} {
				if err := s.add(Key{"internal/cluster/member", "Gossip", "members", metric}, m[1], m[2+i]); err != nil {
					return err
				}
			}
			continue
		}
		if err := s.addResult(pkg, strings.Fields(line)); err != nil {
			return fmt.Errorf("%q: %w", line, err)
		}
	}
	return lines.Err()
}

// addResult is one benchmark's line: its name, the rounds, and pairs of value and metric.
func (s Samples) addResult(pkg string, fields []string) error {
	if len(fields) < 4 {
		return nil
	}
	m := benchmarkName.FindStringSubmatch(fields[0])
	if m == nil {
		return nil
	}
	for i := 2; i+1 < len(fields); i += 2 {
		if err := s.add(Key{pkg, m[1], m[2], fields[i+1]}, m[3], fields[i]); err != nil {
			return err
		}
	}
	return nil
}

func (s Samples) add(k Key, size, value string) error {
	at, err := strconv.ParseFloat(size, 64)
	if err != nil {
		return err
	}
	v, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return err
	}
	if s[k] == nil {
		s[k] = map[float64][]float64{}
	}
	s[k][at] = append(s[k][at], v)
	return nil
}

// Points returns a series by size. For times it takes the shortest, since a busy machine only makes them longer; for other
// metrics the median.
func (s Samples) Points(k Key) []Point {
	var points []Point
	for _, size := range slices.Sorted(maps.Keys(s[k])) {
		values := slices.Sorted(slices.Values(s[k][size]))
		v := values[len(values)/2]
		if isTime(k.Metric) {
			v = values[0]
		}
		points = append(points, Point{size, v})
	}
	return points
}

func isTime(metric string) bool {
	return metric == "ns/op" || strings.HasPrefix(metric, "ns/") || strings.HasSuffix(metric, "-ns")
}

// Keys returns all series, sorted.
func (s Samples) Keys() []Key {
	return slices.SortedFunc(maps.Keys(s), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Package, b.Package), cmp.Compare(a.Benchmark, b.Benchmark), cmp.Compare(a.Axis, b.Axis),
			cmp.Compare(a.Metric, b.Metric))
	})
}
