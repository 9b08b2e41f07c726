package baseline

// This file sends messages at the end of a tick. Only all_seen may read the state of the world.

import (
	"cmp"
	"slices"

	"flaxcove/choice"
)

// Open reports whether a call whose connection has just come up may still be sent.
func (p *policy) Open(id choice.EndpointID, messages ...choice.MessageID) bool {
	now := p.host.Now()
	for _, id := range messages {
		n := p.messages[id]
		if n != nil && n.MayRun && now > n.RanAt+p.settings.Classes[n.Class].RepeatWindow-p.settings.TurnInterval {
			return false
		}
	}
	e := p.endpoints[id]
	return e != nil && e.Stage == choice.Ready && now >= max(e.blockedUntil, e.destination.blockedUntil)
}

// TurnEnd sends the queued messages in order of arrival, skipping those whose destination may not be called now.
func (p *policy) TurnEnd() {
	if p.kind == allSeen {
		p.sortByPriority()
	}
	rest := p.queue[:0]
	for i, n := range p.queue {
		if p.inFlight >= p.settings.InFlightLimit {
			rest = append(rest, p.queue[i:]...)
			break
		}
		if e := p.pickEndpoint(n); e != nil {
			p.send(n, e)
		} else {
			rest = append(rest, n)
		}
	}
	p.queue = rest
}

// sortByPriority puts those messages first that bring most value for the time in flight.
func (p *policy) sortByPriority() {
	for _, n := range p.queue {
		n.rank = 0
		if e := p.pickEndpoint(n); e != nil {
			n.rank = p.priority(n) / max(1, e.waiting)
		}
	}
	slices.SortStableFunc(p.queue, func(a, b *message) int { return cmp.Compare(b.rank, a.rank) })
}

// send sends a message.
func (p *policy) send(n *message, e *endpoint) {
	n.queued = false
	n.sentTo, n.sentAt = e, p.host.Now()
	n.attempts++
	e.calls++
	p.inFlight++
	if n.slow = e.waiting > float64(p.shortest); n.slow {
		p.slowInFlight++
	}
	if n.attempts == 1 {
		p.budget = min(maxBudget, p.budget+budgetPerSend)
	}
	timeOut := p.shortest
	if p.kind == allSeen {
		timeOut = 4 * p.shortest
	}
	p.host.Attempt(n.ID, e.Endpoint, max(1, min(timeOut, n.Deadline-p.host.Now()-2*p.settings.TurnInterval)))
}

// priority is the value of a message if it were delivered now.
func (p *policy) priority(n *message) float64 {
	w := &p.settings.Classes[n.Class]
	return w.Value * w.ValueShare(p.host.Now()-(n.Deadline-w.Deadline), p.settings.Halving)
}

// pickEndpoint returns the endpoint that a message is sent to, or nil if none may be called.
func (p *policy) pickEndpoint(n *message) *endpoint {
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

// open returns the endpoints of a destination that may be called now.
func (p *policy) open(id choice.DestinationID) (open []*endpoint) {
	now, d := p.host.Now(), p.destinations[id]
	if d == nil || now < d.blockedUntil {
		return nil
	}
	for _, e := range d.endpoints {
		if e.Stage == choice.Ready && now >= e.blockedUntil {
			open = append(open, e)
		}
	}
	return open
}

// bestSeen returns the endpoint that will answer first by the true state. Slow ones may not take up the whole in-flight limit.
func (p *policy) bestSeen(open []*endpoint) (best *endpoint) {
	for _, e := range open {
		well, waiting := p.world.WouldAnswer(e.Endpoint, e.calls)
		if well && p.world.HasSlowStartCapacity(e.Endpoint) && (best == nil || waiting < best.waiting) {
			best = e
			e.waiting = waiting
		}
	}
	if best != nil && best.waiting > float64(p.shortest) && p.slowInFlight >= max(1, p.settings.InFlightLimit/slowShare) {
		return nil
	}
	return best
}
