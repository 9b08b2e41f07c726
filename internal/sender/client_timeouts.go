package sender

// This file ends client connections: those that say nothing, leave a command unfinished, idle where places run short,
// or are not needed at a planned end. It must never end one on which a command waits for its answer.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Who says nothing, or half a command, is owed an end within 3 s; who has been served may stay until places
	// run short, and is not to be closed within 2 s of its last answer.
	silentTimeout         = 2200 * time.Millisecond
	partialCommandTimeout = 2200 * time.Millisecond
	sweepInterval         = 200 * time.Millisecond
)

// sweepClients ends those who say nothing or leave a command unfinished, and, where there are many, those idle longest.
func (s *Sender) sweepClients() {
	s.after(sweepInterval, s.sweepClients)
	now := s.sinceStart()
	var idle, late []*client
	s.clients.Lock()
	over := len(s.clients.all) - s.clients.idleCloseThreshold
	for c := range s.clients.all {
		rest := time.Duration(c.idleSince.Load())
		switch half := time.Duration(c.partialSince.Load()); {
		case c.closing || c.disconnected || c.lingering:
			over--
		case half != 0:
			if now-half >= partialCommandTimeout {
				late = append(late, c)
			}
		case rest == 0 && now-c.connectedAt >= silentTimeout && c.idle() && noInputPending(c.conn):
			late = append(late, c)
		case over > 0 && rest != 0 && now-rest >= minIdleTime && c.idle() && noInputPending(c.conn):
			idle = append(idle, c)
		}
	}
	s.clients.Unlock()
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
	for _, c := range idle[:max(0, min(len(idle), over-len(late)))] {
		s.closeClient(c, idleTimeout)
	}
}

// closeClient ends a connection once all it waits for is written.
func (s *Sender) closeClient(c *client, why reason) {
	if c.closing || c.disconnected {
		return
	}
	c.closing, c.closeReason = true, why
	s.flushReplies(c)
}

func (s *Sender) onClientEnded(c *client) {
	s.clients.Lock()
	delete(s.clients.all, c)
	c.closeReason = cmp.Or(c.lingerReason, c.closeReason, peerClosed)
	s.clients.Unlock()
	c.disconnected = true
	s.flushReplies(c)
	s.unparsedBytes.Add(-c.unparsed) // the reader has ended before
	s.counts.clientsEnded++
	s.logConnEnded("client", c.peer, c.closeReason, nil)
}

// closeIdleClients ends those that nothing is owed, so that they go elsewhere. One that has just come is let hand in
// what it came with, or its client would find a closed connection twice in a row.
func (s *Sender) closeIdleClients() {
	hurry := s.sinceDrain() >= drainReadTime
	s.clients.Lock()
	var idle []*client
	for c := range s.clients.all {
		if c.closing || c.lingering {
			continue // each look asks the system
		}
		fresh := !c.served && s.clock()-c.connectedAt < drainAcceptTime
		if hurry || c.idle() && !fresh && noInputPending(c.conn) {
			idle = append(idle, c)
		}
	}
	s.clients.Unlock()
	for _, c := range idle {
		s.closeClient(c, drained)
	}
}
