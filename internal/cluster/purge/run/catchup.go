package run

// This file implements how a process becomes a participant when it starts, and how it gets the purges that it missed.
//
// It joins first. A purge that is opened after the join is not complete without the acknowledgement of this process, and a
// purge that was opened before has a Seq up to the one in the answer to the join. Once all purges up to that Seq are applied,
// there is no complete purge that this process has not applied.

import (
	"context"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/purge/spread"
	"flaxcove/internal/cluster/view"
)

// participant returns the description of this process for a Join command.
func (r *Runner) participant() ledger.Participant {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.options.Self
	return ledger.Participant{Instance: self.Instance, Zone: self.Zone, Region: self.Region, Folder: self.FolderID,
		LongestDeadline: r.longestDeadline}
}

// catchUp joins and gets all missed purges. After Options.CatchUpTimeout the process becomes ready in any case, and catchUp
// continues. Afterwards it joins again whenever the longest deadline has grown, until the Runner is closed.
func (r *Runner) catchUp() {
	timer := time.AfterFunc(r.options.CatchUpTimeout, func() {
		r.options.Log.Warn("purge: missed purges not applied in time, serving anyway", zap.Duration("after", r.options.CatchUpTimeout))
		r.signals.MarkReady()
	})
	defer timer.Stop()
	for r.ctx.Err() == nil {
		if r.joinAndCatchUp() {
			break
		}
	}
	if timer.Stop() {
		r.signals.MarkReady()
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-tick.C:
		}
		r.mu.Lock()
		longer := r.longestDeadline > r.reportedDeadline
		r.mu.Unlock()
		if longer {
			r.joinAndCatchUp()
		}
	}
}

// joinAndCatchUp joins, gets the missed purges and waits until they are applied. Joining and applying may each take
// proposeTimeout. It returns whether both succeeded.
func (r *Runner) joinAndCatchUp() bool {
	self := r.participant()
	joined, ok := r.join(self)
	return ok && r.applyMissed(joined.Seq, self.LongestDeadline)
}

// join makes this process a participant, and returns the answer and whether that succeeded.
func (r *Runner) join(self ledger.Participant) (joined ledger.JoinResult, ok bool) {
	ctx, cancel := context.WithTimeout(r.ctx, proposeTimeout)
	defer cancel()
	if err := r.propose(ctx, ledger.KindJoin, ledger.Join{Participants: []ledger.Participant{self}}, &joined); err != nil {
		return joined, false
	}
	if joined.Rejected != "" {
		r.options.Log.Error("purge: join rejected, will be retried", zap.String("why", joined.Rejected))
		select { // a later incarnation has joined or there are too many participants, so an immediate retry would fail as well
		case <-time.After(proposeTimeout):
		case <-r.ctx.Done():
		}
		return joined, false
	}
	return joined, true
}

// applyMissed requests purges until all up to seq are applied here, or proposeTimeout has passed. It asks the processes that
// may have them one after the other. reportedDeadline is the longest deadline that the join has reported. It returns whether
// all purges are applied.
func (r *Runner) applyMissed(seq uint64, reportedDeadline time.Duration) bool {
	ctx, cancel := context.WithTimeout(r.ctx, proposeTimeout)
	defer cancel()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		candidates := r.candidates()
		r.mu.Lock()
		since, applied := r.state.ReceivedSeq(), r.state.AppliedSeq()
		if p := r.state.Parent(); p.Name != "" {
			candidates = append(candidates, p.Name)
		}
		changed := r.signals.Changed()
		if applied >= seq {
			r.caughtUp, r.reportedDeadline = true, max(r.reportedDeadline, reportedDeadline)
			r.mu.Unlock()
			return true
		}
		r.mu.Unlock()
		if since < seq && len(candidates) > 0 {
			r.requestPurges(ctx, candidates[attempt%len(candidates)], since)
		}
		select {
		case <-changed:
		case <-time.After(catchUpInterval):
		case <-ctx.Done():
		}
	}
	return false
}

// requestPurges asks one process for the purges with a Seq above since, and processes its answer.
func (r *Runner) requestPurges(ctx context.Context, from view.Name, since uint64) {
	var update spread.Update
	if r.caller.Call(ctx, from, pathPurgesSince, sinceRequest{since}, &update) != nil {
		return // the caller asks the next process
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.HandleUpdate(update, r.options.Now())
	r.signals.NotifyChange()
}
