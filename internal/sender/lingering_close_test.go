package sender

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// However a sender closes a client's connection, a command that crosses the end does not reset the connection, which could
// lose an answer, and is not accepted.
func TestEndsInOrder(t *testing.T) {
	const sockets = 64
	const served, unserved = pingText, ""
	for _, way := range []struct {
		name, first, answer string
		end                 func(t *testing.T, s *Sender, c *client, conn net.Conn, dial func(string) net.Conn)
	}{
		{"idle", served, pongText, func(t *testing.T, s *Sender, c *client, _ net.Conn, _ func(string) net.Conn) {
			onLoop(t, s, func() { s.closeClient(c, idleTimeout) })
		}},
		{"silent", unserved, "", func(t *testing.T, s *Sender, c *client, conn net.Conn, dial func(string) net.Conn) {
			s.clients.Lock()
			defer s.clients.Unlock()
			c.connectedAt -= silentTimeout
		}},
		{"half a command", "*2\r\n$4\r\nPI", "", func(t *testing.T, s *Sender, c *client, conn net.Conn, dial func(string) net.Conn) {
			waitUntil(t, "half a command is read", func() bool { return c.partialSince.Load() != 0 })
			c.partialSince.Store(min(-1, c.partialSince.Load()-int64(partialCommandTimeout)))
		}},
		{"broken", "nonsense\r\n", "-ERR protocol: a command is an array of bulk strings\r\n", nil},
		{"bad", strings.Repeat("*1\r\n$4\r\nNONE\r\n", maxBadCommands), strings.Repeat("-ERR unknown command\r\n", maxBadCommands), nil},
		{"drained", served, pongText, func(t *testing.T, s *Sender, c *client, conn net.Conn, dial func(string) net.Conn) {
			s.Drain()
		}},
		{"made room for", served, pongText, func(t *testing.T, s *Sender, c *client, conn net.Conn, dial func(string) net.Conn) {
			for range sockets {
				if state(t, conn) != stateOpen {
					return
				}
				mustRead(t, dial(pingText), pongText)
			}
		}},
	} {
		t.Run(way.name, func(t *testing.T) {
			s, dial, done := serving(t, sockets)
			conn := dial(way.first)
			if way.end != nil {
				c := clientOf(t, s, conn)
				waitUntil(t, "the answer is out", func() bool { return way.first != served || c.idleSince.Load() != 0 })
				way.end(t, s, c, conn, dial)
			}
			waitUntil(t, "the sender ends the connection", func() bool { return state(t, conn) != stateOpen })
			io.WriteString(conn, addText("crossing"))
			waitUntil(t, "what crosses has come", func() bool { return allAcknowledged(t, conn) || state(t, conn) == stateClosed })
			if got := state(t, conn); got != stateCloseWait {
				t.Errorf("the connection is in state %d, and so was reset", got)
			}
			expectToEnd(t, way.name, conn, way.answer)
			conn.Close()
			waitUntil(t, "its place is free", func() bool {
				s.clients.Lock()
				defer s.clients.Unlock()
				for c := range s.clients.all {
					if c.peer == conn.LocalAddr().String() {
						return false
					}
				}
				return true
			})
			s.Drain()
			<-done
			if s.counts.submitted != 0 {
				t.Error("what was read after the end was taken")
			}
		})
	}
}

// lateInputConn is a connection on which input is made to come at the last moment before its end: at the call of Fd that the
// shutdown makes, which is the one after the check for input, or at the close.
type lateInputConn struct {
	netpoll.Connection
	looks      int
	onLastLook func()
}

func (c *lateInputConn) Fd() int {
	if c.looks++; c.looks == 2 {
		c.onLastLook()
	}
	return c.Connection.(netpoll.Conn).Fd()
}

func (c *lateInputConn) Close() error {
	if c.looks < 2 {
		c.looks = 2
		c.onLastLook()
	}
	return c.Connection.Close()
}

// A command that the reader has in hand between the last check of the socket and the shutdown is not accepted: the end is
// decided by then, and its answer could not be written.
func TestCommandBetweenLookAndShutdown(t *testing.T) {
	s, dial, done := serving(t, 64)
	conn := dial(pingText)
	c := clientOf(t, s, conn)
	waitUntil(t, "the answer is out", func() bool { return c.idleSince.Load() != 0 })
	onLoop(t, s, func() {
		c.conn = &lateInputConn{Connection: c.conn, onLastLook: func() {
			io.WriteString(conn, addText("crossing"))
			waitUntil(t, "the reader has the command in hand", func() bool { return c.readerBusy.Load() || len(c.window) > 0 })
		}}
		s.closeClient(c, idleTimeout)
	})
	expectToEnd(t, "the client", conn, pongText)
	conn.Close()
	s.Drain()
	<-done
	if s.counts.submitted != 0 {
		t.Error("a command was taken on whose answer cannot be written")
	}
}

// A command that is counted before the end is answered, although the client was to be closed by then; and so is one that is
// in the socket, unread, when the answer before it is written.
func TestCommandsBeforeTheEnd(t *testing.T) {
	s, dial, done := serving(t, 64)
	conn := dial("")
	c := clientOf(t, s, conn)
	letGo := func() {}
	onLoop(t, s, func() {
		io.WriteString(conn, pingText)
		waitUntil(t, "the command is counted", func() bool { return len(c.window) == 1 && !c.readerBusy.Load() })
		s.closeClient(c, idleTimeout)
		letGo = stallPollers(t)
		io.WriteString(conn, pingText)
		waitUntil(t, "the second has come", func() bool { return allAcknowledged(t, conn) })
	})
	mustRead(t, conn, pongText)
	waitOnLoop(t, s, "the end was looked at again", func() bool { return len(c.window) == 0 })
	letGo()
	expectToEnd(t, "the client", conn, pongText)
	conn.Close()
	s.Drain()
	<-done
}

// A client that never ends its side is closed after lingerTimeout, and one that sends on behind a broken command is closed
// after a bounded number of bytes.
func TestLingeringIsBounded(t *testing.T) {
	s, dial, done := serving(t, 64)
	start := time.Now()
	still, flood := dial("nonsense\r\n"), dial("nonsense\r\n")
	c := clientOf(t, s, flood)
	if _, err := io.Copy(flood, io.LimitReader(zeros{}, 100e6)); err == nil {
		t.Error("100 MB were read to the end")
	}
	if text, err := io.ReadAll(still); !strings.HasPrefix(string(text), "-ERR protocol") || err != nil {
		t.Errorf("told %q, %v", text, err)
	}
	waitUntil(t, "both are cut off", func() bool { return s.clients.count() == 0 })
	if took := time.Since(start); took < lingerTimeout || took > 10*lingerTimeout {
		t.Errorf("cut off after %v", took)
	}
	s.clients.Lock()
	if s.clients.served != 0 {
		t.Errorf("%d places are not free", s.clients.served)
	}
	s.clients.Unlock()
	s.Drain()
	<-done
	if limit := maxDiscarded + 16<<20; c.discarded > limit {
		t.Errorf("%d bytes were passed over", c.discarded)
	}
}
