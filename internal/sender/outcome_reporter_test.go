package sender

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"flaxcove/internal/config"
)

// fakePlatform collects outcomes, but never answers on its first connection.
type fakePlatform struct {
	sync.Mutex
	first    string            // remote address of the first connection
	outcomes map[string]string // by message id
	want     int               // number of outcomes expected
	complete chan struct{}     // closed when the expected number of outcomes has arrived
}

// ServeHTTP stores the outcomes of a post and answers 204, except on the first connection. It never answers other requests.
func (p *fakePlatform) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path != outcomesPath {
		<-r.Context().Done()
		return
	}
	body, _ := io.ReadAll(r.Body) // first, as the server detects the connection's end only after the body is read
	if p.isFirst(r.RemoteAddr) {
		<-r.Context().Done()
		return
	}
	p.Lock()
	defer p.Unlock()
	for _, e := range parseEndings(body) {
		if p.outcomes[e.Message] = e.Outcome; len(p.outcomes) == p.want {
			close(p.complete)
		}
	}
	out.WriteHeader(http.StatusNoContent)
}

// isFirst reports whether addr is the remote address of the first connection.
func (p *fakePlatform) isFirst(addr string) bool {
	p.Lock()
	defer p.Unlock()
	if p.first == "" {
		p.first = addr
	}
	return p.first == addr
}

// outcome returns the outcome of the message with an id of prefix and number; "" for none.
func (p *fakePlatform) outcome(prefix string, number int) string {
	p.Lock()
	defer p.Unlock()
	return p.outcomes[fmt.Sprint(prefix, number)]
}

// writeEndings writes the journal of a process with endings to be reported, messages past their deadline, and messages that
// may have run, each of them as many times as each says.
func writeEndings(t *testing.T, dir string, each int) {
	t.Helper()
	now := config.RoundDown(time.Now().UnixNano())
	var records [][]byte
	for i := range each {
		m := acceptedMessage(fmt.Sprint("ended", i), "0", "single", 1, now-second, 8*second)
		m.ending = ending{kind: []endKind{endFailed, endShed}[i%2], retryMS: 50}
		records = append(records, m.acceptedRecord(), endRecord(m.ID, m.ending))
		records = append(records, acceptedMessage(fmt.Sprint("late", i), "0", "pure", 1, now-9*second, 8*second).acceptedRecord())
		attempted := acceptedMessage(fmt.Sprint("out", i), "0", "single", 1, now-second, 8*second)
		records = append(records, attempted.acceptedRecord(), attemptRecord(attempted.ID, now-second, 0, "z"))
	}
	writeJournal(t, dir, records...)
}

// TestEndingsAfterRestart checks that the endings that an earlier process had to report, and those of messages whose
// deadline passed before the start, reach the platform soon after the start, even if the platform never answers on the
// first connection. The next process has none to report.
func TestEndingsAfterRestart(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	const each = 700
	writeEndings(t, dir, each)
	platform := &fakePlatform{outcomes: map[string]string{}, want: 3 * each, complete: make(chan struct{})}
	server := httptest.NewServer(platform)
	defer server.Close()
	defer server.CloseClientConnections()
	cfg := fourClassConfig(dir, 100)
	cfg.Listen, cfg.Discovery, cfg.Limits.DiskMB = "127.0.0.1:0", server.Listener.Addr().String(), 8
	began := time.Now()
	s, conn, done := startServing(t, cfg)
	ready := time.Now()
	select {
	case <-platform.complete:
	case <-time.After(20 * time.Second):
		t.Error("not all endings are reported after 20 s")
	}
	t.Logf("ready after %v, all endings reported %v later", ready.Sub(began).Round(time.Millisecond), time.Since(ready).Round(time.Millisecond))
	for i := range each {
		ended, late, attempted := platform.outcome("ended", i), platform.outcome("late", i), platform.outcome("out", i)
		if ended != []string{"given_up", "handed_back"}[i%2] || late != "handed_back" || attempted != "given_up" {
			t.Fatalf("message %d: outcome if ended %q, if past its deadline %q, if attempted %q", i, ended, late, attempted)
		}
	}
	conn.Close()
	s.Drain()
	<-done
	if next := startAt(cfg, time.Minute); len(next.s.pending) > 0 || len(next.s.endings) > 0 {
		t.Errorf("the next process has %d messages and %d endings, want none", len(next.s.pending), len(next.s.endings))
	}
}
