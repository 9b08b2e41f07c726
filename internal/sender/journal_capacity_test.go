package sender

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"flaxcove/choice"
)

// What comes within one turn counts against the disk like what came before it: of a burst as much is accepted as
// fits, the rest is rejected, and the journal is still written.
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
		t.Errorf("failing: %v, the file holds %d of %d bytes", l.s.journalFailing, info.Size(), l.s.journal.Limit())
	}
	if l.s.counts.accepted == 0 || l.s.counts.accepted+l.s.counts.rejected != 40 {
		t.Errorf("of 40, %d taken on and %d refused", l.s.counts.accepted, l.s.counts.rejected)
	}
	// All that was accepted is pending in the next process.
	if again := startWith(fourClassConfig(l.dir, 1000)); int64(len(again.s.pending)) != l.s.counts.accepted {
		t.Errorf("taken on %d, owed after a kill %d", l.s.counts.accepted, len(again.s.pending))
	}
	// What has ended takes up no capacity any more.
	for id := range l.s.pending {
		l.s.closeMessage(l.s.pending[choice.MessageID(id)])
	}
	before := l.s.counts.accepted
	l.handle(c, "OUT.ADD 0 last c=pure,d=8000,dest=1 "+body)
	l.advanceAnswering(5*time.Millisecond, time.Hour)
	if l.s.counts.accepted != before+1 {
		t.Error("nothing is taken on once the room is free again")
	}
}
