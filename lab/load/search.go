package load

// This file searches the highest rate that a sender sustains. The caller plays the runs.

import "math"

// Search looks for the highest rate that a sender sustains: it doubles until one fails, then halves the gap. Next is the
// rate to try, Record takes the result.
type Search struct {
	sustained, notSustained float64 // highest rate that was sustained, lowest that was not; 0 for none yet
	start                   float64
	maxRate                 float64
	tolerance               float64 // the gap, as a share of the good rate, at which the search ends
	steps                   int
	maxSteps                int
}

// NewSearch begins at a rate and never tries more than most, nor more than steps rates.
func NewSearch(start, most float64, steps int) *Search {
	return &Search{start: start, maxRate: most, tolerance: 0.05, maxSteps: steps}
}

// Next is the rate to try, and false once the search is over.
func (s *Search) Next() (rate float64, more bool) {
	if s.steps >= s.maxSteps || s.notSustained > 0 && s.sustained > 0 && s.notSustained/s.sustained < 1+s.tolerance || s.sustained >= s.maxRate ||
		s.notSustained > 0 && s.sustained == 0 && s.notSustained < s.start/64 {
		return 0, false
	}
	s.steps++
	switch {
	case s.notSustained == 0 && s.sustained == 0:
		return min(s.start, s.maxRate), true
	case s.notSustained == 0:
		return min(2*s.sustained, s.maxRate), true
	case s.sustained == 0:
		return s.notSustained / 2, true
	}
	return math.Sqrt(s.sustained * s.notSustained), true
}

// Record takes the result at a rate.
func (s *Search) Record(rate float64, sustained bool) {
	if sustained {
		s.sustained = max(s.sustained, rate)
	} else if s.notSustained == 0 || rate < s.notSustained {
		s.notSustained = rate
	}
}

// Best is the highest rate that was sustained, 0 for none, and the lowest that was not, 0 for none.
func (s *Search) Best() (good, bad float64) { return s.sustained, s.notSustained }
