package sender

// This file turns the bytes of clients into commands. It must never hold more of a client's input than one command and
// its window, nor read on behind a broken command, after which nothing tells where the next begins.

import (
	"context"
	"errors"

	"github.com/cloudwego/netpoll"

	"flaxcove/internal/resp"
)

const (
	maxInput         = resp.MaxBulk + 8<<10
	maxBufferedInput = windowSize * maxInput // what netpoll has read for us while a client's window was full
)

// onClientInput takes all that has come; netpoll calls it again only for more.
func (s *Sender) onClientInput(ctx context.Context, conn netpoll.Connection) error {
	c, known := ctx.Value(clientKey{}).(*client)
	r := conn.Reader()
	if !known {
		return conn.Close()
	}
	c.readerBusy.Store(true)
	defer c.readerBusy.Store(false)
	piece, err := r.Next(r.Len())
	if err != nil {
		return err
	}
	if s.discardIfLingering(c, len(piece)) {
		s.stopReading(c)
	} else if c.ignoreInput.Load() {
		c.input = nil
	} else {
		c.input = append(c.input, piece...)
	}
	r.Release()
	defer s.countUnparsed(c)
	if len(c.input) > maxBufferedInput {
		s.stopReading(c)
		s.post(func() { s.closeClient(c, tooFarAhead) })
		return nil
	}
	at := 0
	for {
		args, took, err := resp.Command(c.input[at:], c.args)
		if err == nil && took == 0 && len(c.input)-at > maxInput {
			err = resp.ErrLength
		}
		if err == nil && took == 0 && c.unparsed == 0 && s.unparsedBytes.Load()+int64(len(c.input)-at) > s.maxUnparsedBytes {
			err = errTooMuchUnparsed
		}
		if err != nil {
			s.stopReading(c)
			// The loop ends it, behind all answers; what comes until then is passed over.
			if s.acquireWindow(c) {
				s.post(func() { s.protocolError(c, err) })
			}
			return nil
		}
		if took == 0 {
			break
		}
		c.args = args
		at += took
		command, _, _ := resp.Command(append([]byte(nil), c.input[at-took:at]...), nil)
		if !s.acquireWindow(c) {
			s.stopReading(c)
			return nil
		}
		s.post(func() { s.handleCommand(c, command) })
		if c.ignoreInput.Load() {
			s.stopReading(c)
			return nil
		}
	}
	rest := c.input[at:]
	if len(rest) == 0 {
		c.partialSince.Store(0)
		if cap(c.input) > maxInput/8 {
			c.input = nil
		}
		c.input = c.input[:0]
		return nil
	}
	if at > 0 || c.partialSince.Load() == 0 {
		c.partialSince.Store(max(1, int64(s.clock())))
	}
	c.input = append(c.input[:0], rest...)
	return nil
}

var errTooMuchUnparsed = errors.New("too many commands are unfinished")

// stopReading belongs to the reader.
func (s *Sender) stopReading(c *client) {
	c.input = nil
	c.ignoreInput.Store(true)
	c.partialSince.Store(0)
}

// countUnparsed belongs to the reader.
func (s *Sender) countUnparsed(c *client) {
	now := int64(len(c.input))
	s.unparsedBytes.Add(now - c.unparsed)
	c.unparsed = now
}

func brokenText(err error) []byte { return resp.AppendError(nil, "ERR protocol: "+err.Error()) }
