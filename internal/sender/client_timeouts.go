package sender

// This file closes client connections by time: those that say nothing, leave a command incomplete, idle where places run
// short, or are idle at a graceful shutdown. None is closed while a command waits for its answer.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A client that sends nothing, or an incomplete command, is to be closed within 3 s. One that has been served may
	// stay until places run short, and is not closed within minIdleTime of its last answer.
	silentTimeout         = 2200 * time.Millisecond
	partialCommandTimeout = 2200 * time.Millisecond
	sweepInterval         = 200 * time.Millisecond
)

// sweepClients closes clients that send nothing or leave a command incomplete, and, where there are many clients, those
// that have been idle longest.
func (s *Sender) sweepClients() {
	s.after(sweepInterval, s.sweepClients)
	late, idle, surplus := s.clients.dueForClosing(s.sinceStart())
	for _, c := range late {
		if c.partialSince.Load() == 0 {
			s.closeClient(c, silentClient)
			continue
		}
		c.ignoreInput.Store(true)
		c.partialSince.Store(0)
		s.closeClient(c, partialCommand)
	}
	slices.SortFunc(idle, func(a, b *client) int { return cmp.Compare(a.idleSince.Load(), b.idleSince.Load()) })
	for _, c := range idle[:max(0, min(len(idle), surplus-len(late)))] {
		s.closeClient(c, idleTimeout)
	}
}

// dueForClosing lists the clients whose time for a command is over, those idle long enough to be closed, and how many
// clients there are beyond idleCloseThreshold, not counting those that are closing already.
func (t *clientTable) dueForClosing(now time.Duration) (late, idle []*client, surplus int) {
	t.Lock()
	defer t.Unlock()
	surplus = len(t.all) - t.idleCloseThreshold
	for c := range t.all {
		idleSince := time.Duration(c.idleSince.Load())
		switch partialSince := time.Duration(c.partialSince.Load()); {
		case c.closing || c.disconnected || c.lingering:
			surplus--
		case partialSince != 0:
			if now-partialSince >= partialCommandTimeout {
				late = append(late, c)
			}
		case idleSince == 0 && now-c.connectedAt >= silentTimeout && c.idle() && noInputPending(c.conn):
			late = append(late, c)
		case surplus > 0 && idleSince != 0 && now-idleSince >= minIdleTime && c.idle() && noInputPending(c.conn):
			idle = append(idle, c)
		}
	}
	return late, idle, surplus
}

// closeClient closes a connection as soon as all its answers are written.
func (s *Sender) closeClient(c *client, why reason) {
	if c.closing || c.disconnected {
		return
	}
	c.closing, c.closeReason = true, why
	s.flushReplies(c)
}

// onClientEnded removes a client whose connection has ended.
func (s *Sender) onClientEnded(c *client) {
	s.clients.Lock()
	delete(s.clients.all, c)
	c.closeReason = cmp.Or(c.lingerReason, c.closeReason, peerClosed)
	s.clients.Unlock()
	c.disconnected = true
	s.flushReplies(c)
	s.unparsedBytes.Add(-c.unparsed) // its reader has ended before
	s.counts.clientsEnded++
	s.logConnEnded("client", c.peer, c.closeReason, nil)
}

// closeIdleClients closes idle clients at a graceful shutdown, so that they go elsewhere. A new one may first send the
// command that it connected for, or its client would find a closed connection twice in a row.
func (s *Sender) closeIdleClients() {
	for _, c := range s.idleClients(s.sinceDrain() >= drainReadTime) {
		s.closeClient(c, drained)
	}
}

// idleClients lists the clients that may be closed at a graceful shutdown; in a hurry, all that are not closing yet.
func (s *Sender) idleClients(hurry bool) (idle []*client) {
	s.clients.Lock()
	defer s.clients.Unlock()
	for c := range s.clients.all {
		if c.closing || c.lingering {
			continue // noInputPending is a system call
		}
		isNew := !c.served && s.clock()-c.connectedAt < drainAcceptTime
		if hurry || c.idle() && !isNew && noInputPending(c.conn) {
			idle = append(idle, c)
		}
	}
	return idle
}
