package world

// This file models slow start after an outage: an endpoint that gets too many calls then falls over again.

import (
	"cmp"
	"slices"

	"flaxcove/choice"
)

// HasSlowStartCapacity is for policies that may see the true state. It reports whether an endpoint in slow start withstands
// one more call.
func (w *World) HasSlowStartCapacity(id choice.EndpointID) bool {
	e := w.byID[id]
	if e == nil || !e.inSlowStart(w.now) {
		return true
	}
	sum, _ := w.recentLoad(e)
	return sum+1 < 0.8*w.overloadBound(e)
}

// capacityShare is the share of its full capacity that an endpoint has now.
func (w *World) capacityShare(e *Endpoint) float64 {
	k := e.Partner.Kind
	since := float64(w.now-e.warmFrom) / float64(seconds(k.SlowStartS))
	if since >= 1 {
		return 1
	}
	return k.SlowStartFrom + (1-k.SlowStartFrom)*max(0, since)
}

func (e *Endpoint) inSlowStart(now Time) bool {
	return now < e.warmFrom+seconds(e.Partner.Kind.SlowStartS)
}

// noteFailureSeen records that a sender saw a call fail during an outage.
func (w *World) noteFailureSeen(e *Endpoint, s SenderNo) {
	if e.out {
		e.sawFailure[s] = struct{}{}
	}
}

// recentLoad is the load within the span of the rule on returns, and the part from senders that saw the endpoint fail.
func (w *World) recentLoad(e *Endpoint) (sum, knowing float64) {
	span := seconds(w.Spec.Rules.FallS)
	e.recent = slices.DeleteFunc(e.recent, func(a arrival) bool { return a.at < w.now-span })
	for _, a := range e.recent {
		sum += a.weight
		if _, knows := e.sawFailure[a.sender]; knows {
			knowing += a.weight
		}
	}
	return sum, knowing
}

// overloadBound is the load within the rule's span above which an endpoint in slow start falls over. It is at least a few
// calls.
func (w *World) overloadBound(e *Endpoint) float64 {
	return max(4, w.Spec.Rules.FallMultiple*e.Rate*w.capacityShare(e)*w.Spec.Rules.FallS)
}

// countSlowStartLoad adds a call to the load on an endpoint in slow start, and takes it down if that is too much.
func (w *World) countSlowStartLoad(call *Call) {
	e := call.Conn.Endpoint
	if e.out || e.warmFrom < 0 {
		return
	}
	weight := 1 + bulkMessageWork*float64(max(1, len(call.Messages))-1)
	e.recent = append(e.recent, arrival{w.now, call.Conn.Sender, weight})
	sum, knowing := w.recentLoad(e)
	bound := w.overloadBound(e)
	w.ledger.Returning(e, sum, bound)
	if sum <= bound {
		return
	}
	w.ledger.PushedOver(e, knowing/sum)
	e.downUntil = w.now + seconds(e.Partner.Kind.DownS)
	w.updateAccepting(e)
	w.crashProcess(e)
	w.setOutage(e, true)
	w.At(e.downUntil, func() { w.updateOutage(e) })
}

// crashProcess ends the process of an endpoint: its connections are reset and its queue is lost. Half of the calls that
// were being worked on have taken effect.
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
		if call := c.call; call != nil && !call.over {
			if call.running && !call.Probe && w.draw("crash ran", w.drawKey(call)...) < 0.5 {
				for _, h := range call.Messages {
					w.executed(h, e)
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
	if e.out == down {
		return
	}
	e.out, e.since = down, w.now
	if down {
		clear(e.sawFailure)
	} else {
		e.warmFrom = w.now
		e.recent = nil
	}
	w.ledger.Outage(e, down)
}

// updateAccepting tells the engine when an endpoint begins or stops to refuse connections.
func (w *World) updateAccepting(e *Endpoint) {
	if on := e.accepts(w.now); on == e.refuses {
		e.refuses = !on
		w.wire.AcceptingChanged(e, on)
	}
}

// updateOutage begins or ends an outage according to the current effects on an endpoint.
func (w *World) updateOutage(e *Endpoint) {
	w.updateAccepting(e)
	w.setOutage(e, e.unresponsive() || e.effects.failing > 0.5 || w.now < e.downUntil)
}
