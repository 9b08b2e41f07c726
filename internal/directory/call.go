package directory

// This file implements one call for the list: it connects, sends the request and reads the messages. It decides what
// counts as a sign of life: a complete message, or white space between two messages. A part of a message does not count,
// because then a server that sends a few bytes now and then could keep a watch open for ever without delivering
// anything. Every wait is bounded, and an incomplete message is never passed on.

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
	"syscall"
	"time"

	"flaxcove/internal/http1"
)

const (
	path    = "/api/targets"
	maxHead = 16 << 10 // bytes read up to the end of the head, including body bytes in the same reads
	maxList = 4 << 20  // default of Options.MaxList, enough for a full list of some ten thousand endpoints
	// graceReadTimeout is the time for one more read after the deadline for a sign of life. The read gets data that
	// arrived while the process was paused, so that the pause is not mistaken for silence of discovery.
	graceReadTimeout = 10 * time.Millisecond
)

var (
	errSilent     = errors.New("the call timed out")
	errEnded      = errors.New("the server closed the connection")
	errTooLong    = errors.New("the answer's head or a message is too long")
	errNoServers  = errors.New("a full list without servers")
	errStopped    = errors.New("the watch was stopped")
	errSuperseded = errors.New("an earlier call received data first")
)

// statusError is the failure of a call whose answer has an error status.
type statusError struct{ error }

// Refused reports whether a failure shows that nobody serves the list at the address now: the call was refused, or answered
// with an error status. Silence and a connection that breaks don't show this. err is a value passed to OnFailure.
func Refused(err error) bool {
	var status statusError
	return errors.As(err, &status) || errors.Is(err, syscall.ECONNREFUSED)
}

// call is one call for the list. Its own goroutine owns the fields, except for established, which the watcher owns.
type call struct {
	watcher      *watcher
	ctx          context.Context
	stop         context.CancelFunc
	conn         net.Conn
	sinceVersion int64 // the call asks for changes after this version
	startedAt    time.Time
	stalled      bool // the longer timeouts for a stalled call apply, up to the first sign of life

	bytesLeft    int       // bytes that may still arrive before the next sign of life
	headRead     bool      // the head of the answer has been read
	errorStatus  bool      // the answer's status is an error
	alive        bool      // a sign of life has been received
	lastSign     time.Time // when the last sign of life was received
	timedOut     bool      // a read timed out; stored here because the head's reader reports an incomplete line as malformed
	partialSince time.Time // when the first byte of a still incomplete message was received; zero if there is none
	body         io.Reader

	established bool // the watcher has handled a sign of life of this call; owned by the watcher
}

// startCall starts a call in a new goroutine, which ends when ctx is done or the call's stop function is called.
func (w *watcher) startCall(ctx context.Context) *call {
	c := &call{watcher: w, sinceVersion: w.version, startedAt: time.Now(), bytesLeft: maxHead}
	c.ctx, c.stop = context.WithCancel(ctx)
	go c.run()
	return c
}

// send sends an event to the watcher. It gives up when the call is stopped.
func (c *call) send(e event) {
	e.call = c
	select {
	case c.watcher.events <- e:
	case <-c.ctx.Done():
	}
}

// reportStall tells the watcher that the call has stalled. waitedFor is a result of awaited.
func (c *call) reportStall(waitedFor string) {
	c.send(event{kind: stalled, err: fmt.Errorf("%w: %s", errSilent, waitedFor)})
}

// run connects, reads until the connection ends, and reports the end to the watcher.
func (c *call) run() {
	how, err := c.classify(c.connect())
	c.send(event{kind: ended, how: how, err: err})
}

// connect connects to discovery and reads the list. It reports a stall if connecting takes longer than HeadTimeout, and
// gives up after StalledTimeout. It returns when the connection ends.
func (c *call) connect() error {
	ctx, cancel := context.WithDeadline(c.ctx, c.startedAt.Add(c.watcher.timing.StalledTimeout))
	stallTimer := time.AfterFunc(time.Until(c.deadline()), func() { c.reportStall(noConnection) })
	conn, err := c.watcher.dial(ctx, c.watcher.addr)
	cancel()
	c.stalled = !stallTimer.Stop()
	if err != nil {
		return err
	}
	c.conn = conn
	// When the call is stopped, closing the connection ends a read that waits for data.
	detach := context.AfterFunc(c.ctx, func() { conn.Close() })
	defer func() {
		detach()
		conn.Close()
	}()
	return c.read()
}

// read sends the request for the list and reads the answer until the connection ends.
func (c *call) read() error {
	if err := c.conn.SetWriteDeadline(c.deadline()); err != nil {
		return err
	}
	target := path + "?follow=1&since=" + strconv.FormatInt(c.sinceVersion, 10)
	if _, err := c.conn.Write(http1.AppendRequest(nil, "GET", target, c.watcher.addr, http1.NoBody)); err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(connReader{c}), nil)
	if err != nil {
		return err
	}
	c.errorStatus = answer.StatusCode >= http.StatusBadRequest
	if answer.StatusCode != http.StatusOK || !slices.Contains(answer.TransferEncoding, "chunked") {
		return fmt.Errorf("unexpected answer: status %d, chunked %v", answer.StatusCode, len(answer.TransferEncoding) > 0)
	}
	c.headRead, c.bytesLeft, c.body = true, c.watcher.listLimit(), answer.Body
	return c.readMessages()
}

// readMessages decodes messages and reports each as a sign of life, until an error or the end of the connection.
func (c *call) readMessages() error {
	d := json.NewDecoder(c)
	for {
		var l List
		if err := d.Decode(&l); err != nil {
			return err
		}
		if l.Full && l.Entries == nil {
			// Accepting this message as an empty list would leave no endpoint to send to. The drawback of rejecting it:
			// if discovery does mean an empty list, the old list stays in force, and discovery is called again as long
			// as it answers like this.
			return errNoServers
		}
		c.recordSignOfLife(&l)
		if rest, err := io.ReadAll(d.Buffered()); err == nil && len(bytes.TrimSpace(rest)) > 0 {
			c.partialSince = time.Now()
		}
	}
}

// classify determines how a call ended from the error that ended it, and returns the error to report.
func (c *call) classify(err error) (ending, error) {
	var netErr net.Error
	switch {
	case c.errorStatus:
		return errorStatus, statusError{err}
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

// awaited returns what the call has not received, as the text of an error.
func (c *call) awaited() string {
	switch {
	case c.conn == nil:
		return noConnection
	case !c.headRead:
		return "no answer"
	case !c.partialSince.IsZero():
		return "incomplete message"
	}
	return "no sign of life"
}

// deadline returns the time by which the next thing that the call waits for must have been received.
func (c *call) deadline() time.Time {
	t := &c.watcher.timing
	head, firstSign, message := t.HeadTimeout, t.FirstSignTimeout, t.MessageTimeout
	if c.stalled {
		head, firstSign, message = t.StalledTimeout, 2*t.StalledTimeout, t.StalledTimeout
	}
	switch {
	case !c.headRead:
		return c.startedAt.Add(head)
	case !c.alive:
		return c.startedAt.Add(firstSign)
	case !c.partialSince.IsZero():
		return c.partialSince.Add(message)
	}
	return c.lastSign.Add(t.MaxSilence)
}

// recordSignOfLife records a sign of life and reports it to the watcher. l is the message, or nil for white space.
func (c *call) recordSignOfLife(l *List) {
	c.lastSign, c.alive, c.stalled = time.Now(), true, false
	c.partialSince, c.bytesLeft = time.Time{}, c.watcher.listLimit()
	c.send(event{kind: signOfLife, list: l})
}

// Read reads from the answer's body for the JSON decoder. White space between messages is a sign of life; any other byte
// there begins a message.
func (c *call) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	switch {
	case n == 0 || !c.partialSince.IsZero():
	case len(bytes.TrimSpace(p[:n])) == 0:
		c.recordSignOfLife(nil)
	default:
		c.partialSince = time.Now()
	}
	return n, err
}

// connReader reads from the call's connection, at most bytesLeft bytes and with a deadline for each read. The first
// timeout before a sign of life marks the call as stalled, and the read continues with the longer timeouts.
type connReader struct{ *call }

// Read reads from the connection and records in timedOut whether the read timed out.
func (c connReader) Read(p []byte) (int, error) {
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
		n, err = c.readBefore(time.Now().Add(graceReadTimeout), p)
	}
	c.bytesLeft -= n
	c.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// readBefore reads from the connection and fails with os.ErrDeadlineExceeded if nothing arrives by the deadline.
func (c connReader) readBefore(deadline time.Time, p []byte) (int, error) {
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.conn.Read(p)
}
