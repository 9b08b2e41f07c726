package sender

// This file sends calls on established links: the last check of a call, and its write. No byte is sent after a call's
// timeout or after the repeat window of one of its messages, no call is sent on a link with unsolicited input, and a call
// of which no byte was sent is never reported as one that may have run.

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"go.uber.org/zap"

	"flaxcove/choice"
)

// The pause between two writes to an endpoint that reads slowly, with a backoff. netpoll's own write is not used, because
// it continues whenever the endpoint reads, even after a repeat window that ended while the process was stopped.
const (
	minWritePause = time.Millisecond
	maxWritePause = 8 * time.Millisecond
)

// Errors of a write that ends early. In each case the call's last byte was not sent.
var (
	errBeforeFirstByte = errors.New("time to send the call ran out before its first byte was written")
	errBeforeLastByte  = errors.New("time to send the call ran out before its last byte was written")
	errLinkEnded       = errors.New("connection to the endpoint has ended or has unsolicited input; call not written")
)

// sendConnected sends the calls whose connection was established in this turn. Their attempts are on record by now.
func (s *Sender) sendConnected() {
	for _, connected := range s.connected {
		s.sendCall(connected.call, connected.link)
	}
	clear(s.connected)
	s.connected = s.connected[:0]
}

// sendCall sends a call on an established link, without the messages that may no longer be sent. If no message is left,
// the call ends and the link becomes idle.
func (s *Sender) sendCall(c *call, l *link) {
	if !s.maySend(c, l) {
		s.makeIdle(l)
		s.endUnsent(c)
		return
	}
	if !s.startWrite(c, l) {
		s.makeIdle(l)
		s.awaitCapacity(c)
	}
}

// maySend reports whether a call may still be sent, and removes the messages that may not. It repeats the checks made when
// the call began: since then its endpoint may have sent Retry-After, drained or moved, and the call's timeout or a repeat
// window may be over. Connections may be established late, the journal may be slow, and a process that was stopped handles
// its connections before its timers fire.
func (s *Sender) maySend(c *call, l *link) bool {
	if c.done || s.Now() >= c.beganAt+c.timeout || l.isObsolete() || !s.choice.MaySend(c.endpoint.id) {
		return false
	}
	// The outcome of messages that were cancelled meanwhile is already reported.
	c.messages = slices.DeleteFunc(c.messages, func(m *message) bool { return m.inFlight != c })
	for _, m := range slices.Clone(c.messages) {
		if !s.choice.MaySend(c.endpoint.id, m.ID) {
			s.cancelMessage(c, m)
		}
	}
	return c.probe || len(c.messages) > 0
}

// startWrite writes a call on a link. The write runs in a goroutine of its own, since an endpoint may read slowly, and ends
// at the latest with the call's timeout. It reports false, and does nothing, if memory has no room for the request or the
// journal cannot be read.
func (s *Sender) startWrite(c *call, l *link) bool {
	held := c.requestMemory()
	if !s.holders.requests.Take(held) {
		return false
	}
	head, body, err := s.request(c)
	if err != nil {
		s.holders.requests.Release(held)
		s.log.Error("cannot read the body of a message; its call waits", zap.Error(err))
		return false
	}
	c.link, c.reused, l.call, l.writing = l, l.used, c, true
	if c.reused {
		c.sendingSince = s.sinceStart()
	}
	until := c.beganAt + c.timeout - 1
	for _, m := range c.messages {
		until = min(until, s.choice.RepeatableUntil(m.ID))
	}
	go func() {
		err := l.writeAll(append(head, body...), until)
		s.holders.requests.Release(held)
		s.post(func() { s.onWritten(l, err) })
	}()
	return true
}

// writeAll writes a request. It gives up when the time until has passed. If it returns an error, the last byte was not
// sent.
func (l *link) writeAll(text []byte, until choice.Time) error {
	if !l.expectAnswer() {
		return errLinkEnded
	}
	total := len(text)
	for pause := minWritePause; ; pause = min(2*pause, maxWritePause) {
		n, err := l.writeSome(text, until)
		text = text[n:]
		if errors.Is(err, errBeforeLastByte) && len(text) == total {
			return errBeforeFirstByte
		}
		if err != nil || len(text) == 0 {
			return err
		}
		time.Sleep(pause)
	}
}

// expectAnswer reports whether the request may be written, and if so, makes all further input count as its answer. The
// request may not be written if the link has ended or has other input. expectAnswer is called right before the first byte
// is written, as an idle link may receive input at any moment until then. It does not see input that netpoll is just
// moving from the socket to its buffer; that gap is as short as the one between this check and the first byte.
func (l *link) expectAnswer() bool {
	l.inputLock.Lock()
	defer l.inputLock.Unlock()
	l.bufferLock.Lock()
	defer l.bufferLock.Unlock()
	quiet := !l.buffersReleased && !l.badInput.Load() && noInputPending(l.conn)
	l.awaitingAnswer.Store(quiet)
	return quiet
}

// writeSome writes as much as the socket accepts and returns the number of bytes. It returns errBeforeLastByte when the
// time until has passed. The clock is read right before the write, so that a byte is sent late only if the process is
// stopped in between.
func (l *link) writeSome(text []byte, until choice.Time) (int, error) {
	l.bufferLock.Lock()
	defer l.bufferLock.Unlock()
	conn, ok := l.conn.(netpoll.Conn)
	if l.buffersReleased || !ok || !l.conn.IsActive() {
		return 0, errLinkEnded
	}
	if l.sender.Now() > until {
		return 0, errBeforeLastByte
	}
	n, err := syscall.SendmsgN(conn.Fd(), text, nil, nil, 0)
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
		return 0, nil
	}
	return max(0, n), err
}

// onWritten handles the end of a write.
func (s *Sender) onWritten(l *link, err error) {
	l.writing = false
	early := l.answeredEarly
	l.answeredEarly = nil
	switch {
	case errors.Is(err, errBeforeFirstByte) && l.call != nil && !l.closing:
		// The process was stopped, or a repeat window ended just now. The messages that are still in time are sent.
		c := l.call
		l.call, c.link = nil, nil
		l.awaitingAnswer.Store(false)
		s.sendCall(c, l)
		return
	case err != nil:
		l.lastByteUnsent = true
		s.closeLink(l, writeFailed)
	default:
		l.used = true
	}
	if l.partialAnswer != nil {
		s.onLinkCutOff(l)
	} else if early != nil {
		s.makeIdle(l)
	}
}

// boundEarlyWrite limits the rest of a write whose call is already answered to answerRestTimeout. The link carries no other
// call until the write ends, or the bytes of two calls would mix.
func (s *Sender) boundEarlyWrite(l *link, c *call) {
	l.call, l.answeredEarly = nil, c
	s.after(answerRestTimeout, func() {
		if l.answeredEarly == c {
			s.closeLink(l, writeFailed)
		}
	})
}
