package sender

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// TestMessageOverheadIsEnough guards against accepted messages that take more memory than they are counted with, so that a
// process with many small messages passes its limit: the heap grows by no more than what the holders hold.
func TestMessageOverheadIsEnough(t *testing.T) {
	cfg := testConfig(t.TempDir(), 1<<20)
	cfg.Limits.DiskMB = 100
	h := startWith(cfg)
	c := newClient()
	before, heldBefore := heapInUse(), h.s.holders.budget.Held()
	const messages = 4000
	for i := range messages {
		h.handle(c, fmt.Sprintf("OUT.ADD key%d id%d c=order,d=20000,dest=1,t=tenant%d,k=idem%d x", i, i, i, i))
		if i%100 == 0 {
			h.clock += 5 * time.Millisecond
			h.s.turn()
		}
	}
	if len(h.s.pending) != messages {
		t.Fatalf("%d messages are pending, want %d", len(h.s.pending), messages)
	}
	c.output = nil
	grown, held := heapInUse()-before, h.s.holders.budget.Held()-heldBefore
	t.Logf("%d bytes of heap for each message, %d bytes counted", grown/messages, held/messages)
	if grown > held {
		t.Errorf("%d messages take %d bytes of heap, and %d bytes are counted", messages, grown, held)
	}
	runtime.KeepAlive(h)
}

// heapInUse returns the bytes of heap that are reachable.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
