package run

import (
	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/evict"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// This file has a small process's sender evict what exceeds its bounds: each second tick, and sooner where many
// destinations were loaded or a bound was lowered. Between two checks the sender may hold as many more as it loads.

const (
	checkTicks = 2
	// checkLoads: so many destinations loaded, or an eighth of the bound, are reason to check before the tick.
	checkLoads = 8
	// checksPerTick bounds how often: the sender walks through all it holds for each check.
	checksPerTick = 4
	// answerTicks: a sender that did not say what it holds by then is asked again.
	answerTicks = 5
)

// holdings are what the sender holds, in answer to a request by eviction or by lessons.
type holdings struct {
	requestNo uint64
	held      []clusterapi.Held
}

// evictionState belongs to the loop alone.
type evictionState struct {
	requestNo   uint64
	inFlight    bool
	requestedAt view.Uptime
	requested   bool         // ever
	loaded      int          // destinations since the last check
	bounds      evict.Bounds // of the last check
}

// checkBounds asks the sender what it holds, if that is due.
func (r *Runner) checkBounds(onTick bool) {
	now, state := r.options.Now(), &r.eviction
	r.mu.Lock()
	bounds := r.bounds
	r.mu.Unlock()
	if !r.small() || bounds == (evict.Bounds{}) || state.inFlight && now-state.requestedAt < r.ticks(answerTicks) {
		return
	}
	since := now - state.requestedAt
	due := !state.requested || bounds != state.bounds || onTick && since >= r.ticks(checkTicks)-r.options.TickInterval/2
	manyLoaded := state.loaded >= max(checkLoads, bounds.Destinations/8) && since >= r.options.TickInterval/checksPerTick
	if !due && !manyLoaded {
		return
	}
	requestNo := state.requestNo + 1
	*state = evictionState{requestNo: requestNo, inFlight: true, requestedAt: now, requested: true, bounds: bounds}
	r.options.Orders.Holding(func(held []clusterapi.Held) { r.deliverHoldings(holdings{requestNo, held}) })
}

// deliverHoldings takes the sender's answer on the sender's loop, and never waits.
func (r *Runner) deliverHoldings(h holdings) {
	select {
	case r.holdings <- h:
	default:
	}
}

func (r *Runner) handleHoldings(h holdings) {
	if !r.small() {
		r.askForLessons(h)
		return
	}
	state := &r.eviction
	if h.requestNo != state.requestNo || !state.inFlight {
		return
	}
	state.inFlight = false
	now := r.options.Now()
	r.mu.Lock()
	selection := r.evictor.Choose(now, h.held, r.bounds, func(d choice.DestinationID) float64 {
		return r.scores.Score(now, d, r.counts.Estimate(now, d))
	})
	if selection.BoundExceeded && !r.status.BoundExceeded {
		r.options.Log.Warn("popularity: bound exceeded by protected destinations", zap.Int("held", len(h.held)))
	}
	r.status.Held, r.status.BoundExceeded = len(h.held)-len(selection.Evict), selection.BoundExceeded
	r.status.Evicted += uint64(len(selection.Evict))
	r.mu.Unlock()
	if len(selection.Evict) == 0 {
		return
	}
	for _, d := range selection.Evict {
		r.evictor.Evicted(now, d)
	}
	r.options.Orders.Evict(selection.Evict, func(retained []choice.DestinationID) {
		r.retained.Add(uint64(len(retained)))
	})
}
