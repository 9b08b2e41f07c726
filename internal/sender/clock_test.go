package sender

import (
	"fmt"
	"testing"
	"time"

	"flaxcove/choice"
)

// TestRepeatWindowAfterRestart checks that the window for repeats, 1 s here, counts from the start of the first call, also
// after a restart. A message whose call may have run is sent again only within the window. It fails if the window has
// passed, or if it may have passed because the wall clock was put back.
func TestRepeatWindowAfterRestart(t *testing.T) {
	t.Parallel()
	const began = time.Minute
	for _, c := range []struct {
		name     string
		starts   time.Duration // time on the wall clock from the start of the call to the restart
		unlisted time.Duration // time after the restart during which the endpoint is not in the list
		repeats  bool          // whether the message is sent again
	}{
		{"restart within the window", 600 * time.Millisecond, 0, true},
		{"restart after the window", 1010 * time.Millisecond, 0, false},
		{"no endpoint within the window", 600 * time.Millisecond, 600 * time.Millisecond, false},
		{"clock put forward by 3 s", 3600 * time.Millisecond, 0, false},
		{"clock put back by 3 s", -2400 * time.Millisecond, 0, false},
		{"clock put back to just before the call", -10 * time.Millisecond, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			m := acceptedMessage("of", "0", "token", 1, clockAt(began), 8*second)
			writeJournal(t, dir, m.acceptedRecord(), attemptRecord("of", clockAt(began), 0, "z"))
			cfg := fourClassConfig(dir, 100)
			if c.unlisted > 0 {
				cfg.InitialList.Entries = nil
			}
			l := recordCalls(t, startAt(cfg, began+c.starts))
			if c.unlisted > 0 {
				l.advanceAnswering(c.unlisted, 0)
				l.updateList(oneEndpointList)
			}
			l.advanceAnswering(9*time.Second, 20*time.Millisecond)
			if got := l.calls["of"] > 0; got != c.repeats || len(l.s.pending) > 0 || c.repeats == (l.endings["of"] != "") {
				t.Errorf("calls %d, reported ending %q, pending messages %d", l.calls["of"], l.endings["of"], len(l.s.pending))
			}
		})
	}
}

// TestClockPutBack checks that no message gets more time than it had when it was accepted if the wall clock is put back
// between two processes. This also holds in a third process, which finds messages accepted before and after the change.
func TestClockPutBack(t *testing.T) {
	t.Parallel()
	now, dir := clockAt(time.Minute), t.TempDir()
	var records [][]byte
	for i := range 3 {
		records = append(records, acceptedMessage(fmt.Sprint("old", i), "0", "pure", 7, now-choice.Time(i)*second, 8*second).acceptedRecord())
	}
	writeJournal(t, dir, records...)
	// The second process starts with a clock that was put back by about a minute.
	cfg := fourClassConfig(dir, 100)
	h := startAt(cfg, time.Second)
	recordCalls(t, h)
	h.updateList(`{"version":2,"servers":[{"id":"g","addr":"127.0.0.1:7","zone":"z","kind":"one","cell":7,"state":"draining"}]}`)
	h.handle(newUnreadClient(), "OUT.ADD 0 new c=pure,d=8000,dest=7 x")
	h.s.turn()
	h.s.journal.Flush()

	l := recordCalls(t, startAt(fourClassConfig(dir, 100), 2*time.Second))
	if len(l.s.pending) != 4 {
		t.Fatalf("%d messages are pending, want 4", len(l.s.pending))
	}
	l.advanceAnswering(12*time.Second, 0)
	// At the start of the second process the old messages had 8, 7 and 6 s left, and the new one 8 s.
	for id, due := range map[string]choice.Time{"old0": 8 * second, "old1": 7 * second, "old2": 6 * second, "new": 8 * second} {
		due += clockAt(time.Second)
		if end := l.endedAt[id]; end == 0 || end > due+second/2 {
			t.Errorf("%s: ended %.1f s after its deadline", id, float64(end-due)/float64(second))
		} else if end < due-3*second {
			t.Errorf("%s: ended %.1f s before its deadline", id, float64(due-end)/float64(second))
		}
	}
}
