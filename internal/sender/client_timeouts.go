package sender

// This file closes client connections after timeouts: clients that send nothing, that leave a command incomplete, that are
// idle while there are many connections, or that are idle at a graceful shutdown. No connection is closed while a command
// waits for its answer.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// silentTimeout and partialCommandTimeout limit how long a client may send nothing or leave a command incomplete.
	// Such a client has to be closed within 3 s, sweepInterval and the lingering close included. A client that has been
	// served is closed for being idle only if there are many connections, and not within minIdleTime of its last answer.
	silentTimeout         = 2200 * time.Millisecond
	partialCommandTimeout = 2200 * time.Millisecond
	sweepInterval         = 200 * time.Millisecond
)

// sweepClients closes clients that have sent nothing or have left a command incomplete for too long. If there are more than
// idleCloseThreshold connections, it also closes the clients that have been idle longest. It runs every sweepInterval.
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

// dueForClosing returns the clients whose timeout for a command has passed (late), the clients that have been idle long
// enough to be closed (idle), and by how many the clients that are not closing yet exceed idleCloseThreshold (surplus,
// negative if they are fewer).
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

// closeClient closes a client's connection once all its answers are written. It does nothing if the client is closing
// already.
func (s *Sender) closeClient(c *client, why reason) {
	if c.closing || c.disconnected {
		return
	}
	c.closing, c.closeReason = true, why
	s.flushReplies(c)
}

// onClientEnded removes a client from the table after its connection has ended.
func (s *Sender) onClientEnded(c *client) {
	s.clients.Lock()
	delete(s.clients.all, c)
	c.closeReason = cmp.Or(c.lingerReason, c.closeReason, peerClosed)
	s.clients.Unlock()
	c.disconnected = true
	c.countedAsDeparted = true
	s.departed.add(c.use)
	s.flushReplies(c)
	s.discardQueue(c)
	c.setUnparsed(0) // the reader no longer runs
	c.inputAccount.Close()
	c.outputAccount.Close()
	s.counts.clientsEnded++
	s.logConnEnded("client", c.peer, c.closeReason, nil)
}

// closeIdleClients closes idle clients at a graceful shutdown, so that they connect to another sender. A client that has
// just connected may first send the command that it connected for; otherwise it would find two connections in a row closed.
func (s *Sender) closeIdleClients() {
	for _, c := range s.idleClients(s.sinceDrain() >= drainReadTime) {
		s.closeClient(c, drained)
	}
}

// idleClients returns the clients that may be closed at a graceful shutdown. With force these are all clients that are
// neither closing nor lingering.
func (s *Sender) idleClients(force bool) (idle []*client) {
	s.clients.Lock()
	defer s.clients.Unlock()
	for c := range s.clients.all {
		if c.closing || c.lingering {
			continue // avoids the system call in noInputPending
		}
		isNew := !c.served && s.clock()-c.connectedAt < drainAcceptTime
		if force || c.idle() && !isNew && noInputPending(c.conn) {
			idle = append(idle, c)
		}
	}
	return idle
}
