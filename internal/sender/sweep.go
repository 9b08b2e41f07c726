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
	silentFor  = 2200 * time.Millisecond
	halfFor    = 2200 * time.Millisecond
	sweepEvery = 200 * time.Millisecond
)

// sweep ends those who say nothing or leave a command unfinished, and, where there are many, those idle longest.
func (s *Sender) sweep() {
	s.after(sweepEvery, s.sweep)
	now := s.sinceStart()
	var idle, late []*client
	s.clients.Lock()
	over := len(s.clients.all) - s.clients.easy
	for c := range s.clients.all {
		rest := time.Duration(c.rest.Load())
		switch half := time.Duration(c.half.Load()); {
		case c.closing || c.gone || c.leaving:
			over--
		case half != 0:
			if now-half >= halfFor {
				late = append(late, c)
			}
		case rest == 0 && now-c.came >= silentFor && c.quiet() && nothingCame(c.conn):
			late = append(late, c)
		case over > 0 && rest != 0 && now-rest >= idleFor && c.quiet() && nothingCame(c.conn):
			idle = append(idle, c)
		}
	}
	s.clients.Unlock()
	for _, c := range late {
		if c.half.Load() == 0 {
			s.closeClient(c, silent)
			continue
		}
		c.deaf.Store(true)
		c.half.Store(0)
		s.closeClient(c, halfCommand)
	}
	slices.SortFunc(idle, func(a, b *client) int { return cmp.Compare(a.rest.Load(), b.rest.Load()) })
	for _, c := range idle[:max(0, min(len(idle), over-len(late)))] {
		s.closeClient(c, linkIdle)
	}
}

// closeClient ends a connection once all it waits for is written.
func (s *Sender) closeClient(c *client, why reason) {
	if c.closing || c.gone {
		return
	}
	c.closing, c.why = true, why
	s.flush(c)
}

func (s *Sender) clientEnded(c *client) {
	s.clients.Lock()
	delete(s.clients.all, c)
	c.why = cmp.Or(c.shutOf, c.why, peerClosed)
	s.clients.Unlock()
	c.gone = true
	s.flush(c)
	s.unread.Add(-c.unread) // the reader has ended before
	s.counts.clientsEnded++
	s.logEnd("client", c.peer, c.why, nil)
}

// closeIdleClients ends those that nothing is owed, so that they go elsewhere. One that has just come is let hand in
// what it came with, or its client would find a closed connection twice in a row.
func (s *Sender) closeIdleClients() {
	hurry := s.sinceDrain() >= takeFor
	s.clients.Lock()
	var idle []*client
	for c := range s.clients.all {
		if c.closing || c.leaving {
			continue // each look asks the system
		}
		fresh := !c.served && s.clock()-c.came < lingerFor
		if hurry || c.quiet() && !fresh && nothingCame(c.conn) {
			idle = append(idle, c)
		}
	}
	s.clients.Unlock()
	for _, c := range idle {
		s.closeClient(c, drained)
	}
}
