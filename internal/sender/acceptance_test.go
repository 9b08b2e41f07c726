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

// TestRecordedBeforeOK checks that the journal's file holds a message's record when +OK is answered, because the process may
// be killed right after that.
func TestRecordedBeforeOK(t *testing.T) {
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
		text, err := os.ReadFile(filepath.Join(cfg.StateDir, "notices.log")) // the file that a kill would leave now
		if err != nil || !isAccepted(t, text, choice.MessageID(id)) {
			t.Fatalf("message %s was answered +OK but has no record in the journal; reading the file: %v", id, err)
		}
	}
	s.Drain()
	<-done
}

// isAccepted reports whether a journal with this content has an accepted record of a message.
func isAccepted(t *testing.T, text []byte, id choice.MessageID) (is bool) {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "notices.log"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	prefix := string(idRecord(recAccepted, id))
	j, _, err := journal.Open(dir, 1<<20, func(record []byte, _ int64) {
		is = is || len(record) >= len(prefix) && string(record[:len(prefix)]) == prefix
	})
	if err != nil {
		t.Fatal(err)
	}
	j.Close()
	return is
}

// TestFullSenderAccepts checks that a sender whose capacity is used up by messages for a destination that is down still
// accepts and sends messages for another destination: there are never 4 s in which it accepts nothing or makes no call.
func TestFullSenderAccepts(t *testing.T) {
	t.Parallel()
	const span, every = 16 * time.Second, 40 * time.Millisecond
	l := recordCalls(t, startWith(fourClassConfig(t.TempDir(), 40)))
	// The only endpoint of destination 7 is draining, so it gets no calls.
	l.updateList(`{"version":2,"servers":[{"id":"g","addr":"127.0.0.1:7","zone":"z","kind":"one","cell":7,"state":"draining"}]}`)
	var lastAccepted, lastCalled time.Duration
	accepted, called := int64(0), 0
	begin := l.clock
	for i := 0; l.clock < begin+span; i++ {
		for _, dest := range []int{7, 7, 7, 1} {
			c := newUnreadClient()
			l.handle(c, fmt.Sprintf("OUT.ADD 0 n%d-%d-%d c=pure,d=8000,dest=%d x", i, dest, len(l.s.pending), dest))
		}
		l.advanceAnswering(every, 20*time.Millisecond)
		if l.s.counts.accepted > accepted {
			accepted, lastAccepted = l.s.counts.accepted, l.clock
		}
		if n := len(l.calls); n > called {
			called, lastCalled = n, l.clock
		}
		if l.clock-begin > 4*time.Second && (l.clock-lastAccepted >= 4*time.Second || l.clock-lastCalled >= 4*time.Second) {
			t.Fatalf("after %v: last message accepted at %v, last call at %v", l.clock-begin, lastAccepted-begin, lastCalled-begin)
		}
	}
	if l.s.counts.rejected == 0 {
		t.Error("no message was rejected, so the sender was never full")
	}
	t.Logf("submitted %d, accepted %d, rejected %d, calls %d", l.s.counts.submitted, accepted, l.s.counts.rejected, called)
}

// TestCommandsInPieces checks that commands are parsed in whatever pieces they arrive: byte by byte, or several commands
// split in two pieces at any position.
func TestCommandsInPieces(t *testing.T) {
	t.Parallel()
	cfg := testConfig(t.TempDir(), 1000)
	cfg.Listen, cfg.Discovery, cfg.InitialList = "127.0.0.1:0", "127.0.0.1:1", directory.List{}
	s, conn, done := startServing(t, cfg)
	defer conn.Close()
	var byteByByte, inTwo net.Conn
	for _, to := range []*net.Conn{&byteByByte, &inTwo} {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(20 * time.Second))
		*to = c
	}
	text := pingText + "*1\r\n$4\r\nping\r\n" + pingText
	for i := range len(text) {
		io.WriteString(byteByByte, text[i:i+1])
		time.Sleep(time.Millisecond / 2)
	}
	mustRead(t, byteByByte, pongText+pongText+pongText)
	for cut := 1; cut < len(text); cut += 3 {
		io.WriteString(inTwo, text[:cut])
		time.Sleep(time.Millisecond)
		io.WriteString(inTwo, text[cut:])
		mustRead(t, inTwo, pongText+pongText+pongText)
	}
	s.Drain()
	<-done
}
