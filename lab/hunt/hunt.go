// Package hunt searches for scenarios in which a sender breaks a rule or delivers much less value than is possible, and
// shrinks them.
//
// It draws random scenarios (draw.go), shrinks those that match the goal of the hunt (shrink.go) and saves them (saved.go).
// Shrink executes runs with a function that its caller provides. A find must be reproducible: a second run of the same
// scenario with the same seed must match the goal again.
package hunt

import (
	"flaxcove/lab/referee"
	"flaxcove/lab/world"
)

// Find describes what a run of a saved scenario shows.
type Find struct {
	Rule  referee.Rule `toml:"rule"`  // the rule that is broken; "" if the find is a gap
	Seed  uint64       `toml:"seed"`  // seed of the run
	Gap   float64      `toml:"gap"`   // see Outcome
	Open  bool         `toml:"open"`  // the fault is not fixed yet
	Cause string       `toml:"cause"` // cause of the fault, "" if it is not known
}

// Outcome is the result of a run of one scenario.
type Outcome struct {
	Rules map[referee.Rule]int // number of violations by rule
	// Gap is the difference between the service of the bound and that of the sender, as a share of the bound's service. The
	// bound is the policy all_seen of lab/baseline, which sees the true state of all endpoints. Gap is 0 if a rule was broken
	// or the bound was not run.
	Gap float64
}

// RunFunc runs a scenario with the sender. If bound is true, it also runs the bound and computes the gap.
type RunFunc func(spec *world.Spec, seed uint64, bound bool) (Outcome, error)

// Goal is what a hunt looks for.
type Goal struct {
	RulesOnly bool    // only broken rules match; otherwise gaps match, too
	MinGap    float64 // smallest gap that matches
}

// Matches reports whether an outcome is what the hunt looks for. It also returns the first broken rule in the order of
// referee.Rules, or "" if none is broken.
func (g Goal) Matches(o Outcome) (rule referee.Rule, matches bool) {
	for _, r := range referee.Rules {
		if o.Rules[r] > 0 {
			return r, true
		}
	}
	return "", !g.RulesOnly && o.Gap >= g.MinGap
}
