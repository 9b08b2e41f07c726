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
	errSilent  = errors.New("silent")
	errEnded   = errors.New("the watch was ended")
	errLong    = errors.New("a message is too long")
	errNoList  = errors.New("a whole list without servers")
	errStopped = errors.New("stopped")
	errBeside  = errors.New("an earlier call has spoken")
)

// call is one call for the list. It belongs to a goroutine of its own, but for the fields of the watcher.
type call struct {
	w     *watcher
	ctx   context.Context
	stop  context.CancelFunc
	conn  net.Conn
	since int64
	began time.Time
	slow  bool      // it has stalled and may take its time, up to its first sign of life
	left  int       // bytes that may yet come before a sign of life
	head  bool      // its answer's head has come
	busy  bool      // that was an error status
	lived bool      // a sign of life has come
	heard time.Time // the last one
	late  bool      // what was due has not come; kept here, as the head's reader takes a line that stops for a broken one
	half  time.Time // when the first byte of a message came that is not whole yet; zero for none
	body  io.Reader

	// The watcher's.
	spoke bool // it has told of life
}

func (w *watcher) begin(ctx context.Context) *call {
	c := &call{w: w, since: w.since, began: time.Now(), left: maxHead}
	c.ctx, c.stop = context.WithCancel(ctx)
	go c.follow()
	return c
}

// post hands the watcher an event. It waits no longer than the call may last.
func (c *call) post(e event) {
	e.call = c
	select {
	case c.w.events <- e:
	case <-c.ctx.Done():
	}
}

func (c *call) stall(stage string) {
	c.post(event{what: stalled, err: fmt.Errorf("%w: %s", errSilent, stage)})
}

// follow calls, and reads until the connection ends.
func (c *call) follow() {
	how, err := c.end(c.connect())
	c.post(event{what: over, how: how, err: err})
}

func (c *call) connect() error {
	ctx, cancel := context.WithDeadline(c.ctx, c.began.Add(c.w.waits.Patient))
	late := time.AfterFunc(time.Until(c.until()), func() { c.stall(noConnection) })
	conn, err := c.w.dial(ctx, c.w.addr)
	cancel()
	c.slow = !late.Stop()
	if err != nil {
		return err
	}
	c.conn = conn
	// Reading ends with the watch, and not only at the next byte.
	stopped := context.AfterFunc(c.ctx, func() { conn.Close() })
	defer func() {
		stopped()
		conn.Close()
	}()
	return c.read()
}

func (c *call) read() error {
	if err := c.conn.SetWriteDeadline(c.until()); err != nil {
		return err
	}
	ask := path + "?follow=1&since=" + strconv.FormatInt(c.since, 10)
	if _, err := c.conn.Write(http1.AppendRequest(nil, "GET", ask, c.w.addr, -1)); err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(wire{c}), nil)
	if err != nil {
		return err
	}
	c.busy = answer.StatusCode >= http.StatusBadRequest
	if answer.StatusCode != http.StatusOK || !slices.Contains(answer.TransferEncoding, "chunked") {
		return fmt.Errorf("status %d, chunked %v", answer.StatusCode, len(answer.TransferEncoding) > 0)
	}
	c.head, c.left, c.body = true, maxList, answer.Body
	for d := json.NewDecoder(c); ; {
		var l List
		if err := d.Decode(&l); err != nil {
			return err
		}
		if l.Full && l.Servers == nil {
			// Taken for an empty one it would leave nobody to send to. It harms where discovery means an empty list by it:
			// the old one stays in force, and it is asked again as long as it says so.
			return errNoList
		}
		c.alive(&l)
		if rest, err := io.ReadAll(d.Buffered()); err == nil && len(bytes.TrimSpace(rest)) > 0 {
			c.half = time.Now()
		}
	}
}

// end tells what an error means.
func (c *call) end(err error) (ending, error) {
	var slow net.Error
	switch {
	case c.busy:
		return busy, err
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

const noConnection = "no connection"

// stage says what was waited for.
func (c *call) stage() string {
	switch {
	case c.conn == nil:
		return noConnection
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
	return c.heard.Add(w.Quiet)
}

// alive notes a sign of life, a message or blanks, and tells the watcher.
func (c *call) alive(l *List) {
	c.heard, c.lived, c.slow, c.half, c.left = time.Now(), true, false, time.Time{}, maxList
	c.post(event{what: life, list: l})
}

// Read is the decoder's: of the messages, what has come.
func (c *call) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	switch {
	case n == 0 || !c.half.IsZero():
	case len(bytes.TrimSpace(p[:n])) == 0:
		c.alive(nil)
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
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
	case !c.lived && !c.slow:
		c.slow = true
		c.stall(c.stage())
		n, err = c.readBy(p[:min(len(p), c.left)], c.until())
	case c.lived && c.half.IsZero():
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
