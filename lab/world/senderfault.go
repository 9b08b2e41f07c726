package world

// This file plans the faults of senders' processes and of clients. It must not affect an endpoint.

import (
	"cmp"
	"slices"
)

const (
	drainPeriod  = 3700 * Millisecond // from SIGTERM to the kill
	restartDelay = 600 * Millisecond  // from the kill to the next start
)

// planSenders schedules a fault of senders.
func (w *World) planSenders(t *Fault, affected []SenderNo, from, to Time) {
	w.announceFault(t, len(affected), from, to)
	for i, s := range affected {
		switch t.Kind {
		case "sender_kill":
			w.act(from, s, Kill)
			w.act(to, s, Start)
		case "old_list":
			w.planOldList(s, from, to)
		case "sender_roll":
			// One after another, spread so that the last one is back by the end of the fault.
			slack := max(0, to-from-drainPeriod-restartDelay)
			w.planRestart(s, from+slack*Time(i)/Time(len(affected)))
		case "sender_pause":
			w.act(from, s, Pause)
			w.act(to, s, Continue)
			w.away(s, from, to)
		case "sender_cut_off":
			w.planCut(s, from, to)
		case "sender_reload":
			w.planReload(s, from, t.Amount > 0)
		case "notes_lost":
			w.At(from, func() { w.datagramLoss = t.Amount })
			w.At(to, func() { w.datagramLoss = 0 })
		}
	}
}

// announceFault reports the begin and the end of a fault to the ledger, with the number of senders it affects.
func (w *World) announceFault(t *Fault, affected int, from, to Time) {
	w.At(from, func() { w.ledger.Fault(t, true, affected) })
	w.At(to, func() { w.ledger.Fault(t, false, affected) })
}

// act schedules an action on a sender's process.
func (w *World) act(at Time, s SenderNo, what Act) {
	w.At(at, func() {
		if what == Kill || what == Term {
			w.senders[s].watching = false
		}
		w.wire.Act(s, what)
	})
}

// planOldList restarts a sender and withholds list updates from its next incarnation until the fault ends.
func (w *World) planOldList(s SenderNo, from, to Time) {
	state := w.senders[s]
	w.At(from, func() { state.updatesHeld = true })
	w.act(from, s, Kill)
	w.act(from+restartDelay, s, Start)
	w.At(to, func() {
		state.updatesHeld = false
		w.pushUpdate(s)
	})
}

// planRestart restarts a sender with a graceful shutdown first.
func (w *World) planRestart(s SenderNo, at Time) {
	w.act(at, s, Term)
	w.act(at+drainPeriod, s, Kill)
	w.act(at+drainPeriod+restartDelay, s, Start)
}

// planCut isolates a sender from everything else. When it is back, connections that were open all along are reset.
func (w *World) planCut(s SenderNo, from, to Time) {
	state := w.senders[s]
	w.away(s, from, to)
	w.At(from, func() { state.isolated = true })
	w.At(to, func() {
		state.isolated = false
		w.pushUpdate(s)
		for _, e := range w.Endpoints {
			w.dropAllOf(s, e)
		}
	})
}

// dropAllOf resets a sender's connections to an endpoint, in the order in which they were made.
func (w *World) dropAllOf(s SenderNo, e *Endpoint) {
	var theirs []*Conn
	for c := range e.conns {
		if c.Sender == s {
			theirs = append(theirs, c)
		}
	}
	slices.SortFunc(theirs, func(a, b *Conn) int { return cmp.Compare(a.No, b.No) })
	for _, c := range theirs {
		w.closeAtEndpoint(c, true)
	}
}

// planReload has a sender reload its configuration. If broken is set, a reload of an unreadable file comes half a second
// before it.
func (w *World) planReload(s SenderNo, from Time, broken bool) {
	if broken {
		w.act(from, s, Break)
		from += Second / 2
	}
	w.act(from, s, Reload)
}

// away reports to the ledger that a sender cannot act for a time, so that the referee does not blame it.
func (w *World) away(s SenderNo, from, to Time) {
	w.At(from, func() { w.ledger.Unavailable(s, true) })
	w.At(to, func() { w.ledger.Unavailable(s, false) })
}

// planClients schedules a fault of clients. The kinds surge and fixed change the load itself, see planLoad.
func (w *World) planClients(t *Fault, affected []SenderNo, from, to Time) {
	w.announceFault(t, len(affected), from, to)
	for _, s := range affected {
		switch t.Kind {
		case "impatient":
			w.At(from, func() { w.senders[s].patience = ms(t.Amount) })
			w.At(to, func() { w.senders[s].patience = ms(w.Spec.Clients.PatienceMS) })
		case "rubbish":
			w.At(from, func() { w.wire.Act(s, RubbishOn) })
			w.At(to, func() { w.wire.Act(s, RubbishOff) })
		case "hoard":
			w.At(from, func() { w.wire.Act(s, HoardOn) })
			w.At(to, func() { w.wire.Act(s, HoardOff) })
		}
	}
}
