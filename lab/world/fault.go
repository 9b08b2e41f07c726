package world

// This file schedules the begin and the end of all faults, and applies those of endpoints and of discovery. The end of one
// fault must not end the effect of another that is still active.

import (
	"slices"
)

// planFaults schedules all faults of a spec.
func (w *World) planFaults() {
	w.affected = make([]map[*Endpoint]bool, len(w.Spec.Faults))
	for i := range w.Spec.Faults {
		t := &w.Spec.Faults[i]
		no := int64(i)
		from, to := seconds(t.At), seconds(t.At+t.Seconds)
		switch FaultKinds[t.Kind].Affects {
		case "endpoints":
			affected := w.endpointsOf(&t.Selector, no)
			set := map[*Endpoint]bool{}
			for _, e := range affected {
				set[e] = true
			}
			w.affected[i] = set
			w.At(from, func() { w.switchFault(t, affected, true) })
			w.At(to, func() { w.switchFault(t, affected, false) })
		case "senders":
			w.planSenderFault(t, w.sendersOf(&t.Selector, no), from, to)
		case "discovery":
			w.At(from, func() { w.switchDiscoveryFault(t, true) })
			w.At(to, func() { w.switchDiscoveryFault(t, false) })
		case "clients":
			w.planClientFault(t, w.sendersOf(&Selector{Zone: t.Selector.Zone, Senders: t.Selector.Senders}, no), from, to)
		}
	}
}

// switchFault begins or ends a fault of endpoints. Faults may overlap: the effects on an endpoint are recomputed from all
// active faults, so that the end of one does not end the effect of another.
func (w *World) switchFault(t *Fault, affected []*Endpoint, on bool) {
	if on {
		w.active = append(w.active, t)
	} else {
		w.active = slices.DeleteFunc(w.active, func(other *Fault) bool { return other == t })
	}
	w.ledger.Fault(t, on, len(affected))
	for _, e := range affected {
		was := e.effects
		e.effects = w.effectsOn(e)
		if e.effects.crash && !was.crash {
			w.crashProcess(e)
		}
		if was.isolated && !e.effects.isolated || was.neverReads && !e.effects.neverReads {
			// The connections that stayed open during the fault are reset when traffic resumes.
			w.crashProcess(e)
		}
		w.updateOutage(e)
	}
}

// effectsOn returns the combined effects of all active faults on an endpoint.
func (w *World) effectsOn(e *Endpoint) (all effects) {
	for i := range w.Spec.Faults {
		t := &w.Spec.Faults[i]
		if slices.Contains(w.active, t) && w.affected[i][e] {
			all.add(t)
		}
	}
	return all
}

// switchDiscoveryFault begins or ends a fault of discovery.
func (w *World) switchDiscoveryFault(t *Fault, on bool) {
	w.ledger.Fault(t, on, len(w.senders))
	more := 1
	if !on {
		more = -1
	}
	switch t.Kind {
	case "discovery_late":
		w.list.extraDelay += Time(more) * seconds(t.Amount)
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
