package baseline

// This file owns what goes where at the end of a turn. Only the bound may look at the world.

import (
	"cmp"
	"slices"

	"flaxcove/choice"
)

// Open tells whether a call to an endpoint that was queued may still go.
func (p *plain) Open(id choice.EndpointID, messages ...choice.MessageID) bool {
	now := p.h.Now()
	for _, id := range messages {
		n := p.held[id]
		if n != nil && n.MayRun && now > n.RanAt+p.set.Classes[n.Class].RepeatWindow-p.set.Turn {
			return false
		}
	}
	e := p.ends[id]
	return e != nil && e.Stage == choice.Ready && now >= max(e.halt, e.d.halt)
}

// TurnEnd sends what waits, in order of arrival, past those whose partner may not be called now.
func (p *plain) TurnEnd() {
	if p.kind == allSeen {
		p.sortByPriority()
	}
	rest := p.queue[:0]
	for i, n := range p.queue {
		if p.out >= p.set.InFlightLimit {
			rest = append(rest, p.queue[i:]...)
			break
		}
		if e := p.place(n); e != nil {
			p.send(n, e)
		} else {
			rest = append(rest, n)
		}
	}
	p.queue = rest
}

// sortByPriority puts those first that bring most for the time in which they are in flight.
func (p *plain) sortByPriority() {
	for _, n := range p.queue {
		n.rank = 0
		if e := p.place(n); e != nil {
			n.rank = p.priority(n) / max(1, e.waiting)
		}
	}
	slices.SortStableFunc(p.queue, func(a, b *message) int { return cmp.Compare(b.rank, a.rank) })
}

// send sends a message.
func (p *plain) send(n *message, e *end) {
	n.queued = false
	n.out, n.sentAt = e, p.h.Now()
	n.tries++
	e.calls++
	p.out++
	if n.slow = e.waiting > float64(p.shortest); n.slow {
		p.slow++
	}
	if n.tries == 1 {
		p.budget = min(budgetMost, p.budget+budgetPart)
	}
	timeOut := p.shortest
	if p.kind == allSeen {
		timeOut = 4 * p.shortest
	}
	p.h.Attempt(n.ID, e.Endpoint, max(1, min(timeOut, n.Deadline-p.h.Now()-2*p.set.Turn)))
}

// priority is the value that a message would bring now.
func (p *plain) priority(n *message) float64 {
	w := &p.set.Classes[n.Class]
	return w.Value * w.Fade(p.h.Now()-(n.Deadline-w.Deadline), p.set.Halving)
}

// place is the endpoint that a message goes to, nil if none may be called.
func (p *plain) place(n *message) *end {
	open := p.open(n.Destination)
	if len(open) == 0 {
		return nil
	}
	if p.kind == allSeen {
		return p.bestSeen(open)
	}
	e := open[p.rng.IntN(len(open))]
	if p.kind == least {
		if other := open[p.rng.IntN(len(open))]; other.calls < e.calls {
			e = other
		}
	}
	return e
}

// open are the endpoints of a destination that may be called now.
func (p *plain) open(id choice.DestinationID) (open []*end) {
	now, d := p.h.Now(), p.dests[id]
	if d == nil || now < d.halt {
		return nil
	}
	for _, e := range d.ends {
		if e.Stage == choice.Ready && now >= e.halt {
			open = append(open, e)
		}
	}
	return open
}

// bestSeen is the endpoint that truly answers first. Slow ones may not take up the whole limit in flight.
func (p *plain) bestSeen(open []*end) (best *end) {
	for _, e := range open {
		well, waiting := p.w.WouldAnswer(e.Endpoint, e.calls)
		if well && p.w.HasSlowStartCapacity(e.Endpoint) && (best == nil || waiting < best.waiting) {
			best = e
			e.waiting = waiting
		}
	}
	if best != nil && best.waiting > float64(p.shortest) && p.slow >= max(1, p.set.InFlightLimit/slowPart) {
		return nil
	}
	return best
}
