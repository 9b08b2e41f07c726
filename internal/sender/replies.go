package sender

// This file writes answers back to clients, in the order of the commands. It must never wait for a slow reader.

import (
	"flaxcove/internal/resp"
)

const (
	maxUnreadOutput = 256 << 10 // answers that a client has not read
	maxBadCommands  = 8         // commands of one client that make no sense, before it is closed
)

// expectReply makes the place of the next answer.
func (s *Sender) expectReply(c *client) *reply {
	c.served = true
	r := &reply{client: c}
	c.replies = append(c.replies, r)
	return r
}

// setReply fills a place and writes all that has its turn.
func (s *Sender) setReply(r *reply, text []byte) {
	r.text = text
	c := r.client
	for len(c.replies) > 0 && c.replies[0].text != nil {
		c.output = append(c.output, c.replies[0].text...)
		c.replies[0] = nil
		c.replies = c.replies[1:]
		c.outputReplies++
	}
	s.flushReplies(c)
}

// badCommand answers what makes no sense. Who goes on like that is closed, or it would take the loop's time.
func (s *Sender) badCommand(r *reply, why string) {
	s.counts.badCommands++
	c := r.client
	if c.badCommands++; c.badCommands >= maxBadCommands && !c.closing {
		c.ignoreInput.Store(true)
		c.closing, c.closeReason = true, badCommand
	}
	s.setReply(r, resp.AppendError(nil, "ERR "+why))
}

// idle tells whether nothing that the client has sent is on its way through us. Ending its connection otherwise
// would leave a command without an answer, which counts as lost.
func (c *client) idle() bool {
	return len(c.window) == 0 && (c.ignoreInput.Load() || !c.readerBusy.Load() && c.partialSince.Load() == 0)
}

// releaseWindow gives back the places of answers that are written, or can't be any more.
func (c *client) releaseWindow(count int) {
	for range count {
		<-c.window
	}
}

// flushReplies has a goroutine of its own write, since netpoll waits for a reader that is slow.
func (s *Sender) flushReplies(c *client) {
	switch {
	case c.disconnected:
		c.releaseWindow(c.outputReplies)
		c.output, c.outputReplies = nil, 0
	case c.writingReplies > 0:
	case len(c.output) > 0:
		text := c.output
		c.output, c.writingReplies, c.outputReplies = nil, c.outputReplies, 0
		go func() {
			_, err := c.conn.Write(text)
			s.post(func() { s.onFlushed(c, err) })
		}()
	case c.closing && s.halfCloseClient(c):
	case c.closing && !c.recheckScheduled:
		c.recheckScheduled = true
		s.after(abandonSettleTime, func() {
			c.recheckScheduled = false
			s.flushReplies(c)
		})
	}
	if len(c.output) > maxUnreadOutput && !c.disconnected {
		c.closeReason, c.disconnected = slowReader, true
		c.conn.Close()
	}
}

func (s *Sender) onFlushed(c *client, err error) {
	c.idleSince.Store(max(1, int64(s.sinceStart())))
	c.releaseWindow(c.writingReplies)
	c.writingReplies = 0
	if err != nil {
		c.disconnected = true
		c.conn.Close()
	}
	s.flushReplies(c)
}

// protocolError answers what cannot be read, and ends the connection.
func (s *Sender) protocolError(c *client, err error) {
	s.counts.badCommands++
	s.setReply(s.expectReply(c), brokenText(err))
	s.closeClient(c, badCommand)
}
