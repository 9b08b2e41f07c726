package run

import (
	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/evict"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// This file implements eviction at a small process. At every second tick, and earlier if many destinations were loaded or the
// bounds were changed, it checks what the sender caches, and makes it evict what exceeds the bounds. Between two checks, the
// sender may exceed the bounds by the destinations that it loads.

const (
	checkTicks = 2 // ticks between two checks
	// checkLoads is the number of loaded destinations after which the check is done early. If an eighth of the bound on
	// destinations is higher, that number is used.
	checkLoads = 8
	// checksPerTick is the maximum number of early checks per tick. It is low because the sender iterates over all cached
	// destinations for each check.
	checksPerTick = 4
	// answerTicks is the number of ticks after which a sender that has not answered is asked again.
	answerTicks = 5
)

// holdings is the sender's answer to a request for its cached destinations. At a small process eviction makes that request, at a
// large one the sending of learned state.
type holdings struct {
	requestNo uint64
	held      []clusterapi.HeldState
}

// evictionState is the state of the checks. Only the loop's goroutine uses it.
type evictionState struct {
	requestNo   uint64       // of the newest request to the sender
	inFlight    bool         // the sender has not answered it
	requestedAt view.Uptime  // time of the newest request; valid if requested
	requested   bool         // whether there was any request
	loaded      int          // destinations loaded since the newest request
	bounds      evict.Bounds // as of the newest request
}

// checkBounds asks the sender for its cached destinations if a check is due. onTick is true if it is called at a tick.
func (r *Runner) checkBounds(onTick bool) {
	now, state := r.options.Now(), &r.eviction
	r.mu.Lock()
	bounds := r.bounds
	r.mu.Unlock()
	if !r.isSmall() || bounds == (evict.Bounds{}) || state.inFlight && now-state.requestedAt < r.ticks(answerTicks) {
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
	r.options.Orders.ListHeldState(func(held []clusterapi.HeldState) { r.deliverHoldings(holdings{requestNo, held}) })
}

// deliverHoldings passes the sender's answer to the loop. It is called on the sender's loop and never blocks; if an answer is
// already waiting, this one is dropped.
func (r *Runner) deliverHoldings(h holdings) {
	select {
	case r.holdings <- h:
	default:
	}
}

// handleHoldings processes the sender's answer: at a small process it evicts destinations, at a large one it continues sending
// learned state.
func (r *Runner) handleHoldings(h holdings) {
	if !r.isSmall() {
		r.askForLearnedState(h)
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
		r.options.Log.Warn("popularity: bound on cached destinations exceeded, as protected ones cannot be evicted",
			zap.Int("held", len(h.held)))
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
