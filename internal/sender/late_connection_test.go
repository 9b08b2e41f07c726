package sender

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// silentConn is a connection to a server that sends nothing.
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

// A link that ends between the loop's decision and the write fails its call, and does not crash the process: netpoll has
// dropped its buffers by then.
func TestWriteAfterEnd(t *testing.T) {
	conn := silentConn(t)
	h := start(t.TempDir(), 100)
	h.submit("OUT.ADD 00 id c=order,d=20000,dest=1 x")
	c := h.calls[0]
	c.done = true // so that the link comes up idle
	h.connectionUp(c, conn)
	l := c.endpoint.idle[0]
	l.conn.Close()
	c.done = false
	h.s.startWrite(c, l)
	for !c.done {
		(<-h.s.inbox)()
	}
	if m := h.s.pending["id"]; m == nil || m.MayRun {
		t.Error("what never left is taken for one that may have run")
	}
}

// A process that was stopped hears that a connection is up before its timers fire: a call whose time is over by then must
// not be sent on it.
func TestLateConnectionCarriesNothing(t *testing.T) {
	conn := silentConn(t)
	h := start(t.TempDir(), 100)
	h.submit("OUT.ADD 00 id c=status,d=6000,dest=1 x")
	c := h.calls[0]
	h.clock += 7 * time.Second
	h.connectionUp(c, conn)
	if !c.done || c.link != nil {
		t.Errorf("the call left after its time: over %v", c.done)
	}
}
