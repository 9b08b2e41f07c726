package sender

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/directory"
	"flaxcove/internal/journal"
)

// TestKilledWhileConnecting checks that the next process still attempts a non-idempotent message if its process was killed
// while the call waited for a connection: nothing was sent. Once the connection is established, the call may have been
// sent, and the message fails.
func TestKilledWhileConnecting(t *testing.T) {
	t.Parallel()
	for _, connected := range []bool{false, true} {
		dir := t.TempDir()
		l := recordCalls(t, startWith(fourClassConfig(dir, 100)))
		l.s.dial = func(c *call) {
			if connected {
				l.s.recordAttempt(c)
				l.s.commit()
			}
		}
		c := newUnreadClient()
		for i, class := range []string{"single", "line", "token", "pure"} {
			l.handle(c, fmt.Sprintf("OUT.ADD %d %s c=%s,d=8000,dest=1 x", i, class, class))
		}
		l.advanceAnswering(5*time.Millisecond, time.Hour)
		if l.s.counts.accepted != 4 || l.s.counts.attempts == 0 {
			t.Fatalf("%d messages accepted, want 4; %d attempts, want some", l.s.counts.accepted, l.s.counts.attempts)
		}
		inFlight := map[choice.MessageID]bool{}
		for id, m := range l.s.pending {
			inFlight[id] = m.inFlight != nil
		}
		restarted := recordCalls(t, startAt(fourClassConfig(dir, 100), l.clock+600*time.Millisecond))
		restarted.advanceAnswering(9*time.Second, 20*time.Millisecond)
		for id := range inFlight {
			nonIdempotent := id == "single" || id == "line"
			if called := restarted.calls[id] == 1; called == (nonIdempotent && inFlight[id] && connected) {
				t.Errorf("connected %v, message %s in flight %v: called again %v", connected, id, inFlight[id], called)
			}
		}
	}
}

// recordChecker is an endpoint that checks, when the first byte of a call arrives, whether the call is on record.
type recordChecker struct {
	dir string // folder of the sender's journal
	sync.Mutex
	seen, missing []string // ids of all messages, and of those not on record
}

// serve answers all calls until the listener is closed.
func (r *recordChecker) serve(endpoint net.Listener) {
	for {
		conn, err := endpoint.Accept()
		if err != nil {
			return
		}
		go r.answerCalls(conn)
	}
}

// answerCalls checks and answers the calls on one connection until it is closed.
func (r *recordChecker) answerCalls(conn net.Conn) {
	defer conn.Close()
	for in := bufio.NewReader(conn); ; {
		if _, err := in.Peek(1); err != nil {
			return
		}
		// The content of the journal when the first byte arrives. hasAttempt reads a copy, as opening a journal writes to it.
		text, _ := os.ReadFile(filepath.Join(r.dir, "notices.log"))
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		r.check(request.Header.Get("X-Request-Id"), text)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// check records whether the journal with content text has an attempt of a message.
func (r *recordChecker) check(id string, text []byte) {
	r.Lock()
	defer r.Unlock()
	r.seen = append(r.seen, id)
	if !hasAttempt(text, id) {
		r.missing = append(r.missing, id)
	}
}

// count returns how many calls have arrived.
func (r *recordChecker) count() int {
	r.Lock()
	defer r.Unlock()
	return len(r.seen)
}

// TestOnRecordBeforeFirstByte checks that a call is on record before its endpoint receives the first byte of it, on a new
// connection and on a reused one.
func TestOnRecordBeforeFirstByte(t *testing.T) {
	t.Parallel()
	endpoint, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	checker := &recordChecker{dir: t.TempDir()}
	go checker.serve(endpoint)
	cfg := fourClassConfig(checker.dir, 100)
	cfg.Listen, cfg.Discovery = "127.0.0.1:0", "127.0.0.1:1"
	cfg.InitialList.Entries = []directory.Entry{{ID: "a", Addr: endpoint.Addr().String(), Zone: "z", Kind: "one", Destination: 1, State: "up", Weight: 9}}
	s, done := startRunning(t, cfg)
	client := connectClient(t, s)
	const all = 12
	for i := range all {
		class := []string{"single", "token"}[i%2]
		client.mustSubmit(t, "0", fmt.Sprint("n", i), fmt.Sprintf("c=%s,d=8000,dest=1", class), "x")
		if i%4 == 3 { // so that some calls reuse a connection, and calls at the same time open new ones
			waitUntil(t, "all calls so far have arrived", func() bool { return checker.count() == i+1 })
		}
	}
	client.Close()
	s.Drain()
	<-done
	checker.Lock()
	defer checker.Unlock()
	if len(checker.seen) != all || len(checker.missing) > 0 {
		t.Errorf("%d of %d calls arrived; not on record at the first byte: %v", len(checker.seen), all, checker.missing)
	}
}

// hasAttempt reports whether a journal with content text holds a record of an attempt of a message.
func hasAttempt(text []byte, id string) (found bool) {
	dir, err := os.MkdirTemp("", "copy")
	if err != nil {
		return false
	}
	defer os.RemoveAll(dir)
	if os.WriteFile(filepath.Join(dir, "notices.log"), text, 0o600) != nil {
		return false
	}
	j, _, err := journal.Open(dir, 1<<20, func(record []byte, _ int64) {
		found = found || record[0] == recAttempt && strings.HasPrefix(string(record), string(idRecord(recAttempt, choice.MessageID(id))))
	})
	if err == nil {
		j.Close()
	}
	return found
}
