package tree

// This file draws coordinators and keeps groups small. Both are by rendezvous hashing: what one process does, coming
// or going, moves none but those who reported to it, short of a group that doubles or halves.

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"flaxcove/internal/cluster/view"
)

// score ranks a candidate for a group; the greatest leads.
func score(kind, group, candidate string) uint64 {
	return xxhash.Sum64String(kind + "\x00" + group + "\x00" + candidate)
}

// first draws a group's coordinator: a large one where there is any. Of an empty group it is the zero node.
func first(kind, group string, all []node) node {
	return slices.MaxFunc(all, func(a, b node) int {
		return cmp.Or(boolean(a.large, b.large), cmp.Compare(score(kind, group, a.under), score(kind, group, b.under)),
			cmp.Compare(b.under, a.under))
	})
}

func boolean(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// gather has all but the head report to it: at once where they are few, else by groups, each through one of its own,
// and so on within these. Into which group a member falls hangs on its own name alone: one that leaves, be it the one
// that a group reports through, moves no other group. What moves more is a bound that is crossed: a group that now
// fits without a further level, or so many members that there are half or twice as many groups. A group without a
// large process is led by a small one: a bound that holds is worth more here than a small process spared.
func (t *Tree) gather(key string, head node, all []node) {
	rest := slices.DeleteFunc(slices.Clone(all), func(n node) bool { return n.name == head.name })
	if len(rest) <= Fan {
		for _, n := range rest {
			t.report(n.name, head.name)
		}
		return
	}
	for no, group := range groups(key, rest) {
		if len(group) == 0 {
			continue
		}
		sub := key + "\x00" + strconv.Itoa(no)
		through := first("group", sub, group)
		t.report(through.name, head.name)
		t.gather(sub, through, group)
	}
}

// groups deals members by the lowest bits of a hash, so that twice as many groups are the same ones, each in two.
// They are half full on average: a full one would spill over into a further level by chance.
func groups(key string, rest []node) [][]node {
	count := min(Fan, 1<<bits.Len(uint(2*len(rest)/Fan)))
	dealt := make([][]node, count)
	for _, n := range rest {
		no := score("deal", key, n.under) & uint64(count-1)
		dealt[no] = append(dealt[no], n)
	}
	return dealt
}

func (t *Tree) report(p, to view.Name) {
	t.parents[p] = to
	t.children[to] = append(t.children[to], p)
}
