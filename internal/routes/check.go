package routes

// This file checks rules before they are compiled.

import (
	"fmt"
	"strings"
)

// maxWeight bounds the weight of a target.
const maxWeight = 1e6

// Problem is one thing wrong with a rule or an expectation: the path of the field, as in route[2].set[0].under, and what is
// wrong.
type Problem struct{ Path, What string }

func (p Problem) Error() string { return p.Path + ": " + p.What }

// problems collects what is wrong.
type problems []Problem

func (all *problems) add(path, format string, args ...any) {
	*all = append(*all, Problem{path, fmt.Sprintf(format, args...)})
}

// Check returns all that is wrong with rules: values out of range, names given twice, and rules that can never be reached.
func Check(rules []Rule) []Problem {
	var found problems
	byName := map[string]int{}
	for i := range rules {
		rule, path := &rules[i], fmt.Sprintf("route[%d].", i)
		if rule.Name == "" {
			found.add(path+"name", "missing")
		} else if j, taken := byName[rule.Name]; taken {
			found.add(path+"name", "%q is taken by route[%d]", rule.Name, j)
		}
		byName[rule.Name] = i
		found.checkSets(path, rule.Sets)
		for j := range i {
			if covers(&rules[j].Match, &rule.Match) {
				found.add(path+"match", "never reached: all that it matches is matched by route[%d] %q", j, rules[j].Name)
				break
			}
		}
	}
	return found
}

// checkSets checks the sets of the rule at a path.
func (all *problems) checkSets(path string, sets []Set) {
	if len(sets) == 0 {
		all.add(path+"set", "missing; a rule leads to at least one set")
	}
	for i := range sets {
		set, path := &sets[i], fmt.Sprintf("%sset[%d].", path, i)
		switch {
		case i == 0 && set.Under != 0:
			all.add(path+"under", "the first set of a rule is always open")
		case i > 0 && !(set.Under > 0 && set.Under <= 1):
			all.add(path+"under", "%g is not above 0 and at most 1", set.Under)
		}
		if len(set.Targets) == 0 {
			all.add(path+"to", "missing; a set names endpoints")
		}
		for j := range set.Targets {
			if w := set.Targets[j].Weight; !(w >= 0 && w <= maxWeight) {
				all.add(fmt.Sprintf("%sto[%d].weight", path, j), "%g is not within 0 and %g", w, maxWeight)
			}
		}
	}
}

// covers reports whether all that b matches is matched by a.
func covers(a, b *Match) bool {
	return (a.Destination == nil || b.Destination != nil && *a.Destination == *b.Destination) &&
		(a.Class == "" || a.Class == b.Class) &&
		(a.Tenant == "" || a.Tenant == b.Tenant) &&
		strings.HasPrefix(b.KeyPrefix, a.KeyPrefix)
}
