package sender

// This file holds benchmarks for docs/CAPACITY.md: the memory and disk space of one sender, and the time its loop takes, by
// number of destinations and of pending messages. They use no sockets; the test decides how calls end.

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
	capacityZones        = 8
	capacityDestinations = 1647 // destinations that are down: 2.7% of 61,000
	capacityBodySize     = 200  // bytes of a message's body
	capacityTurnSize     = 1000 // messages submitted between two turns of a fill
)

// capacityList returns a full list with two endpoints for each destination, in two of the zones.
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

// capacityConfig returns a configuration with the given number of destinations, and with more than enough capacity for the
// given number of open messages.
func capacityConfig(b *testing.B, destinations, open int) *config.Config {
	settings := strings.Replace(fmt.Sprintf(twoClassSettings, 10*open+1000), `"balancers":2`, `"balancers":660`, 1)
	c := testConfigWith(b.TempDir(), settings, `{"version":1,"full":true}`)
	c.InitialList = capacityList(destinations)
	c.Limits = config.Limits{MemoryMB: 1 << 20, Sockets: 1 << 20, DiskMB: 1 << 20}
	return c
}

// capacityHarness starts a sender whose dials never end.
func capacityHarness(c *config.Config) *harness {
	h := startWith(c)
	h.s.dial = func(*call) {}
	h.s.listReceived = true
	return h
}

// submitNumbered submits the message with number i. Numbers are spread evenly over the destinations.
func (h *harness) submitNumbered(c *client, i, destinations int, body []byte) {
	c.count()
	h.s.handleCommand(c, [][]byte{[]byte("OUT.ADD"), []byte("0"), fmt.Appendf(nil, "message-%012d", i),
		fmt.Appendf(nil, "c=status,d=3600000,dest=%d", i%destinations), body})
}

// capacityClient returns a client for submitNumbered, whose replies stay in its output until discardReplies.
func capacityClient() *client {
	return newClient()
}

// discardReplies empties the output and the window of a client without a reader.
func (c *client) discardReplies() {
	c.output = c.output[:0]
	c.releaseWindow(int(c.unanswered.Load()))
}

// submitMany submits count messages, with a turn after each capacityTurnSize of them.
func (h *harness) submitMany(count, destinations int) {
	c, body := capacityClient(), []byte(strings.Repeat("x", capacityBodySize))
	for i := range count {
		h.submitNumbered(c, i, destinations, body)
		if (i+1)%capacityTurnSize == 0 || i+1 == count {
			h.clock += 5 * time.Millisecond
			h.s.turn()
			c.discardReplies()
		}
	}
}

// filledHarness starts a sender and submits messages to it until the given number is open.
func filledHarness(b *testing.B, open int) *harness {
	h := capacityHarness(capacityConfig(b, capacityDestinations, open))
	h.submitMany(open, capacityDestinations)
	if len(h.s.pending) != open {
		b.Fatalf("%d messages are pending, want %d", len(h.s.pending), open)
	}
	return h
}

// capacityOpenSizes are the numbers of pending messages that are measured.
var capacityOpenSizes = []int{1_000, 10_000, 100_000, 1_000_000}

// BenchmarkCapacityOwed measures how long it takes to accept messages while their destinations are down, and how much
// memory (sender and package choice) and disk space the waiting messages take.
func BenchmarkCapacityOwed(b *testing.B) {
	bench.Sizes(b, "open", capacityOpenSizes, func(b *testing.B, n int) {
		var h *harness
		var took time.Duration
		cfg := capacityConfig(b, capacityDestinations, n)
		heap := bench.Heap(func() any {
			h = capacityHarness(cfg)
			began := time.Now()
			h.submitMany(n, capacityDestinations)
			took = time.Since(began)
			return h
		})
		for b.Loop() {
		}
		b.ReportMetric(0, "ns/op") // the work is done once, when the sender is filled
		b.ReportMetric(float64(took), "fill-ns")
		b.ReportMetric(heap, "heap-B")
		b.ReportMetric(float64(h.s.journal.Size()), "disk-B")
		h.s.journal.Close()
	})
}

// BenchmarkCapacityReplay measures a start on the state folder of a sender with n pending messages.
func BenchmarkCapacityReplay(b *testing.B) {
	bench.Sizes(b, "open", capacityOpenSizes, func(b *testing.B, n int) {
		h := filledHarness(b, n)
		h.s.journal.Close()
		cfg := h.s.cfg
		h = nil
		for b.Loop() {
			restarted := startWith(cfg)
			if len(restarted.s.pending) != n {
				b.Fatalf("%d messages are pending, want %d", len(restarted.s.pending), n)
			}
			restarted.s.journal.Close()
		}
	})
}

// BenchmarkCapacityRewrite measures a rewrite of the journal with all pending messages, which runs on the loop.
func BenchmarkCapacityRewrite(b *testing.B) {
	bench.Sizes(b, "open", capacityOpenSizes, func(b *testing.B, n int) {
		h := filledHarness(b, n)
		for b.Loop() {
			if err := h.s.rewriteJournal(); err != nil {
				b.Fatal(err)
			}
		}
		h.s.journal.Close()
	})
}

// silentCluster is a Cluster that receives digests and makes no decisions.
type silentCluster struct {
	rows int // of the last digest
}

func (c *silentCluster) ReportDigest(d clusterapi.Digest)         { c.rows = len(d.Rows) }
func (c *silentCluster) RoutingPlan() clusterapi.RoutingPlan      { return nil }
func (c *silentCluster) RequestLearnedState(choice.DestinationID) {}

// BenchmarkCapacityDigest measures one digest, of which two are sent each second, with n waiting messages.
func BenchmarkCapacityDigest(b *testing.B) {
	bench.Sizes(b, "open", capacityOpenSizes, func(b *testing.B, n int) {
		h := filledHarness(b, n)
		h.s.Join(&silentCluster{}, JoinOptions{})
		for b.Loop() {
			h.s.sendDigest()
		}
		h.s.journal.Close()
	})
}

// BenchmarkCapacityDigestList measures one digest of an idle sender, by number of destinations. The metric rows is the
// number of rows in the last digest.
func BenchmarkCapacityDigestList(b *testing.B) {
	bench.Sizes(b, "destinations", []int{610, 6_100, 61_000}, func(b *testing.B, n int) {
		h := capacityHarness(capacityConfig(b, n, 1))
		c := &silentCluster{}
		h.s.Join(c, JoinOptions{})
		h.s.sendDigest()
		for b.Loop() {
			h.s.sendDigest()
		}
		b.ReportMetric(float64(c.rows), "rows")
		h.s.journal.Close()
	})
}

// BenchmarkCapacityListFull measures the repeated application of a full list, and the heap that a sender needs for it.
func BenchmarkCapacityListFull(b *testing.B) {
	bench.Sizes(b, "destinations", []int{610, 6_100, 61_000, 610_000}, func(b *testing.B, n int) {
		cfg := capacityConfig(b, n, 1)
		var h *harness
		heap := bench.Heap(func() any {
			h = capacityHarness(cfg)
			return h
		})
		for b.Loop() {
			h.s.updateEndpoints(cfg.InitialList, false)
		}
		b.ReportMetric(heap, "heap-B")
		h.s.journal.Close()
	})
}

// BenchmarkCapacityListChange measures a list update for one destination, applied by a sender with n destinations.
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

// BenchmarkCapacityMessage measures messages from their command to their end, four a turn, spread over n destinations. It
// runs on the loop alone, without sockets.
func BenchmarkCapacityMessage(b *testing.B) {
	bench.Sizes(b, "destinations", []int{610, 6_100, 61_000}, func(b *testing.B, n int) {
		const perTurn = 4
		h := capacityHarness(capacityConfig(b, n, 1000))
		h.s.dial = func(c *call) {
			h.s.recordAttempt(c)
			h.s.commit()
			h.calls = append(h.calls, c)
		}
		var ok200 http1.Answer
		if err := ok200.Feed([]byte(strings.ReplaceAll(answerOK, "\n", "\r\n"))); err != nil || !ok200.Done {
			b.Fatal(err, "the answer is not complete")
		}
		c, body := capacityClient(), []byte(strings.Repeat("x", capacityBodySize))
		i := 0
		for b.Loop() {
			for range perTurn {
				h.submitNumbered(c, i, n, body)
				i++
			}
			h.clock += 5 * time.Millisecond
			h.s.turn()
			c.discardReplies()
			for _, sent := range h.calls {
				sent.done = true
				h.s.finishCall(sent, readAnswer(&ok200))
				h.s.openLinks-- // the call's link, which has no socket that could end
				sent.endpoint.linkCount--
			}
			clear(h.calls)
			h.calls = h.calls[:0]
		}
		b.ReportMetric(float64(b.Elapsed())/float64(i), "ns/message")
		b.ReportMetric(float64(h.s.journal.Size())/float64(i), "disk-B/message")
		if pending := len(h.s.pending); pending > 2*perTurn*8 {
			b.Fatalf("%d messages are still pending, want at most %d", pending, 2*perTurn*8)
		}
		h.s.journal.Close()
	})
}
