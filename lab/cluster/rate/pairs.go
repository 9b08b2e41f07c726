package rate

// This file compares pairs of runs.

import (
	"math"
	"slices"
)

// Pair is a run without the cluster and the run with it that followed.
type Pair struct{ Without, With Figure }

// Ratio is the rate with the cluster divided by the rate without.
func (p Pair) Ratio() float64 { return p.With.PerSecond() / p.Without.PerSecond() }

// Summary describes a set of ratios.
type Summary struct {
	Mean, Deviation float64 // Deviation is the sample's standard deviation, 0 for fewer than two
	Least, Most     float64
}

// Summarize describes ratios, of which there must be at least one.
func Summarize(ratios []float64) Summary {
	sum, squares := 0.0, 0.0
	for _, ratio := range ratios {
		sum += ratio
	}
	s := Summary{Mean: sum / float64(len(ratios)), Least: slices.Min(ratios), Most: slices.Max(ratios)}
	for _, ratio := range ratios {
		squares += (ratio - s.Mean) * (ratio - s.Mean)
	}
	if len(ratios) > 1 {
		s.Deviation = math.Sqrt(squares / float64(len(ratios)-1))
	}
	return s
}
