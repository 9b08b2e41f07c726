package run

// This file is how a process becomes a participant at its start, and gets the purges that it missed.
//
// It joins first: any purge that is opened after the join waits for this process's acknowledgement, and any that was
// opened before has a Seq up to the one in the answer. So no purge can be complete that this process does not know.

import (
	"context"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/purge/spread"
	"flaxcove/internal/cluster/view"
)

// participant is this process as a participant.
func (r *Runner) participant() ledger.Participant {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.options.Self
	return ledger.Participant{Life: self.Life, Zone: self.Zone, Region: self.Region, Folder: self.Folder,
		LongestDeadline: r.longestDeadline}
}

// catchUp joins and gets all missed purges. After Options.CatchUp the process becomes ready anyway, and this goes on.
// Later it joins again whenever the longest deadline has grown.
func (r *Runner) catchUp() {
	bound := time.AfterFunc(r.options.CatchUp, func() {
		r.options.Log.Warn("purge: not caught up in time; serving anyway", zap.Duration("after", r.options.CatchUp))
		r.signals.MarkReady()
	})
	defer bound.Stop()
	for r.ctx.Err() == nil {
		if r.joinAndCatchUp() {
			break
		}
	}
	if bound.Stop() {
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

// joinAndCatchUp joins, gets the missed purges and waits until they are applied. It returns whether that succeeded, each
// half within proposeTimeout.
func (r *Runner) joinAndCatchUp() bool {
	self := r.participant()
	joined, ok := r.join(self)
	return ok && r.applyMissed(joined.Seq, self.LongestDeadline)
}

// join makes this process a participant.
func (r *Runner) join(self ledger.Participant) (joined ledger.JoinResult, ok bool) {
	ctx, cancel := context.WithTimeout(r.ctx, proposeTimeout)
	defer cancel()
	if err := r.propose(ctx, ledger.KindJoin, ledger.Join{Participants: []ledger.Participant{self}}, &joined); err != nil {
		return joined, false
	}
	if joined.Rejected != "" {
		r.options.Log.Error("purge: join rejected", zap.String("why", joined.Rejected))
		select { // another incarnation has joined, or there are too many participants: a retry soon is of no use
		case <-time.After(proposeTimeout):
		case <-r.ctx.Done():
		}
		return joined, false
	}
	return joined, true
}

// applyMissed asks for purges until all up to seq are applied here, or proposeTimeout is over. The processes that may
// know them are asked in turn.
func (r *Runner) applyMissed(seq uint64, reportedDeadline time.Duration) bool {
	ctx, cancel := context.WithTimeout(r.ctx, proposeTimeout)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		ask := r.candidates()
		r.mu.Lock()
		since, applied := r.state.HasSeq(), r.state.AppliedSeq()
		if p := r.state.Parent(); p.Name != "" {
			ask = append(ask, p.Name)
		}
		changed := r.signals.Changed()
		if applied >= seq {
			r.caughtUp, r.reportedDeadline = true, max(r.reportedDeadline, reportedDeadline)
			r.mu.Unlock()
			return true
		}
		r.mu.Unlock()
		if since < seq && len(ask) > 0 {
			r.requestPurges(ctx, ask[n%len(ask)], since)
		}
		select {
		case <-changed:
		case <-time.After(catchUpInterval):
		case <-ctx.Done():
		}
	}
	return false
}

// requestPurges asks one process for the purges after since, and takes them in.
func (r *Runner) requestPurges(ctx context.Context, from view.Name, since uint64) {
	var update spread.Update
	if r.caller.Call(ctx, from, pathPurgesSince, sinceRequest{since}, &update) != nil {
		return // the next one is asked
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.HandleUpdate(update, r.options.Now())
	r.signals.NotifyChange()
}
