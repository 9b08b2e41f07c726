package evict

import (
	"slices"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/sender/clusterapi"
)

func heldDestinations(n int) (all []clusterapi.Held) {
	for d := 1; d <= n; d++ {
		all = append(all, clusterapi.Held{Destination: choice.DestinationID(d), Bytes: 1000, Calls: 20})
	}
	return all
}

// byNumber has the higher number more popular.
func byNumber(d choice.DestinationID) float64 { return float64(d) }

func TestLowestWeightIsEvictedAndProtectedNever(t *testing.T) {
	e, held := New(), heldDestinations(6)
	held[0].InUse = true   // 1, the least popular
	held[2].Calls = 0      // 3: weighs as much as 1.5 with learned state
	held[4].Bytes = 10_000 // 5: for its bytes weighs less than 1
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
			t.Error(c, got)
		}
	}
}

// A bound lowered at run time evicts what is beyond it at once, and nothing more.
func TestLoweredBound(t *testing.T) {
	e := New()
	if c := e.Choose(0, heldDestinations(100), Bounds{Destinations: 100}, byNumber); c.Evict != nil {
		t.Fatal(c)
	}
	c := e.Choose(0, heldDestinations(100), Bounds{Destinations: 40}, byNumber)
	if len(c.Evict) != 60 || slices.Max(c.Evict) != 60 || c.BoundExceeded {
		t.Error(c)
	}
}

// A destination that was evicted and loaded again is favoured for a minute: two of about the same score do not
// alternate.
func TestReturnedDestinationIsFavoured(t *testing.T) {
	e, score := New(), func(d choice.DestinationID) float64 { return 10 - float64(d)/10 }
	e.Evicted(0, 3)
	e.Loaded(time.Second, 3)
	c := e.Choose(2*time.Second, heldDestinations(3), Bounds{Destinations: 2}, score)
	if !slices.Equal(c.Evict, []choice.DestinationID{2}) {
		t.Error("it was evicted again", c)
	}
	c = e.Choose(2*returnWindow, heldDestinations(3), Bounds{Destinations: 2}, score)
	if !slices.Equal(c.Evict, []choice.DestinationID{3}) {
		t.Error("still favoured after the window", c)
	}
	for d := range choice.DestinationID(3 * maxTracked) {
		e.Evicted(0, d)
		e.Loaded(0, d/2)
	}
	if len(e.evictedAt) > maxTracked || len(e.returnedAt) > maxTracked {
		t.Error(len(e.evictedAt), len(e.returnedAt))
	}
}

// A hundred destinations loaded within a minute do not evict those that the region knows to be popular.
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
		held = append(held, clusterapi.Held{Destination: d, Bytes: 1000, Calls: 1})
		for _, gone := range e.Choose(now, held, Bounds{Destinations: 50}, score).Evict {
			if gone <= 50 {
				t.Fatal("a popular destination was evicted for one just loaded", gone)
			}
			e.Evicted(now, gone)
			held = slices.DeleteFunc(held, func(h clusterapi.Held) bool { return h.Destination == gone })
		}
	}
	if len(held) != 50 {
		t.Error(len(held))
	}
}
