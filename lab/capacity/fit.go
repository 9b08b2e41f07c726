package capacity

import (
	"errors"
	"math"

	"gonum.org/v1/gonum/stat"
)

// minPoints is the smallest number of sizes for a fit.
const minPoints = 3

// Point is a figure measured at a size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is the line Fixed + Slope x size through points, with the distance of the points from it.
type Fit struct {
	Fixed float64 `json:"fixed"`
	Slope float64 `json:"slope"`
	// Residual is the largest distance of a point from the line, as a share of the point.
	Residual float64 `json:"residual"`
	// Power is the exponent of the size over the upper half of the sizes: 1 for a figure that grows linearly.
	Power   float64 `json:"power"`
	Largest Point   `json:"largest"`
}

// Line fits points by least squares of the relative distances: over three decades, absolute distances would be dominated by
// the largest size.
func Line(points []Point) (Fit, error) {
	if len(points) < minPoints {
		return Fit{}, errors.New("a line needs three sizes")
	}
	var x, y, weights []float64
	f := Fit{}
	for _, p := range points {
		if p.Value <= 0 || p.Size <= 0 {
			return Fit{}, errors.New("sizes and values must be above 0")
		}
		x, y, weights = append(x, p.Size), append(y, p.Value), append(weights, 1/(p.Value*p.Value))
		if p.Size > f.Largest.Size {
			f.Largest = p
		}
	}
	f.Fixed, f.Slope = stat.LinearRegression(x, y, weights, false)
	for _, p := range points {
		f.Residual = math.Max(f.Residual, math.Abs(f.At(p.Size)-p.Value)/p.Value)
	}
	f.Power = power(points)
	return f, nil
}

// At is the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Fixed + f.Slope*size }

// Planned is the figure at a size: interpolated between two measured sizes, and extrapolated with the slope of the last
// decade beyond the largest. For a series that is not linear this is closer than the line through all points.
func Planned(points []Point, size float64) float64 {
	last := len(points) - 1
	i := 1
	for i < last && points[i].Size < size {
		i++
	}
	before, after := points[i-1], points[i]
	slope := (after.Value - before.Value) / (after.Size - before.Size)
	return after.Value + slope*(size-after.Size)
}

// power is the slope of the logarithms over the upper half of the points, at least two.
func power(points []Point) float64 {
	upper := points[min(len(points)/2, len(points)-2):]
	var x, y []float64
	for _, p := range upper {
		x, y = append(x, math.Log(p.Size)), append(y, math.Log(p.Value))
	}
	_, slope := stat.LinearRegression(x, y, nil, false)
	return slope
}
