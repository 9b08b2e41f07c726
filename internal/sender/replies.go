package sender

// This file writes answers to clients in the order of their commands. The loop never waits for a client that reads slowly.

import (
	"bytes"
	"strconv"
	"time"

	"flaxcove/internal/resp"
)

const (
	maxUnreadOutput = 256 << 10 // a client with more bytes of unwritten answers than this is disconnected
	maxBadCommands  = 8         // a client is closed after this many invalid commands
	// closeRecheck is the interval at which a closing client is checked again for pending input and commands.
	closeRecheck = 10 * time.Millisecond
)

// reserveReply reserves the next reply to a client, for a command that is being handled.
func (s *Sender) reserveReply(c *client) *reply {
	c.served = true
	r := &reply{client: c, commands: 1}
	c.replies = append(c.replies, r)
	return r
}

// setReply sets the text of a reply, and starts to write all replies that are set and have no unset reply before them.
func (s *Sender) setReply(r *reply, text []byte) {
	r.text = text
	c := r.client
	c.outputAccount.Add(int64(len(text)))
	for len(c.replies) > 0 && c.replies[0].text != nil {
		c.output = append(c.output, c.replies[0].text...)
		c.outputReplies += c.replies[0].commands
		c.replies[0] = nil
		c.replies = c.replies[1:]
	}
	s.flushReplies(c)
}

// answerInvalidCommand answers an invalid command with -ERR. A client that has sent maxBadCommands of them is closed, because
// invalid commands cost the loop time.
func (s *Sender) answerInvalidCommand(r *reply, why string) {
	s.counts.badCommands++
	c := r.client
	if c.badCommands++; c.badCommands >= maxBadCommands && !c.closing {
		c.ignoreInput.Store(true)
		c.closing, c.closeReason = true, badCommand
	}
	s.setReply(r, resp.AppendError(nil, "ERR "+why))
}

// protocolError answers input that cannot be parsed with -ERR, and closes the client.
func (s *Sender) protocolError(c *client, err error) {
	s.counts.badCommands++
	s.setReply(s.reserveReply(c), resp.AppendError(nil, "ERR protocol: "+err.Error()))
	s.closeClient(c, badCommand)
}

// answerBusy rejects a message with -BUSY: the client may submit it again, after ms milliseconds if ms is not 0.
func (s *Sender) answerBusy(r *reply, ms int64) {
	s.counts.rejected++
	s.setReply(r, busyText(ms))
}

// answerLong answers a command that changes nothing with a text of any length, or -BUSY if the client has too many answers
// that it has not read.
func (s *Sender) answerLong(r *reply, text []byte) {
	account, size := r.client.outputAccount, int64(len(text))
	if !account.Take(size) {
		s.answerBusy(r, s.longestReturnMS())
		return
	}
	s.setReply(r, text)
	account.Release(size) // setReply has added it
}

// answerDropped rejects commands that were dropped because the input budget or the client's queue was full.
func (s *Sender) answerDropped(c *client, commands int) {
	r := s.reserveReply(c)
	r.commands = commands
	s.counts.inputDropped += int64(commands)
	s.counts.rejected += int64(commands)
	s.setReply(r, bytes.Repeat(busyText(s.longestReturnMS()), commands))
}

// busyText returns the -BUSY answer; ms is left out if it is 0.
func busyText(ms int64) []byte {
	text := "BUSY"
	if ms > 0 {
		text += " " + strconv.FormatInt(ms, 10)
	}
	return resp.AppendError(nil, text)
}

// flushReplies starts to write the client's output, or, if there is none, continues to close a closing client. Each write
// runs in its own goroutine, because netpoll's Write blocks while a client reads slowly.
func (s *Sender) flushReplies(c *client) {
	switch {
	case c.disconnected:
		c.releaseWindow(c.outputReplies)
		c.outputAccount.Release(int64(len(c.output)))
		c.output, c.outputReplies = nil, 0
		s.resumeQueue(c)
	case c.writingReplies > 0: // onFlushed calls flushReplies again
	case len(c.output) > 0:
		text := c.output
		c.output, c.writingReplies, c.outputReplies = nil, c.outputReplies, 0
		c.writingBytes = int64(len(text)) * writtenCopies
		c.outputAccount.Add(c.writingBytes - int64(len(text)))
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

// onFlushed handles the end of a write of answers. It runs on the loop.
func (s *Sender) onFlushed(c *client, err error) {
	c.idleSince.Store(max(1, int64(s.sinceStart())))
	c.releaseWindow(c.writingReplies)
	c.outputAccount.Release(c.writingBytes)
	c.writingReplies, c.writingBytes = 0, 0
	if err != nil {
		c.disconnected = true
		c.conn.Close()
	}
	s.flushReplies(c)
	s.resumeQueue(c)
}
