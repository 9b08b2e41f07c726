package sender

// This file closes client connections in order (a lingering close): our side ends its sending first; what still comes is
// read and discarded until the client has ended its side, or until a bound. Closing a socket with unread bytes would reset
// the connection, and an answer on its way would be lost with it. Our sending must never end while a command that was read
// waits for its answer, and no command that is read later may be accepted: its client submits that elsewhere.

import (
	"errors"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

const (
	// lingerTimeout is by when, after firstInputTimeout, a client that has not ended its side is cut off. Silent clients
	// are to be closed within 3 s, this included.
	lingerTimeout = 300 * time.Millisecond
	// maxDiscarded is what a lingering client may still send: some full windows of usual commands. Reading one that sends
	// without end would cost a core.
	maxDiscarded = 4 * maxInput
)

// halfCloseClient ends our sending to a client if nothing is pending, and reports whether the client lingers now.
func (s *Sender) halfCloseClient(c *client) bool {
	hurry := s.draining && s.sinceDrain() >= drainReadTime
	s.clients.Lock()
	defer s.clients.Unlock()
	if c.lingering {
		return true
	}
	unanswered := !c.ignoreInput.Load() && (!c.served || c.partialSince.Load() != 0)
	rejected := hurry && unanswered && s.clients.reject(c, s.clock(), c.closeReason)
	if !rejected && !s.clients.halfClose(c, s.clock(), c.closeReason, hurry) {
		return false
	}
	s.boundLingering(c)
	return true
}

// boundLingering closes a client that does not end its side in time. A rejected one may send its first command before.
func (s *Sender) boundLingering(c *client) {
	s.after(firstInputTimeout, func() {
		s.clients.Lock()
		defer s.clients.Unlock()
		s.clients.halfClose(c, s.clock(), c.lingerReason, false) // where input has come, the reader does it
	})
	s.after(firstInputTimeout+lingerTimeout, func() { c.conn.Close() })
}

// halfClose ends our sending unless something is pending, and reports whether it has ended. It is the step that decides:
// a command that the reader has counted before is answered, and one that it counts later is discarded. In a hurry, input
// that is still in the socket and incomplete commands are not waited for. The table is locked.
func (t *clientTable) halfClose(c *client, now time.Duration, why reason, hurry bool) bool {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	switch {
	case c.writeClosed:
		return true
	case c.descriptorClosed || len(c.window) > 0:
		return false
	case c.ignoreInput.Load(): // what follows is not answered, so nothing is waited for
	// What has left the socket is in netpoll's buffer or with the reader, which is busy until it has counted a command
	// or has noted an incomplete one. So they are checked in this order.
	case !hurry && !noInputPending(c.conn) || c.conn.Reader().Len() > 0 || c.readerBusy.Load():
		return false
	case !hurry && c.partialSince.Load() != 0 || len(c.window) > 0:
		return false
	}
	t.releasePlace(c, now, why)
	c.closeWrite(nil)
	return true
}

// reject takes a client's place, but does not close its connection yet: a command whose new connection is closed without
// an answer has failed, so the first input is answered with -BUSY. It reports whether that was possible, which it is not
// while the reader has input in hand: of several commands only the first would be answered. The table is locked.
func (t *clientTable) reject(c *client, now time.Duration, why reason) bool {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if c.lingering || c.descriptorClosed || c.conn.Reader().Len() > 0 || c.readerBusy.Load() || len(c.window) > 0 {
		return false
	}
	c.rejected = true
	t.releasePlace(c, now, why)
	return true
}

// releasePlace gives back a client's place. The table and the client's stateLock are locked.
func (t *clientTable) releasePlace(c *client, now time.Duration, why reason) {
	if !c.lingering && !c.descriptorClosed {
		c.lingering, c.lingeringSince, c.lingerReason = true, now, why
		t.served--
	}
}

// closeWrite writes a last answer, if there is one, and ends our sending. The client's stateLock is locked.
func (c *client) closeWrite(last []byte) {
	c.writeClosed = true
	conn, known := c.conn.(netpoll.Conn)
	if !known || c.descriptorClosed {
		return
	}
	if len(last) > 0 {
		_, _ = syscall.Write(conn.Fd(), last) // nothing else was written before, and one that has gone misses nothing
	}
	_ = syscall.Shutdown(conn.Fd(), syscall.SHUT_WR)
}

// connEnded is called before netpoll gives the descriptor back.
func (t *clientTable) connEnded(c *client) {
	t.Lock()
	defer t.Unlock()
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if !c.lingering && !c.descriptorClosed {
		t.served--
	}
	c.descriptorClosed = true
}

// stopIfEmpty rejects all new clients from now on if there are none left, and reports whether that is so.
func (t *clientTable) stopIfEmpty() bool {
	t.Lock()
	defer t.Unlock()
	t.stopped = t.stopped || len(t.all) == 0
	return len(t.all) == 0
}

// ignoreAllInput makes sure that nothing more is accepted, from present clients and from new ones.
func (t *clientTable) ignoreAllInput() {
	t.Lock()
	defer t.Unlock()
	t.stopped = true
	for c := range t.all {
		c.ignoreInput.Store(true)
	}
}

// halfCloseAll ends our sending to all clients at the last moment; rejected ones may have had time to send until then.
func (t *clientTable) halfCloseAll(now time.Duration) {
	t.Lock()
	defer t.Unlock()
	for c := range t.all {
		t.halfClose(c, now, drained, true)
	}
}

// acquireWindow counts a command, and waits while the window of commands without an answer is full. It reports whether the
// command is to be handled: once our sending has ended, its client submits it elsewhere.
func (s *Sender) acquireWindow(c *client) bool {
	c.window <- struct{}{}
	if s.discardsInput(c) {
		<-c.window
		return false
	}
	return true
}

// discardsInput reports to the reader whether input is to be discarded, as our sending has ended. The first input of a
// rejected client is answered here.
func (s *Sender) discardsInput(c *client) bool {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if c.rejected && !c.writeClosed {
		c.closeWrite(*s.clients.busyReply.Load())
	}
	return c.writeClosed
}

// discardIfLingering counts input that is to be discarded, and reports whether it is. It closes a client that sends on.
func (s *Sender) discardIfLingering(c *client, more int) bool {
	if !s.discardsInput(c) {
		return false
	}
	if c.discarded += more; c.discarded > maxDiscarded {
		c.conn.Close()
	}
	return true
}

// noInputPending reports whether a connection is open and nothing has come on it that is not read yet. It asks the socket
// itself first and netpoll's buffer after it: the other way round, bytes that move from one to the other would be missed.
func noInputPending(conn netpoll.Connection) bool {
	fd, known := conn.(netpoll.Conn)
	if !known || !conn.IsActive() {
		return false
	}
	_, _, err := syscall.Recvfrom(fd.Fd(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return errors.Is(err, syscall.EAGAIN) && conn.Reader().Len() == 0
}
