package sender

import (
	"cmp"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"flaxcove/choice"
)

// TestLongRunStaysBounded checks a long run in which messages end in all ways. The tables and the journal's file stay within
// their limits in every hour, and the heap grows by at most a quarter from the third hour to the ninth. After a kill at the
// end of the run, only the one pending message is restored. Each hour stands for 4000 messages.
func TestLongRunStaysBounded(t *testing.T) {
	stdout := os.Stdout // replaced, because the harness prints for examples
	null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	os.Stdout = null
	defer func() { os.Stdout = stdout; null.Close() }()

	h := start(t.TempDir(), 100)
	badAnswers := map[int]string{7: answerFull, 13: answerError, 21: "HTTP/1.1 503 Full\nConnection: close\nContent-Length: 0\n\n", 33: "HTTP/1.1 2"}
	answer := func(text string) {
		c := h.calls[len(h.calls)-1]
		if c.done { // the call has timed out
			h.calls = h.calls[:len(h.calls)-1]
		} else {
			h.endpointAnswers(text)
		}
		h.s.openLinks-- // the harness has no links that could end
		c.endpoint.linkCount--
	}
	hour := func(no int) (heap uint64) {
		for i := range 4000 {
			class := []string{"status", "order"}[i%2]
			h.submit(fmt.Sprintf("OUT.ADD %x n%d-%d c=%s,d=6000,dest=%d body", i, no, i, class, 1+i%2))
			h.advance(40 * time.Millisecond)
			for len(h.calls) > 0 {
				answer(cmp.Or(badAnswers[(i+len(h.calls))%40], answerOK))
			}
		}
		h.advance(20 * time.Second)
		for len(h.calls) > 0 {
			answer(answerOK)
		}
		h.advance(20 * time.Second)
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	hour(0)
	hour(1)
	first := hour(2)
	var last uint64
	for no := range 6 {
		last = hour(3 + no)
		if size, limit := h.s.journal.Size(), h.s.journal.Limit(); size > limit {
			t.Errorf("hour %d: the journal has %d of at most %d bytes", no, size, limit)
		}
		if len(h.s.pending) > 0 || len(h.s.endings) > 0 || len(h.s.choiceTimers) > 4 || len(h.s.timers) > 16 ||
			len(h.s.admission.recentlyEnded.known) > h.s.admission.recentlyEnded.limit || len(h.s.accepted) > 2*len(h.s.pending)+maxEndedInAccepted+1 {
			t.Errorf("hour %d: pending %d, endings %d, choiceTimers %d, timers %d, recentlyEnded %d, accepted %d", no, len(h.s.pending),
				len(h.s.endings), len(h.s.choiceTimers), len(h.s.timers), len(h.s.admission.recentlyEnded.known), len(h.s.accepted))
		}
	}
	if last > first+first/4 {
		t.Errorf("heap: %d bytes after three hours, %d after nine", first, last)
	}
	t.Logf("heap %d bytes, then %d; rewrites %d, delivered %d, shed %d, failed %d", first, last, h.s.counts.rewrites,
		h.s.counts.delivered, h.s.counts.shed, h.s.counts.failed)
	if h.s.counts.rewrites < 3 {
		t.Errorf("%d rewrites of the journal, want at least 3", h.s.counts.rewrites)
	}

	h.submit("OUT.ADD 0 kept c=status,d=6000,dest=1 body").advance(5 * time.Millisecond)
	again := start(h.dir, 100)
	if len(again.s.pending) != 1 || again.s.pending[choice.MessageID("kept")] == nil {
		t.Errorf("%d messages are pending after a kill, want only the message kept", len(again.s.pending))
	}
}
