package run

import (
	"context"
	"math"
	"testing"

	"go.uber.org/goleak"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/evict"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// submitted returns a digest with n messages of each of two clients for a destination.
func submitted(d choice.DestinationID, n uint64) clusterapi.Digest {
	return clusterapi.Digest{Counts: []clusterapi.ClientCount{{Destination: d, Client: "a", Messages: n},
		{Destination: d, Client: "b", Messages: n}}}
}

// TestPopularityStaysInItsRegion checks that a destination with messages at the large processes of a region becomes popular at the
// region's small process and not in the other region, although all clocks differ; and that the small process evicts
// unpopular destinations down to its bound, but not protected ones.
func TestPopularityStaysInItsRegion(t *testing.T) {
	w := startCluster(t, evict.Bounds{Destinations: 10})
	for d := range choice.DestinationID(30) {
		w.senders["p6"].hold(clusterapi.HeldState{Destination: 100 + d, Bytes: 500, Calls: 20})
	}
	w.senders["p6"].hold(clusterapi.HeldState{Destination: 99, Bytes: 500, InUse: true})
	for _, p := range []view.Name{"p0", "p2", "p4"} {
		w.runners[p].AddCounts(submitted(107, 40))
	}
	w.waitFor("the small process of the region has received the ranking", func() bool { return w.score("p6", 107) > 10 })
	w.waitFor("the small process is within its bound", func() bool {
		held, _ := w.senders["p6"].counts()
		return held == 10 && w.runners["p6"].Status().RankedProcesses == 4
	})
	if w.score("p7", 107) != 0 || !w.senders["p6"].has(99) {
		t.Error("the popularity has reached another region, or a protected destination was evicted")
	}
	// With the ranking received, the popular destination remains cached even if the bound is lowered.
	w.senders["p6"].hold(clusterapi.HeldState{Destination: 107, Bytes: 500, Calls: 1})
	w.runners["p6"].SetBounds(evict.Bounds{Destinations: 2})
	w.waitFor("the small process is within the lowered bound", func() bool { held, _ := w.senders["p6"].counts(); return held == 2 })
	if !w.senders["p6"].has(107) || !w.senders["p6"].has(99) {
		t.Error("the popular or the protected destination was evicted")
	}
}

// TestLearnedStateSurvivesCoordinatorFailure checks that a small process gets the region's learned state of a hundred loaded
// destinations with a few calls, and that the next coordinator gets all learned state after the first one has failed.
func TestLearnedStateSurvivesCoordinatorFailure(t *testing.T) {
	w := startCluster(t, evict.Bounds{})
	for d := range choice.DestinationID(100) {
		for _, p := range []view.Name{"p0", "p2", "p4"} {
			w.senders[p].hold(clusterapi.HeldState{Destination: d, Bytes: 500, Calls: 20})
		}
	}
	full := func() bool { return w.runners[w.currentTree().RegionCoordinator("r0")].Status().SummarySize == 100 }
	w.waitFor("the coordinator has the learned state of all destinations", full)
	for d := range choice.DestinationID(100) {
		w.runners["p6"].RequestLearnedState(d)
		w.runners["p6"].RequestLearnedState(d)
	}
	w.waitFor("the small process has counted all loaded destinations", func() bool { return w.runners["p6"].Status().Loaded == 200 })
	w.openGate()
	w.waitFor("the small sender has received all learned state", func() bool { _, taught := w.senders["p6"].counts(); return taught == 100 })
	s := w.runners["p6"].Status()
	w.mu.Lock()
	if s.Asked != 100 || w.requests > 4 { // two calls for the destinations loaded first, two for all others
		t.Errorf("%d destinations requested in %d calls, want 100 in at most 4: %+v", s.Asked, w.requests, s)
	}
	w.mu.Unlock()
	w.senders["p6"].mu.Lock()
	l := w.senders["p6"].taught[endpoint(5)]
	w.senders["p6"].mu.Unlock()
	if l.LearnedState.Seen > 4 || l.LearnedState.Mean != 50 || l.Age < 0 || math.IsNaN(l.LearnedState.Seen) {
		t.Errorf("received learned state %+v, want it discounted", l)
	}
	w.fail(w.currentTree().RegionCoordinator("r0"))
	w.waitFor("the next coordinator has the learned state of all destinations", full)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.maxMessageSize > 20_000 {
		t.Errorf("the largest message has %d bytes, want at most 20000", w.maxMessageSize)
	}
}

// TestMalformedMessagesChangeNothing checks that counts are rejected and counted as malformed if they cannot be decoded, name another
// process than the caller, or are negative; and that full queues drop entries without blocking.
func TestMalformedMessagesChangeNothing(t *testing.T) {
	w := startCluster(t, evict.Bounds{})
	coordinator := w.currentTree().RegionCoordinator("r0")
	for _, body := range []string{`{`, `{"digest":{"from":{"name":"other","incarnation":1},"seq":1,"processes":1}}`,
		`{"digest":{"from":{"name":"p6","incarnation":1},"seq":1,"processes":1,"d":[1],"n":[-5]}}`} {
		_, err := w.handlers[coordinator][countsPath](context.Background(), view.Instance{Name: "p6", Incarnation: 1}, []byte(body))
		if err == nil {
			t.Errorf("message %s was accepted", body)
		}
	}
	if s := w.runners[coordinator].Status(); s.Malformed != 3 {
		t.Errorf("%d messages counted as malformed, want 3", s.Malformed)
	}
	w.runners["p7"].Close()
	for range maxQueuedLoads + 1 { // the loop has ended, so the queues fill up
		w.runners["p7"].RequestLearnedState(1)
		w.runners["p7"].AddCounts(submitted(1, 1))
	}
	if s := w.runners["p7"].Status(); s.Dropped == 0 {
		t.Error("no dropped entry was counted")
	}
}
