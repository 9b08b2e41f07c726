package effect

import (
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/sender/together"
)

func TestMatches(t *testing.T) {
	five := choice.DestinationID(5)
	for _, c := range []struct {
		name string
		m    together.Match
		want bool
	}{
		{"empty names nothing", together.Match{}, false},
		{"destination", together.Match{Destination: &five}, true},
		{"workload", together.Match{Workload: "orders"}, true},
		{"other workload", together.Match{Destination: &five, Workload: "mail"}, false},
		{"key", together.Match{Key: "order-17"}, true},
		{"key is whole", together.Match{Key: "order-1"}, false},
		{"prefix", together.Match{KeyPrefix: "order-1"}, true},
		{"all", together.Match{Destination: &five, Workload: "orders", Key: "order-17", KeyPrefix: "order"}, true},
	} {
		if got := Matches(c.m, 5, "orders", "order-17"); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	if !Forgets(together.Match{Destination: &five}, 5) || Forgets(together.Match{Destination: &five}, 6) ||
		Forgets(together.Match{Destination: &five, Key: "k"}, 5) || Forgets(together.Match{Workload: "orders"}, 5) {
		t.Error("what was learnt is named by its destination alone")
	}
}

// Two purges overlap: each notice gets one final answer, and none is counted as withdrawn twice.
func TestOverlap(t *testing.T) {
	var first, second together.Found
	after := map[State]State{Waiting: Withdrawn, Out: Out, MayRun: Withdrawn, Delivered: Delivered, Ended: Ended}
	for _, s := range []State{Waiting, Out, MayRun, Delivered, Ended} {
		Of(s, true).Add(&first)
		Of(after[s], true).Add(&second)
		if f := Of(s, false); f != Untouched {
			t.Errorf("state %d taken on after the purge: %d", s, f)
		}
	}
	if first != (together.Found{NotBegun: 1, MayRun: 2, Delivered: 2}) {
		t.Errorf("first: %+v", first)
	}
	if second != (together.Found{MayRun: 1, Delivered: 2}) {
		t.Errorf("second: %+v", second)
	}
}

func TestCutAndLastCall(t *testing.T) {
	if !Before(3*time.Second, 2*time.Second) || Before(time.Second, 2*time.Second) || !Before(0, -time.Second) {
		t.Error("the cut is at the purge's age")
	}
	for r, want := range map[choice.Result]Back{choice.Done: AsDelivered, choice.Full: AsWithdrawn,
		choice.ConnectFailed: AsWithdrawn, choice.TimedOut: AsMayRun, choice.Reset: AsMayRun, choice.Spoilt: AsMayRun,
		choice.Cancelled: AsMayRun, choice.Errored: AsMayRun} {
		if got := Ends(r, false); got != want {
			t.Errorf("result %d: %d", r, got)
		}
		if r != choice.Done && Ends(r, true) != AsMayRun {
			t.Errorf("result %d after a call that may have run: %d", r, Ends(r, true))
		}
	}
}
