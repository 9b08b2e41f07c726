package world

// This file schedules the faults of senders' processes and of clients. They must not affect an endpoint other than by its
// connections to senders.

import (
	"cmp"
	"slices"
)

const (
	drainPeriod  = 3700 * Millisecond // time from SIGTERM to SIGKILL
	restartDelay = 600 * Millisecond  // time from SIGKILL to the next start
)

// planSenderFault schedules a fault of senders.
func (w *World) planSenderFault(t *Fault, affected []SenderNo, from, to Time) {
	w.planFaultReport(t, len(affected), from, to)
	for i, s := range affected {
		switch t.Kind {
		case "sender_kill":
			w.planAction(from, s, Kill)
			w.planAction(to, s, Start)
		case "old_list":
			w.planOldList(s, from, to)
		case "sender_roll":
			// The restarts begin one after another, spread so that the last sender is back by the end of the fault.
			slack := max(0, to-from-drainPeriod-restartDelay)
			w.planRestart(s, from+slack*Time(i)/Time(len(affected)))
		case "sender_pause":
			w.planAction(from, s, Pause)
			w.planAction(to, s, Continue)
			w.planUnavailability(s, from, to)
		case "sender_cut_off":
			w.planIsolation(s, from, to)
		case "sender_reload":
			w.planReload(s, from, t.Amount > 0)
		case "notes_lost":
			w.At(from, func() { w.datagramLoss = t.Amount })
			w.At(to, func() { w.datagramLoss = 0 })
		}
	}
}

// planFaultReport schedules the reports to the ledger that a fault begins and ends, with the number of senders it affects.
func (w *World) planFaultReport(t *Fault, affected int, from, to Time) {
	w.At(from, func() { w.ledger.Fault(t, true, affected) })
	w.At(to, func() { w.ledger.Fault(t, false, affected) })
}

// planAction schedules an action on a sender's process.
func (w *World) planAction(at Time, s SenderNo, what Action) {
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
	w.At(from, func() { state.updatesWithheld = true })
	w.planAction(from, s, Kill)
	w.planAction(from+restartDelay, s, Start)
	w.At(to, func() {
		state.updatesWithheld = false
		w.pushUpdate(s)
	})
}

// planRestart schedules a restart of a sender: a graceful shutdown, SIGKILL after drainPeriod, and the next start.
func (w *World) planRestart(s SenderNo, at Time) {
	w.planAction(at, s, Term)
	w.planAction(at+drainPeriod, s, Kill)
	w.planAction(at+drainPeriod+restartDelay, s, Start)
}

// planIsolation cuts a sender off from the network for a time. Afterwards the connections that stayed open are reset.
func (w *World) planIsolation(s SenderNo, from, to Time) {
	state := w.senders[s]
	w.planUnavailability(s, from, to)
	w.At(from, func() { state.isolated = true })
	w.At(to, func() {
		state.isolated = false
		w.pushUpdate(s)
		for _, e := range w.Endpoints {
			w.resetConnections(s, e)
		}
	})
}

// resetConnections resets a sender's connections to an endpoint, in the order in which they were opened.
func (w *World) resetConnections(s SenderNo, e *Endpoint) {
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

// planReload schedules a reload of a sender's configuration. If broken is set, the sender is told to reload an unreadable
// file half a second before that.
func (w *World) planReload(s SenderNo, from Time, broken bool) {
	if broken {
		w.planAction(from, s, BreakConfig)
		from += Second / 2
	}
	w.planAction(from, s, ReloadConfig)
}

// planUnavailability schedules the reports to the ledger that a sender cannot act for a time. The referee excuses messages
// that become overdue meanwhile.
func (w *World) planUnavailability(s SenderNo, from, to Time) {
	w.At(from, func() { w.ledger.Unavailable(s, true) })
	w.At(to, func() { w.ledger.Unavailable(s, false) })
}

// planClientFault schedules a fault of clients. Faults of the kinds surge and fixed change the load instead, see planLoad.
func (w *World) planClientFault(t *Fault, affected []SenderNo, from, to Time) {
	w.planFaultReport(t, len(affected), from, to)
	for _, s := range affected {
		switch t.Kind {
		case "impatient":
			w.At(from, func() { w.senders[s].patience = ms(t.Amount) })
			w.At(to, func() { w.senders[s].patience = ms(w.Spec.Clients.PatienceMS) })
		case "rubbish":
			w.At(from, func() { w.wire.Act(s, MalformedCommandsOn) })
			w.At(to, func() { w.wire.Act(s, MalformedCommandsOff) })
		case "hoard":
			w.At(from, func() { w.wire.Act(s, IdleConnectionsOn) })
			w.At(to, func() { w.wire.Act(s, IdleConnectionsOff) })
		}
	}
}
