package sender

// Benchmarks behind docs/CAPACITY.md: what one sender holds and how long its loop takes, by destinations and by messages
// that are pending. Sockets are left out; calls end as a test says.

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/directory"
	"flaxcove/internal/http1"
	"flaxcove/internal/sender/clusterapi"
	"flaxcove/lab/capacity/bench"
)

const (
	capacityZones = 8
	capacityDown  = 1647 // 2.7% of 61,000 destinations
	capacityBody  = 200  // bytes
	capacityTurn  = 1000 // messages handed in between two turns of a fill
)

// capacityList is a full list with two endpoints a destination, in two of the zones.
func capacityList(destinations int) directory.List {
	l := directory.List{Version: 1, Full: true}
	for d := range destinations {
		for e := range 2 {
			l.Entries = append(l.Entries, directory.Entry{ID: fmt.Sprintf("endpoint-%06d-%d", d, e), Addr: fmt.Sprintf("127.0.0.1:%d", 1+(2*d+e)%60000),
				Zone: fmt.Sprintf("zone-%d", (d+e)%capacityZones), Kind: "one", Destination: float64(d), State: "up", Weight: 1e6})
		}
	}
	return l
}

// capacityConfig has capacity for all that is submitted.
func capacityConfig(b *testing.B, destinations, open int) *config.Config {
	settings := strings.Replace(fmt.Sprintf(twoClassSettings, 10*open+1000), `"balancers":2`, `"balancers":660`, 1)
	c := testConfigWith(b.TempDir(), settings, `{"version":1,"full":true}`)
	c.Known = capacityList(destinations)
	c.Limits = config.Limits{MemoryMB: 1 << 20, Sockets: 1 << 20, DiskMB: 1 << 20}
	return c
}

// capacityHarness starts a sender whose calls hang.
func capacityHarness(c *config.Config) *harness {
	h := startWith(c)
	h.s.dial = func(*call) {}
	h.s.listReceived = true
	return h
}

func (h *harness) submitNumbered(c *client, i, destinations int, body []byte) {
	c.window <- struct{}{}
	h.s.handleCommand(c, [][]byte{[]byte("OUT.ADD"), []byte("0"), fmt.Appendf(nil, "message-%012d", i),
		fmt.Appendf(nil, "c=status,d=3600000,dest=%d", i%destinations), body})
}

func capacityClient() *client {
	return &client{window: make(chan struct{}, 2*capacityTurn), writingReplies: 1}
}

// discardReplies empties a client that nobody reads.
func (c *client) discardReplies() {
	c.output = c.output[:0]
	for len(c.window) > 0 {
		<-c.window
	}
}

// submitMany submits so many messages.
func (h *harness) submitMany(open, destinations int) {
	c, body := capacityClient(), []byte(strings.Repeat("x", capacityBody))
	for i := range open {
		h.submitNumbered(c, i, destinations, body)
		if (i+1)%capacityTurn == 0 || i+1 == open {
			h.clock += 5 * time.Millisecond
			h.s.turn()
			c.discardReplies()
		}
	}
}

func filledHarness(b *testing.B, open int) *harness {
	h := capacityHarness(capacityConfig(b, capacityDown, open))
	h.submitMany(open, capacityDown)
	if len(h.s.pending) != open {
		b.Fatalf("%d are owed, not %d", len(h.s.pending), open)
	}
	return h
}

var capacityOpen = []int{1_000, 10_000, 100_000, 1_000_000}

// BenchmarkCapacityOwed is a message accepted while its destination takes none, and what those that wait take in
// memory (sender and module) and on disk.
func BenchmarkCapacityOwed(b *testing.B) {
	bench.Sizes(b, "open", capacityOpen, func(b *testing.B, n int) {
		var h *harness
		var took time.Duration
		cfg := capacityConfig(b, capacityDown, n)
		heap := bench.Heap(func() any {
			h = capacityHarness(cfg)
			began := time.Now()
			h.submitMany(n, capacityDown)
			took = time.Since(began)
			return h
		})
		for b.Loop() {
		}
		b.ReportMetric(0, "ns/op") // the work is done once, in the fill
		b.ReportMetric(float64(took), "fill-ns")
		b.ReportMetric(heap, "heap-B")
		b.ReportMetric(float64(h.s.journal.Size()), "disk-B")
		h.s.journal.Close()
	})
}

// BenchmarkCapacityReplay is a start on the folder of a sender that owes so many messages.
func BenchmarkCapacityReplay(b *testing.B) {
	bench.Sizes(b, "open", capacityOpen, func(b *testing.B, n int) {
		h := filledHarness(b, n)
		h.s.journal.Close()
		cfg := h.s.cfg
		h = nil
		for b.Loop() {
			again := startWith(cfg)
			if len(again.s.pending) != n {
				b.Fatalf("%d are owed, not %d", len(again.s.pending), n)
			}
			again.s.journal.Close()
		}
	})
}

// BenchmarkCapacityRewrite writes the journal anew with all that is pending, on the loop.
func BenchmarkCapacityRewrite(b *testing.B) {
	bench.Sizes(b, "open", capacityOpen, func(b *testing.B, n int) {
		h := filledHarness(b, n)
		for b.Loop() {
			if err := h.s.journal.Rewrite(h.s.records); err != nil {
				b.Fatal(err)
			}
		}
		h.s.journal.Close()
	})
}

// silentCluster takes digests and decides nothing.
type silentCluster struct{ rows int }

func (c *silentCluster) Digest(d clusterapi.Digest) { c.rows = len(d.Rows) }
func (c *silentCluster) Guide() clusterapi.Guide    { return nil }
func (c *silentCluster) Woke(choice.DestinationID)  {}

// BenchmarkCapacityDigest is a digest, of which there are two a second, beside so many messages that wait.
func BenchmarkCapacityDigest(b *testing.B) {
	bench.Sizes(b, "open", capacityOpen, func(b *testing.B, n int) {
		h := filledHarness(b, n)
		h.s.Join(&silentCluster{}, Joining{})
		for b.Loop() {
			h.s.sendDigest()
		}
		h.s.journal.Close()
	})
}

// BenchmarkCapacityDigestList is a digest of a sender at rest, by destinations; metric rows is what the last one told.
func BenchmarkCapacityDigestList(b *testing.B) {
	bench.Sizes(b, "destinations", []int{610, 6_100, 61_000}, func(b *testing.B, n int) {
		h := capacityHarness(capacityConfig(b, n, 1))
		c := &silentCluster{}
		h.s.Join(c, Joining{})
		h.s.sendDigest()
		for b.Loop() {
			h.s.sendDigest()
		}
		b.ReportMetric(float64(c.rows), "rows")
		h.s.journal.Close()
	})
}

// BenchmarkCapacityListFull applies a full list again, and measures what a sender holds for it.
func BenchmarkCapacityListFull(b *testing.B) {
	bench.Sizes(b, "destinations", []int{610, 6_100, 61_000, 610_000}, func(b *testing.B, n int) {
		cfg := capacityConfig(b, n, 1)
		var h *harness
		heap := bench.Heap(func() any {
			h = capacityHarness(cfg)
			return h
		})
		for b.Loop() {
			h.s.updateEndpoints(cfg.Known, false)
		}
		b.ReportMetric(heap, "heap-B")
		h.s.journal.Close()
	})
}

// BenchmarkCapacityListChange is one destination's change told to a sender that holds so many.
func BenchmarkCapacityListChange(b *testing.B) {
	bench.Sizes(b, "destinations", []int{610, 6_100, 61_000}, func(b *testing.B, n int) {
		h := capacityHarness(capacityConfig(b, n, 1))
		change := directory.List{Version: 2, Entries: capacityList(1).Entries}
		for b.Loop() {
			h.s.updateEndpoints(change, false)
		}
		h.s.journal.Close()
	})
}

// BenchmarkCapacityMessage is a message from its command to its end, four a turn, spread over so many destinations, on
// the loop alone: no socket.
func BenchmarkCapacityMessage(b *testing.B) {
	bench.Sizes(b, "destinations", []int{610, 6_100, 61_000}, func(b *testing.B, n int) {
		const aTurn = 4
		h := capacityHarness(capacityConfig(b, n, 1000))
		h.s.dial = func(c *call) {
			h.s.recordAttempt(c)
			h.s.commit()
			h.calls = append(h.calls, c)
		}
		var ok200 http1.Answer
		if err := ok200.Feed([]byte(strings.ReplaceAll(answerOK, "\n", "\r\n"))); err != nil || !ok200.Done {
			b.Fatal(err, "the answer is not whole")
		}
		c, body := capacityClient(), []byte(strings.Repeat("x", capacityBody))
		i := 0
		for b.Loop() {
			for range aTurn {
				h.submitNumbered(c, i, n, body)
				i++
			}
			h.clock += 5 * time.Millisecond
			h.s.turn()
			c.discardReplies()
			for _, out := range h.calls {
				out.done = true
				h.s.finishCall(out, readAnswer(&ok200))
				h.s.openLinks-- // its link, which no socket ends
				out.endpoint.linkCount--
			}
			clear(h.calls)
			h.calls = h.calls[:0]
		}
		b.ReportMetric(float64(b.Elapsed())/float64(i), "ns/message")
		b.ReportMetric(float64(h.s.journal.Size())/float64(i), "disk-B/message")
		if late := len(h.s.pending); late > 2*aTurn*8 {
			b.Fatalf("%d are owed still", late)
		}
		h.s.journal.Close()
	})
}
