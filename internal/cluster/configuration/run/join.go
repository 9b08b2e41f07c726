package run

// This file is how a life catches up before its sender begins anything: it asks whoever leads for the newest version.

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// catchUp has this life take in what was decided before it; once the bound is over the process serves on, and this goes
// on.
func (r *Runner) catchUp() {
	bound := time.AfterFunc(r.o.CatchUp, func() {
		r.o.Log.Warn("configuration: nobody reached in time; serving on", zap.Duration("after", r.o.CatchUp),
			zap.Uint64("version", r.Status().Version))
		r.signals.Open()
	})
	defer bound.Stop()
	for wait := firstWait; !r.askNewest(); wait = min(2*wait, lastWait) {
		select {
		case <-time.After(wait):
		case <-r.ctx.Done():
			return
		}
	}
	if bound.Stop() {
		r.signals.Open()
	}
}

// askNewest is one round: the newest version by whoever leads, and that in force here or refused. Others are asked
// too, as nobody may lead: what they have is taken in, but it may not be the newest.
func (r *Runner) askNewest() bool {
	ctx, cancel := context.WithTimeout(r.ctx, r.o.CatchUp)
	defer cancel()
	if r.o.Consensus.Leading() {
		r.mu.Lock()
		top := r.lead.top
		if top != nil {
			r.state.Decided(top.Held(), r.o.Now())
		}
		r.mu.Unlock()
		r.signals.Wake()
		return top != nil && r.awaitInForce(ctx)
	}
	for _, name := range r.whomToAsk() {
		r.mu.Lock()
		question := r.state.Fetching()
		r.mu.Unlock()
		answer, err := r.ask(ctx, r.state, name, question)
		if ctx.Err() != nil {
			return false
		}
		if err == nil && answer.Leads {
			return r.awaitInForce(ctx)
		}
	}
	return false
}

// awaitInForce waits until what is held here is in force, or refused.
func (r *Runner) awaitInForce(ctx context.Context) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.state.SettledHere() {
		turned := r.signals.Turned()
		r.mu.Unlock()
		select {
		case <-turned:
		case <-ctx.Done():
		}
		r.mu.Lock()
		if ctx.Err() != nil {
			return false
		}
	}
	r.caught = true
	return true
}
