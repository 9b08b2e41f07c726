package sender

// This file reads the input of links into answers. Bytes that nobody asked for are never taken for an answer, and the
// reader does not wait for the loop while the loop may wait for it.

import (
	"context"
	"errors"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/internal/http1"
)

// answerRestTimeout is how long the rest of an answer may take. Endpoints write an answer at once; one that stops in the
// middle would take up the in-flight limit until the call's time-out.
const answerRestTimeout = 250 * time.Millisecond

var errUnsolicited = errors.New("bytes that nobody asked for")

// onEndpointInput reads what has come and hands a complete answer to the loop.
func (l *link) onEndpointInput(_ context.Context, conn netpoll.Connection) error {
	event, err := l.read(conn)
	if event != nil {
		l.sender.post(event)
	}
	if err != nil {
		err = errors.Join(err, conn.Close()) // at once: bad input may go on for gigabytes
	}
	return err
}

// read parses what has come and returns what the loop is to do about it, nil for nothing. It does not post that itself,
// since the loop may be waiting for the lock.
func (l *link) read(conn netpoll.Connection) (event func(), err error) {
	l.inputLock.Lock()
	defer l.inputLock.Unlock()
	// Under the lock, so that no call is sent on the link between here and its end.
	defer func() { l.badInput.Store(l.badInput.Load() || err != nil) }()
	if err := l.feedAnswer(conn.Reader()); err != nil {
		return nil, err
	}
	switch {
	case l.answer.Done:
		a := readAnswer(&l.answer)
		a.close = a.close || l.answer.BytesAfter() > 0 // bytes behind an answer would be read as the start of the next one
		l.answer = http1.Answer{}
		l.awaitingAnswer.Store(false)
		l.answerBegun = false
		return func() { l.sender.onAnswer(l, a) }, nil
	case !l.answerBegun && l.answer.Started(): // not by interim answers, which come because the call will take long
		l.answerBegun = true
		return func() { l.sender.onAnswerBegun(l) }, nil
	}
	return nil, nil
}

// feedAnswer hands all that has come to the parser of the answer.
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

// onAnswerBegun bounds the time for the rest of an answer. Where it does not come, the part that has come decides the
// outcome.
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
