package rate

// This file compares pairs of runs.

import (
	"math"
	"slices"
)

// Pair holds two consecutive runs, one without the cluster and one with it.
type Pair struct{ Without, With Figure }

// Ratio returns the message rate with the cluster divided by the rate without it.
func (p Pair) Ratio() float64 { return p.With.PerSecond() / p.Without.PerSecond() }

// Summary describes a set of ratios.
type Summary struct {
	Mean, Deviation float64 // Deviation is the sample standard deviation, 0 for fewer than two ratios
	Min, Max        float64
}

// Summarize returns the summary of ratios. There must be at least one.
func Summarize(ratios []float64) Summary {
	sum, squares := 0.0, 0.0
	for _, ratio := range ratios {
		sum += ratio
	}
	s := Summary{Mean: sum / float64(len(ratios)), Min: slices.Min(ratios), Max: slices.Max(ratios)}
	for _, ratio := range ratios {
		squares += (ratio - s.Mean) * (ratio - s.Mean)
	}
	if len(ratios) > 1 {
		s.Deviation = math.Sqrt(squares / float64(len(ratios)-1))
	}
	return s
}
