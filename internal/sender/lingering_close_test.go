package sender

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// TestCrossingCommand checks each way in which a sender closes a client's connection. A command that the client sends at the
// same time is not accepted, and does not reset the connection, because a reset could lose an answer.
func TestCrossingCommand(t *testing.T) {
	const sockets = 64
	const served, unserved = pingText, ""
	for _, way := range []struct {
		name, first, answer string // first is the client's first input, answer all that the sender sends
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
		{"incomplete command", "*2\r\n$4\r\nPI", "", func(t *testing.T, s *Sender, c *client, conn net.Conn, dial func(string) net.Conn) {
			waitUntil(t, "the incomplete command is read", func() bool { return c.partialSince.Load() != 0 })
			c.partialSince.Store(min(-1, c.partialSince.Load()-int64(partialCommandTimeout)))
		}},
		{"malformed input", "nonsense\r\n", "-ERR protocol: a command is an array of bulk strings\r\n", nil},
		{"invalid commands", strings.Repeat("*1\r\n$4\r\nNONE\r\n", maxBadCommands), strings.Repeat("-ERR unknown command\r\n", maxBadCommands), nil},
		{"drained", served, pongText, func(t *testing.T, s *Sender, c *client, conn net.Conn, dial func(string) net.Conn) {
			s.Drain()
		}},
		{"displaced", served, pongText, func(t *testing.T, s *Sender, c *client, conn net.Conn, dial func(string) net.Conn) {
			for range sockets {
				if tcpState(t, conn) != stateOpen {
					return
				}
				mustRead(t, dial(pingText), pongText)
			}
		}},
	} {
		t.Run(way.name, func(t *testing.T) {
			s, dial, done := startServingClients(t, sockets)
			conn := dial(way.first)
			if way.end != nil {
				c := clientOf(t, s, conn)
				waitUntil(t, "the answer is written", func() bool { return way.first != served || c.idleSince.Load() != 0 })
				way.end(t, s, c, conn, dial)
			}
			waitUntil(t, "the sender closes the connection", func() bool { return tcpState(t, conn) != stateOpen })
			io.WriteString(conn, addText("crossing"))
			waitUntil(t, "the crossing command has arrived", func() bool { return allAcknowledged(t, conn) || tcpState(t, conn) == stateClosed })
			if got := tcpState(t, conn); got != stateCloseWait {
				t.Errorf("the connection is in TCP state %d, so it was reset", got)
			}
			expectToEnd(t, way.name, conn, way.answer)
			conn.Close()
			waitUntil(t, "the client is removed from the table", func() bool {
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
				t.Error("a command read after the half-close was handled")
			}
		})
	}
}

// lateInputConn is a connection that calls onLastCheck between the sender's last check for input and the half-close: at the
// second call of Fd, which the half-close makes, or at Close.
type lateInputConn struct {
	netpoll.Connection
	checks      int // calls of Fd
	onLastCheck func()
}

func (c *lateInputConn) Fd() int {
	if c.checks++; c.checks == 2 {
		c.onLastCheck()
	}
	return c.Connection.(netpoll.Conn).Fd()
}

func (c *lateInputConn) Close() error {
	if c.checks < 2 {
		c.checks = 2
		c.onLastCheck()
	}
	return c.Connection.Close()
}

// TestCommandBetweenCheckAndHalfClose checks that a command that the reader gets between the last check of the socket and the
// half-close is not accepted. The half-close is already decided, so the command's answer could not be written.
func TestCommandBetweenCheckAndHalfClose(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	conn := dial(pingText)
	c := clientOf(t, s, conn)
	waitUntil(t, "the answer is written", func() bool { return c.idleSince.Load() != 0 })
	onLoop(t, s, func() {
		c.conn = &lateInputConn{Connection: c.conn, onLastCheck: func() {
			io.WriteString(conn, addText("crossing"))
			waitUntil(t, "the reader has got the command", func() bool { return c.readerBusy.Load() || c.unanswered.Load() > 0 })
		}}
		s.closeClient(c, idleTimeout)
	})
	expectToEnd(t, "the client", conn, pongText)
	conn.Close()
	s.Drain()
	<-done
	if s.counts.submitted != 0 {
		t.Error("a command was handled whose answer cannot be written")
	}
}

// TestCommandsBeforeTheEnd checks that a command counted before the half-close is answered although the client is closing
// already, and so is a command that is still unread in the socket when the answer before it is written.
func TestCommandsBeforeTheEnd(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	conn := dial("")
	c := clientOf(t, s, conn)
	resume := func() {}
	onLoop(t, s, func() {
		io.WriteString(conn, pingText)
		waitUntil(t, "the command is counted", func() bool { return c.unanswered.Load() == 1 && !c.readerBusy.Load() })
		s.closeClient(c, idleTimeout)
		resume = stallPollers(t)
		io.WriteString(conn, pingText)
		waitUntil(t, "the second command has arrived", func() bool { return allAcknowledged(t, conn) })
	})
	mustRead(t, conn, pongText)
	waitOnLoop(t, s, "the first command has left the window", func() bool { return c.unanswered.Load() == 0 })
	resume()
	expectToEnd(t, "the client", conn, pongText)
	conn.Close()
	s.Drain()
	<-done
}

// TestLingeringIsBounded checks that the connection of a client that never closes its side is closed after lingerTimeout, and
// that of a client that keeps sending after a malformed command after a limited number of bytes.
func TestLingeringIsBounded(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	start := time.Now()
	still, flood := dial("nonsense\r\n"), dial("nonsense\r\n")
	c := clientOf(t, s, flood)
	if _, err := io.Copy(flood, io.LimitReader(zeros{}, 100e6)); err == nil {
		t.Error("the sender has read all 100 MB")
	}
	if text, err := io.ReadAll(still); !strings.HasPrefix(string(text), "-ERR protocol") || err != nil {
		t.Errorf("answer to malformed input: %q, error %v", text, err)
	}
	waitUntil(t, "both connections are closed", func() bool { return s.clients.count() == 0 })
	if took := time.Since(start); took < lingerTimeout || took > 10*lingerTimeout {
		t.Errorf("both connections were closed after %v", took)
	}
	s.clients.Lock()
	if s.clients.served != 0 {
		t.Errorf("%d clients still count as served", s.clients.served)
	}
	s.clients.Unlock()
	s.Drain()
	<-done
	if limit := maxDiscarded + 16<<20; c.discarded > limit {
		t.Errorf("%d bytes were discarded, want at most %d", c.discarded, limit)
	}
}
