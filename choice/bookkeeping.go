package choice

import (
	"container/list"
	"iter"
	"slices"
)

// This file keeps the module's lists: a destination's queues, those who share a route, and timers by message. It must
// decide nothing and hold no tuned value.

// retryQueues is how many of a destination's queues stand before those of fresh messages: due retries, and the lane of
// what was refused.
const retryQueues = 2

// queueFor is the queue of its destination that a message belongs to; a row of them grows as they are used.
func (d *destination) queueFor(n *message) *list.List {
	i := retryQueues + int(n.Class)
	if n.attempts > 0 {
		i = int(one(n.rejected))
	}
	for len(d.queues) <= i {
		d.queues = append(d.queues, list.New())
	}
	return d.queues[i]
}

// endpointsOf are the endpoints of a destination that are one route.
func (d *destination) endpointsOf(r *route) iter.Seq[*endpoint] {
	return func(yield func(*endpoint) bool) {
		for _, e := range d.ranked {
			if e.route == r && !yield(e) {
				return
			}
		}
	}
}

// position is how many of its key are ahead of a message; none without a key.
func (l *keyQueue) position(n *message) int {
	if l == nil {
		return 0
	}
	return slices.Index(l.messages, n)
}

// messageTimers are the timers that stand for messages.
type messageTimers struct {
	last    TimerID
	pending map[TimerID]*message // each leaves as it fires, or its message is released
}

func (a *messageTimers) add(n *message) TimerID {
	a.last++
	a.pending[a.last] = n
	n.timers = append(n.timers, a.last)
	return a.last
}

// takeFired is whose timer it was; nil where that is over.
func (a *messageTimers) takeFired(id TimerID) *message {
	n := a.pending[id]
	if n != nil {
		n.timers = removeValue(n.timers, id)
	}
	delete(a.pending, id)
	return n
}

// clear forgets what a message still waits for.
func (a *messageTimers) clear(n *message, forget func(TimerID)) {
	for _, id := range n.timers {
		delete(a.pending, id)
		forget(id)
	}
	n.timers = nil
}
