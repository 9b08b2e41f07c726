package report

// This file owns the plots of a page, as SVG elements. It must never hang on the order of a map.

import (
	"bytes"
	"fmt"
	"image/color"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"flaxcove/lab/experiment"
	"flaxcove/lab/referee"
)

// Colours that can be told apart without seeing red from green.
var (
	blue   = color.RGBA{0x00, 0x72, 0xb2, 0xff}
	orange = color.RGBA{0xd5, 0x5e, 0x00, 0xff}
	green  = color.RGBA{0x00, 0x9e, 0x73, 0xff}
	purple = color.RGBA{0xa0, 0x4a, 0x84, 0xff}
	grey   = color.RGBA{0x55, 0x55, 0x55, 0xff}
	shade  = color.NRGBA{0xe0, 0x9f, 0x3e, 0x48}
	series = []color.Color{blue, orange, green, purple, grey}
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// svg draws a plot as an element of a page. Its size goes, its proportions stay, so that it fits a narrow window.
func svg(p *plot.Plot, height vg.Length) (string, error) {
	c := vgsvg.New(plotWidth, height)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.String()
	if i := strings.Index(text, "<svg"); i >= 0 {
		text = text[i:]
	}
	if end := strings.Index(text, ">"); end >= 0 {
		head := text[:end]
		for _, name := range []string{"width", "height"} {
			if i := strings.Index(head, " "+name+"=\""); i >= 0 {
				j := strings.Index(head[i+len(name)+3:], "\"")
				head = head[:i] + head[i+len(name)+3+j+1:]
			}
		}
		text = head + ` role="img"` + text[end:]
	}
	return text, nil
}

func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Legend.Top = true
	p.Legend.Padding = vg.Points(2)
	p.Add(plotter.NewGrid())
	return p
}

func line(p *plot.Plot, name string, c color.Color, xys plotter.XYs) error {
	if len(xys) == 0 {
		return nil
	}
	l, err := plotter.NewLine(xys)
	if err != nil {
		return err
	}
	l.Color, l.Width = c, vg.Points(1.5)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// shadeTroubles marks the times of faults, behind all else.
func shadeTroubles(p *plot.Plot, spans []referee.Span, top float64) error {
	for _, s := range spans {
		area, err := plotter.NewPolygon(plotter.XYs{{X: s.From, Y: 0}, {X: s.To, Y: 0}, {X: s.To, Y: top}, {X: s.From, Y: top}})
		if err != nil {
			return err
		}
		area.Color, area.LineStyle.Width = shade, 0
		p.Add(area)
	}
	return nil
}

// overTime plots the outcomes and the latency of a run.
func overTime(v *referee.Verdict) (rates, latency string, err error) {
	var asked, done, shed, given, refused, p50, p99 plotter.XYs
	top, topMS := 1.0, 1.0
	for i, s := range v.Seconds[:max(0, len(v.Seconds)-1)] {
		x := float64(i) + 0.5
		at := func(n int) plotter.XY { return plotter.XY{X: x, Y: float64(n)} }
		asked, done, shed, given, refused = append(asked, at(s.Asked)), append(done, at(s.Delivered)), append(shed, at(s.Shed)),
			append(given, at(s.Failed)), append(refused, at(s.Refused+s.FailedCalls))
		top = max(top, float64(s.Asked), float64(s.Delivered), float64(s.Refused+s.FailedCalls))
		if s.Delivered > 0 {
			p50, p99 = append(p50, plotter.XY{X: x, Y: s.P50}), append(p99, plotter.XY{X: x, Y: s.P99})
			topMS = max(topMS, s.P99)
		}
	}
	p := newPlot("seconds", "a second")
	if err := shadeTroubles(p, v.Faults, top); err != nil {
		return "", "", err
	}
	for i, l := range []struct {
		name string
		xys  plotter.XYs
	}{{"asked", asked}, {"delivered", done}, {"shed", shed}, {"given up", given}, {"calls refused or failed", refused}} {
		if err := line(p, l.name, []color.Color{grey, blue, orange, purple, green}[i], l.xys); err != nil {
			return "", "", err
		}
	}
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, top*1.7 // room for the legend above the lines
	if rates, err = svg(p, plotHeight); err != nil {
		return "", "", err
	}
	q := newPlot("seconds", "ms to delivery")
	if err := shadeTroubles(q, v.Faults, topMS*1.2); err != nil {
		return "", "", err
	}
	if err := line(q, "half of them", blue, p50); err != nil {
		return "", "", err
	}
	if err := line(q, "all but one in a hundred", orange, p99); err != nil {
		return "", "", err
	}
	q.X.Min, q.Y.Min, q.Y.Max = 0, 0, topMS*1.4
	latency, err = svg(q, plotHeight)
	return rates, latency, err
}

// returnsPlot shows the load on endpoints that came back, in times of what would push them over.
func returnsPlot(v *referee.Verdict) (string, error) {
	p := newPlot("seconds", "load over bound")
	top := 1.1
	shown := 0
	for _, r := range v.Returns {
		var xys plotter.XYs
		for _, l := range r.Loads {
			xys = append(xys, plotter.XY{X: l[0] + 0.5, Y: l[1]})
			top = max(top, l[1]*1.1)
		}
		if len(xys) < 2 || shown >= 40 {
			continue
		}
		l, err := plotter.NewLine(xys)
		if err != nil {
			return "", err
		}
		l.Color, l.Width = series[shown%len(series)], vg.Points(1)
		p.Add(l)
		shown++
	}
	if shown == 0 {
		return "", nil
	}
	bound := plotter.NewFunction(func(float64) float64 { return 1 })
	bound.Color, bound.Width, bound.Dashes = color.Black, vg.Points(1), []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(bound)
	p.Legend.Add("pushed over above this", bound)
	p.Y.Min, p.Y.Max = 0, top*1.25
	return svg(p, plotHeight)
}

// errorBars are differences with their intervals.
type errorBars struct {
	plotter.XYs
	plotter.XErrors
}

// differencePlot shows each scenario's difference and its interval for one variant and size.
func differencePlot(rows []experiment.Difference) (string, error) {
	p := newPlot("difference of the figure", "")
	var points errorBars
	var names []string
	for i := range rows {
		d := &rows[len(rows)-1-i]
		name := d.Scenario
		if name == "" {
			name = "all together"
		}
		names = append(names, name)
		points.XYs = append(points.XYs, plotter.XY{X: d.Mean, Y: float64(i)})
		points.XErrors = append(points.XErrors, struct{ Low, High float64 }{d.Mean - d.Low, d.High - d.Mean})
		if !d.Known {
			points.XErrors[i] = struct{ Low, High float64 }{}
		}
	}
	bars, err := plotter.NewXErrorBars(points)
	if err != nil {
		return "", err
	}
	bars.LineStyle.Color, bars.LineStyle.Width = grey, vg.Points(1.5)
	dots, err := plotter.NewScatter(points.XYs)
	if err != nil {
		return "", err
	}
	dots.GlyphStyle = draw.GlyphStyle{Color: blue, Radius: vg.Points(3), Shape: draw.CircleGlyph{}}
	p.Add(bars, dots)
	zero, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -0.6}, {X: 0, Y: float64(len(names)) - 0.4}})
	if err != nil {
		return "", err
	}
	zero.Color, zero.Dashes = color.Black, []vg.Length{vg.Points(3), vg.Points(3)}
	p.Add(zero)
	p.NominalY(names...)
	p.Y.Min, p.Y.Max = -0.6, float64(len(names))-0.4
	low, high := 0.0, 0.0
	for i, x := range points.XErrors {
		low, high = min(low, points.XYs[i].X-x.Low), max(high, points.XYs[i].X+x.High)
	}
	margin := max(0.001, (high-low)*0.05)
	p.X.Min, p.X.Max = low-margin, high+margin
	return svg(p, vg.Length(len(names)+3)*0.75*vg.Centimeter)
}

// sizePlot shows the figure against size by variant, all scenarios together.
func sizePlot(means []experiment.Mean) (string, error) {
	type key struct {
		variant string
		size    float64
	}
	sums, counts := map[key]float64{}, map[key]float64{}
	var variants []string
	var sizes []float64
	seen := map[string]bool{}
	seenSize := map[float64]bool{}
	for _, m := range means {
		k := key{m.Variant, m.Size}
		sums[k] += m.Figure
		counts[k]++
		if !seen[m.Variant] {
			seen[m.Variant] = true
			variants = append(variants, m.Variant)
		}
		if !seenSize[m.Size] {
			seenSize[m.Size] = true
			sizes = append(sizes, m.Size)
		}
	}
	if len(sizes) < 2 {
		return "", nil
	}
	p := newPlot("size, in times of the scenario's", "figure")
	for i, v := range variants {
		var xys plotter.XYs
		for _, s := range sizes {
			if k := (key{v, s}); counts[k] > 0 {
				xys = append(xys, plotter.XY{X: s, Y: sums[k] / counts[k]})
			}
		}
		if err := line(p, v, series[i%len(series)], xys); err != nil {
			return "", err
		}
	}
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.ConstantTicks(ticks(sizes))
	p.Y.Min, p.Y.Max = 0, 1.05
	return svg(p, plotHeight)
}

func ticks(at []float64) (t []plot.Tick) {
	for _, v := range at {
		t = append(t, plot.Tick{Value: v, Label: fmt.Sprintf("%g", v)})
	}
	return t
}
