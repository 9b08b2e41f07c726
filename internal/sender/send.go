package sender

// This file lets calls leave: it owns the last look at a call on a link that is up, and the write itself. It must never
// let a byte leave once a call's time or a window for repeats is over, let a call leave behind bytes that nobody asked
// for, nor tell that a call may have run of which a byte never left.

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/choice"
)

// Between two tries to write to an endpoint that reads slowly. netpoll would write the rest by itself, whenever the
// endpoint reads on: also after the window of a repeat, where the process stood still.
const (
	minWritePause = time.Millisecond
	maxWritePause = 8 * time.Millisecond
)

// How a write ends early. In each case the call's last byte has not left.
var (
	errBeforeFirstByte = errors.New("its time was over before its first byte")
	errBeforeLastByte  = errors.New("its time was over before its last byte")
	errLinkEnded       = errors.New("the connection had ended, or something had come on it")
)

// sendConnected lets the calls leave whose connection came up in this turn; they are on record by now.
func (s *Sender) sendConnected() {
	for _, a := range s.connected {
		s.sendCall(a.call, a.link)
	}
	clear(s.connected)
	s.connected = s.connected[:0]
}

// sendCall sends a call on a link that is up, without the messages that may not leave any more. Where none may, the call
// is over and the link idles.
func (s *Sender) sendCall(c *call, l *link) {
	if s.maySend(c, l) {
		s.startWrite(c, l)
		return
	}
	s.makeIdle(l)
	s.endUnsent(c)
}

// maySend asks again what was asked as the call was laid up: since then its endpoint may have told to wait, drained
// or moved, its time may be over, or a repeat's window. Connections come up late, a journal may be slow, and a process
// that stood still hears of its connections before its timers.
func (s *Sender) maySend(c *call, l *link) bool {
	if c.done || s.Now() >= c.beganAt+c.timeout || l.leadsElsewhere() || !s.module.Open(c.endpoint.id) {
		return false
	}
	// One may have parted while the write waited: its end is told already.
	c.messages = slices.DeleteFunc(c.messages, func(n *message) bool { return n.inFlight != c })
	for _, n := range slices.Clone(c.messages) {
		if !s.module.Open(c.endpoint.id, n.ID) {
			s.cancelMessage(c, n)
		}
	}
	return c.probe || len(c.messages) > 0
}

// startWrite sends a call on a link. A goroutine does, since an endpoint may read slowly.
func (s *Sender) startWrite(c *call, l *link) {
	c.link, c.reused, l.call, l.writing = l, l.used, c, true
	until := c.beganAt + c.timeout - 1
	for _, n := range c.messages {
		until = min(until, s.module.RepeatEnd(n.ID))
	}
	head, body := s.request(c)
	go func() {
		err := l.writeAll(append(head, body...), until)
		s.post(func() { s.onWritten(l, err) })
	}()
}

// writeAll writes all of a request, or tells that its last byte has not left. It ends when its time is over at the latest.
func (l *link) writeAll(text []byte, until choice.Time) error {
	if !l.expectAnswer() {
		return errLinkEnded
	}
	all := len(text)
	for pause := minWritePause; ; pause = min(2*pause, maxWritePause) {
		n, err := l.writeSome(text, until)
		if text = text[n:]; errors.Is(err, errBeforeLastByte) && len(text) == all {
			return errBeforeFirstByte
		}
		if err != nil || len(text) == 0 {
			return err
		}
		time.Sleep(pause)
	}
}

// expectAnswer takes what comes from now on for the answer, unless something has come, or the end: then nothing may leave. It
// stands right before the first byte, as bytes of an idle link may come in any moment until then. What netpoll has
// taken from the socket and not laid up yet is not seen: a gap as short as that between here and the first byte.
func (l *link) expectAnswer() bool {
	l.inputLock.Lock()
	defer l.inputLock.Unlock()
	l.bufferLock.Lock()
	defer l.bufferLock.Unlock()
	quiet := !l.buffersReleased && !l.badInput.Load() && noInputPending(l.conn)
	l.awaitingAnswer.Store(quiet)
	return quiet
}

// writeSome writes what the socket takes. The clock is asked right before, so that nothing but a stop of the process
// between these two lines lets a byte leave late.
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

// onWritten is told how a write ended.
func (s *Sender) onWritten(l *link, err error) {
	l.writing = false
	early := l.answeredEarly
	l.answeredEarly = nil
	switch {
	case errors.Is(err, errBeforeFirstByte) && l.call != nil && !l.closing:
		// The process stood still, or a window ended just now. Who is still in time goes on.
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

// boundEarlyWrite bounds the rest of a write whose call has been answered: until then the link carries no other call, or
// the bytes of two would mix.
func (s *Sender) boundEarlyWrite(l *link, c *call) {
	l.call, l.answeredEarly = nil, c
	s.after(answerRestTimeout, func() {
		if l.answeredEarly == c {
			s.closeLink(l, writeFailed)
		}
	})
}
