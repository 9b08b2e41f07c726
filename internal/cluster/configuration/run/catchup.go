package run

// This file makes a process catch up at its start: it gets the newest version from the leader and has it put in force
// before the sender sends anything.

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// catchUp gets the newest version from the leader, waits until it is in force or rejected here, and then marks the
// process as ready. After Options.CatchUp the process becomes ready in any case, and catchUp goes on.
func (r *Runner) catchUp() {
	bound := time.AfterFunc(r.options.CatchUp, func() {
		r.options.Log.Warn("configuration: newest version not received or not applied in time, serving with the version in force here", zap.Duration("after", r.options.CatchUp),
			zap.Uint64("version", r.Status().Version))
		r.signals.MarkReady()
	})
	defer bound.Stop()
	for wait := minBackoff; !r.fetchNewest(); wait = min(2*wait, maxBackoff) {
		select {
		case <-time.After(wait):
		case <-r.ctx.Done():
			return
		}
	}
	if bound.Stop() {
		r.signals.MarkReady()
	}
}

// fetchNewest makes one attempt to get the newest version from the leader and waits until that version is in force or
// rejected here. It returns whether that succeeded. The candidates include processes that do not lead, as there may be
// no leader. Their versions are used, too, but may not be the newest.
func (r *Runner) fetchNewest() bool {
	ctx, cancel := context.WithTimeout(r.ctx, r.options.CatchUp)
	defer cancel()
	if r.options.Consensus.Leading() {
		r.mu.Lock()
		state := r.leaderWork.state
		if state != nil {
			r.state.SetCommitted(state.Newest(), r.options.Now())
		}
		r.mu.Unlock()
		r.signals.Wake()
		return state != nil && r.awaitInForce(ctx)
	}
	for _, name := range r.candidates() {
		r.mu.Lock()
		request := r.state.NewFetch()
		r.mu.Unlock()
		answer, err := r.fetchFrom(ctx, r.state, name, request)
		if ctx.Err() != nil {
			return false
		}
		if err == nil && answer.FromLeader {
			return r.awaitInForce(ctx)
		}
	}
	return false
}

// awaitInForce waits until the newest version known here is in force or rejected. It returns false if ctx ends first.
func (r *Runner) awaitInForce(ctx context.Context) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.state.SelfSettled() {
		changed := r.signals.Changed()
		r.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		r.mu.Lock()
		if ctx.Err() != nil {
			return false
		}
	}
	r.caughtUp = true
	return true
}
