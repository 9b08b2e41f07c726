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

// Endings that an earlier process owed, and those of messages whose time was over by the start, are with the platform
// soon after it, also where its first connection is never answered; and a third process owes none.
func TestEndingsAfterRestart(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	now := config.Down(time.Now().UnixNano())
	var records [][]byte
	const each = 700
	for i := range each {
		n := acceptedMessage(fmt.Sprint("ended", i), "0", "single", 1, now-second, 8*second)
		n.ending = ending{kind: []endKind{endFailed, endShed}[i%2], retryMS: 50}
		records = append(records, n.acceptedRecord(), endRecord(n.ID, n.ending))
		records = append(records, acceptedMessage(fmt.Sprint("late", i), "0", "pure", 1, now-9*second, 8*second).acceptedRecord())
		out := acceptedMessage(fmt.Sprint("out", i), "0", "single", 1, now-second, 8*second)
		records = append(records, out.acceptedRecord(), attemptRecord(out.ID, now-second, 0, "z"))
	}
	writeJournal(t, dir, records...)
	var lock sync.Mutex
	outcomes, first := map[string]string{}, ""
	all := make(chan struct{})
	platform := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.URL.Path != outcomesPath {
			<-r.Context().Done()
			return
		}
		lock.Lock()
		if first == "" {
			first = r.RemoteAddr
		}
		silent := first == r.RemoteAddr
		lock.Unlock()
		body, _ := io.ReadAll(r.Body) // before it waits: else the server does not see the connection's end
		if silent {
			<-r.Context().Done()
			return
		}
		lock.Lock()
		for _, e := range parseEndings(body) {
			if outcomes[e.Message] = e.Outcome; len(outcomes) == 3*each {
				close(all)
			}
		}
		lock.Unlock()
		out.WriteHeader(http.StatusNoContent)
	}))
	defer platform.Close()
	defer platform.CloseClientConnections()
	cfg := fourClassConfig(dir, 100)
	cfg.Listen, cfg.Discovery, cfg.Limits.DiskMB = "127.0.0.1:0", platform.Listener.Addr().String(), 8
	began := time.Now()
	s, conn, done := startServing(t, cfg)
	ready := time.Now()
	select {
	case <-all:
	case <-time.After(20 * time.Second):
		t.Error("not all are told after 20 s")
	}
	t.Logf("ready after %v, all told %v later", ready.Sub(began).Round(time.Millisecond), time.Since(ready).Round(time.Millisecond))
	for i := range each {
		lock.Lock()
		ended, late, out := outcomes[fmt.Sprint("ended", i)], outcomes[fmt.Sprint("late", i)], outcomes[fmt.Sprint("out", i)]
		lock.Unlock()
		if ended != []string{"given_up", "handed_back"}[i%2] || late != "handed_back" || out != "given_up" {
			t.Fatalf("%d: ended %q, late %q, out %q", i, ended, late, out)
		}
	}
	conn.Close()
	s.Drain()
	<-done
	if again := startAt(cfg, time.Minute); len(again.s.pending) > 0 || len(again.s.endings) > 0 {
		t.Errorf("the next process owes %d and %d endings", len(again.s.pending), len(again.s.endings))
	}
}
