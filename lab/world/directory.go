package world

// This file models discovery: the endpoint list, its changes and the version that each sender has. A sender must get its
// updates in order.

import (
	"cmp"
	"slices"

	"flaxcove/choice"
)

// List is a version of the endpoint list, or an update to it. Entries are sorted by endpoint in a full list, and by time in
// an update that holds only changes.
type List struct {
	Version int64
	Full    bool // Entries holds all endpoints; an endpoint without an entry is gone
	Stale   bool // the list is the one that an earlier incarnation of the sender knew
	Entries []ListEntry
}

// ListEntry is one endpoint in a list. Address is the number of its current address, from 0.
type ListEntry struct {
	Endpoint *Endpoint
	Stage    choice.Stage
	Address  int
}

// listState is the state of discovery.
type listState struct {
	version    int64
	initial    []ListEntry  // the list at the start of the run
	changes    []listChange // all changes since the start of the run, in order of version
	extraDelay Time         // delay that active faults add to each update
	stale      int          // number of active faults that withhold changes
	silent     int          // number of active faults in which discovery does not answer
}

// listChange is the change of one entry that made a version of the list.
type listChange struct {
	version int64
	entry   ListEntry
}

// sortHandIns sorts hand-ins by message id.
func sortHandIns(h []*HandIn) {
	slices.SortFunc(h, func(a, b *HandIn) int { return cmp.Compare(a.ID, b.ID) })
}

// Rating returns an endpoint's weight in the endpoint list. It is the rate of Bound if SenderSpec.Rating is nominal, that
// rate with an error of up to a quarter if it is rough, else 0 for an unknown rate.
func (w *World) Rating(e *Endpoint) float64 {
	switch w.Spec.Sender.Rating {
	case "nominal":
		return e.Bound()
	case "rough":
		return e.Bound() * (0.75 + 0.5*w.draw("rating", int64(e.No)))
	}
	return 0
}

// FullList returns the current list, without endpoints that are gone.
func (w *World) FullList() List {
	l := List{Version: w.list.version, Full: true}
	for _, e := range w.Endpoints {
		if e.Stage != choice.Gone {
			l.Entries = append(l.Entries, ListEntry{e, e.Stage, e.Addr})
		}
	}
	return l
}

// InitialList returns the list at the start of the run, which a restarted sender may still have in its configuration.
func (w *World) InitialList() List {
	return List{Version: 0, Full: true, Stale: true, Entries: w.list.initial}
}

// Watch begins a sender's watch of the list. The first update holds the changes after the version since, or the full list
// if since is 0.
func (w *World) Watch(s SenderNo, since int64) {
	st := w.senders[s]
	st.watching = true
	st.version = since
	if w.list.silent > 0 {
		w.wire.ListFailed(s)
		return
	}
	w.After(w.updateDelay(s, 0), func() { w.pushUpdate(s) })
}

// updateDelay draws the delay until a version reaches a sender. Version 0 stands for the answer to a new watch.
func (w *World) updateDelay(s SenderNo, version int64) Time {
	late := ms(w.drawWithin(w.Spec.Discovery.DelayMS, "news", int64(s), version))
	if version == 0 {
		late = Millisecond // the discovery agent on the sender's machine answers at once from its copy
	}
	return late + w.list.extraDelay
}

// pushUpdate sends a sender all changes after its version, unless there are none, a fault withholds them, or the sender has
// no watch.
func (w *World) pushUpdate(s SenderNo) {
	st := w.senders[s]
	if !st.watching || st.isolated || st.updatesWithheld || w.list.stale > 0 || w.list.silent > 0 {
		return
	}
	l := w.changesSince(st.version)
	if l.Version == st.version && !l.Full {
		return
	}
	st.version = l.Version
	w.announceStages(s, l)
	w.wire.ListUpdate(s, l)
}

// changesSince returns the changes after a version, or the full list for version 0.
func (w *World) changesSince(version int64) List {
	if version == 0 {
		return w.FullList()
	}
	l := List{Version: w.list.version}
	for _, c := range w.list.changes {
		if c.version > version {
			l.Entries = append(l.Entries, c.entry)
		}
	}
	return l
}

// announceStages reports to the ledger the stages that an update announces to a sender.
func (w *World) announceStages(s SenderNo, l List) {
	if l.Full {
		// An endpoint without an entry in a full list is gone.
		listed := map[*Endpoint]bool{}
		for _, entry := range l.Entries {
			listed[entry.Endpoint] = true
		}
		for _, e := range w.Endpoints {
			if !listed[e] {
				w.ledger.StageAnnounced(s, e, choice.Gone)
			}
		}
	}
	for _, entry := range l.Entries {
		w.ledger.StageAnnounced(s, entry.Endpoint, entry.Stage)
	}
}

// changeStage changes an endpoint's stage on the list and schedules an update to every sender.
func (w *World) changeStage(e *Endpoint, stage choice.Stage) {
	e.Stage = stage
	w.list.version++
	v := w.list.version
	w.list.changes = append(w.list.changes, listChange{v, ListEntry{e, stage, e.Addr}})
	for i := range w.senders {
		st := w.senders[i]
		at := max(w.now+w.updateDelay(SenderNo(i), v), st.lastUpdateAt)
		st.lastUpdateAt = at
		w.At(at, func() { w.pushUpdate(SenderNo(i)) })
	}
}

// planChanges records the initial list and schedules the changes of the spec.
func (w *World) planChanges() {
	w.list.version = 1
	for _, e := range w.Endpoints {
		w.list.initial = append(w.list.initial, ListEntry{e, e.Stage, e.Addr})
	}
	for i := range w.Spec.Changes {
		c := &w.Spec.Changes[i]
		w.At(seconds(c.At), func() {
			for _, e := range w.endpointsOf(&c.Selector, int64(1000+i)) {
				w.applyChange(c, e)
			}
		})
	}
}

// applyChange applies a change of the list to one endpoint.
func (w *World) applyChange(c *ListEvent, e *Endpoint) {
	switch c.Change {
	case "drain":
		w.changeStage(e, choice.Draining)
	case "remove":
		w.changeStage(e, choice.Gone)
		w.crashProcess(e)
	case "move":
		w.crashProcess(e)
		e.Addr++
		w.wire.AcceptingChanged(e, e.accepts(w.now))
		w.bringBack(c, e)
	case "back":
		w.bringBack(c, e)
	}
}

// bringBack makes an endpoint ready again, in slow start if the change restarts it.
func (w *World) bringBack(c *ListEvent, e *Endpoint) {
	if c.Restart {
		w.setOutage(e, true)
		w.setOutage(e, false)
	}
	w.changeStage(e, choice.Ready)
}
