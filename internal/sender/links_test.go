package sender

import (
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// movedA is a list update that moves endpoint a to another address.
const movedA = `{"version":2,"full":false,"servers":[{"id":"a","addr":"127.0.0.1:7","zone":"z","kind":"one","cell":1,"state":"up","weight":100}]}`

// TestLateConnectionToOldAddress checks that a connection whose endpoint moved during the dial carries no call: another
// endpoint may serve at the old address now.
func TestLateConnectionToOldAddress(t *testing.T) {
	for _, callDone := range []bool{false, true} {
		conn, peer := connPair(t, false)
		h := start(t.TempDir(), 100)
		h.submit("OUT.ADD 00 id c=order,d=20000,dest=1 x")
		c := h.calls[0]
		h.updateList(movedA)
		c.done = callDone
		h.connectionUp(c, conn)
		if n := len(h.s.endpoints["a"].idle); n != 0 || c.link != nil {
			t.Errorf("call done %v: %d idle links, call sent %v, want none", callDone, n, c.link != nil)
		}
		if text := readToEnd(peer); text != "" {
			t.Errorf("call done %v: the old address received %q", callDone, text)
		}
		if m := h.s.pending["id"]; m == nil || m.MayRun {
			t.Error("a message that was never sent has ended or counts as one that may have run")
		}
	}
}

// TestBusyLinkToOldAddress checks that a link that was busy when its endpoint moved is not kept idle for the next call.
func TestBusyLinkToOldAddress(t *testing.T) {
	conn, peer := connPair(t, false)
	h := start(t.TempDir(), 100)
	h.submit("OUT.ADD 00 id c=order,d=20000,dest=1 xyz")
	c := h.calls[0]
	h.connectionUp(c, conn)
	readUntilSuffix(t, peer, "xyz")
	h.updateList(movedA)
	peer.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	h.runUntil(t, "the call ends", func() bool { return c.done && !c.link.writing })
	if n := len(h.s.endpoints["a"].idle); n != 0 {
		t.Errorf("%d idle links to the old address", n)
	}
	if h.s.pending["id"] != nil {
		t.Error("the answer on the old link was ignored")
	}
}

// TestLateConnection checks that a connection carries no call if the call has ended, or the endpoint has drained or is no
// longer listed, when the connection is established. It is kept idle for the next call unless the endpoint is gone.
func TestLateConnection(t *testing.T) {
	const drained = `{"version":2,"full":false,"servers":[{"id":"a","addr":"127.0.0.1:1","zone":"z","kind":"one","cell":1,"state":"draining","weight":100}]}`
	const gone = `{"version":2,"full":false,"servers":[{"id":"a","addr":"","cell":1,"state":"removed"}]}`
	for _, tc := range []struct {
		name  string
		event func(*harness, *call) // happens during the dial
		idle  int
	}{
		{"call timed out", func(h *harness, c *call) { h.s.expireCall(c) }, 1},
		{"message withdrawn and call timed out", func(h *harness, c *call) { h.s.pending["id"].withdrawn = true; h.s.expireCall(c) }, 1},
		{"drained", func(h *harness, _ *call) { h.updateList(drained) }, 1},
		{"unlisted", func(h *harness, _ *call) { h.updateList(gone) }, 0},
		{"message cancelled", func(h *harness, c *call) { h.s.cancelMessage(c, h.s.pending["id"]) }, 1},
	} {
		conn, peer := connPair(t, false)
		h := start(t.TempDir(), 100)
		h.submit("OUT.ADD 00 id c=order,d=20000,dest=1 x")
		c, e := h.calls[0], h.s.endpoints["a"]
		tc.event(h, c)
		h.connectionUp(c, conn)
		if !c.done || c.link != nil || len(e.idle) != tc.idle {
			t.Errorf("%s: call done %v, sent %v, %d idle links, want %d", tc.name, c.done, c.link != nil, len(e.idle), tc.idle)
		}
		if m := h.s.pending["id"]; m != nil && (m.MayRun || m.inFlight != nil) {
			t.Errorf("%s: may have run %v, in flight %v", tc.name, m.MayRun, m.inFlight != nil)
		}
		for _, l := range e.idle {
			h.s.closeIdleLink(l, notNeeded)
		}
		if text := readToEnd(peer); text != "" {
			t.Errorf("%s: the endpoint received %q", tc.name, text)
		}
		h.runUntil(t, "the link has ended", func() bool { return h.s.openLinks == 0 && e.linkCount == 0 })
	}
}

// TestNoDelayOnCalls checks that small writes on links are not delayed (Nagle's algorithm): a close of the connection with
// unread bytes would lose the delayed ones.
func TestNoDelayOnCalls(t *testing.T) {
	conn, _ := connPair(t, false)
	h := start(t.TempDir(), 100)
	l := h.idleLink(t, "a", conn)
	if on, err := syscall.GetsockoptInt(l.conn.(netpoll.Conn).Fd(), syscall.IPPROTO_TCP, syscall.TCP_NODELAY); on != 1 || err != nil {
		t.Errorf("TCP_NODELAY is %d, error %v, want 1 and none", on, err)
	}
}

// TestOldestIdleWithoutSearch checks that the link that has been idle longest is found without a search among the
// endpoints: with 61,000 of them the search was most of a call's cost. A link that is in use or has ended is not idle.
func TestOldestIdleWithoutSearch(t *testing.T) {
	h := start(t.TempDir(), 100)
	var links []*link
	for range 4 {
		conn, _ := connPair(t, false)
		l := &link{sender: h.s, endpoint: h.s.endpoints["a"], addr: h.s.endpoints["a"].addr, conn: conn}
		h.s.makeIdle(l)
		h.clock += time.Millisecond
		links = append(links, l)
	}
	if used := h.s.takeIdle(links[0].endpoint); used != links[3] {
		t.Fatal("takeIdle did not return the link that was used last")
	}
	h.s.onLinkEnded(links[1], nil)
	h.s.endpoints = nil
	for _, oldest := range []*link{links[0], links[2]} {
		if !h.s.closeOldestIdle() || !oldest.closing || oldest.closeReason != displaced {
			t.Errorf("the link idle longest was not closed as displaced: close reason %q", oldest.closeReason)
		}
	}
	if h.s.closeOldestIdle() || links[3].closing {
		t.Error("a link was closed though none is idle")
	}
}
