package directory

// This file is one call for the list: connecting, asking, reading. It decides what counts as a sign of life: a complete
// message, or blanks between two. A byte of a message that is not complete yet is none: otherwise a trickle would keep open
// for ever a watch that delivers nothing. It does not wait without a bound, nor take half a message for a complete one.

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
	maxHead = 16 << 10 // bytes up to the end of the head, with the part of the body that comes along
	maxList = 4 << 20  // bytes of a message: a full list of some ten thousand endpoints
	// graceRead reads what arrived while the process stood still, so that it is not taken for silence.
	graceRead = 10 * time.Millisecond
)

var (
	errSilent     = errors.New("silent")
	errEnded      = errors.New("the watch was ended")
	errTooLong    = errors.New("a message is too long")
	errNoServers  = errors.New("a whole list without servers")
	errStopped    = errors.New("stopped")
	errSuperseded = errors.New("an earlier call has spoken")
)

// call is one call for the list. It belongs to a goroutine of its own, except for the watcher's field.
type call struct {
	watcher *watcher
	ctx     context.Context
	stop    context.CancelFunc
	conn    net.Conn
	since   int64 // the version from which changes are asked for
	began   time.Time
	stalled bool // it may take its time, up to its first sign of life

	bytesLeft    int       // that may yet come before a sign of life
	headRead     bool      // the head of its answer has come
	errorStatus  bool      // the answer's status is an error
	alive        bool      // a sign of life has come
	lastSign     time.Time // when the last one came
	timedOut     bool      // what was due has not come; stored here, as the head's reader reports a line that stops as malformed
	partialSince time.Time // when the first byte came of a message that is not complete yet; zero for none
	body         io.Reader

	established bool // the watcher's: it has handled a sign of life of this call
}

// begin starts a call in a goroutine of its own, which ends with ctx or with the call's stop.
func (w *watcher) begin(ctx context.Context) *call {
	c := &call{watcher: w, since: w.version, began: time.Now(), bytesLeft: maxHead}
	c.ctx, c.stop = context.WithCancel(ctx)
	go c.run()
	return c
}

// send hands the watcher an event. It waits no longer than the call may last.
func (c *call) send(e event) {
	e.call = c
	select {
	case c.watcher.events <- e:
	case <-c.ctx.Done():
	}
}

// reportStall tells the watcher that something has not come in time; waitedFor is one of what awaited returns.
func (c *call) reportStall(waitedFor string) {
	c.send(event{kind: stalled, err: fmt.Errorf("%w: %s", errSilent, waitedFor)})
}

// run connects, and reads until the connection ends.
func (c *call) run() {
	how, err := c.classify(c.connect())
	c.send(event{kind: ended, how: how, err: err})
}

func (c *call) connect() error {
	ctx, cancel := context.WithDeadline(c.ctx, c.began.Add(c.watcher.timing.StalledTimeout))
	stallTimer := time.AfterFunc(time.Until(c.deadline()), func() { c.reportStall(noConnection) })
	conn, err := c.watcher.dial(ctx, c.watcher.addr)
	cancel()
	c.stalled = !stallTimer.Stop()
	if err != nil {
		return err
	}
	c.conn = conn
	// Reading ends when the call is stopped, and not only at the next byte.
	detach := context.AfterFunc(c.ctx, func() { conn.Close() })
	defer func() {
		detach()
		conn.Close()
	}()
	return c.read()
}

// read asks for the list and reads the answer until it ends.
func (c *call) read() error {
	if err := c.conn.SetWriteDeadline(c.deadline()); err != nil {
		return err
	}
	target := path + "?follow=1&since=" + strconv.FormatInt(c.since, 10)
	if _, err := c.conn.Write(http1.AppendRequest(nil, "GET", target, c.watcher.addr, http1.NoBody)); err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(wire{c}), nil)
	if err != nil {
		return err
	}
	c.errorStatus = answer.StatusCode >= http.StatusBadRequest
	if answer.StatusCode != http.StatusOK || !slices.Contains(answer.TransferEncoding, "chunked") {
		return fmt.Errorf("status %d, chunked %v", answer.StatusCode, len(answer.TransferEncoding) > 0)
	}
	c.headRead, c.bytesLeft, c.body = true, maxList, answer.Body
	return c.readMessages()
}

func (c *call) readMessages() error {
	d := json.NewDecoder(c)
	for {
		var l List
		if err := d.Decode(&l); err != nil {
			return err
		}
		if l.Full && l.Entries == nil {
			// Accepted as an empty list it would leave no endpoint to send to. The drawback: where discovery means an empty
			// list by it, the old one stays in force, and discovery is called again as long as it answers so.
			return errNoServers
		}
		c.noteLife(&l)
		if rest, err := io.ReadAll(d.Buffered()); err == nil && len(bytes.TrimSpace(rest)) > 0 {
			c.partialSince = time.Now()
		}
	}
}

// classify says how a call ended, from the error that ended it.
func (c *call) classify(err error) (ending, error) {
	var netErr net.Error
	switch {
	case c.errorStatus:
		return errorStatus, err
	case c.timedOut, errors.As(err, &netErr) && netErr.Timeout():
		return silent, fmt.Errorf("%w: %s", errSilent, c.awaited())
	case errors.Is(err, io.EOF) && c.headRead:
		err = errEnded
	case errors.Is(err, io.ErrUnexpectedEOF) && c.headRead:
		err = fmt.Errorf("%w in the middle of a message", errEnded)
	}
	if c.alive || c.headRead && !c.partialSince.IsZero() {
		return cutOff, err
	}
	return failed, err
}

const noConnection = "no connection"

// awaited says what the call was waiting for.
func (c *call) awaited() string {
	switch {
	case c.conn == nil:
		return noConnection
	case !c.headRead:
		return "no answer"
	case !c.partialSince.IsZero():
		return "half a message"
	}
	return "no sign of life"
}

// deadline is when what is due next must have come.
func (c *call) deadline() time.Time {
	t := &c.watcher.timing
	head, firstSign, message := t.HeadTimeout, t.FirstSignTimeout, t.MessageTimeout
	if c.stalled {
		head, firstSign, message = t.StalledTimeout, 2*t.StalledTimeout, t.StalledTimeout
	}
	switch {
	case !c.headRead:
		return c.began.Add(head)
	case !c.alive:
		return c.began.Add(firstSign)
	case !c.partialSince.IsZero():
		return c.partialSince.Add(message)
	}
	return c.lastSign.Add(t.MaxSilence)
}

// noteLife notes a sign of life, a message or blanks, and tells the watcher.
func (c *call) noteLife(l *List) {
	c.lastSign, c.alive, c.stalled = time.Now(), true, false
	c.partialSince, c.bytesLeft = time.Time{}, maxList
	c.send(event{kind: signOfLife, list: l})
}

// Read gives the JSON decoder what has come of the messages.
func (c *call) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	switch {
	case n == 0 || !c.partialSince.IsZero():
	case len(bytes.TrimSpace(p[:n])) == 0:
		c.noteLife(nil)
	default:
		c.partialSince = time.Now()
	}
	return n, err
}

// wire is the call's connection as it is read: with a bound on bytes and a deadline for each read.
type wire struct{ *call }

func (c wire) Read(p []byte) (int, error) {
	if c.bytesLeft <= 0 {
		return 0, errTooLong
	}
	p = p[:min(len(p), c.bytesLeft)]
	n, err := c.readBefore(c.deadline(), p)
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
	case !c.alive && !c.stalled:
		c.stalled = true
		c.reportStall(c.awaited())
		n, err = c.readBefore(c.deadline(), p)
	case c.alive && c.partialSince.IsZero():
		n, err = c.readBefore(time.Now().Add(graceRead), p)
	}
	c.bytesLeft -= n
	c.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

func (c wire) readBefore(deadline time.Time, p []byte) (int, error) {
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.conn.Read(p)
}
