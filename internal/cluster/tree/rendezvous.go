package tree

// This file selects coordinators and divides candidates into groups by rendezvous hashing. A process that joins or
// leaves changes only the parents of its own children, unless the number of groups doubles or halves.

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"flaxcove/internal/cluster/view"
)

// score returns the rank of a candidate in a group. The candidate with the highest rank becomes the group's coordinator.
// The kind separates the hash values of zones, regions, groups and the cluster.
func score(kind, group, candidate string) uint64 {
	return xxhash.Sum64String(kind + "\x00" + group + "\x00" + candidate)
}

// selectCoordinator returns the coordinator of a group: of the large candidates, or else of all, the one with the
// highest score. It panics if there are no candidates.
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

// assignChildren makes all candidates except parent report to parent: directly if they are MaxChildren at most,
// otherwise in groups, each through a coordinator of its own. A group of more than MaxChildren members is divided
// further in the same way. The key identifies the group of candidates.
//
// The group of a candidate depends on its own key only, so a process that leaves does not move the members of other
// groups, even if it coordinates its group. More members move only if a bound is crossed: if a group then needs one
// level less, or if the number of groups doubles or halves. A group without a large process is coordinated by a small
// one, as the bound on the number of children has priority over sparing small processes.
func (t *Tree) assignChildren(key string, parent candidate, candidates []candidate) {
	others := slices.DeleteFunc(slices.Clone(candidates), func(n candidate) bool { return n.name == parent.name })
	if len(others) <= MaxChildren {
		for _, n := range others {
			t.setParent(n.name, parent.name)
		}
		return
	}
	for no, group := range partition(key, others) {
		if len(group) == 0 {
			continue
		}
		groupKey := key + "\x00" + strconv.Itoa(no)
		coordinator := selectCoordinator("group", groupKey, group)
		t.setParent(coordinator.name, parent.name)
		t.assignChildren(groupKey, coordinator, group)
	}
}

// partition divides candidates into groups by the lowest bits of a hash, so that doubling the number of groups splits
// each group in two. Groups are half full on average; if they were full, many would exceed MaxChildren by chance and
// need a further level.
func partition(key string, candidates []candidate) [][]candidate {
	count := min(MaxChildren, 1<<bits.Len(uint(2*len(candidates)/MaxChildren)))
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
