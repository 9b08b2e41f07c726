package run

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/recall"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/jsonsize"
	"flaxcove/internal/sender/clusterapi"
)

// This file sends the learned state of a large process to its region's coordinator. Every five ticks it sends the destinations
// whose state has changed. To a new coordinator it sends as many destinations as the limits allow.
//
// A batch is made in three steps, none of which blocks the sender or the loop: the sender is asked for its cached destinations
// (startBatch), then for the learned state of those that are due (askForLearnedState), and its answers are sent (sendBatch).

const (
	learnedStatePath = "/popularity/learnt"
	batchTicks       = 5 // ticks between two batches
	// maxCallsPerCoordinator is the maximum number of calls per second to a coordinator, with ticks of two seconds. If a region
	// has more than 80 large processes, each of them sends less often.
	maxCallsPerCoordinator = 8
	// Numbers of destinations in a batch, of changed ones and, to a new coordinator, of all. The maximum is shared by all large
	// processes of a region, and the minimum is what each of them may send in any case. With three endpoints of 90 bytes per
	// destination, 64 destinations in ten seconds are 1.7 KB/s at the coordinator.
	maxChanged, minChanged = 64, 1
	maxInitial, minInitial = 2048, 16

	maxPerCall         = 64   // destinations in a call; about 20 KB, and fewer where their endpoints take more than maxStateBytes
	maxQueries         = 1280 // to the sender for one batch
	maxBatchesInFlight = 2    // further batches are dropped, and their destinations are sent in a later batch
	resendTicks        = 30   // ticks after which state that has hardly changed is sent again, because receivers discount it by its age
)

// learnedStateMessage is a call that sends learned state to the region's coordinator.
type learnedStateMessage struct {
	Destinations []recall.DestinationState `json:"all"`
}

// uploadState is the state of sending learned state. Only the loop's goroutine uses it.
type uploadState struct {
	batchNo     uint64                                   // of the newest batch
	startedAt   view.Uptime                              // time of the newest batch; valid if started
	started     bool                                     // whether there was any batch
	coordinator view.Instance                            // the coordinator to which sent refers
	sent        map[choice.DestinationID]sentDestination // destinations whose learned state was sent to the coordinator
}

// sentDestination records the learned state of a destination that was last sent.
type sentDestination struct {
	calls  float64 // number of calls that the state was learned from
	sentAt view.Uptime
}

// learnedBatch is the learned state of the destinations to be sent.
type learnedBatch struct {
	batchNo      uint64
	askedAt      view.Uptime // time to which the ages in the batch refer
	destinations []recall.DestinationState
}

// regionCoordinator returns the region's coordinator, the number of large processes in the region, which is at least 1, and
// whether the coordinator was found in the view.
func (r *Runner) regionCoordinator(v *view.View, t *tree.Tree) (coordinator view.Member, largeProcesses int, found bool) {
	region := r.region(t)
	for i := range v.Members {
		if m := &v.Members[i]; m.Present() && m.Size != view.Small && t.Region(m.Zone) == region {
			largeProcesses++
		}
	}
	coordinator, found = v.Find(t.RegionCoordinator(region))
	return coordinator, max(largeProcesses, 1), found
}

// startBatch starts a batch if one is due, by asking the sender for its cached destinations.
func (r *Runner) startBatch() {
	now, v, t := r.options.Now(), r.options.View(), r.options.Tree()
	if r.isSmall() || v == nil || t == nil {
		return
	}
	coordinator, large, found := r.regionCoordinator(v, t)
	state := &r.upload
	interval := max(r.ticks(batchTicks), r.ticks(large)/(2*maxCallsPerCoordinator))
	if !found || coordinator.Instance == state.coordinator && state.started && now-state.startedAt < interval-r.options.TickInterval/2 {
		return
	}
	state.batchNo, state.startedAt, state.started = state.batchNo+1, now, true
	r.mu.Lock()
	lost := r.batchFailed
	r.batchFailed = false
	r.mu.Unlock()
	if lost || coordinator.Instance != state.coordinator {
		state.coordinator = coordinator.Instance
		clear(state.sent)
	}
	batchNo := state.batchNo
	r.options.Orders.ListHeldState(func(held []clusterapi.HeldState) { r.deliverHoldings(holdings{batchNo, held}) })
}

// askForLearnedState asks the sender for the learned state of the destinations that are due, as many as the limits allow. answer
// is the list of its cached destinations.
func (r *Runner) askForLearnedState(answer holdings) {
	now, v, t, state := r.options.Now(), r.options.View(), r.options.Tree(), &r.upload
	if answer.requestNo != state.batchNo || v == nil || t == nil {
		return
	}
	_, large, _ := r.regionCoordinator(v, t)
	limit := max(minChanged, maxChanged/large)
	if len(state.sent) == 0 {
		limit = max(minInitial, min(maxInitial/large, maxQueries))
	}
	state.forgetNotHeld(answer.held)
	due := state.due(now, answer.held, r.ticks(resendTicks))
	due = due[:min(len(due), limit)]
	if len(due) == 0 {
		return
	}
	// The sender is asked for each destination separately, because its answers do not name the destination.
	collector := &batchCollector{missing: len(due), batch: learnedBatch{batchNo: answer.requestNo, askedAt: now}}
	for _, d := range due {
		state.sent[d.Destination] = sentDestination{d.Calls, now}
		r.options.Orders.GetLearnedState([]choice.DestinationID{d.Destination}, func(learned []clusterapi.LearnedEndpoint) {
			r.collectLearnedState(collector, d.Destination, learned)
		})
	}
}

// forgetNotHeld drops the records of destinations that the sender does not cache any more.
func (s *uploadState) forgetNotHeld(held []clusterapi.HeldState) {
	heldNow := make(map[choice.DestinationID]bool, len(held))
	for _, d := range held {
		heldNow[d.Destination] = true
	}
	for d := range s.sent {
		if !heldNow[d] {
			delete(s.sent, d)
		}
	}
}

// due returns the destinations to send: first those that were never sent, then those that were sent longest ago. Among equals,
// those with the most calls come first.
func (s *uploadState) due(now view.Uptime, held []clusterapi.HeldState, resendAfter time.Duration) []clusterapi.HeldState {
	due := make([]clusterapi.HeldState, 0, len(held))
	for _, d := range held {
		last, wasSent := s.sent[d.Destination]
		changed := d.Calls < last.calls || d.Calls > last.calls*1.25+4
		if d.Calls > 0 && (!wasSent || changed || now-last.sentAt >= resendAfter) {
			due = append(due, d)
		}
	}
	slices.SortFunc(due, func(a, b clusterapi.HeldState) int {
		x, y := s.sent[a.Destination], s.sent[b.Destination] // zero if never sent
		return cmp.Or(cmp.Compare(x.sentAt, y.sentAt), cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Destination, b.Destination))
	})
	return due
}

// batchCollector collects the sender's answers, which come on the sender's loop, in a batch.
type batchCollector struct {
	mu      sync.Mutex // no other lock is taken under it
	missing int        // number of answers that have not come yet
	batch   learnedBatch
}

// add adds an answer and returns whether it is the last one.
func (c *batchCollector) add(d recall.DestinationState) (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.missing--
	if len(d.Endpoints) > 0 {
		c.batch.destinations = append(c.batch.destinations, d)
	}
	return c.missing == 0
}

// collectLearnedState processes the sender's answer for one destination, and passes the batch to the loop after the last answer.
// It never blocks; if a batch is already waiting, this one is dropped.
func (r *Runner) collectLearnedState(collector *batchCollector, d choice.DestinationID, learned []clusterapi.LearnedEndpoint) {
	destination := recall.DestinationState{Destination: d}
	for _, l := range learned {
		destination.Endpoints = append(destination.Endpoints, recall.FromSender(l, r.options.Self.Zone))
	}
	if !collector.add(destination) {
		return
	}
	select {
	case r.learnedBatches <- collector.batch: // no other goroutine uses the batch after the last answer
	default:
	}
}

// sendBatch sends a batch to the region's coordinator, or stores it here if this process is the coordinator.
func (r *Runner) sendBatch(batch learnedBatch) {
	state := &r.upload
	if batch.batchNo != state.batchNo || len(batch.destinations) == 0 {
		return
	}
	coordinator := state.coordinator
	r.mu.Lock()
	mayStart := r.batchesInFlight < maxBatchesInFlight
	if coordinator.Name == r.options.Self.Name {
		r.storeLearnedState(batch.destinations)
	} else if mayStart {
		r.batchesInFlight++
	}
	r.mu.Unlock()
	if coordinator.Name != r.options.Self.Name && mayStart {
		r.startGoroutine(func() { r.callWithBatch(coordinator, batch) })
	}
}

// callWithBatch sends a batch to the coordinator, in calls of at most maxPerCall destinations. It stops if a call fails.
func (r *Runner) callWithBatch(coordinator view.Instance, batch learnedBatch) {
	for rest := batch.destinations; len(rest) > 0; {
		part := rest[:min(len(rest), maxPerCall)]
		part = part[:jsonsize.Prefix(part, maxStateBytes)]
		rest = rest[len(part):]
		addAge(part, max(0, r.options.Now()-batch.askedAt))
		err := r.call(coordinator.Name, learnedStatePath, learnedStateMessage{part}, nil)
		r.mu.Lock()
		if err != nil {
			r.batchFailed = true
			r.mu.Unlock()
			break
		}
		r.status.DestinationsSent += uint64(len(part))
		r.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.batchesInFlight--
}

// addAge adds a time to the age of all learned state.
func addAge(all []recall.DestinationState, span time.Duration) {
	for i := range all {
		for j := range all[i].Endpoints {
			all[i].Endpoints[j].Age += span
		}
	}
}

// storeLearnedState puts learned state into the summary here. The caller holds mu.
func (r *Runner) storeLearnedState(all []recall.DestinationState) {
	now := r.options.Now()
	for _, d := range all {
		r.summary.Put(now, d)
	}
}

// handleLearnedState stores the learned state that another process has sent to the coordinator.
func (r *Runner) handleLearnedState(_ context.Context, from view.Instance, body []byte) (any, error) {
	var message learnedStateMessage
	if err := json.Unmarshal(body, &message); err != nil {
		return nil, r.countMalformed(fmt.Errorf("popularity: cannot decode learned state from %q: %w", from.Name, err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeLearnedState(message.Destinations[:min(len(message.Destinations), maxPerCall)])
	return nil, nil
}
