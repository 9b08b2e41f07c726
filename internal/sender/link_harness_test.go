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

// This file holds helpers for tests of single connections, in which the test writes the endpoint's bytes itself.

// connTestTimeout limits each step of these tests. It is longer than any step takes.
const connTestTimeout = 5 * time.Second

// idempotencyKeySettings returns a settings object whose first class may be repeated for a second after its first call.
func idempotencyKeySettings() string {
	text := strings.Replace(twoClassSettings, `"idempotency":"pure"`, `"idempotency":"token","repeatWindow":1000000000`, 1)
	return strings.Replace(text, "%d", "100", 1)
}

// connPair returns a connection as the sender dials it, and the endpoint's side of it. A narrow connection has small socket
// buffers, which hold a few kilobytes in transit.
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

// idleLink adds conn to an endpoint's idle links and returns the link.
func (h *harness) idleLink(t *testing.T, to choice.EndpointID, conn netpoll.Connection) *link {
	t.Helper()
	c := &call{endpoint: h.s.endpoints[to], beganAt: h.s.Now(), timeout: choice.Second, probe: true}
	h.s.beginCall(c)
	h.calls = h.calls[:len(h.calls)-1]
	c.done = true
	h.connectionUp(c, conn)
	if len(c.endpoint.idle) != 1 {
		t.Fatalf("%d idle links, want 1", len(c.endpoint.idle))
	}
	return c.endpoint.idle[0]
}

// runUntil handles posted events until condition holds. description names the condition in the failure.
func (h *harness) runUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for timeout := time.After(connTestTimeout); !condition(); {
		select {
		case f := <-h.s.inbox:
			f()
		case <-timeout:
			t.Fatalf("timed out after %v waiting until %s", connTestTimeout, description)
		}
	}
}

// readUntilSuffix reads a request until it ends with suffix, which is the end of its body, and returns it.
func readUntilSuffix(t *testing.T, peer net.Conn, suffix string) string {
	t.Helper()
	var all []byte
	for piece := make([]byte, 65536); !strings.HasSuffix(string(all), suffix); {
		n, err := peer.Read(piece)
		if all = append(all, piece[:n]...); err != nil {
			t.Fatalf("reading the request failed after %q: %v", all, err)
		}
	}
	return string(all)
}

// readToEnd reads until the connection is closed or reset, and returns the bytes read.
func readToEnd(peer net.Conn) string {
	text, _ := io.ReadAll(peer)
	return string(text)
}

// resetConn closes a connection with a reset.
func resetConn(peer *net.TCPConn) {
	peer.SetLinger(0)
	peer.Close()
}
