package run

// This file is the work of the leader: it sends the newest version in the ledger to the root of the tree, and tracks
// where that is in force.

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

// leaderWork is what the leader knows besides its State. It is guarded by configuration.mu.
type leaderWork struct {
	state          *spread.State // nil while another process leads
	previous       *spread.State // the one that this process had when it led before
	leading        bool
	reportChanged  bool   // state has changed since the last summary
	ledgerRevision uint64 // when the ledger was read last
	lastVersion    uint64 // the newest version then
	seenView       *view.View
	roster         spread.Roster
	progress       spread.Progress
	adoptInFlight  bool
	nextAnnounceAt view.Uptime
}

// ledgerUpdate is what was read from the ledger at once.
type ledgerUpdate struct {
	leading     bool
	changed     bool
	revision    uint64
	lastVersion uint64
	newest      configuration.Document
}

// readLedger reads what has changed, while this process leads. No lock of this package may be held, as the consensus
// group's comes first in the lock order.
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

// leaderStep is the leader's part of a step. The lock is held; what may block runs in goroutines.
func (r *Runner) leaderStep(update ledgerUpdate, now view.Uptime) {
	work := &r.leaderWork
	if !update.leading {
		work.stopLeading()
		return
	}
	if work.state == nil {
		work.state = spread.NewLeaderState(r.options.Self.Life, work.previous)
	}
	if update.changed && update.newest.Version > 0 {
		work.progress.Begin(update.newest.Version, work.leading, now)
		work.state.SetDecided(update.newest, now)
		r.state.SetDecided(update.newest, now) // at once, and even if the tree does not reach this process
	}
	work.ledgerRevision, work.lastVersion = update.revision, max(work.lastVersion, update.lastVersion)
	work.leading = true
	if r.view == nil || r.tree == nil {
		return
	}
	if work.seenView != r.view {
		work.seenView = r.view
		work.roster.UpdateView(r.view, now)
		work.reportChanged = true
	}
	if root := leadercall.LifeOf(r.view, r.tree.Root()); root.Name != "" {
		work.state.SetTree(spread.Parent{}, []view.Life{root}, now)
	}
	work.recordSummary(now)
	r.adopt()
	r.announceToLaggards(now)
}

// stopLeading drops what only a leader needs. The state is retained for the next time.
func (w *leaderWork) stopLeading() {
	if w.leading {
		w.leading = false
		w.lastVersion = 0
		w.roster = spread.Roster{}
		w.progress = spread.Progress{}
		w.seenView = nil
	}
	w.state, w.previous = nil, cmp.Or(w.state, w.previous)
}

// recordSummary takes in where the newest version is in force, if that has changed.
func (w *leaderWork) recordSummary(now view.Uptime) {
	if !w.reportChanged {
		return
	}
	w.reportChanged = false
	sum := w.state.Summary(now)
	w.roster.RecordSummary(sum)
	w.progress.RecordInForce(sum.MembersAtLeast(w.progress.Version), w.roster.PresentCount(), now)
}

// adopt has the consensus group take over a version that members have and it does not know: its records were lost, and
// versions must be numbered on from what is in force. The lock is held.
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
		r.options.Log.Warn("configuration: adopted a version of members that the consensus group did not know", zap.Uint64("version", known.Version), zap.Error(err))
		r.mu.Lock()
		r.leaderWork.adoptInFlight = false
		r.mu.Unlock()
		r.signals.Wake()
	})
}

// newerThanLedger is a version that is known here and newer than those in the ledger when it was read last; version 0 for
// none. The lock is held.
func (r *Runner) newerThanLedger() configuration.Document {
	for _, state := range []*spread.State{r.state, r.leaderWork.state} {
		if state != nil && state.Newest().Version > r.leaderWork.lastVersion {
			return state.Newest()
		}
	}
	return configuration.Document{}
}
