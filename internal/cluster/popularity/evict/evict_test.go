package evict

import (
	"slices"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/sender/together"
)

func hold(n int) (all []together.Held) {
	for d := 1; d <= n; d++ {
		all = append(all, together.Held{Destination: choice.DestinationID(d), Bytes: 1000, Calls: 20})
	}
	return all
}

// The higher its number the more popular it is.
func byNumber(d choice.DestinationID) float64 { return float64(d) }

func TestLeastWorthGoesAndPinnedNever(t *testing.T) {
	e, held := Make(), hold(6)
	held[0].InUse = true   // 1, the least popular
	held[2].Calls = 0      // 3: as dear as 1.5 of those learnt
	held[4].Bytes = 10_000 // 5: for its bytes worth less than 1
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
		if !slices.Equal(got.Go, c.want) || got.Over != c.over {
			t.Error(c, got)
		}
	}
}

// A bound lowered while it runs lets go of what is beyond it at once, and of nothing more.
func TestBoundLowered(t *testing.T) {
	e := Make()
	if c := e.Choose(0, hold(100), Bounds{Destinations: 100}, byNumber); c.Go != nil {
		t.Fatal(c)
	}
	c := e.Choose(0, hold(100), Bounds{Destinations: 40}, byNumber)
	if len(c.Go) != 60 || slices.Max(c.Go) != 60 || c.Over {
		t.Error(c)
	}
}

// What was let go and woke again stands above its like for a minute: two of about the same score do not take turns.
func TestNotWhatJustCameBack(t *testing.T) {
	e, score := Make(), func(d choice.DestinationID) float64 { return 10 - float64(d)/10 }
	e.Went(0, 3)
	e.Woke(time.Second, 3)
	c := e.Choose(2*time.Second, hold(3), Bounds{Destinations: 2}, score)
	if !slices.Equal(c.Go, []choice.DestinationID{2}) {
		t.Error("it went again", c)
	}
	c = e.Choose(2*backFor, hold(3), Bounds{Destinations: 2}, score)
	if !slices.Equal(c.Go, []choice.DestinationID{3}) {
		t.Error("for good", c)
	}
	for d := range choice.DestinationID(3 * mostGone) {
		e.Went(0, d)
		e.Woke(0, d/2)
	}
	if len(e.gone) > mostGone || len(e.back) > mostGone {
		t.Error(len(e.gone), len(e.back))
	}
}

// A hundred that wake in one minute do not drive out what the region knows to be popular.
func TestHundredWake(t *testing.T) {
	e, held := Make(), hold(50)
	score := func(d choice.DestinationID) float64 {
		if d <= 50 {
			return 30
		}
		return 1
	}
	for n := range 100 {
		now := time.Duration(n) * 600 * time.Millisecond
		d := choice.DestinationID(1000 + n)
		e.Woke(now, d)
		held = append(held, together.Held{Destination: d, Bytes: 1000, Calls: 1})
		for _, gone := range e.Choose(now, held, Bounds{Destinations: 50}, score).Go {
			if gone <= 50 {
				t.Fatal("a popular one went for one that woke", gone)
			}
			e.Went(now, gone)
			held = slices.DeleteFunc(held, func(h together.Held) bool { return h.Destination == gone })
		}
	}
	if len(held) != 50 {
		t.Error(len(held))
	}
}
