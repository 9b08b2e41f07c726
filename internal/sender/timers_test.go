package sender

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// TestEveryWakeUpLeadsToATurn checks that a timer that is due between two turns does not wake the loop before the next
// turn. The loop would wake again and again at once, with nothing to do.
func TestEveryWakeUpLeadsToATurn(t *testing.T) {
	// With the real clock, a turn that is delayed by a millisecond on a busy machine would fire two timers.
	synctest.Test(t, everyWakeUpLeadsToATurn)
}

// everyWakeUpLeadsToATurn is the body of TestEveryWakeUpLeadsToATurn, on the clock of the test.
func everyWakeUpLeadsToATurn(t *testing.T) {
	start := time.Now()
	clockReads := 0
	var s *Sender
	s, err := openSender(testConfig(t.TempDir(), 10), zap.NewNop(), start, func() time.Duration {
		if clockReads++; clockReads > 10_000 { // a loop that wakes without a turn never lets this clock advance
			s.ended = true
		}
		return time.Since(start)
	})
	if err != nil {
		t.Fatal(err)
	}
	fired := 0
	var onTimer func()
	onTimer = func() {
		if fired++; fired < 40 {
			s.after(time.Millisecond, onTimer) // due long before the next turn
		} else {
			s.ended = true
		}
	}
	s.after(time.Millisecond, onTimer)
	s.Run()
	if s.wakeups > s.turns+1 {
		t.Errorf("%d wake-ups for %d turns, want at most one more than turns", s.wakeups, s.turns)
	}
	if s.turns < 40 {
		t.Errorf("%d turns for 40 timers, each set in the previous turn, want at least 40", s.turns)
	}
}

// The timers of a call or link are cancelled when it ends, so that memory grows with the number of open messages, not with
// their rate times the deadline.
func Example_cancelTimer() {
	h := start("", 100)
	before := len(h.s.timers)
	for i := range 50 {
		h.submitQuietly(fmt.Sprintf("OUT.ADD %016x n%d c=order,d=20000,dest=1 x", i+1, i))
		for len(h.calls) > 0 {
			h.endpointAnswers("HTTP/1.1 200 OK\nContent-Length: 0\n\n")
		}
	}
	h.s.turn()
	fmt.Println("pending", len(h.s.pending), "additional timers", len(h.s.timers)-before, "timers of package choice", len(h.s.choiceTimers))
	h.submitQuietly("OUT.ADD 0000000000000000 last c=order,d=20000,dest=1 x")
	fmt.Println("pending", len(h.s.pending), "additional timers", len(h.s.timers)-before)
	// Output:
	// pending 0 additional timers 0 timers of package choice 1
	// pending 1 additional timers 2
}

// submitQuietly handles a command and ends the turn without printing.
func (h *harness) submitQuietly(text string) {
	c := newClient()
	h.handle(c, text)
	h.clock += 5 * time.Millisecond
	h.s.turn()
}
