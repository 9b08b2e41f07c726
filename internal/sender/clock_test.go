package sender

import (
	"fmt"
	"testing"
	"time"

	"flaxcove/choice"
)

// The window for repeats, 1 s here, runs from the first call's begin, through a restart: a message whose call may have run is
// sent again only within it, and given up where it is over, or may be over as far as the clock can tell.
func TestWindowThroughRestart(t *testing.T) {
	t.Parallel()
	const began = time.Minute
	for _, c := range []struct {
		name    string
		starts  time.Duration // by the wall clock, after the call began
		silent  time.Duration // so long after the start the endpoint is not in the list
		repeats bool
	}{
		{"restarted within it", 600 * time.Millisecond, 0, true},
		{"restarted behind it", 1010 * time.Millisecond, 0, false},
		{"no endpoint within it", 600 * time.Millisecond, 600 * time.Millisecond, false},
		{"clock put on by 3 s", 3600 * time.Millisecond, 0, false},
		{"clock put back by 3 s", -2400 * time.Millisecond, 0, false},
		{"clock put back to just before the call", -10 * time.Millisecond, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			m := acceptedMessage("of", "0", "token", 1, clockAt(began), 8*second)
			writeJournal(t, dir, m.acceptedRecord(), attemptRecord("of", clockAt(began), 0, "z"))
			cfg := fourClassConfig(dir, 100)
			if c.silent > 0 {
				cfg.Known.Entries = nil
			}
			l := recordCalls(t, startAt(cfg, began+c.starts))
			if c.silent > 0 {
				l.advanceAnswering(c.silent, 0)
				l.updateList(oneEndpointList)
			}
			l.advanceAnswering(9*time.Second, 20*time.Millisecond)
			if got := l.calls["of"] > 0; got != c.repeats || len(l.s.pending) > 0 || c.repeats == (l.endings["of"] != "") {
				t.Errorf("called %d times, ended %q, owed %d", l.calls["of"], l.endings["of"], len(l.s.pending))
			}
		})
	}
}

// A wall clock that is put back between two processes gives nobody more time than it was accepted with, nor to what a
// third process finds that the second accepted by the new clock.
func TestClockPutBack(t *testing.T) {
	t.Parallel()
	now, dir := clockAt(time.Minute), t.TempDir()
	var records [][]byte
	for i := range 3 {
		records = append(records, acceptedMessage(fmt.Sprint("old", i), "0", "pure", 7, now-choice.Time(i)*second, 8*second).acceptedRecord())
	}
	writeJournal(t, dir, records...)
	// A minute back, and another process by that clock.
	cfg := fourClassConfig(dir, 100)
	h := startAt(cfg, time.Second)
	recordCalls(t, h)
	h.updateList(`{"version":2,"servers":[{"id":"g","addr":"127.0.0.1:7","zone":"z","kind":"one","cell":7,"state":"draining"}]}`)
	h.handle(newUnreadClient(), "OUT.ADD 0 new c=pure,d=8000,dest=7 x")
	h.s.turn()
	h.s.journal.Flush()

	l := recordCalls(t, startAt(fourClassConfig(dir, 100), 2*time.Second))
	if len(l.s.pending) != 4 {
		t.Fatalf("owed: %d", len(l.s.pending))
	}
	l.advanceAnswering(12*time.Second, 0)
	// They had 8, 7 and 6 s left, and the new one 8, at the start of the second process.
	for id, due := range map[string]choice.Time{"old0": 8 * second, "old1": 7 * second, "old2": 6 * second, "new": 8 * second} {
		due += clockAt(time.Second)
		if end := l.endedAt[id]; end == 0 || end > due+second/2 {
			t.Errorf("%s: ended %.1f s after its time", id, float64(end-due)/float64(second))
		} else if end < due-3*second {
			t.Errorf("%s: ended %.1f s before its time", id, float64(due-end)/float64(second))
		}
	}
}
