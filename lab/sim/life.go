package sim

// This file is a process's ends and standstills.

import (
	"slices"
)

// kill ends the process at once: what is not on record is gone.
func (n *node) kill() {
	if !n.alive {
		return
	}
	n.alive, n.paused = false, false
	n.later = nil
	n.life++
	for id, o := range n.owed {
		if !o.lasting {
			delete(n.owed, id)
		}
	}
	var calls []*call
	for c := range n.out {
		calls = append(calls, c)
	}
	slices.SortFunc(calls, func(a, b *call) int { return int(a.link.c.No - b.link.c.No) })
	for _, c := range calls {
		n.e.w.Hang(c.link.c)
	}
	for _, l := range n.links() {
		n.e.w.Hang(l.c)
	}
	n.e.w.Ready(n.no, false)
}

// links are all idle ones in an order of their own.
func (n *node) links() (all []*link) {
	for _, e := range n.ends {
		all = append(all, e.idle...)
	}
	slices.SortFunc(all, func(a, b *link) int { return int(a.c.No - b.c.No) })
	return all
}

// term begins a planned end: programs go elsewhere at once here, and the rest waits for the next process.
func (n *node) term() {
	if !n.alive {
		return
	}
	n.ending, n.endAt = true, n.e.w.Now()
	n.e.w.Ready(n.no, false)
	life := n.life
	n.e.w.After(endAfter, func() {
		if n.life == life && n.alive {
			n.kill()
		}
	})
}

func (n *node) pause(on bool) {
	n.paused = on
	if !on {
		later := n.later
		n.later = nil
		for _, do := range later {
			do()
		}
		n.scheduleTurn()
	}
}

// awake runs what reaches the process, or keeps it until it goes on.
func (n *node) awake(do func()) {
	switch {
	case !n.alive:
	case n.paused:
		life := n.life
		n.later = append(n.later, func() {
			if n.life == life {
				do()
			}
		})
	default:
		do()
	}
}
