package report

// This file draws the plots that compare variants.

import (
	"image/color"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"flaxcove/lab/experiment"
)

// errorBars holds mean differences as points, with their confidence intervals as error bars. It implements the interfaces of
// gonum's plotter for both.
type errorBars struct {
	plotter.XYs
	plotter.XErrors
}

// errorBarsOf returns the differences from bottom to top, and the scenario's name for each. A difference without an interval
// gets an error bar of length 0.
func errorBarsOf(rows []experiment.Difference) (points errorBars, names []string) {
	for i := range rows {
		d := &rows[len(rows)-1-i]
		name := d.Scenario
		if name == "" {
			name = "all scenarios"
		}
		names = append(names, name)
		points.XYs = append(points.XYs, plotter.XY{X: d.Mean, Y: float64(i)})
		interval := struct{ Low, High float64 }{}
		if d.HasInterval {
			interval.Low, interval.High = d.Mean-d.Low, d.High-d.Mean
		}
		points.XErrors = append(points.XErrors, interval)
	}
	return points, names
}

// differencePlot plots, for one variant and size, each scenario's difference with its confidence interval, as an SVG element.
func differencePlot(rows []experiment.Difference) (string, error) {
	p := newPlot("difference of the figure from the base", "")
	points, names := errorBarsOf(rows)
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

// figuresBySize holds mean figures, one for each scenario, by variant and size.
type figuresBySize struct {
	variants []string  // in the order in which they first appear
	sizes    []float64 // in the order in which they first appear
	figures  map[string]map[float64][]float64
}

func groupBySize(means []experiment.Mean) *figuresBySize {
	g := &figuresBySize{figures: map[string]map[float64][]float64{}}
	for _, m := range means {
		if g.figures[m.Variant] == nil {
			g.figures[m.Variant] = map[float64][]float64{}
			g.variants = append(g.variants, m.Variant)
		}
		if !slices.Contains(g.sizes, m.Size) {
			g.sizes = append(g.sizes, m.Size)
		}
		g.figures[m.Variant][m.Size] = append(g.figures[m.Variant][m.Size], m.Figure)
	}
	return g
}

// points returns a variant's mean figure over all scenarios, for each size.
func (g *figuresBySize) points(variant string) (xys plotter.XYs) {
	for _, size := range g.sizes {
		figures := g.figures[variant][size]
		if len(figures) == 0 {
			continue
		}
		sum := 0.0
		for _, f := range figures {
			sum += f
		}
		xys = append(xys, plotter.XY{X: size, Y: sum / float64(len(figures))})
	}
	return xys
}

// sizePlot plots the mean figure over all scenarios against size, with a line for each variant, as an SVG element. It returns
// "" if there are fewer than two sizes.
func sizePlot(means []experiment.Mean) (string, error) {
	g := groupBySize(means)
	if len(g.sizes) < 2 {
		return "", nil
	}
	p := newPlot("size, as a multiple of the scenario's", "figure")
	for i, variant := range g.variants {
		if err := line(p, variant, lineColors[i%len(lineColors)], g.points(variant)); err != nil {
			return "", err
		}
	}
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.ConstantTicks(ticks(g.sizes))
	p.Y.Min, p.Y.Max = 0, 1.05
	return svg(p, plotHeight)
}
