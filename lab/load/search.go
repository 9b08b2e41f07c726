package load

// This file owns the search for the highest rate that holds. It must never play anything.

import "math"

// Search looks for the highest rate that a sender holds: it doubles until one fails, then halves the gap. It asks for
// rates and is told verdicts; it plays nothing itself.
type Search struct {
	good, bad float64 // highest that held, lowest that did not; 0 for none yet
	start     float64
	maxRate   float64
	tolerance float64 // the gap, as a share of the good rate, at which the search ends
	steps     int
	maxSteps  int
}

// NewSearch begins at a rate and never asks for more than most, nor more than steps times.
func NewSearch(start, most float64, steps int) *Search {
	return &Search{start: start, maxRate: most, tolerance: 0.05, maxSteps: steps}
}

// Next is the rate to try, and false once the search is over.
func (s *Search) Next() (rate float64, more bool) {
	if s.steps >= s.maxSteps || s.bad > 0 && s.good > 0 && s.bad/s.good < 1+s.tolerance || s.good >= s.maxRate ||
		s.bad > 0 && s.good == 0 && s.bad < s.start/64 {
		return 0, false
	}
	s.steps++
	switch {
	case s.bad == 0 && s.good == 0:
		return min(s.start, s.maxRate), true
	case s.bad == 0:
		return min(2*s.good, s.maxRate), true
	case s.good == 0:
		return s.bad / 2, true
	}
	return math.Sqrt(s.good * s.bad), true
}

// Record takes the verdict on a rate.
func (s *Search) Record(rate float64, held bool) {
	if held {
		s.good = max(s.good, rate)
	} else if s.bad == 0 || rate < s.bad {
		s.bad = rate
	}
}

// Best is the highest rate that held, 0 for none, and the lowest that did not, 0 for none.
func (s *Search) Best() (good, bad float64) { return s.good, s.bad }
