package tree

// This file selects coordinators and limits the size of groups, both by rendezvous hashing: a process that joins or
// leaves moves only those who reported to it, unless the number of groups doubles or halves.

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"flaxcove/internal/cluster/view"
)

// score ranks a candidate for a group; the highest becomes its coordinator.
func score(kind, group, candidate string) uint64 {
	return xxhash.Sum64String(kind + "\x00" + group + "\x00" + candidate)
}

// selectCoordinator returns a group's coordinator: a large process if there is any. It panics for an empty group.
func selectCoordinator(kind, group string, candidates []candidate) candidate {
	return slices.MaxFunc(candidates, func(a, b candidate) int {
		return cmp.Or(compareBools(a.large, b.large), cmp.Compare(score(kind, group, a.key), score(kind, group, b.key)),
			cmp.Compare(b.key, a.key))
	})
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// assignChildren makes all candidates but the head report to it: directly if they are few, otherwise in groups, each
// through a coordinator of its own, and so on within the groups.
//
// A member's group depends on its own key alone: one that leaves, even a group's coordinator, moves no other group. More
// members move only when a bound is crossed: a group then fits without a further level, or there are half or twice as
// many groups. A group without a large process is coordinated by a small one: keeping the bound on children matters
// more here than sparing a small process.
func (t *Tree) assignChildren(key string, head candidate, candidates []candidate) {
	others := slices.DeleteFunc(slices.Clone(candidates), func(n candidate) bool { return n.name == head.name })
	if len(others) <= Fan {
		for _, n := range others {
			t.setParent(n.name, head.name)
		}
		return
	}
	for no, group := range partition(key, others) {
		if len(group) == 0 {
			continue
		}
		groupKey := key + "\x00" + strconv.Itoa(no)
		coordinator := selectCoordinator("group", groupKey, group)
		t.setParent(coordinator.name, head.name)
		t.assignChildren(groupKey, coordinator, group)
	}
}

// partition distributes candidates by the lowest bits of a hash, so that doubling the number of groups splits each in
// two. Groups are half full on average: full ones would often need a further level by chance.
func partition(key string, candidates []candidate) [][]candidate {
	count := min(Fan, 1<<bits.Len(uint(2*len(candidates)/Fan)))
	groups := make([][]candidate, count)
	for _, n := range candidates {
		i := score("deal", key, n.key) & uint64(count-1)
		groups[i] = append(groups[i], n)
	}
	return groups
}

// setParent makes child report to parent.
func (t *Tree) setParent(child, parent view.Name) {
	t.parents[child] = parent
	t.children[parent] = append(t.children[parent], child)
}
