package directory

// This file is one call for the list: connecting, asking, reading. It owns what counts as a sign of life, which is a
// whole message, or blanks between two. A byte of a message that is not whole yet is none: what trickles would keep a
// watch for ever that tells nothing. It must never wait without a bound, or take half a message for one.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"flaxcove/internal/http1"
)

const (
	path    = "/api/targets"
	maxHead = 16 << 10 // bytes up to the end of the head, with what of the body comes along
	maxList = 4 << 20  // bytes of a message: a whole list of some ten thousand endpoints
	// glance is for what came while the process stood still, so that it is not taken for silence.
	glance = 10 * time.Millisecond
)

var (
	errSilent = errors.New("silent")
	errEnded  = errors.New("the watch was ended")
	errLong   = errors.New("a message is too long")
)

// call is one call for the list.
type call struct {
	w     *watcher
	ctx   context.Context
	conn  net.Conn
	began time.Time
	slow  bool      // it may take its time
	left  int       // bytes that may yet come before a sign of life
	head  bool      // its answer's head has come
	lived bool      // a sign of life has come
	late  bool      // what was due has not come; kept here, as the head's reader takes a line that stops for a broken one
	half  time.Time // when the first byte of a message came that is not whole yet; zero for none
	body  io.Reader
}

func (w *watcher) call(ctx context.Context) *call {
	return &call{w: w, ctx: ctx, began: time.Now(), slow: w.ladder.patient(), left: maxHead}
}

// follow calls, and reads until the connection ends. It returns how and why it did.
func (c *call) follow() (ending, error) {
	ctx, cancel := context.WithDeadline(c.ctx, c.until())
	conn, err := c.w.dial(ctx, c.w.addr)
	cancel()
	if err != nil {
		return c.end(err)
	}
	c.conn = conn
	// Reading ends with the watch, and not only at the next byte.
	stopped := context.AfterFunc(c.ctx, func() { conn.Close() })
	defer func() {
		stopped()
		conn.Close()
	}()
	return c.end(c.read())
}

func (c *call) read() error {
	if err := c.conn.SetWriteDeadline(c.until()); err != nil {
		return err
	}
	ask := path + "?follow=1&since=" + strconv.FormatInt(c.w.since, 10)
	if _, err := c.conn.Write(http1.AppendRequest(nil, "GET", ask, c.w.addr, -1)); err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(wire{c}), nil)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK || !slices.Contains(answer.TransferEncoding, "chunked") {
		return fmt.Errorf("status %d, chunked %v", answer.StatusCode, len(answer.TransferEncoding) > 0)
	}
	c.head, c.left, c.body = true, maxList, answer.Body
	for d := json.NewDecoder(c); ; {
		var l List
		if err := d.Decode(&l); err != nil {
			return err
		}
		c.alive()
		c.w.since = l.Version
		c.w.news(l)
		if rest, err := io.ReadAll(d.Buffered()); err == nil && len(bytes.TrimSpace(rest)) > 0 {
			c.half = time.Now()
		}
	}
}

// end tells what an error means.
func (c *call) end(err error) (ending, error) {
	var slow net.Error
	switch {
	case c.late, errors.As(err, &slow) && slow.Timeout():
		return silent, fmt.Errorf("%w: %s", errSilent, c.stage())
	case errors.Is(err, io.EOF) && c.head:
		err = errEnded
	case errors.Is(err, io.ErrUnexpectedEOF) && c.head:
		err = fmt.Errorf("%w in the middle of a message", errEnded)
	}
	if c.lived || c.head && !c.half.IsZero() {
		return cutOff, err
	}
	return refused, err
}

// stage says what was waited for.
func (c *call) stage() string {
	switch {
	case c.conn == nil:
		return "no connection"
	case !c.head:
		return "no answer"
	case !c.half.IsZero():
		return "half a message"
	}
	return "no sign of life"
}

// until is when what comes next must have come.
func (c *call) until() time.Time {
	w := &c.w.waits
	head, first, whole := w.Head, w.First, w.Whole
	if c.slow {
		head, first, whole = w.Patient, 2*w.Patient, w.Patient
	}
	switch {
	case !c.head:
		return c.began.Add(head)
	case !c.lived:
		return c.began.Add(first)
	case !c.half.IsZero():
		return c.half.Add(whole)
	}
	return c.w.heard.Add(w.Quiet)
}

func (c *call) alive() {
	c.w.heard, c.lived, c.half, c.left = time.Now(), true, time.Time{}, maxList
}

// Read is the decoder's: of the messages, what has come.
func (c *call) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	switch {
	case n == 0 || !c.half.IsZero():
	case len(bytes.TrimSpace(p[:n])) == 0:
		c.alive()
	default:
		c.half = time.Now()
	}
	return n, err
}

// wire is the call's connection as it is read.
type wire struct{ *call }

func (c wire) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, errLong
	}
	n, err := c.readBy(p[:min(len(p), c.left)], c.until())
	if errors.Is(err, os.ErrDeadlineExceeded) && c.lived && c.half.IsZero() {
		n, err = c.readBy(p[:min(len(p), c.left)], time.Now().Add(glance))
	}
	c.left, c.late = c.left-n, errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

func (c wire) readBy(p []byte, until time.Time) (int, error) {
	if err := c.conn.SetReadDeadline(until); err != nil {
		return 0, err
	}
	return c.conn.Read(p)
}
