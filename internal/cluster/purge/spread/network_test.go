package spread

// This file simulates the network and the messages that the processes send over it.

import (
	"slices"
	"time"

	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// envelope is a message on the network. It is either delivered or it fails, in which case the sender is told; it can also be both
// or delivered twice.
type envelope struct{ deliver, fail func() }

// step puts all messages that are due on the network, and applies purges at all processes.
func (w *simulation) step() {
	if w.ledger.LastSeq() > w.leaderState.ReceivedSeq() || w.ledger.OldestOpen() > w.leaderState.oldestOpen {
		var all []clusterapi.Purge
		for _, r := range w.ledger.Since(w.leaderState.ReceivedSeq(), 1<<20) {
			all = append(all, r.ToPurge(w.now-r.OpenedAt))
		}
		w.leaderState.AddPurges(all, w.ledger.LastSeq(), w.ledger.OldestOpen(), w.ledger.Horizon(), w.now)
	}
	w.leaderState.SetParticipants(w.ledger.Participants(), w.ledger.RosterVersion())
	root := slices.Index(w.tree, -1)
	w.leaderState.SetRoot(w.processes[root].instance(), w.now)
	g := w.leaderState
	for _, to := range w.leaderState.DueUpdates(w.now) {
		w.sendUpdate(to, func(report Report) { g.HandleRootAnswer(to.Child, report, w.now) }, func() { g.UpdateFailed(to.Child, w.now) })
	}
	if c, any := w.leaderState.NextClose(256, 256<<10, w.now); any {
		close := func() {
			was := w.ledger.OldestOpen()
			var done ledger.CloseResult
			w.propose(ledger.KindClose, c, &done)
			for ; was < w.ledger.OldestOpen(); was++ {
				w.closedAt[was] = w.ledger.Revision()
			}
		}
		w.network = append(w.network, envelope{close, func() {}})
	}
	for _, p := range w.processes {
		if !p.alive {
			continue
		}
		st := p.state
		for _, to := range st.DueUpdates(w.now) {
			w.count(p.name, to.Child.Name)
			w.sendUpdate(to, func(report Report) { st.HandleAnswer(to.Child, report, w.now) }, func() { st.UpdateFailed(to.Child, w.now) })
		}
		if report, due := st.DueReport(w.now); due {
			to := st.parent
			w.network = append(w.network, envelope{func() {
				a, ok := w.handleReport(to, report)
				if !ok {
					st.ReportFailed(to, w.now)
					return
				}
				w.network = append(w.network, envelope{func() { st.ReportAnswered(to, a, w.now) }, func() { st.ReportFailed(to, w.now) }})
			}, func() { st.ReportFailed(to, w.now) }})
		}
		if all := st.NextBatch(w.now); all != nil {
			found := w.apply(p, all)
			st.BatchApplied(p.disk.applied, found, w.now)
		}
	}
}

// count counts a call if one of the processes is the root.
func (w *simulation) count(names ...view.Name) {
	if slices.Contains(names, w.processes[slices.Index(w.tree, -1)].name) {
		w.rootCalls++
	}
}

// handleReport delivers a report. It returns false if the receiver is not alive or not the leader any more.
func (w *simulation) handleReport(to Parent, report Report) (ReportAnswer, bool) {
	if to.IsLeader {
		if to.Instance != w.processes[w.leader].instance() {
			return ReportAnswer{}, false
		}
		return w.leaderState.HandleRootReport(report, w.now), true
	}
	for _, p := range w.processes {
		if p.instance() == to.Instance && p.alive {
			w.count(to.Name)
			return p.state.HandleReport(report, w.now), true
		}
	}
	return ReportAnswer{}, false
}

// sendUpdate sends an update. As in package run, the answer is delayed until the processes below have applied the purges, or for
// MaxAnswerDelay.
func (w *simulation) sendUpdate(to OutgoingUpdate, answered func(Report), failed func()) {
	w.network = append(w.network, envelope{func() {
		for _, p := range w.processes {
			if p.instance() != to.Child || !p.alive {
				continue
			}
			st := p.state
			st.HandleUpdate(to.Update, w.now)
			st.BeginAnswer()
			until := w.now + MaxAnswerDelay
			var wait func()
			wait = func() {
				if !st.SubtreeApplied() && w.now < until {
					w.network = append(w.network, envelope{wait, wait})
					return
				}
				report := st.Answer(to.Update, w.now)
				w.network = append(w.network, envelope{func() { answered(report) }, failed})
			}
			wait()
			return
		}
		failed()
	}, failed})
}

// settle runs the simulation without faults until all purges are closed, for at most this number of steps.
func (w *simulation) settle(maxSteps int) {
	for left := maxSteps; left > 0; left-- {
		w.now += 10 * time.Millisecond
		w.step()
		net := w.network
		w.network = nil
		for _, m := range net {
			m.deliver()
		}
		for _, p := range w.processes {
			w.catchUp(p)
		}
		if w.ledger.OldestOpen() > w.ledger.LastSeq() {
			left = min(left, 6) // a few more steps for processes that are still catching up
		}
	}
}
