// Package hunt looks for scenarios on which a sender does badly, and makes them small.
//
// It owns the drawing of random scenarios, the shrinking of a find and the form in which finds are kept. It plays runs
// through a function that it is handed. It must never report a find that a second run of the same scenario and seed does
// not show again, nor hang on anything but its seed.
package hunt

import (
	"flaxcove/lab/referee"
	"flaxcove/lab/world"
)

// Find is a scenario that shows something, with what it shows.
type Find struct {
	Rule  referee.Rule `toml:"rule"` // the one that breaks; "" where the find is a gap
	Seed  uint64       `toml:"seed"`
	Gap   float64      `toml:"gap"` // by which the sender lies under the bound that sees all
	Open  bool         `toml:"open"`
	Cause string       `toml:"cause"` // once it is known
}

// Outcome is what a run of one scenario gave: the sender and the bound.
type Outcome struct {
	Rules map[referee.Rule]int
	Gap   float64
}

// Play plays a scenario with the sender, and with the bound where asked to.
type Play func(spec *world.Spec, seed uint64, bound bool) (Outcome, error)

// Goal is what a hunt looks for.
type Goal struct {
	Rules bool    // a broken rule; else a gap
	Least float64 // gap that counts
}

// Hit tells whether a run shows what is looked for, and which rule breaks first by name.
func (g Goal) Hit(p Outcome) (rule referee.Rule, hit bool) {
	for _, r := range referee.Rules {
		if p.Rules[r] > 0 {
			return r, true
		}
	}
	return "", !g.Rules && p.Gap >= g.Least
}
