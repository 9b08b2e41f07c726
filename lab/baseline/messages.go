package baseline

// This file maintains a policy's state: the endpoint list, the messages, the queues of ordering keys and the timers.

import (
	"slices"

	"flaxcove/choice"
)

// UpdateEndpoints applies an update of the endpoint list. If it is full, endpoints that it does not contain are gone.
func (p *policy) UpdateEndpoints(entries []choice.Entry, full bool) {
	if full {
		for _, e := range p.endpoints {
			e.Stage = choice.Gone
		}
	}
	for _, entry := range entries {
		p.endpointOf(entry).Entry = entry
	}
}

// endpointOf returns the endpoint of an entry of the list, and adds it if it is new.
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

// Accept receives a message that the sender has accepted.
func (p *policy) Accept(in choice.Message) {
	m := &message{Message: in}
	p.messages[m.ID] = m
	class := &p.settings.Classes[m.Class]
	if class.Ordered && m.Key != choice.NoKey {
		m.keyQueue = p.keyQueueOf(m.Key)
		m.keyQueue.messages = append(m.keyQueue.messages, m)
	}
	if m.MayRun && class.Repeat == choice.NonIdempotent {
		p.finish(m)
		return
	}
	p.after(p.cutoff(m)-p.host.Now(), func() {
		if p.messages[m.ID] == m && m.sentTo == nil {
			p.finish(m)
		}
	})
	p.enqueue(m)
}

// keyQueueOf returns the queue of an ordering key, and adds it if there is none.
func (p *policy) keyQueueOf(key choice.OrderKey) *keyQueue {
	if p.keyQueues[key] == nil {
		p.keyQueues[key] = &keyQueue{key: key}
	}
	return p.keyQueues[key]
}

// cutoff returns the time from which a message without an attempt in flight is finished rather than sent. It is before the
// deadline by a quarter of the shortest latency objective and four turns.
func (p *policy) cutoff(m *message) choice.Time {
	return m.Deadline - p.shortest/4 - 4*p.settings.TurnInterval
}

// after calls f after a time.
func (p *policy) after(wait choice.Time, f func()) {
	p.timerNo++
	p.timers[p.timerNo] = f
	p.host.SetTimer(max(1, wait), p.timerNo)
}

// enqueue adds a message to the queue if it may be sent: it is pending, has no attempt in flight, and is the first of its
// ordering key. A first attempt waits while the key is paused.
func (p *policy) enqueue(m *message) {
	if p.messages[m.ID] != m || m.queued || m.sentTo != nil || m.keyQueue != nil && m.keyQueue.messages[0] != m {
		return
	}
	if m.keyQueue != nil && m.attempts == 0 && p.host.Now() < m.keyQueue.pausedUntil {
		p.after(m.keyQueue.pausedUntil-p.host.Now(), func() { p.enqueue(m) })
		return
	}
	m.queued = true
	p.queue = append(p.queue, m)
}

// Withdraw removes a message that was withdrawn, unless it has an attempt in flight.
func (p *policy) Withdraw(id choice.MessageID) {
	if m := p.messages[id]; m != nil && m.sentTo == nil {
		p.release(m)
	}
}

// release removes a message from all state. The next message of its ordering key may then be sent.
func (p *policy) release(m *message) {
	delete(p.messages, m.ID)
	if m.queued {
		m.queued = false
		p.queue = slices.DeleteFunc(p.queue, func(other *message) bool { return other == m })
	}
	if m.keyQueue != nil {
		p.leaveKeyQueue(m, m.keyQueue)
	}
}

// leaveKeyQueue removes a message from the queue of its ordering key, and enqueues the next one. An empty queue is deleted
// unless the key is still paused.
func (p *policy) leaveKeyQueue(m *message, q *keyQueue) {
	q.messages = slices.DeleteFunc(q.messages, func(other *message) bool { return other == m })
	if len(q.messages) > 0 {
		p.enqueue(q.messages[0])
		return
	}
	if p.host.Now() >= q.pausedUntil {
		delete(p.keyQueues, q.key)
	}
}

// finish ends a message: it fails if it may have been executed, and is shed otherwise.
func (p *policy) finish(m *message) {
	if m.MayRun {
		p.host.Fail(m.ID)
	} else {
		p.host.Shed(m.ID, min(p.settings.MaxRetryAfter, choice.Second))
	}
	p.release(m)
}

// TimerFired calls the function of a timer that has fired.
func (p *policy) TimerFired(id choice.TimerID) {
	f := p.timers[id]
	delete(p.timers, id)
	if f != nil {
		f()
	}
}
