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
	"flaxcove/internal/jsonsize"
	"flaxcove/internal/sender/clusterapi"
)

// This file requests learned state from the region's coordinator for the destinations that the sender has loaded. One call
// requests many of them, so that a hundred destinations loaded at once take two calls.

const (
	requestPath         = "/popularity/ask"
	maxPerRequest       = 64 // destinations in a call
	maxRequestsInFlight = 2  // calls
	// maxStateBytes is the length in JSON of the longest list of learned state in one message; the link's limit is 1 MB. Ages
	// may grow after the list was measured.
	maxStateBytes = 960 << 10
)

// learnedStateRequest asks for the learned state of destinations.
type learnedStateRequest struct {
	Destinations []choice.DestinationID `json:"of"`
}

// learnedStateAnswer is the answer to a learnedStateRequest. Destinations without learned state are omitted.
type learnedStateAnswer struct {
	Destinations []recall.DestinationState `json:"all,omitempty"`
}

// requestState is the state of the requests. Only the loop's goroutine uses it.
type requestState struct {
	queued  []choice.DestinationID        // to be requested
	pending map[choice.DestinationID]bool // queued or requested, so not to be queued again
}

// takeLoaded processes a destination that the sender has loaded, and all others in the channel.
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

// sendRequests starts calls for the queued destinations, until maxRequestsInFlight are in flight.
func (r *Runner) sendRequests() {
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
		coordinator := view.Name("")
		if t != nil {
			coordinator = t.RegionCoordinator(r.region(t))
		}
		r.mu.Lock()
		r.requestsInFlight++
		r.status.Asked += uint64(len(batch))
		r.mu.Unlock()
		if !r.startGoroutine(func() { r.callCoordinator(coordinator, batch, now) }) {
			return
		}
	}
}

// callCoordinator requests learned state from the region's coordinator, which may be this process, and hands it to the sender.
func (r *Runner) callCoordinator(coordinator view.Name, destinations []choice.DestinationID, requestedAt view.Uptime) {
	var answer learnedStateAnswer
	var err error
	switch coordinator {
	case "": // no coordinator is known, so there is no learned state
	case r.options.Self.Name:
		r.mu.Lock()
		answer = r.lookUp(destinations)
		r.mu.Unlock()
	default:
		err = r.call(coordinator, requestPath, learnedStateRequest{destinations}, &answer)
	}
	var learned []clusterapi.LearnedEndpoint
	waited := max(0, r.options.Now()-requestedAt)
	if err == nil {
		learned = r.applicableState(answer, destinations, waited)
	}
	if len(learned) > 0 && r.ctx.Err() == nil {
		r.options.Orders.AdoptLearnedState(learned)
	}
	r.mu.Lock()
	r.requestsInFlight--
	r.finishedRequests = append(r.finishedRequests, destinations...) // bounded by the calls in flight
	r.status.EndpointsApplied += uint64(len(learned))
	r.mu.Unlock()
	r.wakeLoop()
}

// applicableState returns the learned state in an answer that was requested and that recall.Discount does not reject. waited is
// the time since the request, by which the state is older than the answer says.
func (r *Runner) applicableState(answer learnedStateAnswer, destinations []choice.DestinationID, waited time.Duration) (all []clusterapi.LearnedEndpoint) {
	requested := make(map[choice.DestinationID]bool, len(destinations))
	for _, d := range destinations {
		requested[d] = true
	}
	for _, destination := range answer.Destinations {
		if !requested[destination.Destination] {
			continue
		}
		for _, endpoint := range destination.Endpoints {
			endpoint.Age += waited
			if state, usable := recall.Discount(endpoint, r.options.Self.Zone); usable {
				all = append(all, state)
			}
		}
	}
	return all
}

// lookUp returns the learned state of destinations in the summary. The caller holds mu.
func (r *Runner) lookUp(destinations []choice.DestinationID) (answer learnedStateAnswer) {
	now := r.options.Now()
	for _, d := range destinations[:min(len(destinations), maxPerRequest)] {
		if l, found := r.summary.Lookup(now, d); found {
			answer.Destinations = append(answer.Destinations, l)
		}
	}
	return answer
}

// handleRequest answers another process's request for learned state.
func (r *Runner) handleRequest(_ context.Context, from view.Instance, body []byte) (any, error) {
	var request learnedStateRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, r.countMalformed(fmt.Errorf("popularity: cannot decode request for learned state from %q: %w", from.Name, err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := r.lookUp(request.Destinations)
	// Destinations that don't fit are answered as those without learned state.
	answer.Destinations = answer.Destinations[:jsonsize.Prefix(answer.Destinations, maxStateBytes)]
	return answer, nil
}
