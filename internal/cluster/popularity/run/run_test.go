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

func handedIn(d choice.DestinationID, n uint64) clusterapi.Digest {
	return clusterapi.Digest{Counts: []clusterapi.Count{{Destination: d, Client: "a", Messages: n},
		{Destination: d, Client: "b", Messages: n}}}
}

// What is handed in at the large processes is popular at the small one of their region, and unknown in the other,
// whatever their clocks; the small one evicts what nobody hands in messages for.
func TestPopularityStaysInItsRegion(t *testing.T) {
	w := startCluster(t, evict.Bounds{Destinations: 10})
	for d := range choice.DestinationID(30) {
		w.senders["p6"].hold(clusterapi.Held{Destination: 100 + d, Bytes: 500, Calls: 20})
	}
	w.senders["p6"].hold(clusterapi.Held{Destination: 99, Bytes: 500, InUse: true})
	for _, p := range []view.Name{"p0", "p2", "p4"} {
		w.runners[p].Digest(handedIn(107, 40))
	}
	w.waitFor("the small one of the region knows", func() bool { return w.score("p6", 107) > 10 })
	w.waitFor("it is within its bound", func() bool {
		held, _ := w.senders["p6"].counts()
		return held == 10 && w.runners["p6"].Status().RankedProcesses == 4
	})
	if w.score("p7", 107) != 0 || !w.senders["p6"].has(99) {
		t.Error("another region's popularity is known, or a protected one was evicted")
	}
	// The ranking is there now: what is loaded on top is evicted, and the popular one stays, also with a bound lowered.
	w.senders["p6"].hold(clusterapi.Held{Destination: 107, Bytes: 500, Calls: 1})
	w.runners["p6"].SetBounds(evict.Bounds{Destinations: 2})
	w.waitFor("the lower bound holds", func() bool { held, _ := w.senders["p6"].counts(); return held == 2 })
	if !w.senders["p6"].has(107) || !w.senders["p6"].has(99) {
		t.Error("the popular or the protected one was evicted")
	}
}

// A hundred destinations loaded at a small process get back what the region knows, in a few calls; the region's
// coordinator fails, and the next one gets all lessons again.
func TestLearnedStateSurvivesCoordinatorFailure(t *testing.T) {
	w := startCluster(t, evict.Bounds{})
	for d := range choice.DestinationID(100) {
		for _, p := range []view.Name{"p0", "p2", "p4"} {
			w.senders[p].hold(clusterapi.Held{Destination: d, Bytes: 500, Calls: 20})
		}
	}
	full := func() bool { return w.runners[w.currentTree().RegionHead("r0")].Status().SummarySize == 100 }
	w.waitFor("the head has all", full)
	for d := range choice.DestinationID(100) {
		w.runners["p6"].Woke(d)
		w.runners["p6"].Woke(d)
	}
	w.waitFor("all are taken in", func() bool { return w.runners["p6"].Status().Loaded == 200 })
	w.openGate()
	w.waitFor("all taught", func() bool { _, taught := w.senders["p6"].counts(); return taught == 100 })
	s := w.runners["p6"].Status()
	w.mu.Lock()
	if s.Asked != 100 || w.requests > 4 { // two for what was loaded first, two for all the rest
		t.Error("asked more than once, or in single requests", s, w.requests)
	}
	w.mu.Unlock()
	w.senders["p6"].mu.Lock()
	l := w.senders["p6"].taught[endpoint(5)]
	w.senders["p6"].mu.Unlock()
	if l.LearnedState.Seen > 4 || l.LearnedState.Mean != 50 || l.Age < 0 || math.IsNaN(l.LearnedState.Seen) {
		t.Error(l)
	}
	w.fail(w.currentTree().RegionHead("r0"))
	w.waitFor("the next head has all", full)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.maxMessageSize > 20_000 {
		t.Error("a message is too large:", w.maxMessageSize)
	}
}

// Counts of a process that lies about who it is, or that are impossible, change nothing.
func TestMalformedMessagesChangeNothing(t *testing.T) {
	w := startCluster(t, evict.Bounds{})
	head := w.currentTree().RegionHead("r0")
	for _, body := range []string{`{`, `{"digest":{"from":{"name":"other","incarnation":1},"seq":1,"processes":1}}`,
		`{"digest":{"from":{"name":"p6","incarnation":1},"seq":1,"processes":1,"d":[1],"n":[-5]}}`} {
		_, err := w.handlers[head][countsPath](context.Background(), view.Life{Name: "p6", Incarnation: 1}, []byte(body))
		if err == nil {
			t.Error("accepted:", body)
		}
	}
	if s := w.runners[head].Status(); s.Malformed != 3 {
		t.Error(s.Malformed)
	}
	w.runners["p7"].Close()
	for range maxQueuedLoads + 1 { // the loop has ended: it never waits, and counts what it dropped
		w.runners["p7"].Woke(1)
		w.runners["p7"].Digest(handedIn(1, 1))
	}
	if s := w.runners["p7"].Status(); s.Dropped == 0 {
		t.Error("nothing was dropped")
	}
}
