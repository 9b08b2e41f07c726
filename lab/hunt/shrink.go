package hunt

// This file shrinks the scenarios of finds. A smaller scenario must still show the same broken rule, or a similar gap.

import (
	"fmt"
	"slices"

	"flaxcove/lab/world"
)

// minGapShare is the share of the original gap that a find must still have after shrinking.
const minGapShare = 0.7

// Shrink removes parts of a find's scenario as long as the find is still reproduced. It uses at most the given number of runs
// after the first, and returns the smallest scenario with its outcome. If onSmaller is not nil, it is called with each smaller
// scenario that reproduces the find.
func Shrink(spec *world.Spec, seed uint64, goal Goal, run RunFunc, runs int, onSmaller func(*world.Spec)) (*world.Spec, Outcome, error) {
	original, err := run(spec, seed, !goal.RulesOnly)
	if err != nil {
		return nil, original, err
	}
	rule, matches := goal.Matches(original)
	if !matches {
		return nil, original, fmt.Errorf("the find was not reproduced by a second run with the same seed")
	}
	reproduces := func(o Outcome) bool {
		if rule != "" {
			return o.Rules[rule] > 0
		}
		return o.Gap >= max(goal.MinGap, minGapShare*original.Gap)
	}
	best, bestOutcome := spec, original
	for runs > 0 {
		smaller, o, err := firstSmaller(best, &runs, func(s *world.Spec) (Outcome, bool, error) {
			o, err := run(s, seed, !goal.RulesOnly)
			return o, err == nil && reproduces(o), err
		})
		if err != nil {
			return nil, o, err
		}
		if smaller == nil {
			break
		}
		best, bestOutcome = smaller, o
		if onSmaller != nil {
			onSmaller(best)
		}
	}
	return best, bestOutcome, nil
}

// firstSmaller returns the first slightly smaller scenario that reproduces the find, or nil if none does within the remaining
// runs. It decrements runs for each candidate. Try runs a scenario and reports whether it reproduces the find.
func firstSmaller(s *world.Spec, runs *int, try func(*world.Spec) (Outcome, bool, error)) (*world.Spec, Outcome, error) {
	for _, smaller := range smallerSpecs(s) {
		if *runs--; *runs < 0 {
			break
		}
		if len(smaller.Check()) > 0 {
			continue
		}
		o, reproduces, err := try(smaller)
		if err != nil || reproduces {
			return smaller, o, err
		}
	}
	return nil, Outcome{}, nil
}

// candidates collects modified copies of a scenario.
type candidates struct {
	original *world.Spec
	all      []*world.Spec
}

// add adds a copy of the original scenario after change was applied to it.
func (s *candidates) add(change func(*world.Spec)) {
	c := *s.original
	c.Classes = slices.Clone(c.Classes)
	c.Partners = slices.Clone(c.Partners)
	c.Faults = slices.Clone(c.Faults)
	c.Changes = slices.Clone(c.Changes)
	change(&c)
	s.all = append(s.all, &c)
}

// smallerSpecs returns the scenarios that are one step smaller than spec. Steps that usually shrink a scenario most come
// first.
func smallerSpecs(spec *world.Spec) []*world.Spec {
	s := &candidates{original: spec}
	s.withoutFaults()
	s.withFewerSenders()
	s.withoutKinds()
	for i := range spec.Partners {
		s.withSimplerKind(i)
	}
	s.withShorterRun()
	if spec.Load.Rate > 5 {
		s.add(func(c *world.Spec) { c.Load.Rate = round(c.Load.Rate / 2) })
	}
	if spec.Zones > 1 {
		s.add(func(c *world.Spec) { c.Zones = 1 })
	}
	return s.all
}

// withoutFaults removes one fault, or all changes of the endpoint list.
func (s *candidates) withoutFaults() {
	for i := range s.original.Faults {
		s.add(func(c *world.Spec) { c.Faults = slices.Delete(c.Faults, i, i+1) })
	}
	if len(s.original.Changes) > 0 {
		s.add(func(c *world.Spec) { c.Changes = nil })
	}
}

// withFewerSenders halves the number of senders together with the rate, or removes one sender.
func (s *candidates) withFewerSenders() {
	if s.original.Senders <= 1 {
		return
	}
	s.add(func(c *world.Spec) {
		c.Senders = (c.Senders + 1) / 2
		c.Load.Rate /= 2
	})
	s.add(func(c *world.Spec) { c.Senders-- })
}

// withoutKinds removes one kind of destination, or one class.
func (s *candidates) withoutKinds() {
	if len(s.original.Partners) > 1 {
		for i := range s.original.Partners {
			s.add(func(c *world.Spec) { c.Partners = slices.Delete(c.Partners, i, i+1) })
		}
	}
	if len(s.original.Classes) > 1 {
		for i := range s.original.Classes {
			s.add(func(c *world.Spec) { c.Classes = slices.Delete(c.Classes, i, i+1) })
		}
	}
}

// withSimplerKind halves the number of destinations of kind number no, or removes one special property of that kind.
func (s *candidates) withSimplerKind(no int) {
	k := &s.original.Partners[no]
	try := func(change func(*world.PartnerKind)) {
		s.add(func(c *world.Spec) { change(&c.Partners[no]) })
	}
	if k.Count > 1 {
		try(func(k *world.PartnerKind) { k.Count = (k.Count + 1) / 2 })
	}
	if k.Endpoints[1] > 1 {
		try(func(k *world.PartnerKind) { k.Endpoints = world.Pair{1, 1} })
	}
	if k.Limit != "none" {
		try(func(k *world.PartnerKind) { k.Limit = "none" })
	}
	if k.Bundle > 1 {
		try(func(k *world.PartnerKind) { k.Bundle = 1 })
	}
	if k.MaxConnections > 0 {
		try(func(k *world.PartnerKind) { k.MaxConnections = 0 })
	}
}

// withShorterRun ends the run about 6 s after its last fault or change.
func (s *candidates) withShorterRun() {
	latest := 0.0
	for _, f := range s.original.Faults {
		latest = max(latest, f.At+f.Seconds)
	}
	for _, c := range s.original.Changes {
		latest = max(latest, c.At)
	}
	if end := float64(int(latest) + 6); end < s.original.Seconds {
		s.add(func(c *world.Spec) { c.Seconds = end })
	}
}
