package sender

// This file reads the input of links and parses it into answers. Unsolicited bytes are never taken for an answer, and a
// reader never waits for the loop while it holds a lock that the loop may be waiting for.

import (
	"context"
	"errors"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"flaxcove/internal/http1"
)

// answerRestTimeout is the time within which the rest of an answer must follow its first byte. Endpoints write an answer
// at once; one that stops in the middle would occupy a place of the in-flight limit until the call's timeout.
const answerRestTimeout = 250 * time.Millisecond

var errAnswerMemory = errors.New("no memory is left for the answer")

var errUnsolicited = errors.New("unsolicited input from the endpoint: no call awaits an answer on the connection")

// onEndpointInput reads the input of a link and posts the beginning or the end of an answer to the loop. It is netpoll's
// callback for input and closes the connection after bad input.
func (l *link) onEndpointInput(_ context.Context, conn netpoll.Connection) error {
	event, err := l.read(conn)
	if event != nil {
		l.sender.post(event)
	}
	if err != nil {
		err = errors.Join(err, conn.Close()) // at once, as bad input may go on for gigabytes
	}
	return err
}

// read parses the available input and returns an event to post to the loop; nil if there is none. It does not post the
// event itself, since the loop may be waiting for inputLock.
func (l *link) read(conn netpoll.Connection) (event func(), err error) {
	l.inputLock.Lock()
	defer l.inputLock.Unlock()
	defer func() { l.rejectInput(err) }()
	if err := l.feedAnswer(conn.Reader()); err != nil {
		return nil, err
	}
	if !l.holdAnswer(int64(l.answer.Buffered())) {
		return nil, errAnswerMemory
	}
	switch {
	case l.answer.Done:
		a := readAnswer(&l.answer)
		a.close = a.close || l.answer.BytesAfter() > 0 // bytes after an answer would be read as the start of the next one
		l.dropAnswer()
		l.awaitingAnswer.Store(false)
		l.answerBegun = false
		return func() { l.sender.onAnswer(l, a) }, nil
	case !l.answerBegun && l.answer.Started(): // false for interim answers, which announce that the call takes long
		l.answerBegun = true
		return func() { l.sender.onAnswerBegun(l) }, nil
	}
	return nil, nil
}

// holdAnswer sets how many bytes the incomplete answer takes, and reports whether there is room for them. The first
// freeAnswerBytes are not counted, so that there is always room for a usual answer. It is called by netpoll's callback.
func (l *link) holdAnswer(bytes int64) bool {
	more := max(0, bytes-freeAnswerBytes) - l.answerHeld
	if more > 0 && !l.sender.holders.endpoints.Take(more) {
		return false
	}
	if more < 0 {
		l.sender.holders.endpoints.Release(-more)
	}
	l.answerHeld += more
	return true
}

// dropAnswer drops what was received of an answer. Timers may keep the link itself for a while. It is called by netpoll's
// callback.
func (l *link) dropAnswer() {
	l.answer = http1.Answer{}
	l.holdAnswer(0)
}

// rejectInput marks the link as one whose input cannot be an answer, unless err is nil. It is called under inputLock, so
// that no call is sent on the link after bad input and before its close.
func (l *link) rejectInput(err error) {
	if err != nil {
		l.inputError.CompareAndSwap(nil, &err)
		l.badInput.Store(true)
	}
}

// feedAnswer passes all available input to the parser of the answer. It returns errUnsolicited if no call awaits one.
func (l *link) feedAnswer(r netpoll.Reader) error {
	piece, err := r.Next(r.Len())
	if err != nil {
		return err
	}
	if l.awaitingAnswer.Load() {
		err = l.answer.Feed(piece)
	} else {
		err = errUnsolicited
	}
	r.Release()
	return err
}

// endOfInput returns what was received of an answer before the connection ended. It is called by netpoll once the input is
// handled and before the descriptor is closed.
func (l *link) endOfInput() *partialAnswer {
	defer l.dropAnswer()
	end := &partialAnswer{status: l.answer.Status(), begun: l.answer.Started()}
	if l.badInput.Load() || !endedInOrder(l.conn) || l.answer.End() != nil || !l.answer.Done {
		return end
	}
	a := readAnswer(&l.answer)
	a.close = true
	end.completed = &a
	return end
}

// tcpCloseWait is Linux's number of the state of a connection that the other side has ended, without a reset, and this side
// has not.
const tcpCloseWait = 8

// endedInOrder reports whether the other side has ended a connection without a reset, after which input may be missing.
func endedInOrder(conn netpoll.Connection) bool {
	fd, known := conn.(netpoll.Conn)
	if !known {
		return false
	}
	info, err := unix.GetsockoptTCPInfo(fd.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.State == tcpCloseWait
}

// onAnswerBegun limits the time for the rest of an answer to answerRestTimeout. If the rest does not come in time, the
// received part decides the outcome.
func (s *Sender) onAnswerBegun(l *link) {
	c := l.call
	l.answeringCall = c
	if c != nil {
		s.after(answerRestTimeout, func() {
			if l.call == c && !c.done {
				s.closeLink(l, badAnswer)
			}
		})
	}
}
