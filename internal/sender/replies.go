package sender

// This file writes answers to clients, in the order of their commands, without ever waiting for a slow reader.

import (
	"strconv"
	"time"

	"flaxcove/internal/resp"
)

const (
	maxUnreadOutput = 256 << 10 // bytes of answers that a client has not read, before it is closed
	maxBadCommands  = 8         // invalid commands of one client, before it is closed
	// closeRecheck is how often it is looked again whether a client that is closing has anything pending.
	closeRecheck = 10 * time.Millisecond
)

// expectReply adds the place of the next answer.
func (s *Sender) expectReply(c *client) *reply {
	c.served = true
	r := &reply{client: c}
	c.replies = append(c.replies, r)
	return r
}

// setReply sets an answer and writes all answers that no earlier one is waited for.
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

// badCommand answers an invalid command. A client that sends many is closed, or it would take up the loop's time.
func (s *Sender) badCommand(r *reply, why string) {
	s.counts.badCommands++
	c := r.client
	if c.badCommands++; c.badCommands >= maxBadCommands && !c.closing {
		c.ignoreInput.Store(true)
		c.closing, c.closeReason = true, badCommand
	}
	s.setReply(r, resp.AppendError(nil, "ERR "+why))
}

// protocolError answers input that cannot be parsed, and closes the client.
func (s *Sender) protocolError(c *client, err error) {
	s.counts.badCommands++
	s.setReply(s.expectReply(c), resp.AppendError(nil, "ERR protocol: "+err.Error()))
	s.closeClient(c, badCommand)
}

// answerBusy rejects a message: its client may submit it again, in ms milliseconds if that is not 0.
func (s *Sender) answerBusy(r *reply, ms int64) {
	s.counts.rejected++
	s.setReply(r, busyText(ms))
}

func busyText(ms int64) []byte {
	text := "BUSY"
	if ms > 0 {
		text += " " + strconv.FormatInt(ms, 10)
	}
	return resp.AppendError(nil, text)
}

// releaseWindow removes answers from the window that are written, or can't be written any more.
func (c *client) releaseWindow(count int) {
	for range count {
		<-c.window
	}
}

// flushReplies starts to write what is to be written, or goes on with closing the client. A goroutine of its own writes,
// since netpoll's Write waits for a slow reader.
func (s *Sender) flushReplies(c *client) {
	switch {
	case c.disconnected:
		c.releaseWindow(c.outputReplies)
		c.output, c.outputReplies = nil, 0
	case c.writingReplies > 0: // onFlushed calls again
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
		s.after(closeRecheck, func() {
			c.recheckScheduled = false
			s.flushReplies(c)
		})
	}
	if len(c.output) > maxUnreadOutput && !c.disconnected {
		c.closeReason, c.disconnected = slowReader, true
		c.conn.Close()
	}
}

// onFlushed is called when a write of answers has ended.
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
