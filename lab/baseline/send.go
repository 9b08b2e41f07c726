package baseline

// This file sends messages at the end of a turn. Only all_seen may read the true state of the simulated environment.

import (
	"cmp"
	"slices"

	"flaxcove/choice"
)

// MaySend reports whether a call to an endpoint may still be sent after its connection has come up: the endpoint is
// neither blocked nor draining, and no retry among the messages is too late for its idempotency window.
func (p *policy) MaySend(id choice.EndpointID, messages ...choice.MessageID) bool {
	now := p.host.Now()
	for _, id := range messages {
		m := p.messages[id]
		if m != nil && m.MayRun && now > m.RanAt+p.settings.Classes[m.Class].RepeatWindow-p.settings.TurnInterval {
			return false
		}
	}
	e := p.endpoints[id]
	return e != nil && e.Stage == choice.Ready && now >= max(e.blockedUntil, e.destination.blockedUntil)
}

// TurnEnd sends the queued messages in order of arrival, or of rank for all_seen, up to the in-flight limit. It skips messages
// whose destination may not be called now.
func (p *policy) TurnEnd() {
	if p.kind == allSeen {
		p.sortByPriority()
	}
	unsent := p.queue[:0]
	for i, m := range p.queue {
		if p.inFlight >= p.settings.InFlightLimit {
			unsent = append(unsent, p.queue[i:]...)
			break
		}
		if e := p.pickEndpoint(m); e != nil {
			p.send(m, e)
		} else {
			unsent = append(unsent, m)
		}
	}
	p.queue = unsent
	p.turn++
}

// joinCall returns the call that carries the next message to an endpoint: the latest one of this turn if it has room, else a
// new one.
func (p *policy) joinCall(e *endpoint) choice.CallID {
	call := &e.turnCall
	if call.messages == 0 || call.turn != p.turn || call.messages >= p.settings.Kinds[e.Kind].BulkMax {
		p.callNo++
		*call = bulkCall{id: p.callNo, turn: p.turn}
	}
	call.messages++
	return call.id
}

// sortByPriority sorts the queue by rank, the value of a message per time in flight, highest first.
func (p *policy) sortByPriority() {
	for _, m := range p.queue {
		m.rank = 0
		if e := p.pickEndpoint(m); e != nil {
			m.rank = p.priority(m) / max(1, e.waiting)
		}
	}
	slices.SortStableFunc(p.queue, func(a, b *message) int { return cmp.Compare(b.rank, a.rank) })
}

// send sends a message to an endpoint.
func (p *policy) send(m *message, e *endpoint) {
	m.queued = false
	m.sentTo, m.sentAt = e, p.host.Now()
	m.attempts++
	e.calls++
	p.inFlight++
	if m.slow = e.waiting > float64(p.shortest); m.slow {
		p.slowInFlight++
	}
	if m.attempts == 1 {
		p.budget = min(maxBudget, p.budget+budgetPerSend)
	}
	timeOut := p.shortest
	if p.kind == allSeen {
		timeOut = 4 * p.shortest
	}
	p.host.Attempt(m.ID, e.Endpoint, p.joinCall(e), max(1, min(timeOut, m.Deadline-p.host.Now()-2*p.settings.TurnInterval)))
}

// priority returns the value of a message if it were delivered now.
func (p *policy) priority(m *message) float64 {
	class := &p.settings.Classes[m.Class]
	return class.Value * class.ValueShare(p.host.Now()-(m.Deadline-class.Deadline), p.settings.Halving)
}

// pickEndpoint returns the endpoint for a message according to the policy, or nil if none may be called.
func (p *policy) pickEndpoint(m *message) *endpoint {
	open := p.open(m.Destination)
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

// bestSeen returns the endpoint that, by the true state, would answer first, or nil if none should be called. Endpoints slower
// than the shortest latency objective may get at most 1/slowShare of the in-flight limit, so that they cannot use up all of it.
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
