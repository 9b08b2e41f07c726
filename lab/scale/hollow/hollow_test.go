package hollow

import (
	"math"
	"testing"

	"flaxcove/internal/sender/clusterapi"

	"flaxcove/choice"
)

// TestDown checks that the configured share of destinations is down at all times, and that the destinations that are down change.
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
			t.Errorf("at %g s the share %.4f is down, want %.4f", at, share, l.Down)
		}
		both := 0
		for d := range down {
			if before[d] {
				both++
			}
		}
		if len(before) > 0 && both == len(down) {
			t.Errorf("at %g s the same destinations are down as before", at)
		}
		before = down
	}
}

// TestDigest checks that a digest counts the messages of half a second, that ten digests report each listed locality, and that
// waiting messages are reported.
func TestDigest(t *testing.T) {
	l := Load{Destinations: 1000, Zones: 8, Rate: 400, Down: 0.05, OutageS: 1e6, EndpointZones: 2, Seed: 1}
	s := newObservations(&l, 3, 1)
	sent, waiting, listed := uint64(0), 0, map[locality]int{}
	for range 10 {
		for _, r := range s.digest(0, func(int) bool { return false }).Rows {
			sent += r.Sent
			waiting = max(waiting, r.Waiting)
			if r.Sent != r.Done+r.Failed || r.Failed > 0 != l.DownAt(r.Destination, 0) && r.Sent > 0 {
				t.Errorf("inconsistent row %+v", r)
			}
			listed[locality{r.Destination, int(r.Zone[1] - '0')}]++
		}
	}
	if sent < 1600 || sent > 2200 {
		t.Errorf("%d calls in 5 s at 400 messages a second, of which 4%% wait", sent)
	}
	if waiting == 0 || len(listed) != 2000 {
		t.Errorf("at most %d messages waiting, %d localities reported", waiting, len(listed))
	}
	digest := s.digest(0, func(zone int) bool { return zone == 3 })
	for _, r := range digest.Rows {
		if r.Zone == "z3" && r.Done > 0 {
			t.Errorf("a call to a zone that does not answer was done: %+v", r)
		}
	}
}

// TestAppliedSurvivesRestart checks that a restarted member still reports the purges that its earlier incarnation applied, as a real
// sender does from its journal. Otherwise, if such a purge lapsed in the meantime, the members never agreed again.
func TestAppliedSurvivesRestart(t *testing.T) {
	load := &Load{Destinations: 4, Rate: 1, Zones: 1, EndpointZones: 1}
	clock := func() float64 { return 0 }
	first := New(load, 0, 1, 0, clock, func(int) bool { return false })
	applied := make(chan uint64, 1)
	first.Purge([]clusterapi.Purge{{Seq: 3}}, func(seq uint64, _ []clusterapi.PurgeResult) { applied <- seq })
	if seq := <-applied; seq != 3 {
		t.Fatalf("applied purges up to %d, want 3", seq)
	}
	if next := New(load, 0, 1, first.LastAppliedSeq(), clock, func(int) bool { return false }); next.LastAppliedSeq() != 3 {
		t.Errorf("the next incarnation reports purges applied up to %d, want 3", next.LastAppliedSeq())
	}
}
