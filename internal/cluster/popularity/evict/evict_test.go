package evict

import (
	"slices"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/sender/clusterapi"
)

// heldDestinations returns destinations 1 to n with equal sizes and numbers of calls.
func heldDestinations(n int) (all []clusterapi.HeldState) {
	for d := 1; d <= n; d++ {
		all = append(all, clusterapi.HeldState{Destination: choice.DestinationID(d), Bytes: 1000, Calls: 20})
	}
	return all
}

// byNumber is a score by which a destination with a higher number is more popular.
func byNumber(d choice.DestinationID) float64 { return float64(d) }

// TestLowestWeightIsEvictedAndProtectedNever checks the order of eviction, that it stops at the bounds, and that a protected
// destination is never evicted.
func TestLowestWeightIsEvictedAndProtectedNever(t *testing.T) {
	e, held := New(), heldDestinations(6)
	held[0].InUse = true   // destination 1, the least popular one
	held[2].Calls = 0      // destination 3 weighs as much as one with score 1.5 and learned state
	held[4].Bytes = 10_000 // destination 5 weighs less than destination 1, because of its bytes
	for _, c := range []struct {
		b    Bounds
		want []choice.DestinationID
		over bool
	}{
		{Bounds{}, nil, false},
		{Bounds{Destinations: 6}, nil, false},
		{Bounds{Destinations: 3}, []choice.DestinationID{5, 3, 2}, false},
		{Bounds{Bytes: 5000}, []choice.DestinationID{5}, false},
		{Bounds{Bytes: 500}, []choice.DestinationID{5, 3, 2, 4, 6}, true},
	} {
		got := e.Choose(0, held, c.b, byNumber)
		if !slices.Equal(got.Evict, c.want) || got.BoundExceeded != c.over {
			t.Errorf("case %v: selected %v", c, got)
		}
	}
}

// TestLoweredBound checks that lowering a bound evicts what exceeds it at once, and nothing more.
func TestLoweredBound(t *testing.T) {
	e := New()
	if c := e.Choose(0, heldDestinations(100), Bounds{Destinations: 100}, byNumber); c.Evict != nil {
		t.Fatalf("selected %v within the bound", c)
	}
	c := e.Choose(0, heldDestinations(100), Bounds{Destinations: 40}, byNumber)
	if len(c.Evict) != 60 || slices.Max(c.Evict) != 60 || c.BoundExceeded {
		t.Errorf("selected %v, want destinations 1 to 60", c)
	}
}

// TestReturnedDestinationIsFavoured checks that a destination that was evicted and loaded again has a higher weight within
// returnWindow, so that two destinations with similar scores do not alternate; and that the maps of an Evictor are bounded.
func TestReturnedDestinationIsFavoured(t *testing.T) {
	e, score := New(), func(d choice.DestinationID) float64 { return 10 - float64(d)/10 }
	e.Evicted(0, 3)
	e.Loaded(time.Second, 3)
	c := e.Choose(2*time.Second, heldDestinations(3), Bounds{Destinations: 2}, score)
	if !slices.Equal(c.Evict, []choice.DestinationID{2}) {
		t.Errorf("within the window: selected %v, want only destination 2", c)
	}
	c = e.Choose(2*returnWindow, heldDestinations(3), Bounds{Destinations: 2}, score)
	if !slices.Equal(c.Evict, []choice.DestinationID{3}) {
		t.Errorf("after the window: selected %v, want only destination 3", c)
	}
	for d := range choice.DestinationID(3 * maxTracked) {
		e.Evicted(0, d)
		e.Loaded(0, d/2)
	}
	if len(e.evictedAt) > maxTracked || len(e.returnedAt) > maxTracked {
		t.Errorf("%d evicted and %d returned destinations are tracked, want at most %d of each", len(e.evictedAt), len(e.returnedAt), maxTracked)
	}
}

// TestPopularSurvivesManyLoads checks that a hundred unpopular destinations loaded within a minute do not displace popular ones.
func TestPopularSurvivesManyLoads(t *testing.T) {
	e, held := New(), heldDestinations(50)
	score := func(d choice.DestinationID) float64 {
		if d <= 50 {
			return 30
		}
		return 1
	}
	for n := range 100 {
		now := time.Duration(n) * 600 * time.Millisecond
		d := choice.DestinationID(1000 + n)
		e.Loaded(now, d)
		held = append(held, clusterapi.HeldState{Destination: d, Bytes: 1000, Calls: 1})
		for _, gone := range e.Choose(now, held, Bounds{Destinations: 50}, score).Evict {
			if gone <= 50 {
				t.Fatalf("popular destination %d was evicted", gone)
			}
			e.Evicted(now, gone)
			held = slices.DeleteFunc(held, func(h clusterapi.HeldState) bool { return h.Destination == gone })
		}
	}
	if len(held) != 50 {
		t.Errorf("%d destinations are cached, want 50", len(held))
	}
}
