package choice

import (
	"container/list"
	"iter"
	"slices"
)

// This file maintains the queues of a destination, the endpoints of a route and the timers of messages. It makes no
// decisions and has no tuned values.

// These are indexes of destination.queues. The queues of retries come first, then one queue for the first attempts of
// each class.
const (
	dueRetries      = iota // retries of messages that were not rejected
	rejectedRetries        // retries of rejected messages
	retryQueues            // number of retry queues, and index of the queue of class 0
)

// queueFor returns the queue of the destination that a message belongs to, and creates it if necessary.
func (d *destination) queueFor(msg *message) *list.List {
	i := retryQueues + int(msg.Class)
	if msg.attempts > 0 {
		i = dueRetries
		if msg.rejected {
			i = rejectedRetries
		}
	}
	for len(d.queues) <= i {
		d.queues = append(d.queues, list.New())
	}
	return d.queues[i]
}

// endpointsOf returns the endpoints of a destination that belong to the given route.
func (d *destination) endpointsOf(route *route) iter.Seq[*endpoint] {
	return func(yield func(*endpoint) bool) {
		for _, ep := range d.ranked {
			if ep.route == route && !yield(ep) {
				return
			}
		}
	}
}

// position returns how many messages of its key queue are ahead of a message. A nil queue, which means no order key,
// gives 0.
func (q *keyQueue) position(msg *message) int {
	if q == nil {
		return 0
	}
	return slices.Index(q.messages, msg)
}

// messageTimers holds the timers that were set for messages.
type messageTimers struct {
	last    TimerID
	pending map[TimerID]*message // removed when the timer fires or the message is released
}

// add returns a new timer for a message.
func (t *messageTimers) add(msg *message) TimerID {
	t.last++
	t.pending[t.last] = msg
	msg.timers = append(msg.timers, t.last)
	return t.last
}

// removeFired removes a timer that has fired and returns its message, or nil if the timer was already removed.
func (t *messageTimers) removeFired(id TimerID) *message {
	msg := t.pending[id]
	if msg != nil {
		msg.timers = removeValue(msg.timers, id)
	}
	delete(t.pending, id)
	return msg
}

// clear removes all timers of a message and passes each of them to forget.
func (t *messageTimers) clear(msg *message, forget func(TimerID)) {
	for _, id := range msg.timers {
		delete(t.pending, id)
		forget(id)
	}
	msg.timers = nil
}
