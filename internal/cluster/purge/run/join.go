package run

// This file is how a life gets its seat and what it missed, and gives the seat up.
//
// The seat comes first, and in common: whatever is decided after it waits for this life's acknowledgement, whatever
// was decided before has a Seq up to the one told. So no purge can be complete that this life knows nothing of.

import (
	"context"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/purge/spread"
	"flaxcove/internal/cluster/view"
)

func (r *Runner) seat() ledger.Seat {
	r.mu.Lock()
	defer r.mu.Unlock()
	return ledger.Seat{Life: r.o.Self.Life, Zone: r.o.Self.Zone, Region: r.o.Self.Region, Folder: r.o.Self.Folder,
		Longest: r.longest}
}

// catchUp takes the seat and all that was missed; once the bound is over the process serves on, and this goes on.
func (r *Runner) catchUp() {
	bound := time.AfterFunc(r.o.CatchUp, func() {
		r.o.Log.Warn("purge: nobody reached in time; serving on", zap.Duration("after", r.o.CatchUp))
		r.signals.MarkReady()
	})
	defer bound.Stop()
	for r.ctx.Err() == nil {
		if r.join() {
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
		longer := r.longest > r.told && !r.left
		r.mu.Unlock()
		if longer {
			r.join()
		}
	}
}

// join is one round: seat, what was missed, applied. It takes decideFor at most for each.
func (r *Runner) join() bool {
	ctx, cancel := context.WithTimeout(r.ctx, decideFor)
	defer cancel()
	seat := r.seat()
	var joined ledger.Joined
	if err := r.propose(ctx, ledger.KindJoin, ledger.Join{Seats: []ledger.Seat{seat}}, &joined); err != nil {
		return false
	}
	if joined.Refused != "" {
		r.o.Log.Error("purge: no seat", zap.String("why", joined.Refused))
		select { // another life of the name serves, or all seats are taken: not often asked again
		case <-time.After(decideFor):
		case <-r.ctx.Done():
		}
		return false
	}
	ctx, cancel = context.WithTimeout(r.ctx, decideFor)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		ask := r.whomToAsk()
		r.mu.Lock()
		since, applied := r.state.Has(), r.state.AppliedTo()
		if p := r.state.Parent(); p.Name != "" {
			ask = append(ask, p.Name)
		}
		turned := r.signals.Changed()
		if applied >= joined.Seq {
			r.caught, r.told = true, max(r.told, seat.Longest)
			r.mu.Unlock()
			return true
		}
		r.mu.Unlock()
		if since < joined.Seq && len(ask) > 0 {
			var d spread.Down
			if r.caller.Call(ctx, ask[n%len(ask)], pathMissed, missed{since}, &d) == nil {
				r.mu.Lock()
				r.state.FromParent(d, r.o.Now())
				r.signals.NotifyChange()
				r.mu.Unlock()
			}
		}
		select {
		case <-turned:
		case <-time.After(2 * pace):
		case <-ctx.Done():
		}
	}
	return false
}

// Leave gives the seat up; call it once the sender takes nothing on and holds nothing any more. A process that ends
// while it holds something keeps its seat instead, and its next life is waited for.
func (r *Runner) Leave(ctx context.Context) error {
	r.mu.Lock()
	r.left = true
	life := r.o.Self.Life
	r.mu.Unlock()
	var done ledger.Joined
	return r.propose(ctx, ledger.KindGone, ledger.Gone{Lives: []view.Life{life}}, &done)
}
