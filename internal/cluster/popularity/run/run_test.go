package run

import (
	"context"
	"math"
	"testing"

	"go.uber.org/goleak"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/evict"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func hand(d choice.DestinationID, n uint64) together.Digest {
	return together.Digest{Counts: []together.Count{{Destination: d, Program: "a", Messages: n},
		{Destination: d, Program: "b", Messages: n}}}
}

// What is handed in at the large ones is popular at the small one of their region, and nothing in the other, whatever
// the clocks; the small one lets go of what nobody is handed in for.
func TestCrowdInOneRegion(t *testing.T) {
	w := start(t, evict.Bounds{Destinations: 10})
	for d := range choice.DestinationID(30) {
		w.senders["p6"].holds(together.Held{Destination: 100 + d, Bytes: 500, Calls: 20})
	}
	w.senders["p6"].holds(together.Held{Destination: 99, Bytes: 500, InUse: true})
	for _, p := range []view.Name{"p0", "p2", "p4"} {
		w.runners[p].Digest(hand(107, 40))
	}
	w.until("the small one of the region knows", func() bool { return w.of("p6", 107) > 10 })
	w.until("it is within its bound", func() bool {
		held, _ := w.senders["p6"].count()
		return held == 10 && w.runners["p6"].Status().Scored == 4
	})
	if w.of("p7", 107) != 0 || !w.senders["p6"].has(99) {
		t.Error("another region's crowd is known, or a pinned one went")
	}
	// Scores are there now: what comes on top goes, and the popular one stays, also with a bound lowered.
	w.senders["p6"].holds(together.Held{Destination: 107, Bytes: 500, Calls: 1})
	w.runners["p6"].SetBounds(evict.Bounds{Destinations: 2})
	w.until("the lower bound holds", func() bool { held, _ := w.senders["p6"].count(); return held == 2 })
	if !w.senders["p6"].has(107) || !w.senders["p6"].has(99) {
		t.Error("the popular or the pinned one went")
	}
}

// A hundred wake at a small one and get back what the region knows, in a few calls; the summary's holder dies, and the
// next has all again.
func TestWakeAndHolderDies(t *testing.T) {
	w := start(t, evict.Bounds{})
	for d := range choice.DestinationID(100) {
		for _, p := range []view.Name{"p0", "p2", "p4"} {
			w.senders[p].holds(together.Held{Destination: d, Bytes: 500, Calls: 20})
		}
	}
	full := func() bool { return w.runners[w.branches().RegionHead("r0")].Status().Summary == 100 }
	w.until("the head has all", full)
	for d := range choice.DestinationID(100) {
		w.runners["p6"].Woke(d)
		w.runners["p6"].Woke(d)
	}
	w.until("all are taken in", func() bool { return w.runners["p6"].Status().Woke == 200 })
	w.open()
	w.until("all taught", func() bool { _, taught := w.senders["p6"].count(); return taught == 100 })
	s := w.runners["p6"].Status()
	w.mu.Lock()
	if s.Asked != 100 || w.asks > 4 { // two of what woke first, two with all the rest
		t.Error("asked more than once, or one by one", s, w.asks)
	}
	w.mu.Unlock()
	w.senders["p6"].mu.Lock()
	l := w.senders["p6"].taught[endpoint(5)]
	w.senders["p6"].mu.Unlock()
	if l.LearnedState.Seen > 4 || l.LearnedState.Mean != 50 || l.Age < 0 || math.IsNaN(l.LearnedState.Seen) {
		t.Error(l)
	}
	w.fall(w.branches().RegionHead("r0"))
	w.until("the next head has all", full)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.most > 20_000 {
		t.Error("a message of", w.most)
	}
}

// Scores of a process that lies about who it is, or cannot be, change nothing.
func TestBadMessages(t *testing.T) {
	w := start(t, evict.Bounds{})
	head := w.branches().RegionHead("r0")
	for _, body := range []string{`{`, `{"digest":{"from":{"name":"other","incarnation":1},"seq":1,"processes":1}}`,
		`{"digest":{"from":{"name":"p6","incarnation":1},"seq":1,"processes":1,"d":[1],"n":[-5]}}`} {
		_, err := w.handlers[head][upPath](context.Background(), view.Life{Name: "p6", Incarnation: 1}, []byte(body))
		if err == nil {
			t.Error("taken:", body)
		}
	}
	if s := w.runners[head].Status(); s.Bad != 3 {
		t.Error(s.Bad)
	}
	w.runners["p7"].Close()
	for range mostWoken + 1 { // nobody takes it any more: never waits, and says what it left out
		w.runners["p7"].Woke(1)
		w.runners["p7"].Digest(hand(1, 1))
	}
	if s := w.runners["p7"].Status(); s.Dropped == 0 {
		t.Error("nothing was left out")
	}
}
