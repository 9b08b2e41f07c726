package sender

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/sender/clusterapi"
)

// recordingCluster is a clusterapi.Cluster that sums up the digests of a sender. The lock is needed because the sender's loop
// and the test use it at the same time.
type recordingCluster struct {
	sync.Mutex
	messages map[string]uint64 // submitted messages by client host
	sent     uint64            // calls sent
	done     uint64            // calls done
	digests  int
}

func (l *recordingCluster) ReportDigest(d clusterapi.Digest) {
	l.Lock()
	defer l.Unlock()
	l.digests++
	for _, c := range d.Counts {
		l.messages[c.Client] += c.Messages
	}
	for _, r := range d.Rows {
		l.sent, l.done = l.sent+r.Sent, l.done+r.Done
	}
}
func (l *recordingCluster) RoutingPlan() clusterapi.RoutingPlan        { return nil }
func (l *recordingCluster) RequestLearnedState(_ choice.DestinationID) {}

// purgeRun is a sender on sockets whose messages are purged, with the fakeServer that receives them.
type purgeRun struct {
	*testing.T
	server  *fakeServer
	s       *Sender
	client  *testClient
	cluster *recordingCluster
	gate    chan struct{}   // JoinOptions.Gate of the sender
	release chan struct{}   // closed to end the call of the message "slow" without an answer
	done    <-chan struct{} // closed when the sender has ended
}

// startPurgeRun starts the server and a sender whose gate is closed.
func startPurgeRun(t *testing.T) *purgeRun {
	t.Helper()
	r := &purgeRun{T: t, server: &fakeServer{received: map[string][]string{}}, gate: make(chan struct{}), release: make(chan struct{}),
		cluster: &recordingCluster{messages: map[string]uint64{}}}
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) {
		if req.Header.Get("X-Request-Id") == "slow" {
			r.server.record("slow", "")
			<-r.release
			panic(http.ErrAbortHandler) // ends the link without an answer, so that an idempotent message would be sent again
		}
		r.server.ServeHTTP(out, req)
	}))
	t.Cleanup(server.Close)
	addr := server.Listener.Addr().String()
	cfg := testConfigWith(t.TempDir(), fmt.Sprintf(twoClassSettings, 100), `{"version":1,"full":true}`)
	cfg.Listen, cfg.Discovery = "127.0.0.1:0", addr
	for i := range 4 {
		cfg.InitialList.Entries = append(cfg.InitialList.Entries, readyEntry(fmt.Sprint("e", i), addr, i))
	}
	s, err := Start(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	r.s = s
	s.Join(r.cluster, JoinOptions{Gate: r.gate, GateTimeout: 20 * time.Second})
	r.done = run(s)
	r.client = connectClient(t, s)
	return r
}

// submit submits a message, which must be accepted. The server answers with its body.
func (r *purgeRun) submit(id, class string, dest int, body string) {
	r.Helper()
	r.client.mustSubmit(r.T, "key", id, fmt.Sprintf("c=%s,d=20000,dest=%d", class, dest), body)
}

// await waits until holds returns true, and fails the test after 15 s. what says that the condition does not hold.
func (r *purgeRun) await(what string, holds func() bool) {
	r.Helper()
	for end := time.Now().Add(15 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.server.Lock()
			received := maps.Clone(r.server.received)
			r.server.Unlock()
			r.Fatalf("after 15 s: %s; received so far: %q", what, received)
		}
	}
}

// purge orders a purge of all messages with the key "key" and returns its result.
func (r *purgeRun) purge(seq uint64) clusterapi.PurgeResult {
	answer := make(chan clusterapi.PurgeResult, 1)
	all := []clusterapi.Purge{{Seq: seq, Match: clusterapi.Match{Key: "key"}}}
	r.s.Orders().Purge(all, func(_ uint64, f []clusterapi.PurgeResult) { answer <- f[0] })
	return <-answer
}

// rejections returns how many calls endpoints have rejected.
func (r *purgeRun) rejections() (n int64) {
	onLoop(r.T, r.s, func() { n = r.s.counts.outcomes[choice.Rejected] })
	return n
}

// giveOrders starts several goroutines that give orders and wait for the answers. wait returns when all have ended.
func (r *purgeRun) giveOrders() (wait func()) {
	var others sync.WaitGroup
	for range 4 {
		others.Go(func() {
			for range 20 {
				answer := make(chan int, 2)
				r.s.Orders().ListHeldState(func(all []clusterapi.HeldState) { answer <- len(all) })
				r.s.Orders().GetLearnedState(nil, func(all []clusterapi.LearnedEndpoint) { answer <- len(all) })
				<-answer
				<-answer
			}
		})
	}
	return others.Wait
}

// TestPurgeOnSockets purges messages over sockets while several goroutines give orders. A message whose call is in flight
// must be delivered or fail, depending on the end of the call, and must never be sent again. A waiting message must end at
// once. A message submitted after the purge must be delivered.
func TestPurgeOnSockets(t *testing.T) {
	t.Parallel()
	r := startPurgeRun(t)
	w := r.server
	const done = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	r.submit("first", "status", 0, done)
	if n := w.count("first"); n != 0 {
		t.Errorf("the server received a message %d times although the gate held attempts back", n)
	}
	close(r.gate)
	r.await("the first message is not delivered", func() bool { return w.count("first") == 1 })
	r.submit("slow", "status", 1, "")
	r.submit("open", "status", 2, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
	r.submit("waits", "order", 3, "HTTP/1.1 429 Wait\r\nRetry-After: 9\r\nContent-Length: 0\r\n\r\n")
	r.await("not all messages have been sent", func() bool { return w.count("slow") == 1 && w.count("open") == 1 && w.count("waits") == 1 })
	r.await("no call was rejected", func() bool { return r.rejections() == 1 })
	wait := r.giveOrders()
	if f := r.purge(5); f.NotBegun != 1 || f.MayRun < 1 || f.MayRun > 2 {
		t.Errorf("the purge found %+v", f)
	}
	close(r.release)
	r.submit("after", "status", 0, done)
	r.await("not all messages have ended", func() bool {
		return w.count("after") == 1 && w.count("slow") == 2 && w.count("waits") == 2
	})
	wait()
	if f := r.purge(5); f.NotBegun != 1 {
		t.Errorf("the same purge, given again, found %+v", f)
	}
	time.Sleep(2 * digestInterval) // for the last digests, and to see whether a message is sent again
	for id, want := range map[string]string{"slow": ", given_up", "after": done, "first": done} {
		if got := w.receivedFor(id); got != want {
			t.Errorf("message %s: the server received %q, want %q", id, got, want)
		}
	}
	if got := w.receivedFor("waits"); !strings.HasSuffix(got, ", given_up") || w.count("open") != 1 {
		t.Errorf("the server received %q for message waits, and %q for message open", got, w.receivedFor("open"))
	}
	r.client.Close()
	r.s.Drain()
	<-r.done
	if len(r.s.pending) > 0 || r.s.Orders().LastAppliedSeq() != 5 {
		t.Errorf("%d messages are pending, and the last applied purge is %d, want 0 and 5", len(r.s.pending), r.s.Orders().LastAppliedSeq())
	}
	if c := r.cluster; c.messages["127.0.0.1"] != 5 || c.sent < 5 || c.done < 3 {
		t.Errorf("%d digests: messages %v, calls sent %d, done %d", c.digests, c.messages, c.sent, c.done)
	}
}
