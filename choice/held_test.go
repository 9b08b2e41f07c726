package choice

import (
	"fmt"
	"testing"
)

// A probe that the host held back tells nothing: the pause before the next one stays as it was, where one that failed
// doubles it, and none goes at once.
func ExampleSender_Probed_held() {
	for _, result := range []Result{Cancelled, ConnectFailed} {
		set := plain()
		set.SlowStart = 0
		d := open(set).run(3*Second).take(0, 1, "p")
		d.ended(Errored, 0, "a", "p").run(Second)
		was := d.s.endpoints["a"].step
		d.s.Probed("a", result)
		fmt.Println("aside", d.s.endpoints["a"].ejected, "pause", was, "then", d.s.endpoints["a"].step)
		d.run(Second)
	}
	// Output:
	// 3000.0  dispatch p to a
	// 3250.0  probe a
	// aside true pause 3000 then 3000
	// 4300.0  probe a
	// 3000.0  dispatch p to a
	// 3250.0  probe a
	// aside true pause 3000 then 6000
	// 4550.0  probe a
}

// What the host asks as it writes is what the module asks as it chooses: the last moment for a repeat.
func TestRepeatEnd(t *testing.T) {
	d := open(plain())
	d.mute = true
	d.take(0, 1, "repeatable").take(1, 1, "keyed")
	for _, id := range []MessageID{"repeatable", "keyed", "unknown"} {
		if end := d.s.RepeatEnd(id); end != forever {
			t.Errorf("%s, not sent or still out: %d", id, end)
		}
	}
	d.run(100*Millisecond).ended(Errored, 0, "a", "repeatable", "keyed")
	if end := d.s.RepeatEnd("repeatable"); end != forever {
		t.Errorf("one that may simply be repeated: %d", end)
	}
	end := d.s.RepeatEnd("keyed")
	if want := 3*Second - 5*Millisecond; end != want { // its call began at 0
		t.Fatalf("it ends at %d, want %d", end, want)
	}
	for at, open := range map[Time]bool{end: true, end + 1: false} {
		d.clock = at
		if d.s.Open("a", "keyed") != open {
			t.Errorf("open at %d: %v", at, !open)
		}
	}
}
