package sender

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// silentConn returns a connection to a server that sends nothing.
func silentConn(t *testing.T) netpoll.Connection {
	t.Helper()
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	conn, err := netpoll.DialConnection("tcp", server.Listener.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestWriteAfterEnd checks that a link that ends between the loop's decision and the write fails its call, and does not
// crash the process. netpoll has released the link's buffers by then.
func TestWriteAfterEnd(t *testing.T) {
	conn := silentConn(t)
	h := start(t.TempDir(), 100)
	h.submit("OUT.ADD 00 id c=order,d=20000,dest=1 x")
	c := h.calls[0]
	c.done = true // so that the link becomes idle
	h.connectionUp(c, conn)
	l := c.endpoint.idle[0]
	l.conn.Close()
	c.done = false
	h.s.startWrite(c, l)
	for !c.done {
		(<-h.s.inbox)()
	}
	if m := h.s.pending["id"]; m == nil || m.MayRun {
		t.Error("a message that was never sent has ended or counts as one that may have run")
	}
}

// TestLateConnectionCarriesNothing checks that a call is not sent on a connection that is established after the call's
// timeout. After a process was stopped, it handles the connection before its timers fire.
func TestLateConnectionCarriesNothing(t *testing.T) {
	conn := silentConn(t)
	h := start(t.TempDir(), 100)
	h.submit("OUT.ADD 00 id c=status,d=6000,dest=1 x")
	c := h.calls[0]
	h.clock += 7 * time.Second
	h.connectionUp(c, conn)
	if !c.done || c.link != nil {
		t.Errorf("call done %v, sent %v, want it done and not sent after its timeout", c.done, c.link != nil)
	}
}
