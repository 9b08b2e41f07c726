package sender

// This file parses the input of clients into commands. For each client, at most one incomplete command and one window of
// complete commands are held. Input after a malformed command is not parsed, because the start of the next command is
// unknown.

import (
	"context"
	"errors"

	"github.com/cloudwego/netpoll"

	"flaxcove/internal/resp"
)

const (
	maxInput = resp.MaxBulk + 8<<10 // maximum size of one command in bytes
	// maxBufferedInput is the maximum number of bytes that netpoll may have read while a client's window was full.
	maxBufferedInput = windowSize * maxInput
	// maxIdleBuffer is the capacity in bytes of the largest input buffer that a client keeps while it has no incomplete
	// command.
	maxIdleBuffer = maxInput / 8
)

var errTooMuchUnparsed = errors.New("too many commands are unfinished")

// onClientInput parses all input that has arrived on a connection. netpoll calls it, and calls it again only when more
// input arrives. It is the reader of the client: at most one call runs for a connection at a time.
func (s *Sender) onClientInput(ctx context.Context, conn netpoll.Connection) error {
	c, known := ctx.Value(clientKey{}).(*client)
	if !known {
		return conn.Close()
	}
	c.readerBusy.Store(true)
	defer c.readerBusy.Store(false)
	if err := s.takeInput(c, conn.Reader()); err != nil {
		return err
	}
	defer s.countUnparsed(c)
	if len(c.input) > maxBufferedInput {
		s.stopReading(c)
		s.post(func() { s.closeClient(c, tooFarAhead) })
		return nil
	}
	if parsed, readOn := s.postCommands(c); readOn {
		s.keepIncomplete(c, parsed)
	}
	return nil
}

// takeInput moves the bytes that netpoll has read to the client's input, or discards them if the client is lingering or its
// input is ignored.
func (s *Sender) takeInput(c *client, r netpoll.Reader) error {
	piece, err := r.Next(r.Len())
	if err != nil {
		return err
	}
	switch {
	case s.discardIfLingering(c, len(piece)):
		s.stopReading(c)
	case c.ignoreInput.Load():
		c.input = nil
	default:
		c.input = append(c.input, piece...)
	}
	r.Release()
	return nil
}

// postCommands posts all complete commands of the input to the loop. It returns how many bytes these commands took, and
// whether the reader keeps the rest of the input and goes on reading.
func (s *Sender) postCommands(c *client) (parsed int, readOn bool) {
	for {
		took, err := s.nextCommand(c, c.input[parsed:])
		if err != nil {
			s.stopReading(c)
			// The loop closes the client after all answers are written. Input that arrives until then is discarded.
			if s.acquireWindow(c) {
				s.post(func() { s.protocolError(c, err) })
			}
			return parsed, false
		}
		if took == 0 {
			return parsed, true
		}
		text := append([]byte(nil), c.input[parsed:parsed+took]...) // a copy, because c.input is reused
		command, _, _ := resp.Command(text, nil)
		parsed += took
		if !s.acquireWindow(c) {
			s.stopReading(c)
			return parsed, false
		}
		s.post(func() { s.handleCommand(c, command) })
		if c.ignoreInput.Load() {
			s.stopReading(c)
			return parsed, false
		}
	}
}

// nextCommand parses one command from the start of text into c.args and returns its length in bytes, or 0 if it is
// incomplete. An incomplete command is an error if it is longer than maxInput, or if it is the first input that is held for
// its client and the incomplete commands of all clients would take more than maxUnparsedBytes.
func (s *Sender) nextCommand(c *client, text []byte) (took int, err error) {
	args, took, err := resp.Command(text, c.args)
	switch {
	case err != nil:
		return 0, err
	case took > 0:
		c.args = args
	case len(text) > maxInput:
		return 0, resp.ErrLength
	case c.unparsed == 0 && s.unparsedBytes.Load()+int64(len(text)) > s.maxUnparsedBytes:
		return 0, errTooMuchUnparsed
	}
	return took, nil
}

// keepIncomplete keeps the input after the parsed commands, which is the beginning of an incomplete command, and the time
// since which that command is incomplete.
func (s *Sender) keepIncomplete(c *client, parsed int) {
	rest := c.input[parsed:]
	if len(rest) == 0 {
		c.partialSince.Store(0)
		if cap(c.input) > maxIdleBuffer {
			c.input = nil
		}
		c.input = c.input[:0]
		return
	}
	if parsed > 0 || c.partialSince.Load() == 0 {
		c.partialSince.Store(max(1, int64(s.clock())))
	}
	c.input = append(c.input[:0], rest...)
}

// stopReading drops the client's input and makes the reader ignore all further input. Only the reader calls it.
func (s *Sender) stopReading(c *client) {
	c.input = nil
	c.ignoreInput.Store(true)
	c.partialSince.Store(0)
}

// countUnparsed updates clientFrontend.unparsedBytes by the bytes that the client holds of an incomplete command. Only the
// reader calls it.
func (s *Sender) countUnparsed(c *client) {
	now := int64(len(c.input))
	s.unparsedBytes.Add(now - c.unparsed)
	c.unparsed = now
}
