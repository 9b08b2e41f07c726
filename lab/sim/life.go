package sim

// This file models the kill, the graceful shutdown and the pause of a sender's process.

import (
	"iter"
	"maps"
	"slices"

	"flaxcove/choice"
)

// kill ends the process at once, as SIGKILL does. Messages that are not recorded are lost.
func (n *node) kill() {
	if !n.alive {
		return
	}
	n.recordImpairments()
	n.alive, n.paused = false, false
	n.deferred = nil
	n.incarnation++
	for id, o := range n.messages {
		if !o.recorded {
			delete(n.messages, id)
		}
	}
	var calls []*call
	for c := range n.inFlight {
		calls = append(calls, c)
	}
	slices.SortFunc(calls, func(a, b *call) int { return int(a.link.conn.No - b.link.conn.No) })
	for _, c := range calls {
		n.e.w.CloseBySender(c.link.conn)
	}
	for _, l := range n.idleLinks() {
		n.e.w.CloseBySender(l.conn)
	}
	n.e.w.SetServing(n.no, false)
}

// recordImpairments models the file that tells the next process which endpoints are out, if the policy knows that.
func (n *node) recordImpairments() {
	n.impairments, n.endedAt = nil, n.e.w.Now()
	if policy, ok := n.policy.(interface {
		Impairments() iter.Seq2[choice.EndpointID, choice.Impairment]
	}); ok {
		n.impairments = maps.Collect(policy.Impairments())
	}
}

// takeImpairment removes and returns what the process before recorded of an endpoint; nil if that is nothing.
func (n *node) takeImpairment(id choice.EndpointID) *choice.Impairment {
	state, known := n.impairments[id]
	if !known {
		return nil
	}
	delete(n.impairments, id)
	state = state.After(n.e.w.Now() - n.endedAt)
	return &state
}

// provenSpan is the time before the end of a process within which a delivery shows the next one that a destination is well.
const provenSpan = 10 * choice.Second

// unproven reports whether the process before, if there was one, had no delivery to a destination shortly before its end.
func (n *node) unproven(id choice.DestinationID) bool {
	at, known := n.deliveredAt[id]
	return n.incarnation > 1 && (!known || n.endedAt-at > provenSpan)
}

// idleLinks returns all idle links, sorted by connection number so that the order does not depend on the map.
func (n *node) idleLinks() (all []*link) {
	for _, e := range n.endpoints {
		all = append(all, e.idle...)
	}
	slices.SortFunc(all, func(a, b *link) int { return int(a.conn.No - b.conn.No) })
	return all
}

// beginShutdown begins a graceful shutdown, as SIGTERM does. Clients use other senders from now on. After drainTimeout the
// process ends, and the next incarnation takes over the messages that have not ended.
func (n *node) beginShutdown() {
	if !n.alive {
		return
	}
	n.shuttingDown, n.shutdownAt = true, n.e.w.Now()
	n.e.w.SetServing(n.no, false)
	incarnation := n.incarnation
	n.e.w.After(drainTimeout, func() {
		if n.incarnation == incarnation && n.alive {
			n.kill()
		}
	})
}

// pause pauses the process, or continues it and runs the deferred functions.
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

// whenRunning calls do now, or when the process continues if it is paused. It drops do if the process has ended, or ends
// before it continues.
func (n *node) whenRunning(do func()) {
	switch {
	case !n.alive:
	case n.paused:
		incarnation := n.incarnation
		n.deferred = append(n.deferred, func() {
			if n.incarnation == incarnation {
				do()
			}
		})
	default:
		do()
	}
}
