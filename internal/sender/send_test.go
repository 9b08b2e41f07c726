package sender

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// holdWrites blocks writes on a link until release is called or the test ends.
func holdWrites(t *testing.T, l *link) (release func()) {
	l.bufferLock.Lock()
	release = sync.OnceFunc(l.bufferLock.Unlock)
	t.Cleanup(release)
	return release
}

// TestInputOnIdleLink checks that bytes that arrive on an idle link while a call is about to be sent on it are not taken
// for the call's answer. If the link ends at that moment, the call does not count as one that may have run, as no byte of
// it was sent.
func TestInputOnIdleLink(t *testing.T) {
	for _, tc := range []struct {
		name  string
		event func(peer interface{ Write([]byte) (int, error) }, end func())
	}{
		{"unsolicited answer", func(peer interface{ Write([]byte) (int, error) }, _ func()) {
			peer.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}},
		{"half a line", func(peer interface{ Write([]byte) (int, error) }, _ func()) { peer.Write([]byte("HTT")) }},
		{"end", func(_ interface{ Write([]byte) (int, error) }, end func()) { end() }},
	} {
		conn, peer := connPair(t, false)
		h := start(t.TempDir(), 100)
		l := h.idleLink(t, "a", conn)
		release := holdWrites(t, l) // the call waits for its write, after the link was found to be idle
		h.submit("OUT.ADD 00 id c=order,d=20000,dest=1 xyz")
		c := l.call
		if c == nil {
			t.Fatal("no call on the link")
		}
		tc.event(peer, func() { peer.Close() })
		for end := time.Now().Add(connTestTimeout); conn.Reader().Len() == 0 && !l.badInput.Load() && conn.IsActive() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		release()
		h.runUntil(t, tc.name+": the call ends", func() bool { return c.done && !l.writing })
		if m := h.s.pending["id"]; m == nil || m.MayRun {
			t.Errorf("%s: message has ended (%v) or may have run, though no byte was sent", tc.name, m == nil)
		}
		peer.CloseWrite()
		if text := readToEnd(peer); text != "" {
			t.Errorf("%s: the endpoint received %q", tc.name, text)
		}
	}
}

// TestExpectAnswerAfterInput checks that no call is sent on a link with unsolicited input, whether the input is still in
// the buffers, or was already read and the link is about to be closed for it.
func TestExpectAnswerAfterInput(t *testing.T) {
	conn, peer := connPair(t, false) // read by the test alone
	conn.SetReadTimeout(connTestTimeout)
	l := &link{conn: conn}
	if !l.expectAnswer() {
		t.Error("a call may not be sent on a link without input")
	}
	l.awaitingAnswer.Store(false)
	peer.Write([]byte("HTTP"))
	if _, err := conn.Reader().Peek(4); err != nil {
		t.Fatal(err)
	}
	if l.expectAnswer() {
		t.Error("a call may be sent after unsolicited input")
	}
	if _, err := l.read(conn); err == nil {
		t.Error("reading unsolicited input returned no error")
	}
	if l.expectAnswer() {
		t.Error("a call may be sent between unsolicited input and the close of its link")
	}
}

// submitWithOneReset submits messages whose first call ends with a partial answer, and lets the time of their next attempt
// come while no attempts are allowed.
func submitWithOneReset(t *testing.T, h *harness, commands ...string) {
	t.Helper()
	for _, dest := range []string{"1", "2"} { // so that one unreadable answer does not eject the endpoint
		h.submit("OUT.ADD 00 before" + dest + " c=order,d=20000,dest=" + dest + " x").endpointAnswers(answerOK)
	}
	h.submit(commands...)
	h.endpointAnswers("HTTP/1.")
	h.s.gated = true
	h.advance(300 * time.Millisecond)
	h.s.gated = false
	for id, m := range h.s.pending {
		if !m.MayRun || m.ending.kind != endNone {
			t.Fatalf("%s: may have run %v, want true; ending %v, want none", id, m.MayRun, m.ending.kind)
		}
	}
}

// TestWindowEndsBeforeWrite checks that no byte of a repeat is sent if the repeat window ends between the last check of the
// link and the write, as happens when the process is stopped in between.
func TestWindowEndsBeforeWrite(t *testing.T) {
	conn, peer := connPair(t, false)
	h := startWith(testConfigWith(t.TempDir(), idempotencyKeySettings(), twoEndpointList))
	submitWithOneReset(t, h, "OUT.ADD 00 id c=status,d=6000,dest=1 xyz")
	l := h.idleLink(t, "a", conn)
	release := holdWrites(t, l)
	h.advance(5 * time.Millisecond)
	c := l.call
	if c == nil {
		t.Fatal("the message was not repeated")
	}
	h.clock += time.Second
	release()
	h.runUntil(t, "the repeat ends unsent", func() bool { return c.done && !l.writing })
	peer.CloseWrite()
	if text := readToEnd(peer); text != "" {
		t.Errorf("sent after the repeat window: %q", text)
	}
}

// TestWindowInBulkCall checks that a bulk call whose connection is established late is sent without the messages whose
// repeat window is over, and with all others.
func TestWindowInBulkCall(t *testing.T) {
	conn, peer := connPair(t, false)
	settings := strings.Replace(idempotencyKeySettings(), `"side_effect"`, `"pure"`, 1)
	h := startWith(testConfigWith(t.TempDir(), settings, twoEndpointList))
	submitWithOneReset(t, h, "OUT.ADD 00 short c=status,d=6000,dest=2 x", "OUT.ADD 00 order c=order,d=20000,dest=2 x")
	h.advance(5 * time.Millisecond)
	c := h.calls[0]
	if len(c.messages) != 2 {
		t.Fatalf("%d messages in the bulk call, want 2", len(c.messages))
	}
	h.clock += time.Second
	h.connectionUp(c, conn)
	if c.done {
		t.Fatal("the bulk call was not sent at all")
	}
	text := readUntilSuffix(t, peer, "x")
	if strings.Contains(text, "short") || !strings.Contains(text, "order") {
		t.Errorf("the endpoint received %q, want message order alone", text)
	}
}

// TestWindowEndsInWrite checks that the last byte of a repeat is not sent if the repeat window ends while the repeat is
// being written to an endpoint that reads slowly.
func TestWindowEndsInWrite(t *testing.T) {
	conn, peer := connPair(t, true)
	h := startWith(testConfigWith(t.TempDir(), idempotencyKeySettings(), twoEndpointList))
	body := strings.Repeat("x", 60000)
	submitWithOneReset(t, h, "OUT.ADD 00 id c=status,d=6000,dest=1 "+body)
	l := h.idleLink(t, "a", conn)
	h.advance(5 * time.Millisecond)
	c := l.call
	if c == nil {
		t.Fatal("the message was not repeated")
	}
	firstByte := make([]byte, 1)
	peer.Read(firstByte) // a part of the request was sent
	l.bufferLock.Lock()
	h.clock += time.Second
	l.bufferLock.Unlock()
	h.runUntil(t, "the repeat ends", func() bool { return c.done && !l.writing })
	if strings.Count(readToEnd(peer), "x") >= len(body) {
		t.Error("the last byte was sent after the repeat window")
	}
}
