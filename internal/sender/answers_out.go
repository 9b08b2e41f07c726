package sender

// This file writes answers back to clients, in the order of the commands. It must never wait for a slow reader.

import (
	"flaxcove/internal/resp"
)

const (
	maxUnread = 256 << 10 // answers that a client has not read
	maxBad    = 8         // commands of one client that make no sense, before it is closed
)

// expect makes the place of the next answer.
func (s *Sender) expect(c *client) *reply {
	c.served = true
	r := &reply{c: c}
	c.waiting = append(c.waiting, r)
	return r
}

// answer fills a place and writes all that has its turn.
func (s *Sender) answer(r *reply, text []byte) {
	r.text = text
	c := r.c
	for len(c.waiting) > 0 && c.waiting[0].text != nil {
		c.out = append(c.out, c.waiting[0].text...)
		c.waiting[0] = nil
		c.waiting = c.waiting[1:]
		c.outs++
	}
	s.flush(c)
}

// badCommand answers what makes no sense. Who goes on like that is closed, or it would take the loop's time.
func (s *Sender) badCommand(r *reply, why string) {
	s.counts.badCommands++
	c := r.c
	if c.bad++; c.bad >= maxBad && !c.closing {
		c.deaf.Store(true)
		c.closing, c.why = true, badCommand
	}
	s.answer(r, resp.AppendError(nil, "ERR "+why))
}

// quiet tells whether nothing that the client has sent is on its way through us. Ending its connection otherwise
// would leave a command without an answer, which counts as lost.
func (c *client) quiet() bool {
	return len(c.room) == 0 && (c.deaf.Load() || !c.busy.Load() && c.half.Load() == 0)
}

// release gives back the places of answers that are written, or can't be any more.
func (c *client) release(count int) {
	for range count {
		<-c.room
	}
}

// flush has a goroutine of its own write, since netpoll waits for a reader that is slow.
func (s *Sender) flush(c *client) {
	switch {
	case c.gone:
		c.release(c.outs)
		c.out, c.outs = nil, 0
	case c.writing > 0:
	case len(c.out) > 0:
		text := c.out
		c.out, c.writing, c.outs = nil, c.outs, 0
		go func() {
			_, err := c.conn.Write(text)
			s.post(func() { s.flushed(c, err) })
		}()
	case c.closing && s.partFrom(c):
	case c.closing && !c.looking:
		c.looking = true
		s.after(settleFor, func() {
			c.looking = false
			s.flush(c)
		})
	}
	if len(c.out) > maxUnread && !c.gone {
		c.why, c.gone = slowReader, true
		c.conn.Close()
	}
}

func (s *Sender) flushed(c *client, err error) {
	c.rest.Store(max(1, int64(s.sinceStart())))
	c.release(c.writing)
	c.writing = 0
	if err != nil {
		c.gone = true
		c.conn.Close()
	}
	s.flush(c)
}

// broken answers what cannot be read, and ends the connection.
func (s *Sender) broken(c *client, err error) {
	s.counts.badCommands++
	s.answer(s.expect(c), brokenText(err))
	s.closeClient(c, badCommand)
}
