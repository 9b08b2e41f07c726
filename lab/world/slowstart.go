package world

// This file models slow start after an outage: an endpoint that gets too many calls in slow start goes down again.

import (
	"cmp"
	"math"
	"slices"

	"flaxcove/choice"
)

// HasSlowStartCapacity reports whether an endpoint that is in slow start can take one more call without going down; for
// any other endpoint it is true. It serves baseline policies that may see the true state of the world.
func (w *World) HasSlowStartCapacity(id choice.EndpointID) bool {
	e := w.byID[id]
	if e == nil || !e.inSlowStart(w.now) {
		return true
	}
	sum, _ := w.recentLoad(e)
	return sum+1 < 0.8*w.overloadBound(e)
}

// capacityShare returns the share of its full capacity that an endpoint has now. It rises linearly during slow start.
func (w *World) capacityShare(e *Endpoint) float64 {
	k := e.Partner.Kind
	since := float64(w.now-e.slowStartBegan) / float64(seconds(k.SlowStartS))
	if since >= 1 {
		return 1
	}
	return k.SlowStartFrom + (1-k.SlowStartFrom)*max(0, since)
}

// inSlowStart reports whether the endpoint returned from an outage less than PartnerKind.SlowStartS ago.
func (e *Endpoint) inSlowStart(now Time) bool {
	return now < e.slowStartBegan+seconds(e.Partner.Kind.SlowStartS)
}

// noteFailureSeen records that a sender saw a call fail during an outage.
func (w *World) noteFailureSeen(e *Endpoint, s SenderNo) {
	if e.inOutage {
		e.sawFailure[s] = struct{}{}
	}
}

// recentLoad returns the load on an endpoint within the last Rules.FallS, and the part of it from senders that saw the
// endpoint fail. Both are in calls with one message.
func (w *World) recentLoad(e *Endpoint) (sum, knowing float64) {
	span := seconds(w.Spec.Rules.FallS)
	e.recentCalls = slices.DeleteFunc(e.recentCalls, func(a recentCall) bool { return a.at < w.now-span })
	for _, a := range e.recentCalls {
		sum += a.weight
		if _, knows := e.sawFailure[a.sender]; knows {
			knowing += a.weight
		}
	}
	return sum, knowing
}

// overloadBound returns the load within Rules.FallS above which an endpoint in slow start goes down. It is at least 4 calls.
func (w *World) overloadBound(e *Endpoint) float64 {
	allowed := w.Spec.Rules.FallMultiple * e.Rate * w.capacityShare(e) * w.Spec.Rules.FallS
	if w.Spec.Rules.FallWithSpread {
		return boundWithSpread(allowed)
	}
	return max(4, allowed)
}

// boundWithSpread returns the bound of the standing test for a number of allowed calls.
func boundWithSpread(allowed float64) float64 {
	const fewCalls = 30
	if allowed < fewCalls {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// countSlowStartLoad adds a call to the load on an endpoint in slow start, and takes the endpoint down if the load exceeds
// overloadBound.
func (w *World) countSlowStartLoad(call *Call) {
	e := call.Conn.Endpoint
	if e.inOutage || e.slowStartBegan < 0 {
		return
	}
	weight := 1 + bulkMessageWork*float64(max(1, len(call.Messages))-1)
	e.recentCalls = append(e.recentCalls, recentCall{w.now, call.Conn.Sender, weight})
	sum, knowing := w.recentLoad(e)
	bound := w.overloadBound(e)
	w.ledger.LoadInSlowStart(e, sum, bound)
	if sum <= bound {
		return
	}
	w.ledger.OverloadedInSlowStart(e, knowing/sum)
	e.downUntil = w.now + seconds(e.Partner.Kind.DownS)
	w.updateAccepting(e)
	w.crashProcess(e)
	w.setOutage(e, true)
	w.At(e.downUntil, func() { w.updateOutage(e) })
}

// crashProcess ends the process of an endpoint: its connections are reset and its queue is lost. Of the calls that were
// being worked on, half are drawn by chance to have been executed.
func (w *World) crashProcess(e *Endpoint) {
	e.restarts++
	e.busy = 0
	all := make([]*Conn, 0, len(e.conns))
	for c := range e.conns {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *Conn) int { return cmp.Compare(a.No, b.No) })
	e.queue = nil
	for _, c := range all {
		if call := c.call; call != nil && !call.ended {
			if call.running && !call.Probe && w.draw("crash ran", w.drawKey(call)...) < 0.5 {
				for _, h := range call.Messages {
					w.reportExecuted(h, e)
				}
			}
			w.noteFailureSeen(e, c.Sender)
			w.endAtEndpoint(call, 0)
		}
		w.closeAtEndpoint(c, true)
	}
}

// setOutage begins or ends an outage. An endpoint that returns is in slow start.
func (w *World) setOutage(e *Endpoint, down bool) {
	if e.inOutage == down {
		return
	}
	e.inOutage, e.outageChangedAt = down, w.now
	if down {
		clear(e.sawFailure)
	} else {
		e.slowStartBegan = w.now
		e.recentCalls = nil
	}
	w.ledger.Outage(e, down)
}

// updateAccepting tells the engine if an endpoint has begun or ceased to refuse connections.
func (w *World) updateAccepting(e *Endpoint) {
	if on := e.accepts(w.now); on == e.refusesConns {
		e.refusesConns = !on
		w.wire.AcceptingChanged(e, on)
	}
}

// updateOutage begins or ends an outage according to the current effects on an endpoint.
func (w *World) updateOutage(e *Endpoint) {
	w.updateAccepting(e)
	w.setOutage(e, e.unresponsive() || e.effects.failing > 0.5 || w.now < e.downUntil)
}
