package sender

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/directory"
	"flaxcove/internal/journal"
)

// A kill may come right after the answer +OK: the journal's file has the message's record by then.
func TestOnRecordBeforeOK(t *testing.T) {
	t.Parallel()
	cfg := testConfig(t.TempDir(), 1000)
	cfg.Listen, cfg.Discovery = "127.0.0.1:0", "127.0.0.1:1"
	s, conn, done := startServing(t, cfg)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	in := bufio.NewReader(conn)
	for i := range 50 {
		id := fmt.Sprint("n", i)
		io.WriteString(conn, addText(id))
		if line, err := in.ReadString('\n'); line != "+OK\r\n" {
			t.Fatalf("%q, %v", line, err)
		}
		text, err := os.ReadFile(filepath.Join(cfg.StateDir, "notices.log")) // what a kill would leave now
		if err != nil || !isAccepted(t, text, choice.MessageID(id)) {
			t.Fatalf("%s was taken on and is not on record, %v", id, err)
		}
	}
	s.Drain()
	<-done
}

// isAccepted tells whether a journal's text holds that an id was accepted.
func isAccepted(t *testing.T, text []byte, id choice.MessageID) (is bool) {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "notices.log"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	begin := string(idRecord(recAccepted, id))
	j, _, err := journal.Open(dir, 1<<20, func(record []byte) {
		is = is || len(record) >= len(begin) && string(record[:len(begin)]) == begin
	})
	if err != nil {
		t.Fatal(err)
	}
	j.Close()
	return is
}

// A sender whose capacity is used up by messages for a destination that is down still accepts what another destination can
// serve: it does not reject everything for 4 s on end, and calls are made meanwhile.
func TestFullSenderGoesOn(t *testing.T) {
	t.Parallel()
	const span, every = 16 * time.Second, 40 * time.Millisecond
	l := recordCalls(t, startWith(fourClassConfig(t.TempDir(), 40)))
	// Destination 7 has an endpoint in the list that takes no call.
	l.updateList(`{"version":2,"servers":[{"id":"g","addr":"127.0.0.1:7","zone":"z","kind":"one","cell":7,"state":"draining"}]}`)
	var lastTaken, lastCalled time.Duration
	taken, called := int64(0), 0
	begin := l.clock
	for i := 0; l.clock < begin+span; i++ {
		for _, dest := range []int{7, 7, 7, 1} {
			c := newUnreadClient()
			l.handle(c, fmt.Sprintf("OUT.ADD 0 n%d-%d-%d c=pure,d=8000,dest=%d x", i, dest, len(l.s.pending), dest))
		}
		l.advanceAnswering(every, 20*time.Millisecond)
		if l.s.counts.accepted > taken {
			taken, lastTaken = l.s.counts.accepted, l.clock
		}
		if n := len(l.calls); n > called {
			called, lastCalled = n, l.clock
		}
		if l.clock-begin > 4*time.Second && (l.clock-lastTaken >= 4*time.Second || l.clock-lastCalled >= 4*time.Second) {
			t.Fatalf("after %v: taken on last at %v, a call last at %v", l.clock-begin, lastTaken-begin, lastCalled-begin)
		}
	}
	if l.s.counts.rejected == 0 {
		t.Error("there was room all the time")
	}
	t.Logf("handed in %d, taken on %d, refused %d, called %d", l.s.counts.submitted, taken, l.s.counts.rejected, called)
}

// A command may come in pieces of any size, as slowly as a client writes, and beside others in one piece.
func TestCommandsInPieces(t *testing.T) {
	t.Parallel()
	cfg := testConfig(t.TempDir(), 1000)
	cfg.Listen, cfg.Discovery, cfg.Known = "127.0.0.1:0", "127.0.0.1:1", directory.List{}
	s, conn, done := startServing(t, cfg)
	defer conn.Close()
	var lone, both net.Conn
	for _, to := range []*net.Conn{&lone, &both} {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(20 * time.Second))
		*to = c
	}
	text := pingText + "*1\r\n$4\r\nping\r\n" + pingText
	for i := range len(text) { // byte by byte
		io.WriteString(lone, text[i:i+1])
		time.Sleep(time.Millisecond / 2)
	}
	mustRead(t, lone, pongText+pongText+pongText)
	for cut := 1; cut < len(text); cut += 3 { // in two pieces, cut anywhere
		io.WriteString(both, text[:cut])
		time.Sleep(time.Millisecond)
		io.WriteString(both, text[cut:])
		mustRead(t, both, pongText+pongText+pongText)
	}
	s.Drain()
	<-done
}
