package sender

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/cloudwego/netpoll"

	"flaxcove/internal/resp"
)

// States of a connection, as the kernel reports them of a client's socket.
const (
	stateOpen      = 1
	stateClosed    = 7
	stateCloseWait = 8 // the other end has ended its sending
)

const (
	pingText = "*1\r\n$4\r\nPING\r\n"
	pongText = "+PONG\r\n"
)

// outAdd is an OUT.ADD command.
func outAdd(key, id, list, body string) []byte {
	return resp.AppendCommand(nil, []byte("OUT.ADD"), []byte(key), []byte(id), []byte(list), []byte(body))
}

// addText is an OUT.ADD command that any sender of these tests accepts.
func addText(id string) string { return string(outAdd("0", id, "c=status,d=6000,dest=1", "x")) }

// testClient is a client's connection to a sender.
type testClient struct {
	net.Conn
	answers *bufio.Reader
}

// connectClient connects a client.
func connectClient(t *testing.T, s *Sender) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(60 * time.Second))
	return &testClient{conn, bufio.NewReader(conn)}
}

// submit sends a message and returns the line that answers it.
func (c *testClient) submit(key, id, list, body string) (answer string, err error) {
	if _, err := c.Write(outAdd(key, id, list, body)); err != nil {
		return "", err
	}
	line, err := c.answers.ReadString('\n')
	return strings.TrimSpace(line), err
}

// mustSubmit sends a message that is to be accepted.
func (c *testClient) mustSubmit(t *testing.T, key, id, list, body string) {
	t.Helper()
	if answer, err := c.submit(key, id, list, body); answer != "+OK" || err != nil {
		t.Fatalf("%s: %q %v", id, answer, err)
	}
}

// onSocket calls f with a connection's descriptor.
func onSocket(t *testing.T, conn net.Conn, f func(fd int)) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
	if err != nil {
		t.Fatal(err)
	}
}

func state(t *testing.T, conn net.Conn) (state int) {
	t.Helper()
	onSocket(t, conn, func(fd int) {
		info, _ := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
		state = info & 0xff // the first byte of what the kernel tells
	})
	return state
}

// allAcknowledged reports whether all that was written has come to the other end's system.
func allAcknowledged(t *testing.T, conn net.Conn) bool {
	t.Helper()
	left := int32(0)
	onSocket(t, conn, func(fd int) {
		syscall.Syscall(syscall.SYS_IOCTL, uintptr(fd), syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&left)))
	})
	return left == 0
}

// waitUntil waits for a condition, within a bound that no working machine reaches.
func waitUntil(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never:", what)
		}
	}
}

// onLoop calls f on the loop and waits for it.
func onLoop(t *testing.T, s *Sender, f func()) {
	t.Helper()
	done := make(chan struct{})
	s.post(func() { f(); close(done) })
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("the loop does nothing")
	}
}

// waitOnLoop waits for a condition that is read on the loop.
func waitOnLoop(t *testing.T, s *Sender, what string, f func() bool) {
	t.Helper()
	waitUntil(t, what, func() (holds bool) {
		onLoop(t, s, func() { holds = f() })
		return holds
	})
}

// clientOf is the sender's side of a connection.
func clientOf(t *testing.T, s *Sender, conn net.Conn) (c *client) {
	t.Helper()
	waitUntil(t, "the client is in the table", func() bool {
		s.clients.Lock()
		defer s.clients.Unlock()
		for other := range s.clients.all {
			if other.peer == conn.LocalAddr().String() {
				c = other
			}
		}
		return c != nil
	})
	return c
}

// serving starts a sender without discovery. dial connects a client that sends a text.
func serving(t *testing.T, sockets int) (s *Sender, dial func(string) net.Conn, done <-chan struct{}) {
	t.Helper()
	cfg := testConfig(t.TempDir(), 100)
	cfg.Listen, cfg.Discovery, cfg.Limits.Sockets = "127.0.0.1:0", "127.0.0.1:1", sockets
	s, first, done := startServing(t, cfg)
	first.Close()
	waitUntil(t, "the first client is gone", func() bool { return s.clients.count() == 0 })
	return s, func(text string) net.Conn {
		t.Helper()
		conn, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		t.Cleanup(func() { conn.Close() })
		io.WriteString(conn, text)
		return conn
	}, done
}

// expectToEnd reads a connection to its end, which is not to be a reset, and compares what was read.
func expectToEnd(t *testing.T, who string, conn net.Conn, want string) {
	t.Helper()
	if text, err := io.ReadAll(conn); string(text) != want || err != nil {
		t.Errorf("%s: read %q, %v, want %q", who, text, err, want)
	}
}

// mustRead reads as many bytes as it wants, and ends the test where they are others.
func mustRead(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	text := make([]byte, len(want))
	if _, err := io.ReadFull(conn, text); err != nil || string(text) != want {
		t.Fatalf("read %q, %v, want %q", text, err, want)
	}
}

// waitUntilAnswered waits until all commands are answered that were read from clients that keep their places. Who must know
// that no command is still unread reads the answers first.
func waitUntilAnswered(t *testing.T, s *Sender) {
	t.Helper()
	waitUntil(t, "what was read is answered", func() bool {
		s.clients.Lock()
		defer s.clients.Unlock()
		for c := range s.clients.all {
			if !c.lingering && !c.idle() {
				return false
			}
		}
		return true
	})
}

// expectFloodAnswers reads what clients are told that sent a PING without waiting for each other: they are served, or
// rejected while no other client could be displaced. A lingering one may be closed for others before its bytes are read.
func expectFloodAnswers(t *testing.T, asking []net.Conn) {
	t.Helper()
	for i, conn := range asking {
		line, err := bufio.NewReader(conn).ReadString('\n')
		if line != pongText && line != busyAnswer && line != "" || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("of those who ask the %dth was told %q, %v", i, line, err)
		}
	}
}

// stallPollers keeps netpoll from reading anything, so that input stays in the sockets, until letGo is called.
func stallPollers(t *testing.T) (letGo func()) {
	t.Helper()
	held := make(chan struct{})
	letGo = sync.OnceFunc(func() { close(held) })
	t.Cleanup(letGo)
	for range runtime.GOMAXPROCS(0)/20 + 1 { // so many has netpoll, and each listener takes the next one
		ln, err := netpoll.CreateListener("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		stalled := make(chan struct{})
		loop, err := netpoll.NewEventLoop(func(context.Context, netpoll.Connection) error { return nil },
			netpoll.WithOnPrepare(func(conn netpoll.Connection) context.Context {
				close(stalled)
				<-held
				return nil
			}))
		if err != nil {
			t.Fatal(err)
		}
		go loop.Serve(ln) // until the process ends, as the sender's own
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		select {
		case <-stalled:
		case <-time.After(20 * time.Second):
			t.Fatal("netpoll does not come to a stand")
		}
	}
	return letGo
}
