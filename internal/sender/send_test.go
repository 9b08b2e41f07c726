package sender

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// holdWrites blocks writes on a link until it is released, or the test ends.
func holdWrites(t *testing.T, l *link) (release func()) {
	l.bufferLock.Lock()
	release = sync.OnceFunc(l.bufferLock.Unlock)
	t.Cleanup(release)
	return release
}

// Bytes that come on an idle link while a call is about to be sent on it are not taken for the call's answer, and a call whose
// link ends then does not count as one that may have run, as no byte of it was sent.
func TestInputOnIdleLink(t *testing.T) {
	for _, of := range []struct {
		name  string
		comes func(peer interface{ Write([]byte) (int, error) }, end func())
	}{
		{"answer unasked for", func(peer interface{ Write([]byte) (int, error) }, _ func()) {
			peer.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}},
		{"half a line", func(peer interface{ Write([]byte) (int, error) }, _ func()) { peer.Write([]byte("HTT")) }},
		{"end", func(_ interface{ Write([]byte) (int, error) }, end func()) { end() }},
	} {
		conn, peer := connPair(t, false)
		h := start(t.TempDir(), 100)
		l := h.idleLink(t, "a", conn)
		release := holdWrites(t, l) // the call waits here, after the link was found to be idle
		h.submit("OUT.ADD 00 id c=order,d=20000,dest=1 xyz")
		c := l.call
		if c == nil {
			t.Fatal("no call on the link")
		}
		of.comes(peer, func() { peer.Close() })
		for end := time.Now().Add(connTestTimeout); conn.Reader().Len() == 0 && !l.badInput.Load() && conn.IsActive() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		release()
		h.runUntil(t, of.name+": the call ends", func() bool { return c.done && !l.writing })
		if m := h.s.pending["id"]; m == nil || m.MayRun {
			t.Errorf("%s: delivered %v, though no byte has left", of.name, m == nil)
		}
		peer.CloseWrite()
		if text := readToEnd(peer); text != "" {
			t.Errorf("%s: heard %q", of.name, text)
		}
	}
}

// No call is sent on a link on which something has come, whether it is in the socket's buffers, or was read and found to be
// unsolicited and the link's end is yet to come.
func TestExpectAnswerSeesWhatCame(t *testing.T) {
	conn, peer := connPair(t, false) // read by the test alone
	conn.SetReadTimeout(connTestTimeout)
	l := &link{conn: conn}
	if !l.expectAnswer() {
		t.Error("a quiet link takes no call")
	}
	l.awaitingAnswer.Store(false)
	peer.Write([]byte("HTTP"))
	if _, err := conn.Reader().Peek(4); err != nil {
		t.Fatal(err)
	}
	if l.expectAnswer() {
		t.Error("a call leaves behind bytes that nobody asked for")
	}
	if _, err := l.read(conn); err == nil {
		t.Error("bytes that nobody asked for are taken")
	}
	if l.expectAnswer() {
		t.Error("a call leaves between the bytes that nobody asked for and the end of their link")
	}
}

// submitWithOneReset submits messages whose first call is reset, and lets the time of the next attempt come while the gate
// holds all attempts back.
func submitWithOneReset(t *testing.T, h *harness, commands ...string) {
	t.Helper()
	for _, dest := range []string{"1", "2"} { // so that its endpoint does not count as out for one spoilt answer
		h.submit("OUT.ADD 00 before" + dest + " c=order,d=20000,dest=" + dest + " x").endpointAnswers(answerOK)
	}
	h.submit(commands...)
	h.endpointAnswers("HTTP/1.")
	h.s.gated = true
	h.advance(300 * time.Millisecond)
	h.s.gated = false
	for id, m := range h.s.pending {
		if !m.MayRun || m.ending.kind != endNone {
			t.Fatalf("%s: may run %v, ends %v", id, m.MayRun, m.ending.kind)
		}
	}
}

// The window for repeats may end between the last check of the link and the write, as where the process was stopped. No byte
// of the repeat is sent then.
func TestWindowEndsBeforeWrite(t *testing.T) {
	conn, peer := connPair(t, false)
	h := startWith(testConfigWith(t.TempDir(), idempotencyKeySettings(), twoEndpointList))
	submitWithOneReset(t, h, "OUT.ADD 00 id c=status,d=6000,dest=1 xyz")
	l := h.idleLink(t, "a", conn)
	release := holdWrites(t, l)
	h.advance(5 * time.Millisecond)
	c := l.call
	if c == nil {
		t.Fatal("no repeat")
	}
	h.clock += time.Second
	release()
	h.runUntil(t, "the repeat is held back", func() bool { return c.done && !l.writing })
	peer.CloseWrite()
	if text := readToEnd(peer); text != "" {
		t.Errorf("left outside of its window: %q", text)
	}
}

// Of a bulk call whose connection comes up late, only messages that are out of their window are not sent.
func TestWindowInBundle(t *testing.T) {
	conn, peer := connPair(t, false)
	settings := strings.Replace(idempotencyKeySettings(), `"side_effect"`, `"pure"`, 1)
	h := startWith(testConfigWith(t.TempDir(), settings, twoEndpointList))
	submitWithOneReset(t, h, "OUT.ADD 00 short c=status,d=6000,dest=2 x", "OUT.ADD 00 order c=order,d=20000,dest=2 x")
	h.advance(5 * time.Millisecond)
	c := h.calls[0]
	if len(c.messages) != 2 {
		t.Fatalf("%d messages in the bundle", len(c.messages))
	}
	h.clock += time.Second
	h.connectionUp(c, conn)
	if c.done {
		t.Fatal("none of the bundle left")
	}
	text := readUntilSuffix(t, peer, "x")
	if strings.Contains(text, "short") || !strings.Contains(text, "order") {
		t.Errorf("heard %q", text)
	}
}

// The window may end while a call is half written, to an endpoint that reads slowly: its last byte is not sent.
func TestWindowEndsInWrite(t *testing.T) {
	conn, peer := connPair(t, true)
	h := startWith(testConfigWith(t.TempDir(), idempotencyKeySettings(), twoEndpointList))
	body := strings.Repeat("x", 60000)
	submitWithOneReset(t, h, "OUT.ADD 00 id c=status,d=6000,dest=1 "+body)
	l := h.idleLink(t, "a", conn)
	h.advance(5 * time.Millisecond)
	c := l.call
	if c == nil {
		t.Fatal("no repeat")
	}
	heardSome := make([]byte, 1)
	peer.Read(heardSome) // some of it has left
	l.bufferLock.Lock()
	h.clock += time.Second
	l.bufferLock.Unlock()
	h.runUntil(t, "the repeat ends", func() bool { return c.done && !l.writing })
	if strings.Count(readToEnd(peer), "x") >= len(body) {
		t.Error("the last byte left outside of the window")
	}
}
