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

// Key identifies a series: the values of one metric of one benchmark, by size.
type Key struct {
	Package   string // import path below the module
	Benchmark string // name without the prefix "Benchmark" or "BenchmarkCapacity"
	Axis      string // what the size counts, for example "destinations"; may be ""
	Metric    string // unit, for example "ns/op"
}

// Samples holds all measured values, by series and size.
type Samples map[Key]map[float64][]float64

// modulePrefix is the prefix of the import paths of all packages of the module.
const modulePrefix = "flaxcove/"

var (
	// benchmarkName matches the name of a sub-benchmark: name, axis (which may be missing), size and GOMAXPROCS.
	benchmarkName = regexp.MustCompile(`^Benchmark(?:Capacity)?(\w+)/(?:([\w-]+)[=/])?(\d+)(-\d+)?$`)
	// trafficLine matches the result of the traffic test of internal/cluster/member, which measures over three minutes: the
	// number of processes, and the bytes per second, packets per second and CPU share of each.
	trafficLine = regexp.MustCompile(`(\d+) processes, each: ([\d.]+) B/s, ([\d.]+) packets/s .*, ([\d.]+)% of a core`)
)

// Read adds the results in the output of `go test -bench` or of the traffic test of internal/cluster/member. It ignores other
// lines.
func (s Samples) Read(from io.Reader) error {
	lines, pkg := bufio.NewScanner(from), ""
	for lines.Scan() {
		line := lines.Text()
		if path, ok := strings.CutPrefix(line, "pkg: "); ok {
			pkg = strings.TrimPrefix(path, modulePrefix)
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

// addResult adds the values of one line of a benchmark, whose fields are the name, the number of iterations, and pairs of a
// value and its metric. It ignores a line that is not a result.
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

// add adds one value of a series at a size, both given as text.
func (s Samples) add(k Key, size, value string) error {
	n, err := strconv.ParseFloat(size, 64)
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
	s[k][n] = append(s[k][n], v)
	return nil
}

// Points returns a series sorted by size, with one value for each size: the shortest of several times, because a busy machine
// can only make them longer, and the median of any other metric.
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

// isTime reports whether a metric is a time.
func isTime(metric string) bool {
	return metric == "ns/op" || strings.HasPrefix(metric, "ns/") || strings.HasSuffix(metric, "-ns")
}

// Keys returns the keys of all series, sorted.
func (s Samples) Keys() []Key {
	return slices.SortedFunc(maps.Keys(s), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Package, b.Package), cmp.Compare(a.Benchmark, b.Benchmark), cmp.Compare(a.Axis, b.Axis),
			cmp.Compare(a.Metric, b.Metric))
	})
}
