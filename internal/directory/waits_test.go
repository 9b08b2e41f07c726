package directory

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// served plays senders that all lose their watch at once against a discovery that takes some calls a second, to which
// refused ones count. It tells how many have a watch again after a minute.
func served(senders int, perSecond float64, ceiling func(failures, senders int) time.Duration) (watches int) {
	chance := rand.New(rand.NewPCG(7, 7))
	type sender struct {
		asks     time.Duration
		failures int
	}
	var waiting []sender
	for range senders {
		waiting = append(waiting, sender{asks: time.Duration(chance.Int64N(int64(ceiling(0, senders))))})
	}
	tokens, at := 0.0, time.Duration(0)
	for len(waiting) > 0 {
		slices.SortFunc(waiting, func(a, b sender) int { return cmp.Compare(a.asks, b.asks) })
		next := waiting[0]
		waiting = waiting[1:]
		if next.asks > time.Minute {
			break
		}
		tokens = max(-perSecond, min(perSecond, tokens+perSecond*(next.asks-at).Seconds())-1)
		if at = next.asks; tokens >= 0 {
			watches++
			continue
		}
		next.failures++
		next.asks += time.Duration(chance.Int64N(int64(ceiling(next.failures, senders))))
		waiting = append(waiting, next)
	}
	return watches
}

// A discovery that is overbooked by the calls of all comes out of it, since their waits follow from how many they are.
func TestWatchesComeBack(t *testing.T) {
	spread := func(failures, senders int) time.Duration {
		w := standing(senders)
		return w.ceiling(failures)
	}
	for _, senders := range []int{1, 3, 80, 200} {
		if n := served(senders, 12, spread); n < senders*9/10 {
			t.Errorf("%d senders: %d have a watch again", senders, n)
		}
	}
	// The waits that each sender alone would choose leave all of them without.
	if n := served(80, 12, func(int, int) time.Duration { return standing(1).Soon }); n > 20 {
		t.Errorf("%d watches with short waits: the discovery played here is not overbooked", n)
	}
}
