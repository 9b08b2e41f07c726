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

// These are states of a client's connection, with the kernel's numbers of TCP states.
const (
	stateOpen      = 1
	stateClosed    = 7
	stateCloseWait = 8 // the sender has shut down its sending side
)

const (
	pingText = "*1\r\n$4\r\nPING\r\n"
	pongText = "+PONG\r\n"
)

// outAdd returns an OUT.ADD command as it is sent.
func outAdd(key, id, list, body string) []byte {
	return resp.AppendCommand(nil, []byte("OUT.ADD"), []byte(key), []byte(id), []byte(list), []byte(body))
}

// addText returns an OUT.ADD command that every sender of these tests accepts.
func addText(id string) string { return string(outAdd("0", id, "c=status,d=6000,dest=1", "x")) }

// testClient is a client's connection to a sender.
type testClient struct {
	net.Conn
	answers *bufio.Reader
}

// connectClient connects a client to a sender.
func connectClient(t *testing.T, s *Sender) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(60 * time.Second))
	return &testClient{conn, bufio.NewReader(conn)}
}

// submit sends a message and returns the answer without its line end.
func (c *testClient) submit(key, id, list, body string) (answer string, err error) {
	if _, err := c.Write(outAdd(key, id, list, body)); err != nil {
		return "", err
	}
	line, err := c.answers.ReadString('\n')
	return strings.TrimSpace(line), err
}

// mustSubmit sends a message and fails the test unless it is accepted.
func (c *testClient) mustSubmit(t *testing.T, key, id, list, body string) {
	t.Helper()
	if answer, err := c.submit(key, id, list, body); answer != "+OK" || err != nil {
		t.Fatalf("submitting message %s: answer %q, error %v", id, answer, err)
	}
}

// onSocket calls f with the descriptor of a connection.
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

// tcpState returns the TCP state of a connection.
func tcpState(t *testing.T, conn net.Conn) (state int) {
	t.Helper()
	onSocket(t, conn, func(fd int) {
		info, _ := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
		state = info & 0xff // the state is the first byte of struct tcp_info
	})
	return state
}

// allAcknowledged reports whether the other end's kernel has received all that was written.
func allAcknowledged(t *testing.T, conn net.Conn) bool {
	t.Helper()
	left := int32(0)
	onSocket(t, conn, func(fd int) {
		syscall.Syscall(syscall.SYS_IOCTL, uintptr(fd), syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&left)))
	})
	return left == 0
}

// waitUntil waits until f returns true, and fails the test after 20 s, far more than any of the conditions needs.
func waitUntil(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 20 s:", what)
		}
	}
}

// onLoop calls f on the sender's loop and waits until it returns.
func onLoop(t *testing.T, s *Sender, f func()) {
	t.Helper()
	done := make(chan struct{})
	s.post(func() { f(); close(done) })
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("the loop did not run a posted function within 20 s")
	}
}

// waitOnLoop is waitUntil for a condition that must be evaluated on the loop.
func waitOnLoop(t *testing.T, s *Sender, what string, f func() bool) {
	t.Helper()
	waitUntil(t, what, func() (holds bool) {
		onLoop(t, s, func() { holds = f() })
		return holds
	})
}

// clientOf returns the sender's client for the connection conn of a test, once it is in the table.
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

// startServingClients starts a sender without discovery and with a limit of sockets. dial connects a client and sends a
// text.
func startServingClients(t *testing.T, sockets int) (s *Sender, dial func(string) net.Conn, done <-chan struct{}) {
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

// expectToEnd reads a connection to its end and reports an error if the content differs from want or the connection was
// reset.
func expectToEnd(t *testing.T, who string, conn net.Conn, want string) {
	t.Helper()
	if text, err := io.ReadAll(conn); string(text) != want || err != nil {
		t.Errorf("%s: read %q, %v, want %q", who, text, err, want)
	}
}

// mustRead reads len(want) bytes and fails the test if they are not want.
func mustRead(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	text := make([]byte, len(want))
	if _, err := io.ReadFull(conn, text); err != nil || string(text) != want {
		t.Fatalf("read %q, %v, want %q", text, err, want)
	}
}

// waitUntilAnswered waits until all commands that the sender has read are answered, except those of lingering clients. A
// command may still be unread in a socket; a caller to whom this matters reads the answers first.
func waitUntilAnswered(t *testing.T, s *Sender) {
	t.Helper()
	waitUntil(t, "all commands that were read are answered", func() bool {
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

// expectFloodAnswers checks the answers to clients that each sent a PING without waiting for the others. Each is served, or
// rejected if no other client could be displaced. A lingering client may be closed without an answer, before its input is
// read.
func expectFloodAnswers(t *testing.T, asking []net.Conn) {
	t.Helper()
	for i, conn := range asking {
		line, err := bufio.NewReader(conn).ReadString('\n')
		if line != pongText && line != busyAnswer && line != "" || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("client %d of the flood: answer %q, error %v", i, line, err)
		}
	}
}

// stallPollers blocks all pollers of netpoll, so that input stays in the sockets, until resume is called or the test ends.
func stallPollers(t *testing.T) (resume func()) {
	t.Helper()
	held := make(chan struct{})
	resume = sync.OnceFunc(func() { close(held) })
	t.Cleanup(resume)
	for range runtime.GOMAXPROCS(0)/20 + 1 { // the number of netpoll's pollers; each new listener uses the next poller
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
		go loop.Serve(ln) // until the process ends, like the sender's own listener
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		select {
		case <-stalled:
		case <-time.After(20 * time.Second):
			t.Fatal("a poller of netpoll was not blocked within 20 s")
		}
	}
	return resume
}
