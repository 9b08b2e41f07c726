package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Figure is one series with its fit and the value at the planned size.
type Figure struct {
	Key
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
	Target Target  `json:"target"`
	// Planned is the value at the target, see func Planned. Beyond is the target size over the largest measured size.
	Planned float64 `json:"planned"`
	Beyond  float64 `json:"beyond"`
}

// excluded are series without a figure at the planned size: a bound cuts them off, their axis is not the plan's, or another
// metric of the same benchmark has the figure.
var excluded = map[string]bool{
	"DigestList rows": true, "Turn routes": true, "Turn wire-B": true, "Derive most-children": true,
	"Reported rows/s": true, "Reported messages/s": true, "Reported ns/op": true,
	"Told rows/s": true, "Told messages/s": true, "Told ns/op": true, // the name of Reported in earlier runs
	"Sockets messages/s": true, "Sockets ns/op": true, "Narrow messages/s": true, "Narrow ns/op": true,
	"Changes ns/op": true, "Changes wire-B": true, "Append ns/op": true,
	"Gossip wire-B/s": true, "Gossip packets/s": true,
}

// Figures returns the figures of all series with at least three sizes along an axis of the plan.
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

// Markdown returns the table of figures, followed by the series without a figure at the planned size.
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

func formatPoints(points []Point) string {
	var all []string
	for _, p := range points {
		all = append(all, formatNumber(p.Size)+": "+formatNumber(p.Value))
	}
	return strings.Join(all, ", ")
}

// formatNumber formats a number with three digits and the units k, M, G, T.
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
