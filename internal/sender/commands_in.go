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
	maxInput = resp.MaxBulk + 8<<10
	maxAhead = window * maxInput // what netpoll has read for us while a client's window was full
)

// onBytes takes all that has come; netpoll calls it again only for more.
func (s *Sender) onBytes(ctx context.Context, conn netpoll.Connection) error {
	c, known := ctx.Value(clientKey{}).(*client)
	r := conn.Reader()
	if !known {
		return conn.Close()
	}
	c.busy.Store(true)
	defer c.busy.Store(false)
	piece, err := r.Next(r.Len())
	if err != nil {
		return err
	}
	if s.passOver(c, len(piece)) {
		s.turnDeaf(c)
	} else if c.deaf.Load() {
		c.in = nil
	} else {
		c.in = append(c.in, piece...)
	}
	r.Release()
	defer s.countUnread(c)
	if len(c.in) > maxAhead {
		s.turnDeaf(c)
		s.post(func() { s.closeClient(c, tooFarAhead) })
		return nil
	}
	at := 0
	for {
		args, took, err := resp.Command(c.in[at:], c.args)
		if err == nil && took == 0 && len(c.in)-at > maxInput {
			err = resp.ErrLength
		}
		if err == nil && took == 0 && c.unread == 0 && s.unread.Load()+int64(len(c.in)-at) > s.maxHalf {
			err = errTooMuch
		}
		if err != nil {
			s.turnDeaf(c)
			// The loop ends it, behind all answers; what comes until then is passed over.
			if s.take(c) {
				s.post(func() { s.broken(c, err) })
			}
			return nil
		}
		if took == 0 {
			break
		}
		c.args = args
		at += took
		kept, _, _ := resp.Command(append([]byte(nil), c.in[at-took:at]...), nil)
		if !s.take(c) {
			s.turnDeaf(c)
			return nil
		}
		s.post(func() { s.command(c, kept) })
		if c.deaf.Load() {
			s.turnDeaf(c)
			return nil
		}
	}
	rest := c.in[at:]
	if len(rest) == 0 {
		c.half.Store(0)
		if cap(c.in) > maxInput/8 {
			c.in = nil
		}
		c.in = c.in[:0]
		return nil
	}
	if at > 0 || c.half.Load() == 0 {
		c.half.Store(max(1, int64(s.clock())))
	}
	c.in = append(c.in[:0], rest...)
	return nil
}

var errTooMuch = errors.New("too many commands are unfinished")

// turnDeaf belongs to the reader.
func (s *Sender) turnDeaf(c *client) {
	c.in = nil
	c.deaf.Store(true)
	c.half.Store(0)
}

// countUnread belongs to the reader.
func (s *Sender) countUnread(c *client) {
	now := int64(len(c.in))
	s.unread.Add(now - c.unread)
	c.unread = now
}

func brokenText(err error) []byte { return resp.AppendError(nil, "ERR protocol: "+err.Error()) }
