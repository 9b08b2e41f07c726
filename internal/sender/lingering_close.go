package sender

// This file implements the lingering close of client connections. The sender first shuts down its sending side (half-close)
// and then reads and discards input until the client has closed its side, or until a limit of time or bytes. Closing a
// socket with unread bytes would reset the connection, and an answer on its way would be lost with it. The sending side
// must never be shut down while a command that was read waits for its answer. A command that is read after the half-close
// must not be accepted, because its client submits it elsewhere.

import (
	"errors"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

const (
	// lingerTimeout is the time after firstInputTimeout at which the connection of a lingering client is closed, even if
	// the client has not closed its side. It is part of the 3 s within which a silent client has to be closed.
	lingerTimeout = 300 * time.Millisecond
	// maxDiscarded is the maximum number of bytes that a lingering client may still send, enough for several full windows
	// of usual commands. Without a limit, a client that sends all the time would keep one core busy.
	maxDiscarded = 4 * maxInput
)

// halfCloseClient starts the lingering close of a client unless input or commands are pending, and reports whether the
// client is lingering now. After drainReadTime of a graceful shutdown, a client that has sent no command, or whose last
// command is incomplete, is rejected instead.
func (s *Sender) halfCloseClient(c *client) bool {
	force := s.draining && s.sinceDrain() >= drainReadTime
	s.clients.Lock()
	defer s.clients.Unlock()
	if c.lingering {
		return true
	}
	unanswered := !c.ignoreInput.Load() && (!c.served || c.partialSince.Load() != 0)
	rejected := force && unanswered && s.clients.reject(c, s.clock(), c.closeReason)
	if !rejected && !s.clients.halfClose(c, s.clock(), c.closeReason, force) {
		return false
	}
	s.startLingerTimers(c)
	return true
}

// startLingerTimers starts the timers that close the connection of a lingering client. A rejected client has
// firstInputTimeout to send its first command before its connection is half-closed.
func (s *Sender) startLingerTimers(c *client) {
	s.after(firstInputTimeout, func() {
		s.clients.Lock()
		defer s.clients.Unlock()
		s.clients.halfClose(c, s.clock(), c.lingerReason, false) // if input has arrived, the reader half-closes instead
	})
	s.after(firstInputTimeout+lingerTimeout, func() { c.conn.Close() })
}

// halfClose shuts down the sending side unless input or commands are pending, and reports whether it is shut down. This call
// decides which commands are handled: a command that the reader has counted before it is answered, and a command counted
// later is discarded. With force, halfClose does not wait for input in the socket or for incomplete commands. The caller
// holds the table's lock.
func (t *clientTable) halfClose(c *client, now time.Duration, why reason, force bool) bool {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	switch {
	case c.writeClosed:
		return true
	case c.descriptorClosed || c.unanswered.Load() > 0:
		return false
	case c.ignoreInput.Load(): // further input is not answered, so it is not waited for
	// Input moves from the socket to netpoll's buffer and then to the reader. The reader is busy until it has counted a
	// command or set partialSince. The checks follow the same order, so that they cannot miss input on its way.
	case !force && !noInputPending(c.conn) || c.conn.Reader().Len() > 0 || c.readerBusy.Load():
		return false
	case !force && c.partialSince.Load() != 0 || c.unanswered.Load() > 0:
		return false
	}
	t.releasePlace(c, now, why)
	c.closeWrite(nil)
	return true
}

// reject releases the place of a client whose first input is then answered with -BUSY. Its connection stays open for that,
// because a command that meets a closed new connection counts as failed. It reports whether the client was rejected. This
// is not possible while the reader is handling input, because only the first of several commands would be answered. The
// caller holds the table's lock.
func (t *clientTable) reject(c *client, now time.Duration, why reason) bool {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if c.lingering || c.descriptorClosed || c.conn.Reader().Len() > 0 || c.readerBusy.Load() || c.unanswered.Load() > 0 {
		return false
	}
	c.rejected = true
	t.releasePlace(c, now, why)
	return true
}

// releasePlace marks a client as lingering, so that it no longer counts as served. The caller holds the table's lock and the
// client's stateLock.
func (t *clientTable) releasePlace(c *client, now time.Duration, why reason) {
	if !c.lingering && !c.descriptorClosed {
		c.lingering, c.lingeringSince, c.lingerReason = true, now, why
		t.served--
	}
}

// closeWrite writes a last answer, unless it is empty, and shuts down the sending side. The caller holds the client's
// stateLock.
func (c *client) closeWrite(last []byte) {
	c.writeClosed = true
	conn, known := c.conn.(netpoll.Conn)
	if !known || c.descriptorClosed {
		return
	}
	if len(last) > 0 {
		_, _ = syscall.Write(conn.Fd(), last) // usually the first write to the client; an error means that it has gone
	}
	_ = syscall.Shutdown(conn.Fd(), syscall.SHUT_WR)
}

// connEnded marks a client's descriptor as closed. It is called before netpoll closes the descriptor.
func (t *clientTable) connEnded(c *client) {
	c.left.Store(true)
	t.Lock()
	defer t.Unlock()
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if !c.lingering && !c.descriptorClosed {
		t.served--
	}
	c.descriptorClosed = true
}

// stopIfEmpty reports whether no client is connected. If none is, all new clients are rejected from then on.
func (t *clientTable) stopIfEmpty() bool {
	t.Lock()
	defer t.Unlock()
	t.stopped = t.stopped || len(t.all) == 0
	return len(t.all) == 0
}

// ignoreAllInput makes the readers ignore all further input of connected clients, and rejects new clients.
func (t *clientTable) ignoreAllInput() {
	t.Lock()
	defer t.Unlock()
	t.stopped = true
	for c := range t.all {
		c.ignoreInput.Store(true)
	}
}

// halfCloseAll half-closes the connections of all clients, rejected ones included, just before the process ends.
func (t *clientTable) halfCloseAll(now time.Duration) {
	t.Lock()
	defer t.Unlock()
	for c := range t.all {
		t.halfClose(c, now, drained, true)
	}
}

// discardsInput reports whether the reader has to discard input because the sending side is shut down. If c is a rejected
// client with its first input, discardsInput answers it with -BUSY and half-closes the connection.
func (s *Sender) discardsInput(c *client) bool {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	if c.rejected && !c.writeClosed {
		c.closeWrite(*s.clients.busyReply.Load())
	}
	return c.writeClosed
}

// discardIfLingering reports whether new input is to be discarded, and counts its bytes (more) if so. It closes the
// connection once more than maxDiscarded bytes have been discarded.
func (s *Sender) discardIfLingering(c *client, more int) bool {
	if !s.discardsInput(c) {
		return false
	}
	if c.discarded += more; c.discarded > maxDiscarded {
		c.conn.Close()
	}
	return true
}

// noInputPending reports whether a connection is open and has no unread input. It checks the socket first and netpoll's
// buffer second. In the reverse order it would miss bytes that move from the socket to the buffer in between.
func noInputPending(conn netpoll.Connection) bool {
	fd, known := conn.(netpoll.Conn)
	if !known || !conn.IsActive() {
		return false
	}
	_, _, err := syscall.Recvfrom(fd.Fd(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return errors.Is(err, syscall.EAGAIN) && conn.Reader().Len() == 0
}
