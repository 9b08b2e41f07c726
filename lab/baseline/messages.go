package baseline

// This file holds a policy's state: the endpoint list, the messages, the queues of ordering keys and the timers.

import (
	"slices"

	"flaxcove/choice"
)

// UpdateEndpoints takes an update of the endpoint list.
func (p *policy) UpdateEndpoints(entries []choice.Entry, whole bool) {
	if whole {
		for _, e := range p.endpoints {
			e.Stage = choice.Gone
		}
	}
	for _, entry := range entries {
		p.endpointOf(entry).Entry = entry
	}
}

// endpointOf returns the endpoint of an entry, and adds it if it is new.
func (p *policy) endpointOf(entry choice.Entry) *endpoint {
	if e := p.endpoints[entry.Endpoint]; e != nil {
		return e
	}
	d := p.destinations[entry.Destination]
	if d == nil {
		d = &destination{}
		p.destinations[entry.Destination] = d
	}
	e := &endpoint{destination: d}
	p.endpoints[entry.Endpoint] = e
	d.endpoints = append(d.endpoints, e)
	return e
}

// Taken takes a message that the sender has accepted.
func (p *policy) Taken(in choice.Message) {
	n := &message{Message: in}
	p.messages[n.ID] = n
	w := &p.settings.Classes[n.Class]
	if w.Ordered && n.Key != choice.NoKey {
		n.keyQueue = p.keyQueueOf(n.Key)
		n.keyQueue.messages = append(n.keyQueue.messages, n)
	}
	if n.MayRun && w.Repeat == choice.NonIdempotent {
		p.finish(n)
		return
	}
	p.after(p.cutoff(n)-p.host.Now(), func() {
		if p.messages[n.ID] == n && n.sentTo == nil {
			p.finish(n)
		}
	})
	p.enqueue(n)
}

// keyQueueOf returns the queue of a key, and adds it if there is none.
func (p *policy) keyQueueOf(key choice.OrderKey) *keyQueue {
	if p.keyQueues[key] == nil {
		p.keyQueues[key] = &keyQueue{key: key}
	}
	return p.keyQueues[key]
}

// cutoff is when a message without an attempt in flight is ended.
func (p *policy) cutoff(n *message) choice.Time {
	return n.Deadline - p.shortest/4 - 4*p.settings.TurnInterval
}

// after calls do after a time.
func (p *policy) after(in choice.Time, do func()) {
	p.timerNo++
	p.timers[p.timerNo] = do
	p.host.Timer(max(1, in), p.timerNo)
}

// enqueue puts a message in the queue if it may be sent.
func (p *policy) enqueue(n *message) {
	if p.messages[n.ID] != n || n.queued || n.sentTo != nil || n.keyQueue != nil && n.keyQueue.messages[0] != n {
		return
	}
	if n.keyQueue != nil && n.attempts == 0 && p.host.Now() < n.keyQueue.pausedUntil {
		p.after(n.keyQueue.pausedUntil-p.host.Now(), func() { p.enqueue(n) })
		return
	}
	n.queued = true
	p.queue = append(p.queue, n)
}

// Withdrawn drops a message without an attempt in flight.
func (p *policy) Withdrawn(id choice.MessageID) {
	if n := p.messages[id]; n != nil && n.sentTo == nil {
		p.release(n)
	}
}

// release forgets a message; the next one of its key may be sent.
func (p *policy) release(n *message) {
	delete(p.messages, n.ID)
	if n.queued {
		n.queued = false
		p.queue = slices.DeleteFunc(p.queue, func(other *message) bool { return other == n })
	}
	if n.keyQueue != nil {
		p.leaveKeyQueue(n, n.keyQueue)
	}
}

func (p *policy) leaveKeyQueue(n *message, l *keyQueue) {
	l.messages = slices.DeleteFunc(l.messages, func(other *message) bool { return other == n })
	if len(l.messages) > 0 {
		p.enqueue(l.messages[0])
		return
	}
	if p.host.Now() >= l.pausedUntil {
		delete(p.keyQueues, l.key)
	}
}

// finish ends a message: it fails if it may have been executed, else it is shed.
func (p *policy) finish(n *message) {
	if n.MayRun {
		p.host.Fail(n.ID)
	} else {
		p.host.Shed(n.ID, min(p.settings.MaxRetryAfter, choice.Second))
	}
	p.release(n)
}

// TimerDue calls what a timer was set for.
func (p *policy) TimerDue(id choice.TimerID) {
	do := p.timers[id]
	delete(p.timers, id)
	if do != nil {
		do()
	}
}
