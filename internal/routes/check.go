package routes

// This file checks rules before they are compiled.

import (
	"fmt"
	"strings"
)

// maxWeight is the highest weight of a target.
const maxWeight = 1e6

// Problem reports an invalid field of a rule or an expectation. Path is the path of the field in the file, as in
// route[2].set[0].under, and Reason says what is wrong with it.
type Problem struct{ Path, Reason string }

func (p Problem) Error() string { return p.Path + ": " + p.Reason }

// problems collects the problems that a check finds.
type problems []Problem

// add adds a problem with a formatted text.
func (all *problems) add(path, format string, args ...any) {
	*all = append(*all, Problem{path, fmt.Sprintf(format, args...)})
}

// Check returns all problems of rules: values out of range, missing or duplicate names, and rules that no message
// reaches because an earlier rule matches all their messages.
func Check(rules []Rule) []Problem {
	var found problems
	byName := map[string]int{}
	for i := range rules {
		rule, path := &rules[i], fmt.Sprintf("route[%d].", i)
		if rule.Name == "" {
			found.add(path+"name", "missing")
		} else if j, taken := byName[rule.Name]; taken {
			found.add(path+"name", "%q is already used by route[%d]", rule.Name, j)
		}
		byName[rule.Name] = i
		found.checkSets(path, rule.Sets)
		for j := range i {
			if covers(&rules[j].Match, &rule.Match) {
				found.add(path+"match", "unreachable: route[%d] %q matches all messages that it matches", j, rules[j].Name)
				break
			}
		}
	}
	return found
}

// checkSets checks the sets of the rule at path, which has a dot at its end.
func (all *problems) checkSets(path string, sets []Set) {
	if len(sets) == 0 {
		all.add(path+"set", "missing; a route needs at least one set")
	}
	for i := range sets {
		set, path := &sets[i], fmt.Sprintf("%sset[%d].", path, i)
		switch {
		case i == 0 && set.Under != 0:
			all.add(path+"under", "not allowed in the first set of a route, which is always open")
		case i > 0 && !(set.Under > 0 && set.Under <= 1):
			all.add(path+"under", "%g is not above 0 and at most 1", set.Under)
		}
		if len(set.Targets) == 0 {
			all.add(path+"to", "missing; a set needs at least one target")
		}
		for j := range set.Targets {
			if w := set.Targets[j].Weight; !(w >= 0 && w <= maxWeight) {
				all.add(fmt.Sprintf("%sto[%d].weight", path, j), "%g is not between 0 and %g", w, maxWeight)
			}
		}
	}
}

// covers reports whether a matches every message that b matches.
func covers(a, b *Match) bool {
	return (a.Destination == nil || b.Destination != nil && *a.Destination == *b.Destination) &&
		(a.Class == "" || a.Class == b.Class) &&
		(a.Tenant == "" || a.Tenant == b.Tenant) &&
		strings.HasPrefix(b.KeyPrefix, a.KeyPrefix)
}
