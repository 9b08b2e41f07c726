package sender

// This file parts from clients: the end of a connection, in order. Our sending ends first; what still comes is read and
// passed over until the client has ended its own, or a bound. A close over bytes that nobody has read would reset the
// connection, and an answer on its way would go with it. It must never end our sending while a command that was read
// waits for its answer, nor let one that is read later be taken on: its client hands that in elsewhere.

import (
	"cmp"
	"errors"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

const (
	// Who has not ended its side by then is cut off. Silent ones are owed an end within 3 s, this included.
	lingerTimeout = 300 * time.Millisecond // after firstInputTimeout
	// What a client may still send: some full windows of usual commands. Who sends on without end would cost a core.
	maxDiscarded = 4 * maxInput
)

// halfCloseClient ends our sending, if it can be now. It tells whether the end has begun.
func (s *Sender) halfCloseClient(c *client) bool {
	hurry := s.draining && s.sinceDrain() >= drainReadTime
	s.clients.Lock()
	defer s.clients.Unlock()
	if c.lingering {
		return true
	}
	if hurry && !c.ignoreInput.Load() && (!c.served || c.partialSince.Load() != 0) && s.clients.reject(c, s.clock(), c.closeReason) ||
		s.clients.halfClose(c, s.clock(), c.closeReason, hurry) {
		s.boundLingering(c)
		return true
	}
	return false
}

// boundLingering cuts off a client that does not end its side. One that was turned away may first say what it came for.
func (s *Sender) boundLingering(c *client) {
	s.after(firstInputTimeout, func() {
		s.clients.Lock()
		defer s.clients.Unlock()
		s.clients.halfClose(c, s.clock(), c.lingerReason, false) // where something has come, the reader does
	})
	s.after(firstInputTimeout+lingerTimeout, func() { c.conn.Close() })
}

// halfClose is the one step that decides: a command that the reader has counted before it is answered, and one that it
// counts later is passed over. In a hurry, what is still in the socket or not whole is not waited for. The table is
// locked.
func (t *clientTable) halfClose(c *client, now time.Duration, why reason, hurry bool) bool {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	switch {
	case c.writeClosed:
		return true
	case c.descriptorClosed || len(c.window) > 0:
		return false
	case c.ignoreInput.Load(): // what comes behind it is nothing to wait for
	// What has left the socket is in netpoll's buffer or with the reader, who is busy until it has counted a command
	// or knows of half a one. So they are asked in this order.
	case !hurry && !noInputPending(c.conn) || c.conn.Reader().Len() > 0 || c.readerBusy.Load():
		return false
	case !hurry && c.partialSince.Load() != 0 || len(c.window) > 0:
		return false
	}
	t.releasePlace(c, now, why)
	c.closeWrite(nil)
	return true
}

// reject takes a client's place, but not its connection yet: a command that finds its new connection closed without
// an answer has failed, so its first bytes are answered. It tells whether it could, which is not so while the reader
// has something in hand: of several commands only the first would be answered. The table is locked.
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

// releasePlace gives back a client's place. The table is locked, and so is the gate.
func (t *clientTable) releasePlace(c *client, now time.Duration, why reason) {
	if !c.lingering && !c.descriptorClosed {
		c.lingering, c.lingeringSince, c.lingerReason = true, now, why
		t.served--
	}
}

// closeWrite ends our sending behind the last words. The gate is locked.
func (c *client) closeWrite(last []byte) {
	c.writeClosed = true
	conn, known := c.conn.(netpoll.Conn)
	if !known || c.descriptorClosed {
		return
	}
	if len(last) > 0 {
		_, _ = syscall.Write(conn.Fd(), last) // the first thing that is written here, and who has gone misses nothing
	}
	_ = syscall.Shutdown(conn.Fd(), syscall.SHUT_WR)
}

// connEnded comes before netpoll gives the descriptor back.
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

// stopIfEmpty turns away all who come from now on, if nobody is left.
func (t *clientTable) stopIfEmpty() bool {
	t.Lock()
	defer t.Unlock()
	t.stopped = t.stopped || len(t.all) == 0
	return len(t.all) == 0
}

// ignoreAllInput has nothing more taken on, from those who are here and those who come.
func (t *clientTable) ignoreAllInput() {
	t.Lock()
	defer t.Unlock()
	t.stopped = true
	for c := range t.all {
		c.ignoreInput.Store(true)
	}
}

// halfCloseAll is for the last moment: who was turned away late may still have had time to speak.
func (t *clientTable) halfCloseAll(now time.Duration) {
	t.Lock()
	defer t.Unlock()
	for c := range t.all {
		t.halfClose(c, now, drained, true)
	}
}

// acquireWindow counts a command, and waits for room among those without an answer. It tells whether the command is taken:
// once our sending has ended, its client hands it in elsewhere.
func (s *Sender) acquireWindow(c *client) bool {
	c.window <- struct{}{}
	if s.discardsInput(c) {
		<-c.window
		return false
	}
	return true
}

// discardsInput tells the reader whether what has come is for nobody any more. The first bytes of one that was turned away
// are answered, once.
func (s *Sender) discardsInput(c *client) bool {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if c.rejected && !c.writeClosed {
		c.closeWrite(*s.clients.busyReply.Load())
	}
	return c.writeClosed
}

// discardIfLingering tells whether what comes is for nobody any more.
func (s *Sender) discardIfLingering(c *client, more int) bool {
	if !s.discardsInput(c) {
		return false
	}
	if c.discarded += more; c.discarded > maxDiscarded {
		c.conn.Close()
	}
	return true
}

// longestLingering is who has been leaving longest; who was turned away and may still speak comes last. The table is
// locked.
func (t *clientTable) longestLingering() *client {
	var writeClosed, rejected *client
	for c := range t.all {
		oldest := &rejected
		if c.isWriteClosed() {
			oldest = &writeClosed
		}
		if c.lingering && !c.descriptorClosed && (*oldest == nil || c.lingeringSince < (*oldest).lingeringSince) {
			*oldest = c
		}
	}
	return cmp.Or(writeClosed, rejected)
}

func (c *client) isWriteClosed() bool {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	return c.writeClosed
}

// noInputPending asks the socket itself, since what has come may not have been handled yet, and netpoll's buffer after it:
// the other way round, what moves from one to the other in between would be missed.
func noInputPending(conn netpoll.Connection) bool {
	fd, known := conn.(netpoll.Conn)
	if !known || !conn.IsActive() {
		return false
	}
	_, _, err := syscall.Recvfrom(fd.Fd(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return errors.Is(err, syscall.EAGAIN) && conn.Reader().Len() == 0
}
