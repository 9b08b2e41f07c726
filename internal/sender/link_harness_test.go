package sender

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/choice"
)

// What the tests of single connections share: an endpoint that a test speaks for, byte by byte.

const connTestTimeout = 5 * time.Second // more than any step of these tests takes

// keyed is a settings object whose first class may be repeated for a second after its first call.
func idempotencyKeySettings() string {
	text := strings.Replace(twoClassSettings, `"idempotency":"pure"`, `"idempotency":"token","repeatWindow":1000000000`, 1)
	return strings.Replace(text, "%d", "100", 1)
}

// connPair is a connection as the sender dials it, and its endpoint's side. A narrow one holds a few kilobytes on its way.
func connPair(t *testing.T, narrow bool) (netpoll.Connection, *net.TCPConn) {
	t.Helper()
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if narrow {
			raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
		}
		return err
	}}
	ln, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := netpoll.DialConnection("tcp", ln.Addr().String(), connTestTimeout)
	if err != nil {
		t.Fatal(err)
	}
	if narrow {
		if err := syscall.SetsockoptInt(conn.(netpoll.Conn).Fd(), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096); err != nil {
			t.Fatal(err)
		}
	}
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	peer.SetDeadline(time.Now().Add(connTestTimeout))
	t.Cleanup(func() { peer.Close(); conn.Close() })
	return conn, peer.(*net.TCPConn)
}

// idleLink brings up a link that idles at an endpoint.
func (h *harness) idleLink(t *testing.T, to choice.EndpointID, conn netpoll.Connection) *link {
	t.Helper()
	c := &call{endpoint: h.s.endpoints[to], beganAt: h.s.Now(), timeout: choice.Second, probe: true}
	h.s.beginCall(c)
	h.calls = h.calls[:len(h.calls)-1]
	c.done = true
	h.connectionUp(c, conn)
	if len(c.endpoint.idle) != 1 {
		t.Fatalf("%d idle links", len(c.endpoint.idle))
	}
	return c.endpoint.idle[0]
}

// runUntil does what is posted until something holds.
func (h *harness) runUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for late := time.After(connTestTimeout); !holds(); {
		select {
		case f := <-h.s.inbox:
			f()
		case <-late:
			t.Fatalf("it did not come to pass: %s", what)
		}
	}
}

// readUntilSuffix reads a whole request head and body, which ends as the last byte of body has come.
func readUntilSuffix(t *testing.T, peer net.Conn, last string) string {
	t.Helper()
	var all []byte
	for piece := make([]byte, 65536); !strings.HasSuffix(string(all), last); {
		n, err := peer.Read(piece)
		if all = append(all, piece[:n]...); err != nil {
			t.Fatalf("after %q: %v", all, err)
		}
	}
	return string(all)
}

// readToEnd reads to the end of a connection, however it ends.
func readToEnd(peer net.Conn) string {
	text, _ := io.ReadAll(peer)
	return string(text)
}

// resetConn ends a connection without a word.
func resetConn(peer *net.TCPConn) {
	peer.SetLinger(0)
	peer.Close()
}
