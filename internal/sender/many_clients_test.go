package sender

import (
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/internal/resp"
)

const busyAnswer = "-BUSY 2000\r\n"

// TestRejectedIsAnswered checks that a new client is answered -BUSY if no other client can be displaced. A new client that
// sends nothing gets no answer and is closed.
func TestRejectedIsAnswered(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	s.clients.Lock()
	maxConns := s.clients.maxConns
	s.clients.Unlock()
	const commands = 3 // their answers are more than the kernel buffers for a client that does not read
	long := strings.Repeat(string(resp.AppendCommand(nil, []byte("PING"), make([]byte, resp.MaxBulk))), commands)
	for range maxConns { // more than maxServed, so some may be rejected
		conn := dial("")
		c := clientOf(t, s, conn)
		syscall.SetsockoptInt(c.conn.(netpoll.Conn).Fd(), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4<<10)
		io.WriteString(conn, long)
		waitUntil(t, "answers wait because the client does not read, or the client is rejected", func() bool {
			return c.unanswered.Load() > 0 && allAcknowledged(t, conn) || tcpState(t, conn) != stateOpen
		})
	}
	submitting, silent := dial(addText("new")), dial("")
	expectToEnd(t, "a new client", submitting, busyAnswer)
	expectToEnd(t, "a silent client", silent, "")
	s.Drain()
	<-done
	if s.counts.submitted != 0 {
		t.Error("the command of a rejected client was handled")
	}
}

// TestStalledClientsGiveWay guards against clients that stop in the middle of a command and so keep all places: a new client
// is served although they are as many as there are places. One that was displaced is answered -BUSY once its command is whole.
func TestStalledClientsGiveWay(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	const begun = 20 // bytes of the command
	served := dial(pingText)
	mustRead(t, served, pongText)
	var stalled []net.Conn
	for range s.clients.maxServed - 1 {
		conn := dial(addText("stalled")[:begun])
		c := clientOf(t, s, conn)
		waitUntil(t, "the incomplete command is read", func() bool { return c.partialSince.Load() != 0 && !c.readerBusy.Load() })
		stalled = append(stalled, conn)
	}
	mustRead(t, dial(pingText), pongText)
	if got := tcpState(t, served); got != stateOpen {
		t.Errorf("an idle client had to give way to a new one: TCP state %d", got)
	}
	io.WriteString(stalled[0], addText("stalled")[begun:])
	expectToEnd(t, "the client that has been stalled longest", stalled[0], busyAnswer)
	s.Drain()
	<-done
	if s.counts.submitted != 0 {
		t.Error("the command of a displaced client was handled")
	}
}

// TestDisplacedIsAnswered checks that a client that has sent nothing yet may be displaced, and that its first command is then
// answered.
func TestDisplacedIsAnswered(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	first := dial("")
	clientOf(t, s, first)
	for range s.clients.maxServed - 1 {
		clientOf(t, s, dial(""))
	}
	mustRead(t, dial(pingText), pongText)
	if got := tcpState(t, first); got != stateOpen {
		t.Errorf("the client that has been silent longest was closed without an answer: TCP state %d", got)
	}
	io.WriteString(first, addText("new"))
	expectToEnd(t, "the displaced client", first, busyAnswer)
	s.Drain()
	<-done
}

// TestFirstBytesKeepThePlace checks that a client that has sent its first bytes is not displaced, even if they are not read
// yet. If all clients have sent bytes, the new client is rejected.
func TestFirstBytesKeepThePlace(t *testing.T) {
	stallPollers(t) // input stays in the sockets
	h := start("", 100)
	defer os.RemoveAll(h.dir)
	connect := func(input string) *client {
		pair, _ := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
		conn, _ := netpoll.NewFDConnection(pair[0])
		syscall.Write(pair[1], []byte(input))
		h.clock += time.Second
		return &client{conn: conn, connectedAt: h.clock, inputAccount: ampleAccount(), outputAccount: ampleAccount()}
	}
	table := &h.s.clients
	table.maxServed = 2
	first, silent, third, fourth := connect("*"), connect(""), connect("*"), connect("*")
	for _, c := range []*client{first, silent} {
		if lingers, dropped := table.add(c); lingers != nil || dropped != nil {
			t.Fatal("a client was displaced while there were free places")
		}
	}
	if lingers, _ := table.add(third); lingers != silent || silent.writeClosed {
		t.Errorf("after the third client: silent is lingering %v, half-closed %v; first is lingering %v", silent.lingering, silent.writeClosed, first.lingering)
	}
	if lingers, _ := table.add(fourth); lingers != fourth || fourth.writeClosed {
		t.Errorf("after the fourth client: fourth is lingering %v, half-closed %v; first is lingering %v", fourth.lingering, fourth.writeClosed, first.lingering)
	}
	first.readerBusy.Store(true)
	if table.reject(first, h.clock, drained) || first.lingering {
		t.Error("a client was rejected while the reader was handling its input")
	}
	if table.served != 2 {
		t.Errorf("%d clients are served, want 2", table.served)
	}
}

// TestUnansweredKeepTheirPlaces checks that a client with an unanswered command is not displaced, because its command
// would be lost. While all clients have one, a new client is rejected. Once they are answered, a new client is served again.
func TestUnansweredKeepTheirPlaces(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	blocked := make(chan struct{})
	unblock := sync.OnceFunc(func() { close(blocked) })
	defer unblock()
	s.post(func() { <-blocked }) // blocks the loop, so that no command is answered
	var asking []net.Conn
	for range s.clients.maxServed {
		conn := dial(pingText)
		c := clientOf(t, s, conn)
		waitUntil(t, "the command is counted", func() bool { return c.unanswered.Load() == 1 && !c.readerBusy.Load() })
		asking = append(asking, conn)
	}
	expectToEnd(t, "a new client", dial(pingText), busyAnswer)
	unblock()
	for _, conn := range asking {
		mustRead(t, conn, pongText)
	}
	waitUntilAnswered(t, s)
	mustRead(t, dial(pingText), pongText)
	s.Drain()
	<-done
}

// TestFloodOfClients checks that connections stay within maxConns and served clients within maxServed, however many clients
// connect and stay. A client that connects once all commands are answered is served. Before that it may be answered -BUSY,
// as clients with unread or unanswered commands keep their places: this has happened to the last client on a busy machine.
func TestFloodOfClients(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	var held, asking []net.Conn
	for i := range 300 {
		conn := dial("")
		if i%3 == 0 {
			io.WriteString(conn, pingText)
			asking = append(asking, conn)
		}
		held = append(held, conn)
		s.clients.Lock()
		if len(s.clients.all) > s.clients.maxConns || s.clients.served > s.clients.maxServed {
			t.Errorf("%d clients, %d of them served", len(s.clients.all), s.clients.served)
		}
		s.clients.Unlock()
	}
	expectFloodAnswers(t, asking)
	waitUntilAnswered(t, s)
	mustRead(t, dial(pingText), pongText)
	for _, conn := range held {
		conn.Close()
	}
	s.Drain()
	<-done
}
