// Package hunt looks for scenarios on which a sender does badly, and shrinks them.
//
// It draws random scenarios (draw.go), shrinks those that show something (shrink.go) and stores them (saved.go). Runs are
// played by a function that the caller gives. A find must show again in a second run of the same scenario and seed.
package hunt

import (
	"flaxcove/lab/referee"
	"flaxcove/lab/world"
)

// Find says what a scenario shows.
type Find struct {
	Rule  referee.Rule `toml:"rule"` // the rule that is broken; "" if the find is a gap
	Seed  uint64       `toml:"seed"`
	Gap   float64      `toml:"gap"` // by which the sender's service is below that of the policy that sees the true state
	Open  bool         `toml:"open"`
	Cause string       `toml:"cause"` // if it is known
}

// Outcome is the result of a run of one scenario.
type Outcome struct {
	Rules map[referee.Rule]int
	Gap   float64
}

// Play plays a scenario with the sender, and also with the bound if asked to.
type Play func(spec *world.Spec, seed uint64, bound bool) (Outcome, error)

// Goal is what a hunt looks for.
type Goal struct {
	Rules bool    // broken rules only; else also a gap
	Least float64 // smallest gap that counts
}

// Hit reports whether a run shows what the hunt looks for, and the first broken rule in the order of reports.
func (g Goal) Hit(p Outcome) (rule referee.Rule, hit bool) {
	for _, r := range referee.Rules {
		if p.Rules[r] > 0 {
			return r, true
		}
	}
	return "", !g.Rules && p.Gap >= g.Least
}
