package report

// This file draws the plots of a run as SVG elements. A plot must not depend on the iteration order of a map.

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

	"flaxcove/lab/referee"
)

// Colours that readers with red-green colour blindness can distinguish.
var (
	blue       = color.RGBA{0x00, 0x72, 0xb2, 0xff}
	orange     = color.RGBA{0xd5, 0x5e, 0x00, 0xff}
	green      = color.RGBA{0x00, 0x9e, 0x73, 0xff}
	purple     = color.RGBA{0xa0, 0x4a, 0x84, 0xff}
	grey       = color.RGBA{0x55, 0x55, 0x55, 0xff}
	shade      = color.NRGBA{0xe0, 0x9f, 0x3e, 0x48}
	lineColors = []color.Color{blue, orange, green, purple, grey}
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// svg draws a plot as an SVG element of a page. The element keeps the plot's proportions but has no fixed width and height,
// so that it fits into a narrow window.
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

// newPlot returns a plot with a grid and labelled axes.
func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Legend.Top = true
	p.Legend.Padding = vg.Points(2)
	p.Add(plotter.NewGrid())
	return p
}

// line adds a line and its legend to a plot. It does nothing if there are no points.
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

// shadeFaults shades the times of faults up to the height top. It must be called first, so that the shading is behind the
// lines.
func shadeFaults(p *plot.Plot, spans []referee.Span, top float64) error {
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

// ratesPlot plots the numbers of requests, outcomes and failed calls of a run, by second.
func ratesPlot(v *referee.Verdict) (string, error) {
	curves := []struct {
		name  string
		color color.Color
		count func(*referee.Second) int
	}{
		{"requested", grey, func(s *referee.Second) int { return s.Asked }},
		{"delivered", blue, func(s *referee.Second) int { return s.Delivered }},
		{"rejected or shed", orange, func(s *referee.Second) int { return s.Shed }},
		{"failed", purple, func(s *referee.Second) int { return s.Failed }},
		{"calls rejected or failed", green, func(s *referee.Second) int { return s.Refused + s.FailedCalls }},
	}
	seconds := secondsOfRun(v)
	top := 1.0
	for _, s := range seconds {
		top = max(top, float64(s.Asked), float64(s.Delivered), float64(s.Refused+s.FailedCalls))
	}
	p := newPlot("seconds", "per second")
	if err := shadeFaults(p, v.Faults, top); err != nil {
		return "", err
	}
	for _, curve := range curves {
		var xys plotter.XYs
		for i := range seconds {
			xys = append(xys, plotter.XY{X: float64(i) + 0.5, Y: float64(curve.count(&seconds[i]))})
		}
		if err := line(p, curve.name, curve.color, xys); err != nil {
			return "", err
		}
	}
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, top*1.7 // leaves space for the legend above the lines
	return svg(p, plotHeight)
}

// latencyPlot plots the median and the 99th percentile of the time from request to delivery, by second of the run.
func latencyPlot(v *referee.Verdict) (string, error) {
	var p50, p99 plotter.XYs
	topMS := 1.0
	for i, s := range secondsOfRun(v) {
		if s.Delivered == 0 {
			continue
		}
		x := float64(i) + 0.5
		p50, p99 = append(p50, plotter.XY{X: x, Y: s.P50}), append(p99, plotter.XY{X: x, Y: s.P99})
		topMS = max(topMS, s.P99)
	}
	p := newPlot("seconds", "latency, ms")
	if err := shadeFaults(p, v.Faults, topMS*1.2); err != nil {
		return "", err
	}
	if err := line(p, "p50", blue, p50); err != nil {
		return "", err
	}
	if err := line(p, "p99", orange, p99); err != nil {
		return "", err
	}
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, topMS*1.4
	return svg(p, plotHeight)
}

// secondsOfRun returns the figures by second without the last entry, which also counts the events after the end of the run.
func secondsOfRun(v *referee.Verdict) []referee.Second {
	return v.Seconds[:max(0, len(v.Seconds)-1)]
}

// returnsPlot plots the load on endpoints in slow start, as a multiple of the overload bound, above which they go down again.
// It shows at most 40 endpoints, and returns "" if there are none.
func returnsPlot(v *referee.Verdict) (string, error) {
	p := newPlot("seconds", "load / overload bound")
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
		l.Color, l.Width = lineColors[shown%len(lineColors)], vg.Points(1)
		p.Add(l)
		shown++
	}
	if shown == 0 {
		return "", nil
	}
	bound := plotter.NewFunction(func(float64) float64 { return 1 })
	bound.Color, bound.Width, bound.Dashes = color.Black, vg.Points(1), []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(bound)
	p.Legend.Add("overload bound", bound)
	p.Y.Min, p.Y.Max = 0, top*1.25
	return svg(p, plotHeight)
}

// ticks returns an axis tick, labelled with its value, at each of the given values.
func ticks(at []float64) (t []plot.Tick) {
	for _, v := range at {
		t = append(t, plot.Tick{Value: v, Label: fmt.Sprintf("%g", v)})
	}
	return t
}
