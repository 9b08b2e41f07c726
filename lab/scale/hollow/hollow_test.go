package hollow

import (
	"math"
	"testing"

	"flaxcove/internal/sender/clusterapi"

	"flaxcove/choice"
)

// TestDown: the share that is down is the planned one at all times, and others fall and return.
func TestDown(t *testing.T) {
	l := Load{Destinations: 61_000, Down: 0.027, OutageS: 300, Seed: 1}
	before := map[choice.DestinationID]bool{}
	for _, at := range []float64{0, 60, 3600} {
		down := map[choice.DestinationID]bool{}
		for d := range choice.DestinationID(l.Destinations) {
			if l.DownAt(d, at) {
				down[d] = true
			}
		}
		if share := float64(len(down)) / float64(l.Destinations); math.Abs(share-l.Down) > 0.003 {
			t.Errorf("at %g s %.4f are down, of %.4f", at, share, l.Down)
		}
		both := 0
		for d := range down {
			if before[d] {
				both++
			}
		}
		if len(before) > 0 && both == len(down) {
			t.Errorf("at %g s the same are down", at)
		}
		before = down
	}
}

// TestDigest: a digest counts the messages of half a second, tells each listed place once in ten, and what waits.
func TestDigest(t *testing.T) {
	l := Load{Destinations: 1000, Zones: 8, Rate: 400, Down: 0.05, OutageS: 1e6, Ends: 2, Seed: 1}
	s := newObservations(&l, 3, 1)
	sent, held, listed := uint64(0), 0, map[locality]int{}
	for range 10 {
		for _, r := range s.digest(0, func(int) bool { return false }).Rows {
			sent += r.Sent
			held = max(held, r.Waiting)
			if r.Sent != r.Done+r.Failed || r.Failed > 0 != l.DownAt(r.Destination, 0) && r.Sent > 0 {
				t.Errorf("row %+v", r)
			}
			listed[locality{r.Destination, int(r.Zone[1] - '0')}]++
		}
	}
	if sent < 1600 || sent > 2200 {
		t.Errorf("%d calls in 5 s at 400 a second, of which 4%% wait", sent)
	}
	if held == 0 || len(listed) != 2000 {
		t.Errorf("%d held, %d places told", held, len(listed))
	}
	fallen := s.digest(0, func(zone int) bool { return zone == 3 })
	for _, r := range fallen.Rows {
		if r.Zone == "z3" && r.Done > 0 {
			t.Errorf("a call to a zone that fell was done: %+v", r)
		}
	}
}

// TestAppliedSurvivesRestart: a member that was killed comes back with what it had applied, as a sender's journal tells. Without
// it a purge that has lapsed meanwhile kept a fleet from agreeing for good.
func TestAppliedSurvivesRestart(t *testing.T) {
	load := &Load{Destinations: 4, Rate: 1, Zones: 1, Ends: 1}
	clock := func() float64 { return 0 }
	first := New(load, 0, 1, 0, clock, func(int) bool { return false })
	applied := make(chan uint64, 1)
	first.Purge([]clusterapi.Purge{{Seq: 3}}, func(seq uint64, _ []clusterapi.Found) { applied <- seq })
	if seq := <-applied; seq != 3 {
		t.Fatalf("applied up to %d", seq)
	}
	if next := New(load, 0, 1, first.Applied(), clock, func(int) bool { return false }); next.Applied() != 3 {
		t.Errorf("the next life has applied up to %d", next.Applied())
	}
}
