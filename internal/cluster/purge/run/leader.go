package run

// This file implements the tasks of the leader: it sends the purges of the ledger to the root of the tree, closes purges that
// are acknowledged or have lapsed, and synchronizes the participants with the view.

import (
	"context"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/consensus/machine"
	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/purge/spread"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/jsonsize"
	"flaxcove/internal/sender/clusterapi"
)

// participantSyncInterval is the minimum time between two synchronizations of the participants with the view.
const participantSyncInterval = time.Second

// maxParticipantsBytes is the length of the longest list in a Join or Leave, in JSON. The rest of the command is shorter than
// the margin.
const maxParticipantsBytes = machine.MaxBodyBytes - 1<<10

// leaderWork is the state of the leader's tasks. It is discarded when this process stops being the leader. It is guarded by
// Runner.mu.
type leaderWork struct {
	ledgerRevision uint64                    // revision of the ledger when it was last read
	participants   []ledger.Participant      // as last read from the ledger
	closeInFlight  bool                      // a Close is being proposed
	syncInFlight   bool                      // a Join or Leave is being proposed
	syncedAt       view.Uptime               // time of the last synchronization; 0 for none
	absentSince    map[view.Name]view.Uptime // times from which on participants are absent from the view
}

// ledgerUpdate is a consistent copy of the parts of the ledger that the leader needs.
type ledgerUpdate struct {
	leading       bool            // whether this process leads the consensus group; otherwise all other fields are zero
	changed       bool            // whether the ledger has changed since it was last read; otherwise only leading and clock are set
	records       []ledger.Record // purges that the LeaderState has not received
	lastSeq       uint64
	oldestOpen    uint64
	clock         time.Duration // of the consensus group
	horizon       time.Duration
	participants  []ledger.Participant
	rosterVersion uint64
}

// readLedger reads the ledger if this process is the leader and the ledger has changed since it was last read. The caller must
// not hold Runner.mu, because the lock of the consensus group comes first in the lock order.
func (r *Runner) readLedger() (update ledgerUpdate) {
	if !r.options.Consensus.Leading() {
		return update
	}
	update.leading, update.clock = true, r.options.Consensus.Clock()
	r.mu.Lock()
	var receivedSeq uint64
	newLeader := !r.leading || r.leaderState == nil
	if r.leaderState != nil {
		receivedSeq = r.leaderState.ReceivedSeq()
	}
	revision := r.leaderWork.ledgerRevision
	r.mu.Unlock()
	r.options.Consensus.Read(func(uint64) {
		l := r.options.Ledger
		if !newLeader && l.Revision() == revision {
			return
		}
		update.changed, revision = true, l.Revision()
		update.records = l.Since(receivedSeq, ledger.MaxFullRecords+ledger.MaxLearnedState)
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

// leaderStep performs the part of a step that only the leader has. The caller holds the lock; calls that may block run in
// goroutines.
func (r *Runner) leaderStep(update ledgerUpdate, now view.Uptime) {
	if !update.leading {
		r.leading, r.leaderWork = false, leaderWork{}
		return
	}
	r.leading = true
	if r.leaderState == nil {
		r.leaderState = spread.NewLeaderState(r.options.Self.Instance)
	}
	state := r.leaderState
	if update.changed {
		purges := make([]clusterapi.Purge, len(update.records))
		for i, record := range update.records {
			purges[i] = record.ToPurge(update.clock - record.OpenedAt)
		}
		state.AddPurges(purges, update.lastSeq, update.oldestOpen, update.horizon, now)
		state.SetParticipants(update.participants, update.rosterVersion)
		r.leaderWork.participants = update.participants
	}
	if r.view != nil && r.tree != nil {
		if root, found := r.view.Find(r.tree.Root()); found {
			state.SetRoot(root.Instance, now)
		}
		r.syncParticipants(now)
	}
	for _, to := range state.DueUpdates(now) {
		r.goroutines.Go(func() { r.sendUpdate(rootState{state}, pathRootUpdate, to) })
	}
	if command, due := state.NextClose(maxClosuresPerCommand, machine.MaxBodyBytes, now); due && !r.leaderWork.closeInFlight {
		r.leaderWork.closeInFlight = true
		r.goroutines.Go(func() { r.proposeClose(command) })
	}
}

// rootState implements updateTracker for the leader's updates to the root.
type rootState struct{ *spread.LeaderState }

// HandleAnswer processes the root's answer to an update.
func (s rootState) HandleAnswer(instance view.Instance, report spread.Report, now view.Uptime) {
	s.HandleRootAnswer(instance, report, now)
}

// proposeClose proposes a Close. Purges that it does not close are proposed again in a later step.
func (r *Runner) proposeClose(command ledger.Close) {
	ctx, cancel := context.WithTimeout(r.ctx, proposeTimeout)
	defer cancel()
	_, err := r.options.Consensus.Propose(ctx, ledger.Part, ledger.KindClose, command)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaderWork.closeInFlight = false
	if err != nil {
		r.options.Log.Warn("purge: closing purges failed, will be retried", zap.Int("purges", len(command.Closures)), zap.Error(err))
		return
	}
	r.signals.Wake()
}

// syncParticipants adds members that are not participants, as their own joins may not have reached the leader, and removes
// participants that were absent for longer than ledger.AbsenceLimit. The caller holds the lock.
func (r *Runner) syncParticipants(now view.Uptime) {
	if r.leaderWork.syncInFlight || r.leaderWork.syncedAt != 0 && now-r.leaderWork.syncedAt < participantSyncInterval {
		return
	}
	leave := ledger.Leave{Instances: r.expiredParticipants(now)}
	join := ledger.Join{Participants: r.newParticipants()}
	// Those that don't fit into a command follow with the next synchronization.
	join.Participants = join.Participants[:jsonsize.Prefix(join.Participants, maxParticipantsBytes)]
	leave.Instances = leave.Instances[:jsonsize.Prefix(leave.Instances, maxParticipantsBytes)]
	if join.Participants == nil && leave.Instances == nil {
		return
	}
	r.leaderWork.syncInFlight, r.leaderWork.syncedAt = true, now
	r.goroutines.Go(func() { r.proposeParticipants(join, leave) })
}

// expiredParticipants returns the participants that were absent for longer than ledger.AbsenceLimit. The caller holds the lock.
func (r *Runner) expiredParticipants(now view.Uptime) (expired []view.Instance) {
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
			expired = append(expired, p.Instance)
			delete(w.absentSince, p.Name)
		}
	}
	return expired
}

// newParticipants returns the members that are not participants with their current incarnation. The caller holds the lock.
func (r *Runner) newParticipants() (joining []ledger.Participant) {
	participants := make(map[view.Name]ledger.Participant, len(r.leaderWork.participants))
	for _, p := range r.leaderWork.participants {
		participants[p.Name] = p
	}
	for _, m := range r.view.Members {
		p, joined := participants[m.Name]
		if m.Present() && (!joined || p.Incarnation < m.Incarnation) {
			joining = append(joining, ledger.Participant{Instance: m.Instance, Zone: m.Zone, Region: m.Region, Folder: m.FolderID})
		}
	}
	return joining
}

// proposeParticipants proposes a Join and a Leave, each unless it is empty. If one fails, a later step proposes it again.
func (r *Runner) proposeParticipants(join ledger.Join, leave ledger.Leave) {
	ctx, cancel := context.WithTimeout(r.ctx, proposeTimeout)
	defer cancel()
	var err error
	if join.Participants != nil {
		_, err = r.options.Consensus.Propose(ctx, ledger.Part, ledger.KindJoin, join)
	}
	if err == nil && leave.Instances != nil {
		_, err = r.options.Consensus.Propose(ctx, ledger.Part, ledger.KindLeave, leave)
	}
	if err != nil {
		r.options.Log.Warn("purge: synchronizing the participants failed, will be retried", zap.Error(err))
	}
	r.mu.Lock()
	r.leaderWork.syncInFlight = false
	r.mu.Unlock()
}
