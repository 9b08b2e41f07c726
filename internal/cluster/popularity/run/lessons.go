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
	"flaxcove/internal/sender/clusterapi"
)

// This file sends what a large process learned of endpoints to its region's coordinator: what changed, each five ticks,
// and to a new coordinator all that there is capacity for.

const (
	lessonsPath = "/popularity/learnt"
	lessonTicks = 5
	// maxCallsPerHead is how many calls a second a coordinator takes of its region, at ticks of two seconds: with over 80
	// large processes each of them sends less often.
	maxCallsPerHead = 8
	// Destinations in a batch, over all large processes of a region, and the least for each of them: of what changed, and
	// to a new coordinator. At three endpoints of 90 bytes, 64 in ten seconds are 1.7 KB/s at the coordinator.
	maxChanged, minChanged = 64, 1
	maxInitial, minInitial = 2048, 16

	maxPerCall         = 64   // destinations: about 20 KB
	maxQuestions       = 1280 // to the sender, for one batch
	maxBatchesInFlight = 2    // a batch beyond that is dropped, and its destinations are part of a later one
	resendTicks        = 30   // until what changed little is sent again: its age is what it is believed by
)

type lessonsMessage struct {
	All []recall.Lessons `json:"all"`
}

// lessonState belongs to the loop alone.
type lessonState struct {
	batchNo   uint64
	startedAt view.Uptime
	started   bool
	head      view.Life                            // the coordinator that sent is about
	sent      map[choice.DestinationID]sentLessons // what it has
}

type sentLessons struct {
	calls  float64 // that the lessons were learned from
	sentAt view.Uptime
}

// lessonBatch is what the sender knows of the destinations to be sent.
type lessonBatch struct {
	batchNo uint64
	askedAt view.Uptime
	lessons []recall.Lessons
}

// regionHead is the region's coordinator, and how many large processes the region has.
func (r *Runner) regionHead(v *view.View, t *tree.Tree) (head view.Member, largeProcesses int, found bool) {
	region := r.region(t)
	for i := range v.Members {
		if m := &v.Members[i]; m.Present() && m.Size != view.Small && t.Region(m.Zone) == region {
			largeProcesses++
		}
	}
	head, found = v.Find(t.RegionHead(region))
	return head, max(largeProcesses, 1), found
}

// startBatch begins a batch if one is due.
func (r *Runner) startBatch() {
	now, v, t := r.options.Now(), r.options.View(), r.options.Tree()
	if r.small() || v == nil || t == nil {
		return
	}
	head, large, found := r.regionHead(v, t)
	state := &r.lessonSending
	interval := max(r.ticks(lessonTicks), r.ticks(large)/(2*maxCallsPerHead))
	if !found || head.Life == state.head && state.started && now-state.startedAt < interval-r.options.TickInterval/2 {
		return
	}
	state.batchNo, state.startedAt, state.started = state.batchNo+1, now, true
	r.mu.Lock()
	lost := r.batchFailed
	r.batchFailed = false
	r.mu.Unlock()
	if lost || head.Life != state.head {
		state.head = head.Life
		clear(state.sent)
	}
	batchNo := state.batchNo
	r.options.Orders.Holding(func(held []clusterapi.Held) { r.deliverHoldings(holdings{batchNo, held}) })
}

// askForLessons asks the sender for what changed most since it was sent, and for what was sent longest ago.
func (r *Runner) askForLessons(answer holdings) {
	now, v, t, state := r.options.Now(), r.options.View(), r.options.Tree(), &r.lessonSending
	if answer.requestNo != state.batchNo || v == nil || t == nil {
		return
	}
	_, large, _ := r.regionHead(v, t)
	limit := max(minChanged, maxChanged/large)
	if len(state.sent) == 0 {
		limit = max(minInitial, min(maxInitial/large, maxQuestions))
	}
	state.forgetNotHeld(answer.held)
	due := state.due(now, answer.held, r.ticks(resendTicks))
	due = due[:min(len(due), limit)]
	if len(due) == 0 {
		return
	}
	// One question for each destination: a lesson does not name its destination.
	collector := &lessonCollector{missing: len(due), batch: lessonBatch{batchNo: answer.requestNo, askedAt: now}}
	for _, d := range due {
		state.sent[d.Destination] = sentLessons{d.Calls, now}
		r.options.Orders.Know([]choice.DestinationID{d.Destination}, func(lessons []clusterapi.LearnedEndpoint) {
			r.collectLessons(collector, d.Destination, lessons)
		})
	}
}

func (s *lessonState) forgetNotHeld(held []clusterapi.Held) {
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

// due are the destinations to send: those never sent first, then those sent longest ago, then those with most calls.
func (s *lessonState) due(now view.Uptime, held []clusterapi.Held, resendAfter time.Duration) []clusterapi.Held {
	due := make([]clusterapi.Held, 0, len(held))
	for _, d := range held {
		last, wasSent := s.sent[d.Destination]
		changed := d.Calls < last.calls || d.Calls > last.calls*1.25+4
		if d.Calls > 0 && (!wasSent || changed || now-last.sentAt >= resendAfter) {
			due = append(due, d)
		}
	}
	slices.SortFunc(due, func(a, b clusterapi.Held) int {
		x, y := s.sent[a.Destination], s.sent[b.Destination] // zero if never sent
		return cmp.Or(cmp.Compare(x.sentAt, y.sentAt), cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Destination, b.Destination))
	})
	return due
}

// lessonCollector collects the answers as they come on the sender's loop.
type lessonCollector struct {
	mu      sync.Mutex // nothing is called under it
	missing int        // answers
	batch   lessonBatch
}

func (c *lessonCollector) add(l recall.Lessons) (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.missing--
	if len(l.All) > 0 {
		c.batch.lessons = append(c.batch.lessons, l)
	}
	return c.missing == 0
}

func (r *Runner) collectLessons(collector *lessonCollector, d choice.DestinationID, learned []clusterapi.LearnedEndpoint) {
	lessons := recall.Lessons{Destination: d}
	for _, l := range learned {
		lessons.All = append(lessons.All, recall.FromSender(l, r.options.Self.Zone))
	}
	if !collector.add(lessons) {
		return
	}
	select {
	case r.lessonBatches <- collector.batch: // all answers are in: nobody else uses the batch any more
	default:
	}
}

// sendBatch sends what was collected to the region's coordinator, or stores it here if that is this process.
func (r *Runner) sendBatch(batch lessonBatch) {
	state := &r.lessonSending
	if batch.batchNo != state.batchNo || len(batch.lessons) == 0 {
		return
	}
	head := state.head
	r.mu.Lock()
	mayStart := r.batchesInFlight < maxBatchesInFlight
	if head.Name == r.options.Self.Name {
		r.storeLessons(batch.lessons)
	} else if mayStart {
		r.batchesInFlight++
	}
	r.mu.Unlock()
	if head.Name != r.options.Self.Name && mayStart {
		r.startGoroutine(func() { r.callWithLessons(head, batch) })
	}
}

// callWithLessons sends a batch in several calls, until one fails.
func (r *Runner) callWithLessons(head view.Life, batch lessonBatch) {
	for rest := batch.lessons; len(rest) > 0; {
		part := rest[:min(len(rest), maxPerCall)]
		rest = rest[len(part):]
		addAge(part, max(0, r.options.Now()-batch.askedAt))
		err := r.call(head.Name, lessonsPath, lessonsMessage{part}, nil)
		r.mu.Lock()
		if err != nil {
			r.batchFailed = true
			r.mu.Unlock()
			break
		}
		r.status.LessonsSent += uint64(len(part))
		r.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.batchesInFlight--
}

func addAge(all []recall.Lessons, span time.Duration) {
	for i := range all {
		for j := range all[i].All {
			all[i].All[j].Age += span
		}
	}
}

// storeLessons puts lessons into the summary here. The caller holds mu.
func (r *Runner) storeLessons(all []recall.Lessons) {
	now := r.options.Now()
	for _, l := range all {
		r.summary.Put(now, l)
	}
}

func (r *Runner) handleLessons(_ context.Context, from view.Life, body []byte) (any, error) {
	var in lessonsMessage
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, r.countMalformed(fmt.Errorf("popularity: lessons of %s: %w", from.Name, err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeLessons(in.All[:min(len(in.All), maxPerCall)])
	return nil, nil
}
