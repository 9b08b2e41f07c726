package sender

// This file sends calls on links that are up: the last check of a call, and its write. No byte is sent once a call's time
// or a window for repeats is over, no call is sent behind input that nobody asked for, and a call of which no byte was
// sent is never said to have run.

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/choice"
)

// Between two writes to an endpoint that reads slowly, with a backoff. netpoll's own write would go on whenever the
// endpoint reads: also after a window for repeats, where the process was stopped meanwhile.
const (
	minWritePause = time.Millisecond
	maxWritePause = 8 * time.Millisecond
)

// How a write ends early. In each case the call's last byte was not sent.
var (
	errBeforeFirstByte = errors.New("its time was over before its first byte")
	errBeforeLastByte  = errors.New("its time was over before its last byte")
	errLinkEnded       = errors.New("the connection had ended, or something had come on it")
)

// sendConnected sends the calls whose connection came up in this turn; they are on record by now.
func (s *Sender) sendConnected() {
	for _, connected := range s.connected {
		s.sendCall(connected.call, connected.link)
	}
	clear(s.connected)
	s.connected = s.connected[:0]
}

// sendCall sends a call on a link that is up, without the messages that may not be sent any more. Where none may, the call
// ends and the link is idle.
func (s *Sender) sendCall(c *call, l *link) {
	if s.maySend(c, l) {
		s.startWrite(c, l)
		return
	}
	s.makeIdle(l)
	s.endUnsent(c)
}

// maySend checks again what was checked when the call began: since then its endpoint may have sent Retry-After, drained or
// moved, its time may be over, or a window for repeats. Connections come up late, the journal may be slow, and a process
// that was stopped hears of its connections before its timers fire.
func (s *Sender) maySend(c *call, l *link) bool {
	if c.done || s.Now() >= c.beganAt+c.timeout || l.leadsElsewhere() || !s.choice.Open(c.endpoint.id) {
		return false
	}
	// Messages that were cancelled meanwhile are reported already.
	c.messages = slices.DeleteFunc(c.messages, func(m *message) bool { return m.inFlight != c })
	for _, m := range slices.Clone(c.messages) {
		if !s.choice.Open(c.endpoint.id, m.ID) {
			s.cancelMessage(c, m)
		}
	}
	return c.probe || len(c.messages) > 0
}

// startWrite writes a call on a link, in a goroutine of its own, since an endpoint may read slowly. The write ends with the
// call's time at the latest.
func (s *Sender) startWrite(c *call, l *link) {
	c.link, c.reused, l.call, l.writing = l, l.used, c, true
	until := c.beganAt + c.timeout - 1
	for _, m := range c.messages {
		until = min(until, s.choice.RepeatableUntil(m.ID))
	}
	head, body := s.request(c)
	go func() {
		err := l.writeAll(append(head, body...), until)
		s.post(func() { s.onWritten(l, err) })
	}()
}

// writeAll writes a request, until its time is over at the latest. An error says that the last byte was not sent.
func (l *link) writeAll(text []byte, until choice.Time) error {
	if !l.expectAnswer() {
		return errLinkEnded
	}
	all := len(text)
	for pause := minWritePause; ; pause = min(2*pause, maxWritePause) {
		n, err := l.writeSome(text, until)
		text = text[n:]
		if errors.Is(err, errBeforeLastByte) && len(text) == all {
			return errBeforeFirstByte
		}
		if err != nil || len(text) == 0 {
			return err
		}
		time.Sleep(pause)
	}
}

// expectAnswer makes input from now on count as the answer, and reports whether the request may be written: not after
// other input or the link's end. It is called right before the first byte, as an idle link may get input at any moment
// until then. Input that netpoll is just moving from the socket to its buffer is not seen: a gap as short as that between
// here and the first byte.
func (l *link) expectAnswer() bool {
	l.inputLock.Lock()
	defer l.inputLock.Unlock()
	l.bufferLock.Lock()
	defer l.bufferLock.Unlock()
	quiet := !l.buffersReleased && !l.badInput.Load() && noInputPending(l.conn)
	l.awaitingAnswer.Store(quiet)
	return quiet
}

// writeSome writes what the socket takes. The clock is read right before the write, so that nothing but a stop of the
// process between the two lets a byte be sent late.
func (l *link) writeSome(text []byte, until choice.Time) (int, error) {
	l.bufferLock.Lock()
	defer l.bufferLock.Unlock()
	fd, known := l.conn.(netpoll.Conn)
	if l.buffersReleased || !known || !l.conn.IsActive() {
		return 0, errLinkEnded
	}
	if l.sender.Now() > until {
		return 0, errBeforeLastByte
	}
	n, err := syscall.SendmsgN(fd.Fd(), text, nil, nil, 0)
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
		return 0, nil
	}
	return max(0, n), err
}

// onWritten is called when a write has ended.
func (s *Sender) onWritten(l *link, err error) {
	l.writing = false
	early := l.answeredEarly
	l.answeredEarly = nil
	switch {
	case errors.Is(err, errBeforeFirstByte) && l.call != nil && !l.closing:
		// The process was stopped, or a window for repeats ended just now. Messages that are in time are sent.
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

// boundEarlyWrite bounds the rest of a write whose call is answered already. Until its end the link carries no other call,
// or the bytes of two would mix.
func (s *Sender) boundEarlyWrite(l *link, c *call) {
	l.call, l.answeredEarly = nil, c
	s.after(answerRestTimeout, func() {
		if l.answeredEarly == c {
			s.closeLink(l, writeFailed)
		}
	})
}
