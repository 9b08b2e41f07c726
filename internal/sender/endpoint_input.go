package sender

// This file reads what endpoints say: it owns the way of bytes from a link into an answer. It must never take bytes
// that nobody asked for as an answer, nor wait for the loop while the loop waits for it.

import (
	"context"
	"errors"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/internal/http1"
)

// answerRestTimeout is how long the rest of an answer may take: endpoints write one in one go, and what stops in the
// middle would hold a slot until the call's time-out.
const answerRestTimeout = 250 * time.Millisecond

var errUnsolicited = errors.New("bytes that nobody asked for")

// onClientInput reads what an endpoint says and hands on each whole answer.
func (l *link) onEndpointInput(_ context.Context, conn netpoll.Connection) error {
	tell, err := l.read(conn)
	if tell != nil {
		l.sender.post(tell)
	}
	if err != nil {
		// At once: it may go on for gigabytes.
		err = errors.Join(err, conn.Close())
	}
	return err
}

// read takes in what has come and returns what the loop is to be told. It tells nothing itself, since the loop may
// wait for the lock.
func (l *link) read(conn netpoll.Connection) (tell func(), err error) {
	l.inputLock.Lock()
	defer l.inputLock.Unlock()
	// Under the lock: between here and the connection's end no call may leave on it.
	defer func() { l.badInput.Store(l.badInput.Load() || err != nil) }()
	r := conn.Reader()
	piece, err := r.Next(r.Len())
	if err != nil {
		return nil, err
	}
	if l.awaitingAnswer.Load() {
		err = l.answer.Feed(piece)
	} else {
		err = errUnsolicited
	}
	r.Release()
	if err == nil && l.answer.Done {
		a := readAnswer(&l.answer)
		// Bytes behind an answer would be read as the start of the next.
		a.close = a.close || l.answer.Left() > 0
		l.answer = http1.Answer{}
		l.awaitingAnswer.Store(false)
		l.answerBegun = false
		return func() { l.sender.onAnswer(l, a) }, nil
	}
	// Interim answers begin nothing: they come because the endpoint will take long.
	if err == nil && !l.answerBegun && l.answer.Began() {
		l.answerBegun = true
		return func() { l.sender.onAnswerBegun(l) }, nil
	}
	return nil, err
}

// onAnswerBegun sees to it that the rest of the answer comes soon. What had come by then decides how the call ended.
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
