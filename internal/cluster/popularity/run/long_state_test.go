package run

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/evict"
	"flaxcove/internal/cluster/popularity/recall"
	"flaxcove/internal/cluster/view"
)

// longState returns the learned state of a destination with many endpoints of long ids, which endpoint lists may have.
func longState(d choice.DestinationID) recall.DestinationState {
	state := recall.DestinationState{Destination: d}
	for i := range 64 {
		state.Endpoints = append(state.Endpoints, recall.EndpointState{Endpoint: choice.EndpointID(fmt.Sprint(strings.Repeat("e", 200), d, "-", i)),
			Mean: 1000.0 / 3, Dev: 100.0 / 7, Past: 1000.0 / 7, Seen: 1e6 / 7, Limit: 1e6 / 3, Zone: view.Zone(strings.Repeat("z", 63))})
	}
	return state
}

// TestLongStateFitsTheLink guards against learned state that never arrives: 64 destinations went in one message, whatever their
// endpoints take, and one that is longer than the link takes was lost with all of them.
func TestLongStateFitsTheLink(t *testing.T) {
	const linkLimit = 1 << 20
	w := startCluster(t, evict.Bounds{})
	from, to := w.runners["p0"], w.runners["p2"]
	var request learnedStateRequest
	var batch learnedBatch
	for d := range choice.DestinationID(maxPerRequest) {
		request.Destinations = append(request.Destinations, 1000+d)
		batch.destinations = append(batch.destinations, longState(1000+d))
	}
	from.batchesInFlight++
	from.callWithBatch(to.options.Self.Instance, batch)
	w.mu.Lock()
	if w.maxMessageSize > linkLimit {
		t.Errorf("a message has %d bytes", w.maxMessageSize)
	}
	w.mu.Unlock()
	to.mu.Lock()
	stored := len(to.lookUp(request.Destinations).Destinations)
	to.mu.Unlock()
	if stored != maxPerRequest {
		t.Errorf("%d of %d destinations are stored", stored, maxPerRequest)
	}
	body, _ := json.Marshal(request)
	answer, err := to.handleRequest(context.Background(), from.options.Self.Instance, body)
	if err != nil {
		t.Fatal(err)
	}
	if text, _ := json.Marshal(answer); len(text) > linkLimit || len(text) < linkLimit/2 {
		t.Errorf("the answer to a request has %d bytes", len(text))
	}
}
