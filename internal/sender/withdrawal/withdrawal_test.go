package withdrawal

import (
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/sender/clusterapi"
)

// TestMatches checks which messages a match selects, and which destinations' learned state it drops.
func TestMatches(t *testing.T) {
	five := choice.DestinationID(5)
	for _, c := range []struct {
		name string
		m    clusterapi.Match
		want bool
	}{
		{"empty matches nothing", clusterapi.Match{}, false},
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
			t.Errorf("%s: Matches returned %v, want %v", c.name, got, c.want)
		}
		if order.LearnedState = true; order.Matches(5, "orders", "order-17", 0) {
			t.Errorf("%s: a purge of learned state matches a message", c.name)
		}
	}
	drops := func(m clusterapi.Match, d choice.DestinationID) bool {
		return (&Order{Purge: clusterapi.Purge{Match: m, LearnedState: true}}).DropsLearned(d)
	}
	if !drops(clusterapi.Match{Destination: &five}, 5) || drops(clusterapi.Match{Destination: &five}, 6) ||
		drops(clusterapi.Match{Destination: &five, Key: "k"}, 5) || drops(clusterapi.Match{Class: "orders"}, 5) {
		t.Error("learned state must be dropped only by a match of its destination alone")
	}
	if (&Order{Purge: clusterapi.Purge{Match: clusterapi.Match{Destination: &five}}}).DropsLearned(5) {
		t.Error("a purge of messages drops learned state")
	}
}

// TestOverlap checks two purges that match the same messages. The second purge does not count the
// messages that the first has ended. The test leaves a message whose call is in flight in that state, so both purges count
// it as one that may have run.
func TestOverlap(t *testing.T) {
	var first, second clusterapi.PurgeResult
	order := Order{Purge: clusterapi.Purge{Match: clusterapi.Match{Key: "k"}}, Cut: 10}
	fate := func(s State, acceptedAt choice.Time) Fate {
		if !order.Matches(5, "orders", "k", acceptedAt) {
			return Untouched
		}
		return s.Fate()
	}
	after := map[State]State{Waiting: Withdrawn, InFlight: InFlight, MayRun: Withdrawn, Delivered: Delivered, Ended: Ended, Rejected: Rejected}
	for _, s := range []State{Waiting, InFlight, MayRun, Delivered, Ended, Rejected} {
		fate(s, 10).Add(&first)
		fate(after[s], 10).Add(&second)
		if f := fate(s, 11); f != Untouched {
			t.Errorf("message in state %d accepted after the purge: fate %d, want Untouched", s, f)
		}
	}
	if first != (clusterapi.PurgeResult{NotBegun: 1, MayRun: 2, Delivered: 2}) {
		t.Errorf("the first purge found %+v", first)
	}
	if second != (clusterapi.PurgeResult{MayRun: 1, Delivered: 2}) {
		t.Errorf("the second purge found %+v", second)
	}
}

// TestCutAndLastCall checks the cut that NewOrder computes, and the end of a message for each outcome of its last call.
func TestCutAndLastCall(t *testing.T) {
	const tick = 100 * time.Microsecond // the unit of choice.Time
	// matched reports whether a purge of this age matches a message that has been held for the given time.
	matched := func(held, age time.Duration) bool {
		now := time.Hour
		order := NewOrder(clusterapi.Purge{Match: clusterapi.Match{Key: "k"}, Age: age}, choice.Time(now/tick))
		return order.Matches(5, "orders", "k", choice.Time((now-held)/tick))
	}
	if !matched(3*time.Second, 2*time.Second) || matched(time.Second, 2*time.Second) || !matched(0, -time.Second) {
		t.Error("the cut is not at the purge's age")
	}
	if !matched(2*time.Second, 2*time.Second+tick/2) {
		t.Error("a purge whose age is not a whole number of ticks does not match a message accepted before it")
	}
	for r, want := range map[choice.Result]HeldEnd{choice.Done: AsAnswered, choice.Rejected: AsWithdrawn,
		choice.ConnectFailed: AsWithdrawn, choice.TimedOut: AsMayRun, choice.Reset: AsMayRun, choice.Unreadable: AsMayRun,
		choice.Cancelled: AsMayRun, choice.Errored: AsMayRun, choice.NotRun: AsWithdrawn} {
		last := choice.Outcome{Result: r, Final: r == choice.Done}
		if got := EndOfHeld(last, false); got != want {
			t.Errorf("last call with result %d: the message ends %d, want %d", r, got, want)
		}
		if got := EndOfHeld(last, true); r != choice.Done && got != AsMayRun {
			t.Errorf("last call with result %d after a call that may have run: the message ends %d, want AsMayRun", r, got)
		}
	}
	if got := EndOfHeld(choice.Outcome{Result: choice.NotRun, Final: true}, true); got != AsAnswered {
		t.Errorf("endpoint that no longer wants the message: the message ends %d, want AsAnswered", got)
	}
}
