package choice

import (
	"container/list"
	"iter"
	"slices"
)

// This file keeps the module's lists: a destination's queues, those who share a route, and timers by message. It must
// decide nothing and hold no tuned value.

// retryQueues is how many of a destination's queues stand before those of fresh messages: due retries, and the lane of
// do was refused.
const retryQueues = 2

// queueFor is the queue of its destination that a message belongs to; a row of them grows as they are used.
func (d *destination) queueFor(msg *message) *list.List {
	i := retryQueues + int(msg.Class)
	if msg.attempts > 0 {
		i = int(one(msg.rejected))
	}
	for len(d.queues) <= i {
		d.queues = append(d.queues, list.New())
	}
	return d.queues[i]
}

// endpointsOf are the endpoints of a destination that are one route.
func (d *destination) endpointsOf(route *route) iter.Seq[*endpoint] {
	return func(yield func(*endpoint) bool) {
		for _, ep := range d.ranked {
			if ep.route == route && !yield(ep) {
				return
			}
		}
	}
}

// position is how many of its key are ahead of a message; none without a key.
func (q *keyQueue) position(msg *message) int {
	if q == nil {
		return 0
	}
	return slices.Index(q.messages, msg)
}

// messageTimers are the timers that stand for messages.
type messageTimers struct {
	last    TimerID
	pending map[TimerID]*message // each leaves as it fires, or its message is released
}

func (a *messageTimers) add(msg *message) TimerID {
	a.last++
	a.pending[a.last] = msg
	msg.timers = append(msg.timers, a.last)
	return a.last
}

// takeFired is whose timer it was; nil where that is over.
func (a *messageTimers) takeFired(id TimerID) *message {
	msg := a.pending[id]
	if msg != nil {
		msg.timers = removeValue(msg.timers, id)
	}
	delete(a.pending, id)
	return msg
}

// clear forgets what a message still waits for.
func (a *messageTimers) clear(msg *message, forget func(TimerID)) {
	for _, id := range msg.timers {
		delete(a.pending, id)
		forget(id)
	}
	msg.timers = nil
}
