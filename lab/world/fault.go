package world

// This file owns when troubles begin and end, and those of endpoints and of discovery. It must never let the end of one
// trouble lift another.

import (
	"slices"
)

// planFaults puts all troubles of a spec among the events.
func (w *World) planFaults() {
	w.struck = make([]map[*Endpoint]bool, len(w.Spec.Faults))
	for i := range w.Spec.Faults {
		t := &w.Spec.Faults[i]
		no := int64(i)
		from, to := seconds(t.At), seconds(t.At+t.Seconds)
		switch FaultKinds[t.Kind].Strikes {
		case "endpoints":
			struck := w.endpointsOf(&t.Part, no)
			set := map[*Endpoint]bool{}
			for _, e := range struck {
				set[e] = true
			}
			w.struck[i] = set
			w.At(from, func() { w.strike(t, struck, true) })
			w.At(to, func() { w.strike(t, struck, false) })
		case "senders":
			w.planSenders(t, w.sendersOf(&t.Part, no), from, to)
		case "discovery":
			w.At(from, func() { w.strikeList(t, true) })
			w.At(to, func() { w.strikeList(t, false) })
		case "clients":
			w.planClients(t, w.sendersOf(&Part{Zone: t.Part.Zone, Senders: t.Part.Senders}, no), from, to)
		}
	}
}

// strike begins or ends a trouble of endpoints. Faults overlap freely: what holds for an endpoint is made anew from
// all that are on, so that the end of one does not lift another.
func (w *World) strike(t *Fault, struck []*Endpoint, on bool) {
	if on {
		w.active = append(w.active, t)
	} else {
		w.active = slices.DeleteFunc(w.active, func(other *Fault) bool { return other == t })
	}
	w.ledger.Fault(t, on, len(struck))
	for _, e := range struck {
		was := e.fx
		e.fx = w.effectsOn(e)
		if e.fx.crash && !was.crash {
			w.breakAll(e)
		}
		if was.cut && !e.fx.cut || was.deaf && !e.fx.deaf {
			// What was open all along is reset now that both sides hear each other again.
			w.breakAll(e)
		}
		w.judgeOutage(e)
	}
}

// effectsOn is what all troubles that are on do to an endpoint.
func (w *World) effectsOn(e *Endpoint) (all effects) {
	for i := range w.Spec.Faults {
		t := &w.Spec.Faults[i]
		if slices.Contains(w.active, t) && w.struck[i][e] {
			all.add(t)
		}
	}
	return all
}

// strikeList begins or ends a trouble of discovery.
func (w *World) strikeList(t *Fault, on bool) {
	w.ledger.Fault(t, on, len(w.senders))
	more := 1
	if !on {
		more = -1
	}
	switch t.Kind {
	case "discovery_late":
		w.list.late += Time(more) * seconds(t.Amount)
		return
	case "discovery_stale":
		w.list.stale += more
	case "discovery_silent":
		w.list.silent += more
		if on {
			for i := range w.senders {
				w.wire.ListFailed(SenderNo(i))
			}
		}
	}
	if !on {
		for i := range w.senders {
			w.pushUpdate(SenderNo(i))
		}
	}
}
