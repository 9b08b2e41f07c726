package run

// This file is the work of the leader: it sends purges in the ledger to the root of the tree, closes purges that are
// acknowledged or have lapsed, and synchronizes the participants with the view.

import (
	"context"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/purge/spread"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// participantSyncInterval is between two synchronizations of the participants, at least.
const participantSyncInterval = time.Second

// leaderWork is what the leader knows besides its LeaderState. It is guarded by purge.mu.
type leaderWork struct {
	ledgerRevision uint64
	participants   []ledger.Participant
	closeInFlight  bool
	syncInFlight   bool
	syncedAt       view.Uptime
	absentSince    map[view.Name]view.Uptime // since when a participant is not in the view
}

// ledgerUpdate is what was read from the ledger at once.
type ledgerUpdate struct {
	leading       bool
	changed       bool
	records       []ledger.Record
	lastSeq       uint64
	oldestOpen    uint64
	clock         time.Duration
	horizon       time.Duration
	participants  []ledger.Participant
	rosterVersion uint64
}

// readLedger reads what has changed, while this process leads. No lock of this package may be held, as the consensus
// group's comes first in the lock order.
func (r *Runner) readLedger() (update ledgerUpdate) {
	if !r.options.Consensus.Leading() {
		return update
	}
	update.leading, update.clock = true, r.options.Consensus.Clock()
	r.mu.Lock()
	var hasSeq uint64
	newLeader := !r.leading || r.leaderState == nil
	if r.leaderState != nil {
		hasSeq = r.leaderState.HasSeq()
	}
	revision := r.leaderWork.ledgerRevision
	r.mu.Unlock()
	r.options.Consensus.Read(func(uint64) {
		l := r.options.Ledger
		if !newLeader && l.Revision() == revision {
			return
		}
		update.changed, revision = true, l.Revision()
		update.records = l.Since(hasSeq, ledger.MaxFullRecords+ledger.MaxLearnedState)
		update.lastSeq = l.LastSeq()
		update.oldestOpen = l.OldestOpen()
		update.horizon = l.Horizon()
		update.participants = l.Participants()
		update.rosterVersion = l.RosterVersion()
	})
	r.mu.Lock()
	r.leaderWork.ledgerRevision = revision
	r.mu.Unlock()
	return update
}

// leaderStep is the leader's part of a step. The lock is held; what may block runs in goroutines.
func (r *Runner) leaderStep(update ledgerUpdate, now view.Uptime) {
	if !update.leading {
		r.leading, r.leaderWork = false, leaderWork{}
		return
	}
	r.leading = true
	if r.leaderState == nil {
		r.leaderState = spread.NewLeaderState(r.options.Self.Life)
	}
	state := r.leaderState
	if update.changed {
		purges := make([]clusterapi.Purge, len(update.records))
		for i, record := range update.records {
			purges[i] = record.ToPurge(update.clock - record.At)
		}
		state.AddPurges(purges, update.lastSeq, update.oldestOpen, update.horizon, now)
		state.SetParticipants(update.participants, update.rosterVersion)
		r.leaderWork.participants = update.participants
	}
	if r.view != nil && r.tree != nil {
		if root, found := r.view.Find(r.tree.Root()); found {
			state.SetRoot(root.Life, now)
		}
		r.syncParticipants(now)
	}
	for _, to := range state.DueUpdates(now) {
		r.goroutines.Go(func() { r.sendUpdate(rootState{state}, pathRootUpdate, to) })
	}
	if command, due := state.NextClose(maxClosuresPerCommand, now); due && !r.leaderWork.closeInFlight {
		r.leaderWork.closeInFlight = true
		r.goroutines.Go(func() { r.proposeClose(command) })
	}
}

// rootState is a LeaderState as the updateTracker of its calls to the root.
type rootState struct{ *spread.LeaderState }

// HandleAnswer takes in the root's answer.
func (s rootState) HandleAnswer(life view.Life, report spread.Report, now view.Uptime) {
	s.HandleRootAnswer(life, report, now)
}

// proposeClose has purges closed. What was not closed is due again in a later step.
func (r *Runner) proposeClose(command ledger.Close) {
	ctx, cancel := context.WithTimeout(r.ctx, proposeTimeout)
	defer cancel()
	_, err := r.options.Consensus.Propose(ctx, ledger.Part, ledger.KindClose, command)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaderWork.closeInFlight = false
	if err != nil {
		r.options.Log.Warn("purge: not closed, will be retried", zap.Int("purges", len(command.Closures)), zap.Error(err))
		return
	}
	r.signals.Wake()
}

// syncParticipants adds members that are not participants (their own join may not get through), and removes
// participants that were absent for so long that they count as gone for good. The lock is held.
func (r *Runner) syncParticipants(now view.Uptime) {
	if r.leaderWork.syncInFlight || r.leaderWork.syncedAt != 0 && now-r.leaderWork.syncedAt < participantSyncInterval {
		return
	}
	leave := ledger.Leave{Lives: r.goneParticipants(now)}
	join := ledger.Join{Participants: r.newParticipants()}
	if join.Participants == nil && leave.Lives == nil {
		return
	}
	r.leaderWork.syncInFlight, r.leaderWork.syncedAt = true, now
	r.goroutines.Go(func() { r.proposeParticipants(join, leave) })
}

// goneParticipants are those that were absent for longer than ledger.AbsenceLimit. The lock is held.
func (r *Runner) goneParticipants(now view.Uptime) (gone []view.Life) {
	w := &r.leaderWork
	if w.absentSince == nil {
		w.absentSince = map[view.Name]view.Uptime{}
	}
	for _, p := range w.participants {
		if m, found := r.view.Find(p.Name); found && m.Present() {
			delete(w.absentSince, p.Name)
			continue
		}
		since, known := w.absentSince[p.Name]
		switch {
		case !known:
			w.absentSince[p.Name] = now
		case now-since > ledger.AbsenceLimit:
			gone = append(gone, p.Life)
			delete(w.absentSince, p.Name)
		}
	}
	return gone
}

// newParticipants are the members that are not participants with their current incarnation. The lock is held.
func (r *Runner) newParticipants() (joining []ledger.Participant) {
	participants := make(map[view.Name]ledger.Participant, len(r.leaderWork.participants))
	for _, p := range r.leaderWork.participants {
		participants[p.Name] = p
	}
	for _, m := range r.view.Members {
		p, joined := participants[m.Name]
		if m.Present() && (!joined || p.Incarnation < m.Incarnation) {
			joining = append(joining, ledger.Participant{Life: m.Life, Zone: m.Zone, Region: m.Region, Folder: m.Folder})
		}
	}
	return joining
}

// proposeParticipants has participants added and removed. What fails is due again in a later step.
func (r *Runner) proposeParticipants(join ledger.Join, leave ledger.Leave) {
	ctx, cancel := context.WithTimeout(r.ctx, proposeTimeout)
	defer cancel()
	var err error
	if join.Participants != nil {
		_, err = r.options.Consensus.Propose(ctx, ledger.Part, ledger.KindJoin, join)
	}
	if err == nil && leave.Lives != nil {
		_, err = r.options.Consensus.Propose(ctx, ledger.Part, ledger.KindLeave, leave)
	}
	if err != nil {
		r.options.Log.Warn("purge: participants not synchronized", zap.Error(err))
	}
	r.mu.Lock()
	r.leaderWork.syncInFlight = false
	r.mu.Unlock()
}
