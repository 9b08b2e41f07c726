package choice

import (
	"container/list"
	"iter"
	"slices"
)

// This file keeps lists: the queues of a destination, the endpoints of a route, and the timers of messages. It decides
// nothing and holds no tuned value.

// A destination's queues are numbered: those of retries first, then one for the first attempts of each class.
const (
	dueRetries      = iota // retries of messages that were not rejected
	rejectedRetries        // retries of rejected messages
	retryQueues            // number of these, and the queue of class 0
)

// queueFor returns the queue of its destination that a message belongs to, made where it is new.
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

// endpointsOf returns the endpoints of a destination that belong to a route.
func (d *destination) endpointsOf(route *route) iter.Seq[*endpoint] {
	return func(yield func(*endpoint) bool) {
		for _, ep := range d.ranked {
			if ep.route == route && !yield(ep) {
				return
			}
		}
	}
}

// position returns how many messages are ahead of one in its key queue; none where it has no key.
func (q *keyQueue) position(msg *message) int {
	if q == nil {
		return 0
	}
	return slices.Index(q.messages, msg)
}

// messageTimers are the timers that stand for messages.
type messageTimers struct {
	last    TimerID
	pending map[TimerID]*message // each leaves as it fires, or as its message is released
}

// add returns a new timer for a message.
func (t *messageTimers) add(msg *message) TimerID {
	t.last++
	t.pending[t.last] = msg
	msg.timers = append(msg.timers, t.last)
	return t.last
}

// takeFired returns the message of a timer that has fired, or nil where the timer no longer stands for one.
func (t *messageTimers) takeFired(id TimerID) *message {
	msg := t.pending[id]
	if msg != nil {
		msg.timers = removeValue(msg.timers, id)
	}
	delete(t.pending, id)
	return msg
}

// clear drops all timers of a message.
func (t *messageTimers) clear(msg *message, forget func(TimerID)) {
	for _, id := range msg.timers {
		delete(t.pending, id)
		forget(id)
	}
	msg.timers = nil
}
