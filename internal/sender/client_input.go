package sender

// This file parses the input of clients into commands. At most one incomplete command and one window of complete ones is
// held for a client, and nothing is parsed behind a broken command, as nothing says where the next one begins.

import (
	"context"
	"errors"

	"github.com/cloudwego/netpoll"

	"flaxcove/internal/resp"
)

const (
	maxInput = resp.MaxBulk + 8<<10 // bytes of one command
	// maxBufferedInput is what netpoll may have read while a client's window was full.
	maxBufferedInput = windowSize * maxInput
	// maxIdleBuffer is the largest input buffer that a client keeps while no command is incomplete.
	maxIdleBuffer = maxInput / 8
)

var errTooMuchUnparsed = errors.New("too many commands are unfinished")

// onClientInput parses all that has come; netpoll calls it again only for more.
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

// takeInput moves what netpoll has read to the client's input, or discards it.
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

// postCommands hands all complete commands of the input to the loop. It returns how many bytes they were, and whether
// what follows them is to be read.
func (s *Sender) postCommands(c *client) (parsed int, readOn bool) {
	for {
		took, err := s.nextCommand(c, c.input[parsed:])
		if err != nil {
			s.stopReading(c)
			// The loop closes the client, behind all answers; what comes until then is discarded.
			if s.acquireWindow(c) {
				s.post(func() { s.protocolError(c, err) })
			}
			return parsed, false
		}
		if took == 0 {
			return parsed, true
		}
		text := append([]byte(nil), c.input[parsed:parsed+took]...) // the input's buffer is used again
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

// nextCommand parses one command into c.args and returns its length, 0 while it is incomplete. An incomplete one is an
// error where it is longer than any command, or where all clients together hold too much of incomplete commands.
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

// keepIncomplete keeps what follows the parsed commands, and since when there is an incomplete one.
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

// stopReading drops the input and ignores all that follows. It is called by the reader.
func (s *Sender) stopReading(c *client) {
	c.input = nil
	c.ignoreInput.Store(true)
	c.partialSince.Store(0)
}

// countUnparsed counts what the client holds of an incomplete command. It is called by the reader.
func (s *Sender) countUnparsed(c *client) {
	now := int64(len(c.input))
	s.unparsedBytes.Add(now - c.unparsed)
	c.unparsed = now
}
