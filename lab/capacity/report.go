package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Figure is one series with its fit and its value at the planned size.
type Figure struct {
	Key
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
	Target Target  `json:"target"`
	// Planned is the value at the target's size, see func Planned.
	Planned float64 `json:"planned"`
	// Beyond is the target's size over the largest measured size, at least 1.
	Beyond float64 `json:"beyond"`
}

// excluded lists the series, by benchmark and metric, that have no figure at the planned size: a bound limits the value, the
// axis is not part of the plan, or another metric of the same benchmark has the figure.
var excluded = map[string]bool{
	"DigestList rows": true, "Turn routes": true, "Turn wire-B": true, "Derive most-children": true,
	"Reported rows/s": true, "Reported messages/s": true, "Reported ns/op": true,
	"Told rows/s": true, "Told messages/s": true, "Told ns/op": true, // Told is the name of Reported in older output
	"Sockets messages/s": true, "Sockets ns/op": true, "Narrow messages/s": true, "Narrow ns/op": true,
	"Changes ns/op": true, "Changes wire-B": true, "Append ns/op": true,
	"Gossip wire-B/s": true, "Gossip packets/s": true,
}

// Figures returns the figures of all series that have at least three sizes along an axis of the plan and are not excluded.
func Figures(s Samples) []Figure {
	var all []Figure
	for _, k := range s.Keys() {
		points := s.Points(k)
		target, planned := targets[k.Axis]
		fit, err := Line(points)
		if err != nil || !planned || excluded[k.Benchmark+" "+k.Metric] {
			continue
		}
		all = append(all, Figure{Key: k, Points: points, Fit: fit, Target: target, Planned: Planned(points, target.Size),
			Beyond: math.Max(1, target.Size/fit.Largest.Size)})
	}
	return all
}

// Markdown returns a table of the figures, followed by a table of the series that have none.
func Markdown(s Samples) string {
	var b strings.Builder
	b.WriteString("| package, benchmark | metric | sizes: value | fixed + slope x size | residual | power | planned size | figure there | beyond measured |\n")
	b.WriteString("|" + strings.Repeat(" --- |", 9) + "\n")
	reported := map[Key]bool{}
	for _, f := range Figures(s) {
		reported[f.Key] = true
		beyond := "-"
		if f.Beyond > 1 {
			beyond = fmt.Sprintf("%.3g times", f.Beyond)
		}
		fmt.Fprintf(&b, "| `%s` %s | %s | %s | %s + %s x n | %.0f%% | %.2f | %s %s | %s | %s |\n", f.Package, f.Benchmark, f.Metric,
			formatPoints(f.Points), formatNumber(f.Fit.Fixed), formatNumber(f.Fit.Slope), 100*f.Fit.Residual, f.Fit.Power, formatNumber(f.Target.Size), f.Target.Name,
			formatNumber(f.Planned), beyond)
	}
	b.WriteString("\nNo line (a bound cuts them off, there are too few sizes, or the axis is not the plan's):\n\n")
	b.WriteString("| package, benchmark | axis | metric | sizes: value |\n| --- | --- | --- | --- |\n")
	for _, k := range s.Keys() {
		if points := s.Points(k); !reported[k] && len(points) > 0 && points[len(points)-1].Value != 0 {
			fmt.Fprintf(&b, "| `%s` %s | %s | %s | %s |\n", k.Package, k.Benchmark, k.Axis, k.Metric, formatPoints(points))
		}
	}
	return b.String()
}

// formatPoints formats points as a list of "size: value".
func formatPoints(points []Point) string {
	var all []string
	for _, p := range points {
		all = append(all, formatNumber(p.Size)+": "+formatNumber(p.Value))
	}
	return strings.Join(all, ", ")
}

// formatNumber formats a number with three significant digits and the prefix k, M, G or T, or, below 10,000, with four
// significant digits and no prefix.
func formatNumber(v float64) string {
	for _, unit := range []struct {
		over float64
		name string
	}{{1e12, " T"}, {1e9, " G"}, {1e6, " M"}, {1e4, " k"}} {
		if math.Abs(v) >= unit.over {
			per := unit.over
			if unit.name == " k" {
				per = 1e3
			}
			return fmt.Sprintf("%.3g%s", v/per, unit.name)
		}
	}
	return strings.Replace(fmt.Sprintf("%.4g", v), "e+03", "000", 1)
}
