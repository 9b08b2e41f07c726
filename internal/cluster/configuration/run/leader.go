package run

// This file holds the work of the leader of the consensus group. The leader sends the newest version in the ledger to
// the root of the tree and tracks where that version is in force.

import (
	"cmp"
	"context"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/configuration/ledger"
	"flaxcove/internal/cluster/configuration/spread"
	"flaxcove/internal/cluster/leadercall"
	"flaxcove/internal/cluster/view"
)

// leaderWork holds the state that only the leader needs. It is guarded by configuration.mu.
type leaderWork struct {
	state          *spread.State // nil while another process leads
	previous       *spread.State // the state when this process led before; nil if it has not
	leading        bool          // this process led at the latest step
	reportChanged  bool          // state has changed since the last summary
	ledgerRevision uint64        // of the ledger when it was last read
	lastVersion    uint64        // the newest version in the ledger when it was last read
	rosterView     *view.View    // the view that roster was last updated with
	roster         spread.Roster
	progress       spread.Progress
	adoptInFlight  bool // a proposal to adopt a version is in flight
	nextAnnounceAt view.Uptime
}

// ledgerUpdate is the result of one read of the ledger.
type ledgerUpdate struct {
	leading     bool // this process leads; otherwise nothing was read
	changed     bool // the ledger has changed since the last read, or this process has just become leader
	revision    uint64
	lastVersion uint64
	newest      configuration.Document // set if changed
}

// readLedger reads the ledger if this process leads and the ledger has changed. r.mu must not be held, because the lock
// of the consensus group comes first in the lock order.
func (r *Runner) readLedger() (update ledgerUpdate) {
	if !r.options.Consensus.Leading() {
		return update
	}
	update.leading = true
	r.mu.Lock()
	newLeader := !r.leaderWork.leading
	update.revision, update.lastVersion = r.leaderWork.ledgerRevision, r.leaderWork.lastVersion
	r.mu.Unlock()
	r.options.Consensus.Read(func(uint64) {
		if l := r.options.Ledger; newLeader || l.Revision() != update.revision {
			update.changed, update.revision, update.lastVersion = true, l.Revision(), l.LastVersion()
			update.newest, _ = l.Newest()
		}
	})
	return update
}

// leaderStep does the leader's part of a step. r.mu is held, and everything that may block runs in goroutines.
func (r *Runner) leaderStep(update ledgerUpdate, now view.Uptime) {
	work := &r.leaderWork
	if !update.leading {
		work.stopLeading()
		return
	}
	if work.state == nil {
		work.state = spread.NewLeaderState(r.options.Self.Instance, work.previous)
	}
	if update.changed && update.newest.Version > 0 {
		work.progress.Begin(update.newest.Version, work.leading, now)
		work.state.SetCommitted(update.newest, now)
		r.state.SetCommitted(update.newest, now) // directly, so that this process gets the version even if the tree does not reach it
	}
	work.ledgerRevision, work.lastVersion = update.revision, max(work.lastVersion, update.lastVersion)
	work.leading = true
	if r.view == nil || r.tree == nil {
		return
	}
	if work.rosterView != r.view {
		work.rosterView = r.view
		work.roster.UpdateView(r.view, now)
		work.reportChanged = true
	}
	if root := leadercall.InstanceOf(r.view, r.tree.Root()); root.Name != "" {
		work.state.SetTree(spread.Parent{}, []view.Instance{root}, now)
	}
	work.recordSummary(now)
	r.adopt()
	r.announceToLaggards(now)
}

// stopLeading resets everything except the state, which is kept for the next time that this process leads.
func (w *leaderWork) stopLeading() {
	if w.leading {
		w.leading = false
		w.lastVersion = 0
		w.roster = spread.Roster{}
		w.progress = spread.Progress{}
		w.rosterView = nil
	}
	w.state, w.previous = nil, cmp.Or(w.state, w.previous)
}

// recordSummary updates roster and progress from a summary of the state, if a report has changed it.
func (w *leaderWork) recordSummary(now view.Uptime) {
	if !w.reportChanged {
		return
	}
	w.reportChanged = false
	sum := w.state.Summary(now)
	w.roster.RecordSummary(sum)
	w.progress.RecordInForce(sum.MembersAtLeast(w.progress.Version), w.roster.PresentCount(), now)
}

// adopt proposes to add a version to the ledger that members have in force but the consensus group does not know. The
// group has then lost its records, and the next versions must be numbered from the version in force. r.mu is held.
func (r *Runner) adopt() {
	known := r.newerThanLedger()
	if known.Version == 0 || r.leaderWork.adoptInFlight {
		return
	}
	r.leaderWork.adoptInFlight = true
	r.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, proposeTimeout)
		defer cancel()
		_, err := r.options.Consensus.Propose(ctx, ledger.Part, ledger.KindAdopt, ledger.Adopt{Version: known.Version, Settings: known.Settings})
		r.options.Log.Warn("configuration: proposed to add a version that members have and the consensus group lacks", zap.Uint64("version", known.Version), zap.Error(err))
		r.mu.Lock()
		r.leaderWork.adoptInFlight = false
		r.mu.Unlock()
		r.signals.Wake()
	})
}

// newerThanLedger returns a version that is known here and is newer than all versions in the ledger when that was last
// read. It returns version 0 if there is none. r.mu is held.
func (r *Runner) newerThanLedger() configuration.Document {
	for _, state := range []*spread.State{r.state, r.leaderWork.state} {
		if state != nil && state.Newest().Version > r.leaderWork.lastVersion {
			return state.Newest()
		}
	}
	return configuration.Document{}
}
