package sender

import (
	"fmt"
	"testing"
	"time"
)

// TestUnattemptedIsAttempted checks that a message that an earlier process accepted and never attempted is attempted after
// the start in all circumstances: no destination yet, unknown rates and times, a used-up share, ordering keys, a backlog
// that fills all of MaxOpen, and a message submitted with less time than its class allows.
func TestUnattemptedIsAttempted(t *testing.T) {
	t.Parallel()
	now := clockAt(time.Minute)
	many := func(n int, make func(i int) *message) (all []*message) {
		for i := range n {
			all = append(all, make(i))
		}
		return all
	}
	class := []string{"pure", "token", "single"}
	for _, c := range []struct {
		name     string
		maxOpen  int
		accepted []*message // by the earlier process
		update   string     // a list that arrives 300 ms after the start
	}{
		{"usual", 100, many(9, func(i int) *message {
			return acceptedMessage(fmt.Sprint(i), "0", class[i%3], 1, now-4*second, 8*second)
		}), ""},
		{"unknown destination", 100, many(9, func(i int) *message {
			return acceptedMessage(fmt.Sprint(i), "0", class[i%3], 7, now-4*second, 8*second)
		}),
			`{"version":2,"servers":[{"id":"n","addr":"127.0.0.1:7","zone":"z","kind":"one","cell":7,"state":"up"}]}`},
		{"ordering key", 100, many(9, func(i int) *message { return acceptedMessage(fmt.Sprint(i), "5", "line", 1, now-4*second, 8*second) }), ""},
		{"MaxOpen reached", 60, many(60, func(i int) *message {
			return acceptedMessage(fmt.Sprint(i), "0", class[i%3], 1, now-4*second, 8*second)
		}), ""},
		{"MaxOpen exceeded", 30, many(60, func(i int) *message {
			return acceptedMessage(fmt.Sprint(i), "0", class[i%3], 1, now-4*second, 8*second)
		}), ""},
		{"half of a short time left", 100, many(6, func(i int) *message { return acceptedMessage(fmt.Sprint(i), "0", class[i%3], 1, now-second, 2*second) }), ""},
		{"half of 400 ms left", 100, many(6, func(i int) *message {
			return acceptedMessage(fmt.Sprint(i), "0", class[i%3], 1, now-second/5, 2*second/5)
		}), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			var records [][]byte
			for _, m := range c.accepted {
				records = append(records, m.acceptedRecord())
			}
			writeJournal(t, dir, records...)
			l := recordCalls(t, startWith(fourClassConfig(dir, c.maxOpen)))
			l.advanceAnswering(300*time.Millisecond, 20*time.Millisecond)
			if c.update != "" {
				l.updateList(c.update)
			}
			l.advanceAnswering(9*time.Second, 20*time.Millisecond)
			unattempted := 0
			for _, m := range c.accepted {
				if l.calls[m.ID] != 1 {
					unattempted++
				}
			}
			if unattempted > 0 || len(l.endings) > 0 || len(l.s.pending) > 0 {
				t.Errorf("of %d messages, %d were not attempted exactly once, %d were reported to the platform, %d are pending", len(c.accepted), unattempted, len(l.endings), len(l.s.pending))
			}
		})
	}
}

// TestNewDoesNotDisplaceUnattempted checks that a new message never displaces a message that an earlier process accepted
// and that was not attempted yet. The new message is rejected, which costs its client a wait, but no message is lost.
func TestNewDoesNotDisplaceUnattempted(t *testing.T) {
	t.Parallel()
	now, dir := clockAt(time.Minute), t.TempDir()
	var records [][]byte
	for i := range 17 {
		records = append(records, acceptedMessage(fmt.Sprint(i), "0", "pure", 7, now-second, 8*second).acceptedRecord())
	}
	writeJournal(t, dir, records...)
	l := recordCalls(t, startWith(fourClassConfig(dir, 20)))
	for i := range 200 {
		c := newUnreadClient()
		l.handle(c, fmt.Sprintf("OUT.ADD 0 n%d c=single,d=8000,dest=1 x", i))
		l.advanceAnswering(10*time.Millisecond, 0)
	}
	if len(l.endings) > 0 {
		t.Errorf("%d of 17 unattempted messages were ended for new ones", len(l.endings))
	}
	if l.s.counts.rejected == 0 || l.s.counts.accepted == 0 {
		t.Errorf("%d messages rejected and %d accepted, want some of both", l.s.counts.rejected, l.s.counts.accepted)
	}
}
