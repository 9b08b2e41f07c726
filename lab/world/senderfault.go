package world

// This file owns what befalls senders' processes and the clients in front of them. It must never strike an endpoint.

import (
	"cmp"
	"slices"
)

const (
	termFor    = 3700 * Millisecond // from SIGTERM to the kill
	restartFor = 600 * Millisecond  // from the kill to the next start
)

// planSenders puts a trouble of senders among the events.
func (w *World) planSenders(t *Fault, struck []SenderNo, from, to Time) {
	w.announceFault(t, len(struck), from, to)
	for i, s := range struck {
		switch t.Kind {
		case "sender_kill":
			w.act(from, s, Kill)
			w.act(to, s, Start)
		case "old_list":
			w.planOldList(s, from, to)
		case "sender_roll":
			// One after another, spread so that the last is back by the end.
			capacity := max(0, to-from-termFor-restartFor)
			w.planRestart(s, from+capacity*Time(i)/Time(len(struck)))
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

// announceFault tells the ledger of a trouble of so many senders.
func (w *World) announceFault(t *Fault, struck int, from, to Time) {
	w.At(from, func() { w.ledger.Fault(t, true, struck) })
	w.At(to, func() { w.ledger.Fault(t, false, struck) })
}

// act has something befall a sender's process at a time.
func (w *World) act(at Time, s SenderNo, what Act) {
	w.At(at, func() {
		if what == Kill || what == Term {
			w.senders[s].watching = false
		}
		w.wire.Act(s, what)
	})
}

// planOldList restarts a sender whose next life is told nothing new of the list until the end.
func (w *World) planOldList(s SenderNo, from, to Time) {
	state := w.senders[s]
	w.At(from, func() { state.updatesHeld = true })
	w.act(from, s, Kill)
	w.act(from+restartFor, s, Start)
	w.At(to, func() {
		state.updatesHeld = false
		w.pushUpdate(s)
	})
}

// planRestart restarts a sender that is asked to end first.
func (w *World) planRestart(s SenderNo, at Time) {
	w.act(at, s, Term)
	w.act(at+termFor, s, Kill)
	w.act(at+termFor+restartFor, s, Start)
}

// planCut cuts a sender off. Connections that were open all along are reset as it is back.
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

// dropAllOf ends a sender's connections to an endpoint, in the order in which they were made.
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

// planReload has a sender read its configuration again, which half a second before can't be read where it is broken.
func (w *World) planReload(s SenderNo, from Time, broken bool) {
	if broken {
		w.act(from, s, Break)
		from += Second / 2
	}
	w.act(from, s, Reload)
}

// away tells the ledger of a time in which a sender can do nothing, so that it is not blamed for it.
func (w *World) away(s SenderNo, from, to Time) {
	w.At(from, func() { w.ledger.Unavailable(s, true) })
	w.At(to, func() { w.ledger.Unavailable(s, false) })
}

// planClients puts a trouble of clients among the events. Surges and fixed programs bend the load itself.
func (w *World) planClients(t *Fault, struck []SenderNo, from, to Time) {
	w.announceFault(t, len(struck), from, to)
	for _, s := range struck {
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
