package run

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/recall"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// This file asks the region's coordinator for what is known of destinations that the sender loaded, many in one call: a
// hundred that are loaded together are two messages.

const (
	requestPath         = "/popularity/ask"
	maxPerRequest       = 64 // destinations
	maxRequestsInFlight = 2
)

type lessonsRequest struct {
	Destinations []choice.DestinationID `json:"of"`
}

type lessonsAnswer struct {
	All []recall.Lessons `json:"all,omitempty"`
}

// requestState belongs to the loop alone.
type requestState struct {
	queued  []choice.DestinationID
	pending map[choice.DestinationID]bool // queued or asked for: one request each
}

// takeLoaded takes a destination that the sender loaded, and all that are queued by now.
func (r *Runner) takeLoaded(d choice.DestinationID) {
	for more := true; more; {
		r.evictor.Loaded(r.options.Now(), d)
		r.eviction.loaded++
		dropped := len(r.requests.queued) >= maxQueuedLoads
		if !r.requests.pending[d] && !dropped {
			r.requests.pending[d] = true
			r.requests.queued = append(r.requests.queued, d)
		}
		r.mu.Lock()
		r.status.Loaded++
		r.mu.Unlock()
		if dropped {
			r.dropped.Add(1)
		}
		select {
		case d = <-r.loaded:
		default:
			more = false
		}
	}
}

// requestLessons starts requests for the queued destinations, as many as may be in flight.
func (r *Runner) requestLessons() {
	now, t := r.options.Now(), r.options.Tree()
	r.mu.Lock()
	finished, mayStart := r.finishedRequests, maxRequestsInFlight-r.requestsInFlight
	r.finishedRequests = nil
	r.mu.Unlock()
	for _, d := range finished {
		delete(r.requests.pending, d)
	}
	state := &r.requests
	for ; len(state.queued) > 0 && mayStart > 0; mayStart-- {
		batch := slices.Clone(state.queued[:min(len(state.queued), maxPerRequest)])
		state.queued = slices.Delete(state.queued, 0, len(batch))
		head := view.Name("")
		if t != nil {
			head = t.RegionHead(r.region(t))
		}
		r.mu.Lock()
		r.requestsInFlight++
		r.status.Asked += uint64(len(batch))
		r.mu.Unlock()
		if !r.startGoroutine(func() { r.callHead(head, batch, now) }) {
			return
		}
	}
}

// callHead asks the region's coordinator and hands the lessons to the sender.
func (r *Runner) callHead(head view.Name, destinations []choice.DestinationID, requestedAt view.Uptime) {
	var answer lessonsAnswer
	var err error
	switch head {
	case "": // no coordinator is known: there is no answer
	case r.options.Self.Name:
		r.mu.Lock()
		answer = r.lookUp(destinations)
		r.mu.Unlock()
	default:
		err = r.call(head, requestPath, lessonsRequest{destinations}, &answer)
	}
	var lessons []clusterapi.LearnedEndpoint
	waited := max(0, r.options.Now()-requestedAt)
	if err == nil {
		lessons = r.applicableLessons(answer, destinations, waited)
	}
	if len(lessons) > 0 && r.ctx.Err() == nil {
		r.options.Orders.Teach(lessons)
	}
	r.mu.Lock()
	r.requestsInFlight--
	r.finishedRequests = append(r.finishedRequests, destinations...) // at most as many as are in flight
	r.status.LessonsApplied += uint64(len(lessons))
	r.mu.Unlock()
	r.wakeLoop()
}

// applicableLessons are those of an answer that were asked for and can still be believed.
func (r *Runner) applicableLessons(answer lessonsAnswer, destinations []choice.DestinationID, waited time.Duration) (all []clusterapi.LearnedEndpoint) {
	requested := make(map[choice.DestinationID]bool, len(destinations))
	for _, d := range destinations {
		requested[d] = true
	}
	for _, of := range answer.All {
		if !requested[of.Destination] {
			continue
		}
		for _, l := range of.All {
			l.Age += waited
			if lesson, usable := recall.Discount(l, r.options.Self.Zone); usable {
				all = append(all, lesson)
			}
		}
	}
	return all
}

// lookUp is what the summary has of destinations. The caller holds mu.
func (r *Runner) lookUp(destinations []choice.DestinationID) (answer lessonsAnswer) {
	now := r.options.Now()
	for _, d := range destinations[:min(len(destinations), maxPerRequest)] {
		if l, found := r.summary.Lookup(now, d); found {
			answer.All = append(answer.All, l)
		}
	}
	return answer
}

func (r *Runner) handleRequest(_ context.Context, from view.Life, body []byte) (any, error) {
	var in lessonsRequest
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, r.countMalformed(fmt.Errorf("popularity: question of %s: %w", from.Name, err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lookUp(in.Destinations), nil
}
