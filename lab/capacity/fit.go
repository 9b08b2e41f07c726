package capacity

import (
	"errors"
	"math"

	"gonum.org/v1/gonum/stat"
)

// minPoints is the smallest number of sizes for a fit.
const minPoints = 3

// Point is a value measured at a size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is the line Fixed + Slope x size through points, with measures of how well the points fit it.
type Fit struct {
	Fixed float64 `json:"fixed"`
	Slope float64 `json:"slope"`
	// Residual is the largest distance of a point from the line, as a share of the point's value.
	Residual float64 `json:"residual"`
	// Power is the exponent of the size over the upper half of the sizes: 1 for a value that grows linearly.
	Power   float64 `json:"power"`
	Largest Point   `json:"largest"` // the point with the largest size
}

// Line fits a line to points, at least minPoints of them, by least squares of the relative distances. Over three decades of
// sizes, the largest size would dominate a fit of absolute distances. It returns an error if there are too few points, or a
// size or value is not above 0.
func Line(points []Point) (Fit, error) {
	if len(points) < minPoints {
		return Fit{}, errors.New("a fit needs at least three sizes")
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

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Fixed + f.Slope*size }

// Planned returns the value at a size: interpolated between the two neighbouring points, or, beyond the largest size,
// extrapolated with the slope of the last two points. For a series that is not linear this is more accurate than the line
// through all points. Points must be sorted by size, and there must be at least two.
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

// power returns the slope of the logarithms of the values over those of the sizes, for the upper half of the points and at
// least two of them.
func power(points []Point) float64 {
	upper := points[min(len(points)/2, len(points)-2):]
	var x, y []float64
	for _, p := range upper {
		x, y = append(x, math.Log(p.Size)), append(y, math.Log(p.Value))
	}
	_, slope := stat.LinearRegression(x, y, nil, false)
	return slope
}
