package load

// This file searches for the highest rate that a sender sustains. The caller executes the runs.

import "math"

// Search looks for the highest rate that a sender sustains. It doubles the rate until one is not sustained, or halves it until
// one is sustained if the first is not. Then it tries the geometric mean of the highest sustained and the lowest unsustained
// rate. It gives up below a 64th of the first rate. The caller alternates Next and Record.
type Search struct {
	sustained, notSustained float64 // highest rate that was sustained and lowest that was not; 0 for none yet
	start                   float64
	maxRate                 float64
	tolerance               float64 // gap between the two at which the search ends, as a share of the sustained rate
	steps                   int     // number of rates tried
	maxSteps                int
}

// NewSearch returns a search that starts at a rate, tries no rate above maxRate, and tries at most maxSteps rates.
func NewSearch(start, maxRate float64, maxSteps int) *Search {
	return &Search{start: start, maxRate: maxRate, tolerance: 0.05, maxSteps: maxSteps}
}

// Next returns the next rate to try, or false once the search has ended.
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

// Record records whether a rate was sustained.
func (s *Search) Record(rate float64, sustained bool) {
	if sustained {
		s.sustained = max(s.sustained, rate)
	} else if s.notSustained == 0 || rate < s.notSustained {
		s.notSustained = rate
	}
}

// Best returns the highest rate that was sustained and the lowest that was not. Each is 0 if there is none.
func (s *Search) Best() (sustained, notSustained float64) { return s.sustained, s.notSustained }
