package sender

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/directory"
	"flaxcove/internal/resp"
	"flaxcove/internal/sender/together"
)

// recordingCluster keeps what a sender hands over, under a lock, as the loop calls it while the test looks.
type recordingCluster struct {
	sync.Mutex
	messages map[string]uint64
	sent     uint64
	done     uint64
	digests  int
}

func (l *recordingCluster) Digest(d together.Digest) {
	l.Lock()
	defer l.Unlock()
	l.digests++
	for _, c := range d.Counts {
		l.messages[c.Program] += c.Messages
	}
	for _, r := range d.Rows {
		l.sent, l.done = l.sent+r.Sent, l.done+r.Done
	}
}
func (l *recordingCluster) Guide() together.Guide       { return nil }
func (l *recordingCluster) Woke(_ choice.DestinationID) {}

// Over real sockets: what is withdrawn while its call is out is delivered or given up as the call ends and never met
// again; what waits ends at once; what comes after is delivered. Orders come from several goroutines meanwhile.
func TestPurgeOnSockets(t *testing.T) {
	t.Parallel()
	w := &fakeServer{received: map[string][]string{}}
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Id") == "slow" {
			w.record("slow", "")
			<-release
			panic(http.ErrAbortHandler) // ends the link without an answer: what may be repeated would go again
		}
		w.ServeHTTP(out, r)
	}))
	defer server.Close()
	addr := server.Listener.Addr().String()
	cfg := testConfigWith(t.TempDir(), fmt.Sprintf(twoClassSettings, 100), `{"version":1,"full":true}`)
	cfg.Listen, cfg.Discovery = "127.0.0.1:0", addr
	for i := range 4 {
		cfg.Known.Servers = append(cfg.Known.Servers, directory.Entry{ID: fmt.Sprint("e", i), Addr: addr,
			Zone: "z", Kind: "one", Cell: float64(i), State: "up", Weight: 100})
	}
	s, err := Start(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	heard := &recordingCluster{messages: map[string]uint64{}}
	gate := make(chan struct{})
	s.Join(heard, Joining{Gate: gate, For: 20 * time.Second})
	over := make(chan struct{})
	go func() {
		s.Run()
		close(over)
	}()
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn)
	hand := func(id, class string, dest int, body string) {
		list := fmt.Appendf(nil, "c=%s,d=20000,dest=%d", class, dest)
		conn.Write(resp.AppendCommand(nil, []byte("OUT.ADD"), []byte("key"), []byte(id), list, []byte(body)))
		if line, err := in.ReadString('\n'); line != "+OK\r\n" {
			t.Fatalf("%s: %q %v", id, line, err)
		}
	}
	is := func(what string, f func() bool) {
		t.Helper()
		for end := time.Now().Add(15 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				w.Lock()
				met := maps.Clone(w.received)
				w.Unlock()
				t.Fatalf("%s; met so far: %q", what, met)
			}
		}
	}
	purge := func(seq uint64) together.Found {
		answer := make(chan together.Found, 1)
		all := []together.Purge{{Seq: seq, Match: together.Match{Key: "key"}}}
		s.Orders().Purge(all, func(_ uint64, f []together.Found) { answer <- f[0] })
		return <-answer
	}
	const done = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	hand("first", "status", 0, done)
	if n := w.count("first"); n != 0 {
		t.Errorf("met %d times behind the gate", n)
	}
	close(gate)
	is("not delivered", func() bool { return w.count("first") == 1 })
	hand("slow", "status", 1, "")
	hand("open", "status", 2, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
	hand("waits", "order", 3, "HTTP/1.1 429 Wait\r\nRetry-After: 9\r\nContent-Length: 0\r\n\r\n")
	is("not out", func() bool { return w.count("slow") == 1 && w.count("open") == 1 && w.count("waits") == 1 })
	refused := func() (n int64) {
		got := make(chan int64)
		s.post(func() { got <- s.counts.outcomes[choice.Full] })
		return <-got
	}
	is("not refused", func() bool { return refused() == 1 })
	var others sync.WaitGroup
	for range 4 {
		others.Go(func() {
			for range 20 {
				answer := make(chan int, 2)
				s.Orders().Holding(func(all []together.Held) { answer <- len(all) })
				s.Orders().Know(nil, func(all []together.Lesson) { answer <- len(all) })
				<-answer
				<-answer
			}
		})
	}
	if f := purge(5); f.NotBegun != 1 || f.MayRun < 1 || f.MayRun > 2 {
		t.Errorf("found %+v", f)
	}
	close(release)
	hand("after", "status", 0, done)
	is("something is owed yet", func() bool {
		return w.count("after") == 1 && w.count("slow") == 2 && w.count("waits") == 2
	})
	others.Wait()
	if f := purge(5); f.NotBegun != 1 {
		t.Errorf("answered again otherwise: %+v", f)
	}
	time.Sleep(2 * digestInterval)
	for id, want := range map[string]string{"slow": ", given_up", "after": done, "first": done} {
		if got := w.receivedFor(id); got != want {
			t.Errorf("%s: %q", id, got)
		}
	}
	if got := w.receivedFor("waits"); !strings.HasSuffix(got, ", given_up") || w.count("open") != 1 {
		t.Errorf("waits: %q, open met %q", got, w.receivedFor("open"))
	}
	conn.Close()
	s.Drain()
	<-over
	if len(s.pending) > 0 || s.Orders().Applied() != 5 {
		t.Errorf("owed %d, applied %d", len(s.pending), s.Orders().Applied())
	}
	if heard.messages["127.0.0.1"] != 5 || heard.sent < 5 || heard.done < 3 {
		t.Errorf("digests %d: notices %v, sent %d, done %d", heard.digests, heard.messages, heard.sent, heard.done)
	}
}
