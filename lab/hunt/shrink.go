package hunt

// This file shrinks finds. A smaller one must show the same as the original.

import (
	"fmt"
	"slices"

	"flaxcove/lab/world"
)

// leastGapShare is the share of its gap that a find must still have after shrinking.
const leastGapShare = 0.7

// Shrink removes parts of a find's scenario as long as it still shows the same, and returns the smallest scenario found
// within a number of runs.
func Shrink(spec *world.Spec, seed uint64, goal Goal, play Play, runs int, say func(*world.Spec)) (*world.Spec, Outcome, error) {
	found, err := play(spec, seed, !goal.Rules)
	if err != nil {
		return nil, found, err
	}
	rule, hit := goal.Hit(found)
	if !hit {
		return nil, found, fmt.Errorf("the find does not show again")
	}
	still := func(p Outcome) bool {
		if rule != "" {
			return p.Rules[rule] > 0
		}
		return p.Gap >= max(goal.Least, leastGapShare*found.Gap)
	}
	best, bestPlayed := spec, found
	for runs > 0 {
		smaller, p, err := firstSmaller(best, &runs, func(s *world.Spec) (Outcome, bool, error) {
			p, err := play(s, seed, !goal.Rules)
			return p, err == nil && still(p), err
		})
		if err != nil {
			return nil, p, err
		}
		if smaller == nil {
			break
		}
		best, bestPlayed = smaller, p
		if say != nil {
			say(best)
		}
	}
	return best, bestPlayed, nil
}

// firstSmaller returns the first of the slightly smaller scenarios that still shows the find, or nil if none does within the
// remaining runs. It counts runs down.
func firstSmaller(s *world.Spec, runs *int, try func(*world.Spec) (Outcome, bool, error)) (*world.Spec, Outcome, error) {
	for _, smaller := range smallerSpecs(s) {
		if *runs--; *runs < 0 {
			break
		}
		if len(smaller.Check()) > 0 {
			continue
		}
		p, shows, err := try(smaller)
		if err != nil || shows {
			return smaller, p, err
		}
	}
	return nil, Outcome{}, nil
}

// candidates collects changed copies of a scenario.
type candidates struct {
	of  *world.Spec
	all []*world.Spec
}

func (s *candidates) add(change func(*world.Spec)) {
	c := *s.of
	c.Classes = slices.Clone(c.Classes)
	c.Partners = slices.Clone(c.Partners)
	c.Faults = slices.Clone(c.Faults)
	c.Changes = slices.Clone(c.Changes)
	change(&c)
	s.all = append(s.all, &c)
}

// smallerSpecs returns the scenarios that are slightly smaller than one, those with the most removed first.
func smallerSpecs(of *world.Spec) []*world.Spec {
	s := &candidates{of: of}
	s.withoutFaults()
	s.withFewerSenders()
	s.withoutKinds()
	for i := range of.Partners {
		s.withSimplerKind(i)
	}
	s.shorter()
	if of.Load.Rate > 5 {
		s.add(func(c *world.Spec) { c.Load.Rate = round(c.Load.Rate / 2) })
	}
	if of.Zones > 1 {
		s.add(func(c *world.Spec) { c.Zones = 1 })
	}
	return s.all
}

func (s *candidates) withoutFaults() {
	for i := range s.of.Faults {
		s.add(func(c *world.Spec) { c.Faults = slices.Delete(c.Faults, i, i+1) })
	}
	if len(s.of.Changes) > 0 {
		s.add(func(c *world.Spec) { c.Changes = nil })
	}
}

func (s *candidates) withFewerSenders() {
	if s.of.Senders <= 1 {
		return
	}
	s.add(func(c *world.Spec) {
		c.Senders = (c.Senders + 1) / 2
		c.Load.Rate /= 2
	})
	s.add(func(c *world.Spec) { c.Senders-- })
}

// withoutKinds removes a kind of partner, or a class.
func (s *candidates) withoutKinds() {
	if len(s.of.Partners) > 1 {
		for i := range s.of.Partners {
			s.add(func(c *world.Spec) { c.Partners = slices.Delete(c.Partners, i, i+1) })
		}
	}
	if len(s.of.Classes) > 1 {
		for i := range s.of.Classes {
			s.add(func(c *world.Spec) { c.Classes = slices.Delete(c.Classes, i, i+1) })
		}
	}
}

// withSimplerKind removes one special property of a kind of partner.
func (s *candidates) withSimplerKind(no int) {
	k := &s.of.Partners[no]
	try := func(change func(*world.Kind)) {
		s.add(func(c *world.Spec) { change(&c.Partners[no]) })
	}
	if k.Count > 1 {
		try(func(k *world.Kind) { k.Count = (k.Count + 1) / 2 })
	}
	if k.Endpoints[1] > 1 {
		try(func(k *world.Kind) { k.Endpoints = world.Pair{1, 1} })
	}
	if k.Limit != "none" {
		try(func(k *world.Kind) { k.Limit = "none" })
	}
	if k.Bundle > 1 {
		try(func(k *world.Kind) { k.Bundle = 1 })
	}
	if k.MaxConnections > 0 {
		try(func(k *world.Kind) { k.MaxConnections = 0 })
	}
}

// shorter ends the run soon after its last fault or change.
func (s *candidates) shorter() {
	latest := 0.0
	for _, t := range s.of.Faults {
		latest = max(latest, t.At+t.Seconds)
	}
	for _, c := range s.of.Changes {
		latest = max(latest, c.At)
	}
	if end := float64(int(latest) + 6); end < s.of.Seconds {
		s.add(func(c *world.Spec) { c.Seconds = end })
	}
}
