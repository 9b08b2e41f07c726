package baseline

// This file owns what a policy holds: the list, its messages, their lines and timers. It must never choose an endpoint.

import (
	"slices"

	"flaxcove/choice"
)

// UpdateEndpoints takes the list on.
func (p *plain) UpdateEndpoints(entries []choice.Entry, whole bool) {
	if whole {
		for _, e := range p.ends {
			e.Stage = choice.Gone
		}
	}
	for _, entry := range entries {
		p.endOf(entry).Entry = entry
	}
}

// endOf is the endpoint of an entry, a new one if it was not known.
func (p *plain) endOf(entry choice.Entry) *end {
	if e := p.ends[entry.Endpoint]; e != nil {
		return e
	}
	d := p.dests[entry.Destination]
	if d == nil {
		d = &dest{}
		p.dests[entry.Destination] = d
	}
	e := &end{d: d}
	p.ends[entry.Endpoint] = e
	d.ends = append(d.ends, e)
	return e
}

// Taken takes a message on.
func (p *plain) Taken(in choice.Message) {
	n := &message{Message: in}
	p.held[n.ID] = n
	w := &p.set.Classes[n.Class]
	if w.ByArrival && n.Key != choice.NoKey {
		n.line = p.lineOf(n.Key)
		n.line.messages = append(n.line.messages, n)
	}
	if n.MayRun && w.Repeat == choice.NonIdempotent {
		p.finish(n)
		return
	}
	p.after(p.last(n)-p.h.Now(), func() {
		if p.held[n.ID] == n && n.out == nil {
			p.finish(n)
		}
	})
	p.add(n)
}

// lineOf is the line of a key, a new one if there is none.
func (p *plain) lineOf(key choice.OrderKey) *line {
	if p.lines[key] == nil {
		p.lines[key] = &line{key: key}
	}
	return p.lines[key]
}

// last is when a message that is not out is answered.
func (p *plain) last(n *message) choice.Time {
	return n.Deadline - p.shortest/4 - 4*p.set.Turn
}

// after has something done so much later.
func (p *plain) after(in choice.Time, do func()) {
	p.timerNo++
	p.timers[p.timerNo] = do
	p.h.Timer(max(1, in), p.timerNo)
}

// add puts a message in the queue if it may go.
func (p *plain) add(n *message) {
	if p.held[n.ID] != n || n.queued || n.out != nil || n.line != nil && n.line.messages[0] != n {
		return
	}
	if n.line != nil && n.tries == 0 && p.h.Now() < n.line.rest {
		p.after(n.line.rest-p.h.Now(), func() { p.add(n) })
		return
	}
	n.queued = true
	p.queue = append(p.queue, n)
}

// Withdrawn lets go of a message that is not out.
func (p *plain) Withdrawn(id choice.MessageID) {
	if n := p.held[id]; n != nil && n.out == nil {
		p.release(n)
	}
}

// release forgets a message; the next one of its line may go.
func (p *plain) release(n *message) {
	delete(p.held, n.ID)
	if n.queued {
		n.queued = false
		p.queue = slices.DeleteFunc(p.queue, func(other *message) bool { return other == n })
	}
	if n.line != nil {
		p.leaveLine(n, n.line)
	}
}

func (p *plain) leaveLine(n *message, l *line) {
	l.messages = slices.DeleteFunc(l.messages, func(other *message) bool { return other == n })
	if len(l.messages) > 0 {
		p.add(l.messages[0])
		return
	}
	if p.h.Now() >= l.rest {
		delete(p.lines, l.key)
	}
}

// finish gives a message its final answer.
func (p *plain) finish(n *message) {
	if n.MayRun {
		p.h.Fail(n.ID)
	} else {
		p.h.Shed(n.ID, min(p.set.LongestReturn, choice.Second))
	}
	p.release(n)
}

// TimerDue does what a timer was set for.
func (p *plain) TimerDue(id choice.TimerID) {
	do := p.timers[id]
	delete(p.timers, id)
	if do != nil {
		do()
	}
}
