package sender

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

const busyAnswer = "-BUSY 2000\r\n"

// Where all places are taken and none can be given up, a new client is answered -BUSY. One that sends nothing gets no
// answer, and is closed.
func TestRejectedIsAnswered(t *testing.T) {
	s, dial, done := serving(t, 64)
	s.clients.Lock()
	most := s.clients.maxConns
	s.clients.Unlock()
	for range most { // some of which may be for lingering clients
		conn := dial("*2\r\n$4\r\nPI")
		waitUntil(t, "half a command is read, or refused", func() bool {
			c := clientOf(t, s, conn)
			return c.partialSince.Load() != 0 || c.readerBusy.Load() || state(t, conn) != stateOpen
		})
	}
	asks, says := dial(addText("new")), dial("")
	expectToEnd(t, "a new client", asks, busyAnswer)
	expectToEnd(t, "a silent client", says, "")
	s.Drain()
	<-done
	if s.counts.submitted != 0 {
		t.Error("what was refused was taken on")
	}
}

// A client that has sent nothing yet may lose its place to another one; its first command is then answered.
func TestDisplacedIsAnswered(t *testing.T) {
	s, dial, done := serving(t, 64)
	first := dial("")
	clientOf(t, s, first)
	for range s.clients.maxServed - 1 {
		clientOf(t, s, dial(""))
	}
	mustRead(t, dial(pingText), pongText)
	if got := state(t, first); got != stateOpen {
		t.Errorf("the one silent longest is in state %d, closed with no answer", got)
	}
	io.WriteString(first, addText("new"))
	expectToEnd(t, "the displaced client", first, busyAnswer)
	s.Drain()
	<-done
}

// A client that has sent its first bytes keeps its place, also before they are read; where all have, the new one is rejected.
func TestFirstBytesKeepThePlace(t *testing.T) {
	stallPollers(t) // what comes stays in the sockets
	h := start("", 100)
	defer os.RemoveAll(h.dir)
	connect := func(says string) *client {
		pair, _ := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
		conn, _ := netpoll.NewFDConnection(pair[0])
		syscall.Write(pair[1], []byte(says))
		h.clock += time.Second
		return &client{conn: conn, connectedAt: h.clock, window: make(chan struct{}, windowSize)}
	}
	table := &h.s.clients
	table.maxServed = 2
	spoke, silent, third, fourth := connect("*"), connect(""), connect("*"), connect("*")
	for _, c := range []*client{spoke, silent} {
		if leaves, cut := table.add(c); leaves != nil || cut != nil {
			t.Fatal("a client had to leave while there were places")
		}
	}
	if leaves, _ := table.add(third); leaves != silent || silent.writeClosed {
		t.Errorf("silent: leaving %v, shut %v; spoke: leaving %v", silent.lingering, silent.writeClosed, spoke.lingering)
	}
	if leaves, _ := table.add(fourth); leaves != fourth || fourth.writeClosed {
		t.Errorf("fourth: leaving %v, shut %v; spoke: leaving %v", fourth.lingering, fourth.writeClosed, spoke.lingering)
	}
	spoke.readerBusy.Store(true)
	if table.reject(spoke, h.clock, drained) || spoke.lingering {
		t.Error("one whose commands the reader has in hand was turned away")
	}
	if table.served != 2 {
		t.Errorf("%d are served", table.served)
	}
}

// A client whose command is read but not answered keeps its place, as its command would be lost otherwise. Where that holds
// for all, a new client is rejected; once they are answered, a new one finds a place again.
func TestUnansweredKeepTheirPlaces(t *testing.T) {
	s, dial, done := serving(t, 64)
	goOn := make(chan struct{})
	letGo := sync.OnceFunc(func() { close(goOn) })
	defer letGo()
	s.post(func() { <-goOn }) // nothing is answered
	var asking []net.Conn
	for range s.clients.maxServed {
		conn := dial(pingText)
		c := clientOf(t, s, conn)
		waitUntil(t, "the command is counted", func() bool { return len(c.window) == 1 && !c.readerBusy.Load() })
		asking = append(asking, conn)
	}
	expectToEnd(t, "a new client", dial(pingText), busyAnswer)
	letGo()
	for _, conn := range asking {
		mustRead(t, conn, pongText)
	}
	waitUntilAnswered(t, s)
	mustRead(t, dial(pingText), pongText)
	s.Drain()
	<-done
}

// However many clients connect and stay, all connections stay within maxConns, and the served ones within maxServed; a client
// that connects once all commands are answered finds a place. Before that it may be answered -BUSY, as clients whose command
// is unread or unanswered keep their places: on a busy machine the last one once was.
func TestFloodOfClients(t *testing.T) {
	s, dial, done := serving(t, 64)
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
