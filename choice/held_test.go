package choice

import (
	"fmt"
	"testing"
)

// A probe that the host cancelled says nothing: the pause before the next one stays as it was, where one that failed
// doubles it, and none is sent at once.
func ExampleSender_Probed_cancelled() {
	for _, result := range []Result{Cancelled, ConnectFailed} {
		set := testSettings()
		set.Cold = 0
		host := startSender(set).advance(3*Second).accept(0, 1, "p")
		host.end(Errored, 0, "a", "p").advance(Second)
		was := host.sender.endpoints["a"].trialPause
		host.sender.Probed("a", result)
		fmt.Println("ejected", host.sender.endpoints["a"].ejected, "pause", was, "then", host.sender.endpoints["a"].trialPause)
		host.advance(Second)
	}
	// Output:
	// 3000.0  attempt p to a
	// 3250.0  probe a
	// ejected true pause 3000 then 3000
	// 4300.0  probe a
	// 3000.0  attempt p to a
	// 3250.0  probe a
	// ejected true pause 3000 then 6000
	// 4550.0  probe a
}

// What the host asks as it writes is what the sender asks as it chooses: the last moment for a repeat.
func TestRepeatEnd(t *testing.T) {
	host := startSender(testSettings())
	host.mute = true
	host.accept(0, 1, "repeatable").accept(1, 1, "keyed")
	for _, id := range []MessageID{"repeatable", "keyed", "unknown"} {
		if end := host.sender.RepeatEnd(id); end != forever {
			t.Errorf("%s, not sent or still out: %d", id, end)
		}
	}
	host.advance(100*Millisecond).end(Errored, 0, "a", "repeatable", "keyed")
	if end := host.sender.RepeatEnd("repeatable"); end != forever {
		t.Errorf("one that may simply be repeated: %d", end)
	}
	end := host.sender.RepeatEnd("keyed")
	if want := 3*Second - 5*Millisecond; end != want { // its call began at 0
		t.Fatalf("it ends at %d, want %d", end, want)
	}
	for at, open := range map[Time]bool{end: true, end + 1: false} {
		host.clock = at
		if host.sender.Open("a", "keyed") != open {
			t.Errorf("open at %d: %v", at, !open)
		}
	}
}
