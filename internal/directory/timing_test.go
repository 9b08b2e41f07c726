package directory

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// watchesAfterMinute simulates senders that all lose their watch at the same time. Discovery serves perSecond calls per
// second, and rejected calls use up this capacity as well. The function returns how many senders have a watch again
// after a minute.
func watchesAfterMinute(senders int, perSecond float64, maxWait func(failures, senders int) time.Duration) (watches int) {
	random := rand.New(rand.NewPCG(7, 7))
	type sender struct {
		nextCall time.Duration
		failures int
	}
	var waiting []sender
	for range senders {
		waiting = append(waiting, sender{nextCall: time.Duration(random.Int64N(int64(maxWait(0, senders))))})
	}
	tokens, at := 0.0, time.Duration(0)
	for len(waiting) > 0 {
		slices.SortFunc(waiting, func(a, b sender) int { return cmp.Compare(a.nextCall, b.nextCall) })
		next := waiting[0]
		waiting = waiting[1:]
		if next.nextCall > time.Minute {
			break
		}
		tokens = max(-perSecond, min(perSecond, tokens+perSecond*(next.nextCall-at).Seconds())-1)
		if at = next.nextCall; tokens >= 0 {
			watches++
			continue
		}
		next.failures++
		next.nextCall += time.Duration(random.Int64N(int64(maxWait(next.failures, senders))))
		waiting = append(waiting, next)
	}
	return watches
}

// TestWatchesComeBack checks that a discovery recovers from an overload by the calls of all senders, because their waits
// grow with the number of senders.
func TestWatchesComeBack(t *testing.T) {
	spread := func(failures, senders int) time.Duration {
		w := defaultTiming(senders)
		return w.maxWait(failures)
	}
	for _, senders := range []int{1, 3, 80, 200} {
		if n := watchesAfterMinute(senders, 12, spread); n < senders*9/10 {
			t.Errorf("%d senders: %d have a watch again", senders, n)
		}
	}
	// With the waits of a single sender nearly all senders stay without a watch; otherwise the simulated discovery would
	// not be overloaded, and the checks above would show nothing.
	if n := watchesAfterMinute(80, 12, func(int, int) time.Duration { return defaultTiming(1).ReconnectSpread }); n > 20 {
		t.Errorf("%d senders have a watch again with short waits: the simulated discovery is not overloaded", n)
	}
}
