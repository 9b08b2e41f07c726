package sender

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// hold keeps what is written on a link from leaving until it is released, or the test ends.
func hold(t *testing.T, l *link) (release func()) {
	l.bufferLock.Lock()
	release = sync.OnceFunc(l.bufferLock.Unlock)
	t.Cleanup(release)
	return release
}

// Bytes that come on an idle link while a call is about to leave on it must not be taken for the call's answer, and
// a link whose end comes then must not cost a call that may have run: no byte of it has left.
func TestMeetsAtIdleLink(t *testing.T) {
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
		conn, peer := met(t, false)
		r := start(t.TempDir(), 100)
		l := r.rest(t, "a", conn)
		release := hold(t, l) // the call waits here, after the link was found to be idle
		r.hand("OUT.ADD 00 id c=order,d=20000,dest=1 xyz")
		c := l.call
		if c == nil {
			t.Fatal("no call on the link")
		}
		of.comes(peer, func() { peer.Close() })
		for end := time.Now().Add(meetFor); conn.Reader().Len() == 0 && !l.badInput.Load() && conn.IsActive() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		release()
		r.pump(t, of.name+": the call ends", func() bool { return c.done && !l.writing })
		if n := r.s.pending["id"]; n == nil || n.MayRun {
			t.Errorf("%s: delivered %v, though no byte has left", of.name, n == nil)
		}
		peer.CloseWrite()
		if text := allHeard(peer); text != "" {
			t.Errorf("%s: heard %q", of.name, text)
		}
	}
}

// No call may leave on a link on which something has come, whether it lies in the socket's buffers or has been read and
// found to be unasked for, with the connection's end yet to come.
func TestAskSeesWhatCame(t *testing.T) {
	conn, peer := met(t, false) // read by the test alone
	conn.SetReadTimeout(meetFor)
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

// lostOnce hands a message in whose first call is reset, and lets the time of its next come while nothing may leave.
func lostOnce(t *testing.T, r *rig, commands ...string) {
	t.Helper()
	for _, dest := range []string{"1", "2"} { // so that its endpoint does not count as out for one spoilt answer
		r.hand("OUT.ADD 00 before" + dest + " c=order,d=20000,dest=" + dest + " x").answer(ok)
	}
	r.hand(commands...)
	r.answer("HTTP/1.")
	r.s.gated = true
	r.turn(300 * time.Millisecond)
	r.s.gated = false
	for id, n := range r.s.pending {
		if !n.MayRun || n.ending.kind != endNone {
			t.Fatalf("%s: may run %v, ends %v", id, n.MayRun, n.ending.kind)
		}
	}
}

// The window for repeats may end between the last look at the link and the write, as where the process stood still.
// No byte of the repeat may leave then.
func TestWindowEndsBeforeWrite(t *testing.T) {
	conn, peer := met(t, false)
	r := startAs(configureAs(t.TempDir(), tokened(), known))
	lostOnce(t, r, "OUT.ADD 00 id c=status,d=6000,dest=1 xyz")
	l := r.rest(t, "a", conn)
	release := hold(t, l)
	r.turn(5 * time.Millisecond)
	c := l.call
	if c == nil {
		t.Fatal("no repeat")
	}
	r.clock += time.Second
	release()
	r.pump(t, "the repeat is held back", func() bool { return c.done && !l.writing })
	peer.CloseWrite()
	if text := allHeard(peer); text != "" {
		t.Errorf("left outside of its window: %q", text)
	}
}

// In a bundle that comes up late, only what is out of its window stays behind.
func TestWindowInBundle(t *testing.T) {
	conn, peer := met(t, false)
	settings := strings.Replace(tokened(), `"side_effect"`, `"pure"`, 1)
	r := startAs(configureAs(t.TempDir(), settings, known))
	lostOnce(t, r, "OUT.ADD 00 short c=status,d=6000,dest=2 x", "OUT.ADD 00 order c=order,d=20000,dest=2 x")
	r.turn(5 * time.Millisecond)
	c := r.calls[0]
	if len(c.messages) != 2 {
		t.Fatalf("%d messages in the bundle", len(c.messages))
	}
	r.clock += time.Second
	r.comesUp(c, conn)
	if c.done {
		t.Fatal("none of the bundle left")
	}
	text := heardBy(t, peer, "x")
	if strings.Contains(text, "short") || !strings.Contains(text, "order") {
		t.Errorf("heard %q", text)
	}
}

// The window may end while a call is half written, to an endpoint that reads slowly: its last byte must not leave.
func TestWindowEndsInWrite(t *testing.T) {
	conn, peer := met(t, true)
	r := startAs(configureAs(t.TempDir(), tokened(), known))
	body := strings.Repeat("x", 60000)
	lostOnce(t, r, "OUT.ADD 00 id c=status,d=6000,dest=1 "+body)
	l := r.rest(t, "a", conn)
	r.turn(5 * time.Millisecond)
	c := l.call
	if c == nil {
		t.Fatal("no repeat")
	}
	heardSome := make([]byte, 1)
	peer.Read(heardSome) // some of it has left
	l.bufferLock.Lock()
	r.clock += time.Second
	l.bufferLock.Unlock()
	r.pump(t, "the repeat ends", func() bool { return c.done && !l.writing })
	if strings.Count(allHeard(peer), "x") >= len(body) {
		t.Error("the last byte left outside of the window")
	}
}
