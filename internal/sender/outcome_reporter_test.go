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

// fakePlatform collects outcomes, but never answers on the first connection that it gets.
type fakePlatform struct {
	sync.Mutex
	first    string // the address that the first connection came from
	outcomes map[string]string
	want     int
	complete chan struct{} // closed when the wanted number of outcomes has come
}

func (p *fakePlatform) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path != outcomesPath {
		<-r.Context().Done()
		return
	}
	body, _ := io.ReadAll(r.Body) // before it waits: else the server does not see the connection's end
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

func (p *fakePlatform) isFirst(addr string) bool {
	p.Lock()
	defer p.Unlock()
	if p.first == "" {
		p.first = addr
	}
	return p.first == addr
}

func (p *fakePlatform) outcome(id string, no int) string {
	p.Lock()
	defer p.Unlock()
	return p.outcomes[fmt.Sprint(id, no)]
}

// writeEndings writes the journal of a process with endings to be reported, messages whose time is over, and messages that
// may have run, so many of each.
func writeEndings(t *testing.T, dir string, each int) {
	t.Helper()
	now := config.RoundDown(time.Now().UnixNano())
	var records [][]byte
	for i := range each {
		m := acceptedMessage(fmt.Sprint("ended", i), "0", "single", 1, now-second, 8*second)
		m.ending = ending{kind: []endKind{endFailed, endShed}[i%2], retryMS: 50}
		records = append(records, m.acceptedRecord(), endRecord(m.ID, m.ending))
		records = append(records, acceptedMessage(fmt.Sprint("late", i), "0", "pure", 1, now-9*second, 8*second).acceptedRecord())
		out := acceptedMessage(fmt.Sprint("out", i), "0", "single", 1, now-second, 8*second)
		records = append(records, out.acceptedRecord(), attemptRecord(out.ID, now-second, 0, "z"))
	}
	writeJournal(t, dir, records...)
}

// Endings that an earlier process had to report, and those of messages whose time was over by the start, are with the
// platform soon after it, also where its first connection is never answered; and a third process has none to report.
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
		t.Error("not all are reported after 20 s")
	}
	t.Logf("ready after %v, all reported %v later", ready.Sub(began).Round(time.Millisecond), time.Since(ready).Round(time.Millisecond))
	for i := range each {
		ended, late, out := platform.outcome("ended", i), platform.outcome("late", i), platform.outcome("out", i)
		if ended != []string{"given_up", "handed_back"}[i%2] || late != "handed_back" || out != "given_up" {
			t.Fatalf("%d: ended %q, late %q, out %q", i, ended, late, out)
		}
	}
	conn.Close()
	s.Drain()
	<-done
	if again := startAt(cfg, time.Minute); len(again.s.pending) > 0 || len(again.s.endings) > 0 {
		t.Errorf("the next process has %d messages and %d endings", len(again.s.pending), len(again.s.endings))
	}
}
