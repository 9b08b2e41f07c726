package sender

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/internal/resp"
)

// waitEnded waits until done is closed, which means that the loop has ended.
func waitEnded(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("the graceful shutdown has not ended within 20 s")
	}
}

// drainSignalledBefore starts a graceful shutdown as if its signal had come some time ago, given by before, and runs
// checkDrain at once.
func drainSignalledBefore(t *testing.T, s *Sender, before time.Duration) {
	t.Helper()
	onLoop(t, s, func() {
		s.startDrain(s.clock() - before)
		s.checkDrain()
	})
}

// TestDrainHalfClosesAll checks that all connections are half-closed when the process ends, because the end of the process
// resets connections that have unread input. This includes a client with unread input, a client with an incomplete command,
// and a client that has just connected and has sent nothing.
func TestDrainHalfClosesAll(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	unread, partial, idle, fresh := dial(pingText), dial("*2\r\n$4\r\nPI"), dial(pingText), dial("")
	mustRead(t, unread, pongText)
	mustRead(t, idle, pongText)
	c := clientOf(t, s, partial)
	waitUntil(t, "the incomplete command is read", func() bool { return c.partialSince.Load() != 0 })
	clientOf(t, s, fresh)
	stallPollers(t) // until the test ends
	io.WriteString(unread, addText("unread"))
	waitUntil(t, "the command has arrived in the sender's socket", func() bool { return allAcknowledged(t, unread) })
	drainSignalledBefore(t, s, drainEndTime)
	waitEnded(t, done)
	for name, conn := range map[string]net.Conn{"unread": unread, "partial": partial, "idle": idle, "fresh": fresh} {
		if got := tcpState(t, conn); got != stateCloseWait {
			t.Errorf("client %s: TCP state %d when the process ends, which would reset the connection", name, got)
		}
	}
	if s.counts.submitted != 0 {
		t.Error("a command was accepted after the half-close")
	}
}

// TestDrainAnswersWhatWasRead checks that all commands that were read are answered before the process ends, even if they are
// more than a window. The process then ends before drainHardEnd.
func TestDrainAnswersWhatWasRead(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	conn := dial("")
	c := clientOf(t, s, conn)
	const commands = 3 * windowSize
	onLoop(t, s, func() {
		io.WriteString(conn, strings.Repeat(pingText, commands))
		waitUntil(t, "all commands are read", func() bool { return allAcknowledged(t, conn) && c.unanswered.Load() == commands })
		s.startDrain(s.clock() - drainReadTime)
	})
	if text, err := io.ReadAll(conn); string(text) != strings.Repeat(pongText, commands) || err != nil {
		t.Errorf("%d of %d answers, %v", strings.Count(string(text), pongText), commands, err)
	}
	conn.Close()
	waitEnded(t, done)
	if s.sinceDrain() >= drainHardEnd {
		t.Error("the process waited for its hard end without any client")
	}
}

// TestDrainWithBusyClients checks that a graceful shutdown also closes a client that sends without a pause and so is never
// idle, and that a client that reads slowly gets all its answers.
func TestDrainWithBusyClients(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	busy, slow := dial(""), dial("")
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		for { // until the connection ends
			if _, err := io.WriteString(busy, strings.Repeat(pingText, 8)); err != nil {
				return
			}
		}
	}()
	go io.Copy(io.Discard, busy)
	c := clientOf(t, s, slow)
	syscall.SetsockoptInt(c.conn.(netpoll.Conn).Fd(), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4<<10)
	const commands = 3 // more than the kernel buffers for a client that does not read, and less than maxUnreadOutput
	io.WriteString(slow, strings.Repeat(string(resp.AppendCommand(nil, []byte("PING"), make([]byte, resp.MaxBulk))), commands))
	waitUntil(t, "the answers wait because the client does not read", func() (wait bool) {
		onLoop(t, s, func() {
			wait = c.writingReplies > 0 && c.unanswered.Load() > 0 && c.partialSince.Load() == 0 && c.writingReplies+c.outputReplies == int(c.unanswered.Load())
		})
		return wait && allAcknowledged(t, slow)
	})
	drainSignalledBefore(t, s, drainSendTime)
	want := strings.Repeat(string(resp.AppendBulk(nil, make([]byte, resp.MaxBulk))), commands)
	if text, err := io.ReadAll(slow); string(text) != want || err != nil {
		t.Errorf("%d of %d bytes of answers, %v", len(text), len(want), err)
	}
	slow.Close()
	waitUntil(t, "the connection of the busy client is closed", func() bool { return tcpState(t, busy) != stateOpen })
	waitEnded(t, done)
	busy.Close()
	<-stop
}

// TestDrainCountsFromTheSignal checks that the steps of a graceful shutdown count from the signal, even if the loop handles
// it later, and that a second signal or a reload changes nothing.
func TestDrainCountsFromTheSignal(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	var postedBy time.Duration // a time after the signal and before the loop handles it
	onLoop(t, s, func() {
		go s.Drain()
		waitUntil(t, "the signal waits for the loop", func() bool { return len(s.inbox) > 0 })
		postedBy = s.clock()
	})
	onLoop(t, s, func() {
		first := s.drainSince
		if !s.draining || first >= postedBy {
			t.Errorf("draining %v, counted from %v, want a time before %v", s.draining, first, postedBy)
		}
		s.startDrain(s.clock())
		if s.drainSince != first {
			t.Error("a second signal has restarted the steps")
		}
		s.reload(s.cfg, nil) // as for SIGHUP
	})
	s.Drain()
	conn := dial(pingText)
	expectToEnd(t, "a client that came after the signal", conn, pongText)
	conn.Close()
	waitEnded(t, done)
}

// TestCommandsAroundTheSignal checks that the first command of a client that connected just before the signal is answered,
// and that an incomplete command is waited for and answered.
func TestCommandsAroundTheSignal(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	fresh, partial := dial(""), dial(pingText[:7])
	clientOf(t, s, fresh)
	c := clientOf(t, s, partial)
	waitUntil(t, "the incomplete command is read", func() bool { return c.partialSince.Load() != 0 })
	drainSignalledBefore(t, s, 0)
	io.WriteString(fresh, pingText)
	io.WriteString(partial, pingText[7:])
	for name, conn := range map[string]net.Conn{"fresh": fresh, "partial": partial} {
		expectToEnd(t, name, conn, pongText)
		conn.Close()
	}
	waitEnded(t, done)
}

// TestNewClientAtTheEnd checks that a client that has sent nothing by drainReadTime is rejected and gets an answer to its
// first command before its connection is closed.
func TestNewClientAtTheEnd(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	conn := dial("")
	c := clientOf(t, s, conn)
	drainSignalledBefore(t, s, drainReadTime)
	onLoop(t, s, func() {
		if !c.lingering || c.isWriteClosed() {
			t.Errorf("lingering %v, half-closed without an answer %v, want true and false", c.lingering, c.isWriteClosed())
		}
		io.WriteString(conn, addText("late"))
	})
	expectToEnd(t, "the client", conn, busyAnswer)
	conn.Close()
	waitEnded(t, done)
}

// TestRejectedAtHardEnd checks that a client that was rejected just before drainHardEnd is half-closed by drainHardEnd,
// whichever timer fires first.
func TestRejectedAtHardEnd(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	conn := dial("")
	c := clientOf(t, s, conn)
	onLoop(t, s, func() {
		s.startDrain(s.clock() - drainReadTime)
		if !c.lingering || c.isWriteClosed() {
			t.Errorf("lingering %v, half-closed %v, want true and false", c.lingering, c.isWriteClosed())
		}
		s.drainSince -= drainHardEnd - drainReadTime
		s.checkDrain()
	})
	waitEnded(t, done)
	if got := tcpState(t, conn); got != stateCloseWait {
		t.Errorf("TCP state %d when the process ends", got)
	}
}

// TestLastClient checks that a client that connects after the last client has gone, just before the process ends, is
// answered.
func TestLastClient(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	drainSignalledBefore(t, s, drainAcceptTime)
	waitEnded(t, done)
	conn := dial(addText("last"))
	expectToEnd(t, "the client", conn, busyAnswer)
}
