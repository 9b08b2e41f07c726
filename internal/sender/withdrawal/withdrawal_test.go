package withdrawal

import (
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/sender/clusterapi"
)

func TestTakes(t *testing.T) {
	five := choice.DestinationID(5)
	for _, c := range []struct {
		name string
		m    clusterapi.Match
		want bool
	}{
		{"empty names nothing", clusterapi.Match{}, false},
		{"destination", clusterapi.Match{Destination: &five}, true},
		{"workload", clusterapi.Match{Class: "orders"}, true},
		{"other workload", clusterapi.Match{Destination: &five, Class: "mail"}, false},
		{"key", clusterapi.Match{Key: "order-17"}, true},
		{"key is whole", clusterapi.Match{Key: "order-1"}, false},
		{"prefix", clusterapi.Match{KeyPrefix: "order-1"}, true},
		{"other prefix", clusterapi.Match{KeyPrefix: "order-2"}, false},
		{"all", clusterapi.Match{Destination: &five, Class: "orders", Key: "order-17", KeyPrefix: "order"}, true},
	} {
		order := Order{Purge: clusterapi.Purge{Match: c.m}}
		if got := order.Matches(5, "orders", "order-17", 0); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
		if order.LearnedState = true; order.Matches(5, "orders", "order-17", 0) {
			t.Errorf("%s: a purge of what was learnt takes no message", c.name)
		}
	}
	forgets := func(m clusterapi.Match, d choice.DestinationID) bool {
		return (&Order{Purge: clusterapi.Purge{Match: m, LearnedState: true}}).DropsLearned(d)
	}
	if !forgets(clusterapi.Match{Destination: &five}, 5) || forgets(clusterapi.Match{Destination: &five}, 6) ||
		forgets(clusterapi.Match{Destination: &five, Key: "k"}, 5) || forgets(clusterapi.Match{Class: "orders"}, 5) {
		t.Error("what was learnt is named by its destination alone")
	}
	if (&Order{Purge: clusterapi.Purge{Match: clusterapi.Match{Destination: &five}}}).DropsLearned(5) {
		t.Error("a purge of messages forgets nothing")
	}
}

// Two purges overlap: each message gets one final answer, and none is counted as withdrawn twice.
func TestOverlap(t *testing.T) {
	var first, second clusterapi.Found
	order := Order{Purge: clusterapi.Purge{Match: clusterapi.Match{Key: "k"}}, Cut: 10}
	fate := func(s State, takenAt choice.Time) Fate {
		if !order.Matches(5, "orders", "k", takenAt) {
			return Untouched
		}
		return s.Fate()
	}
	after := map[State]State{Waiting: Withdrawn, InFlight: InFlight, MayRun: Withdrawn, Delivered: Delivered, Ended: Ended, Rejected: Rejected}
	for _, s := range []State{Waiting, InFlight, MayRun, Delivered, Ended, Rejected} {
		fate(s, 10).Add(&first)
		fate(after[s], 10).Add(&second)
		if f := fate(s, 11); f != Untouched {
			t.Errorf("state %d taken on after the purge: %d", s, f)
		}
	}
	if first != (clusterapi.Found{NotBegun: 1, MayRun: 2, Delivered: 2}) {
		t.Errorf("first: %+v", first)
	}
	if second != (clusterapi.Found{MayRun: 1, Delivered: 2}) {
		t.Errorf("second: %+v", second)
	}
}

func TestCutAndLastCall(t *testing.T) {
	const tick = 100 * time.Microsecond // of choice.Time
	before := func(held, age time.Duration) bool {
		now := time.Hour
		order := Since(clusterapi.Purge{Match: clusterapi.Match{Key: "k"}, Age: age}, choice.Time(now/tick))
		return order.Matches(5, "orders", "k", choice.Time((now-held)/tick))
	}
	if !before(3*time.Second, 2*time.Second) || before(time.Second, 2*time.Second) || !before(0, -time.Second) {
		t.Error("the cut is at the purge's age")
	}
	if !before(2*time.Second, 2*time.Second+tick/2) {
		t.Error("an age that is no whole number of ticks spares what was there")
	}
	for r, want := range map[choice.Result]CallEnd{choice.Done: AsAnswered, choice.Rejected: AsWithdrawn,
		choice.ConnectFailed: AsWithdrawn, choice.TimedOut: AsMayRun, choice.Reset: AsMayRun, choice.Unreadable: AsMayRun,
		choice.Cancelled: AsMayRun, choice.Errored: AsMayRun, choice.NotRun: AsWithdrawn} {
		last := choice.Outcome{Result: r, Final: r == choice.Done}
		if got := Ends(last, false); got != want {
			t.Errorf("result %d: %d", r, got)
		}
		if got := Ends(last, true); r != choice.Done && got != AsMayRun {
			t.Errorf("result %d after a call that may have run: %d", r, got)
		}
	}
	if got := Ends(choice.Outcome{Result: choice.NotRun, Final: true}, true); got != AsAnswered {
		t.Errorf("an endpoint that wants it no more: %d", got)
	}
}
