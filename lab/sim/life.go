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
	n.deferred = nil
	n.incarnation++
	for id, o := range n.owed {
		if !o.recorded {
			delete(n.owed, id)
		}
	}
	var calls []*call
	for c := range n.out {
		calls = append(calls, c)
	}
	slices.SortFunc(calls, func(a, b *call) int { return int(a.link.c.No - b.link.c.No) })
	for _, c := range calls {
		n.e.w.CloseBySender(c.link.c)
	}
	for _, l := range n.idleLinks() {
		n.e.w.CloseBySender(l.c)
	}
	n.e.w.SetServing(n.no, false)
}

// idleLinks are all idle ones in an order of their own.
func (n *node) idleLinks() (all []*link) {
	for _, e := range n.endpoints {
		all = append(all, e.idle...)
	}
	slices.SortFunc(all, func(a, b *link) int { return int(a.c.No - b.c.No) })
	return all
}

// term begins a planned end: clients go elsewhere at once here, and the rest waits for the next process.
func (n *node) term() {
	if !n.alive {
		return
	}
	n.ending, n.endingSince = true, n.e.w.Now()
	n.e.w.SetServing(n.no, false)
	life := n.incarnation
	n.e.w.After(drainTimeout, func() {
		if n.incarnation == life && n.alive {
			n.kill()
		}
	})
}

func (n *node) pause(on bool) {
	n.paused = on
	if !on {
		later := n.deferred
		n.deferred = nil
		for _, do := range later {
			do()
		}
		n.scheduleTick()
	}
}

// whenRunning runs what reaches the process, or keeps it until it goes on.
func (n *node) whenRunning(do func()) {
	switch {
	case !n.alive:
	case n.paused:
		life := n.incarnation
		n.deferred = append(n.deferred, func() {
			if n.incarnation == life {
				do()
			}
		})
	default:
		do()
	}
}
