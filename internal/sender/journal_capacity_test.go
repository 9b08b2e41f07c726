package sender

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"flaxcove/choice"
)

// TestJournalCapacityWithinOneTurn checks that messages of the same turn count against the journal's limit. Of a burst within
// one turn, as many messages are accepted as fit, the others are rejected, and the journal can still be written.
func TestJournalCapacityWithinOneTurn(t *testing.T) {
	t.Parallel()
	l := recordCalls(t, startWith(fourClassConfig(t.TempDir(), 1000)))
	body := strings.Repeat("x", 20000)
	c := newClient()
	for i := range 40 {
		l.handle(c, fmt.Sprintf("OUT.ADD 0 n%d c=pure,d=8000,dest=1 %s", i, body))
	}
	l.advanceAnswering(5*time.Millisecond, time.Hour)
	info, err := os.Stat(l.dir + "/notices.log")
	if err != nil {
		t.Fatal(err)
	}
	if l.s.journalFailing || info.Size() > l.s.journal.Limit() {
		t.Errorf("journal failing: %v, its file has %d of at most %d bytes", l.s.journalFailing, info.Size(), l.s.journal.Limit())
	}
	if l.s.counts.accepted == 0 || l.s.counts.accepted+l.s.counts.rejected != 40 {
		t.Errorf("%d messages accepted and %d rejected, want 40 in total", l.s.counts.accepted, l.s.counts.rejected)
	}
	// All accepted messages are pending in the next process.
	if again := startWith(fourClassConfig(l.dir, 1000)); int64(len(again.s.pending)) != l.s.counts.accepted {
		t.Errorf("%d messages accepted, %d pending after a kill", l.s.counts.accepted, len(again.s.pending))
	}
	// Messages that have ended take up no capacity.
	for id := range l.s.pending {
		l.s.closeMessage(l.s.pending[choice.MessageID(id)])
	}
	before := l.s.counts.accepted
	l.handle(c, "OUT.ADD 0 last c=pure,d=8000,dest=1 "+body)
	l.advanceAnswering(5*time.Millisecond, time.Hour)
	if l.s.counts.accepted != before+1 {
		t.Error("no message is accepted although all others have ended")
	}
}
