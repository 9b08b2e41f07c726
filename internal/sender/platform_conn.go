package sender

// This file implements the connection to the platform, on which endings are posted.

import (
	"errors"
	"fmt"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/internal/http1"
)

const (
	outcomesPath = "/v1/outcomes"
	// postTimeout limits each step of a post: the dial, each write and each read. The platform's agent answers at once; all
	// later endings wait for the post in flight, and a message whose ending is not reported 300 ms after its deadline
	// counts as lost.
	postTimeout = 250 * time.Millisecond
)

const postFailed reason = "post_failed"

// errNotConnected says that a post was not sent, because no connection to the platform could be opened.
var errNotConnected = errors.New("no connection to the platform")

var errNotReusable = errors.New("connection to the platform has ended or has unsolicited input; not used again")

// platformConn is the connection to the platform. It is owned by the goroutine of the one post in flight.
type platformConn struct {
	conn       netpoll.Connection                       // nil for none
	addr       string                                   // address of conn
	answeredAt time.Time                                // when the last answer on conn was complete
	log        func(addr string, why reason, err error) // logs the end of a connection
}

// post sends one request and returns the status of its answer. If it fails on a reused connection, which may have ended
// before, it is repeated on a new one; an ending that is reported twice does no harm.
func (p *platformConn) post(addr string, body []byte) (status int, err error) {
	if addr != p.addr {
		p.disconnect(notNeeded, nil)
		p.addr = addr
	}
	p.settle()
	reused := p.conn != nil && p.conn.IsActive()
	status, err = p.postOnce(addr, body)
	if err != nil && reused {
		status, err = p.postOnce(addr, body)
	}
	return status, err
}

// settle waits until answerSettleTime has passed since the last answer, and closes the connection if more has come on it.
// A second copy of that answer would be taken for the answer to the next post, whose endings may not have been accepted.
func (p *platformConn) settle() {
	if p.conn == nil {
		return
	}
	time.Sleep(time.Until(p.answeredAt.Add(answerSettleTime)))
	if p.conn.IsActive() && !noInputPending(p.conn) {
		p.disconnect(badAnswer, errNotReusable)
	}
}

// postOnce sends one request, and closes the connection if that fails.
func (p *platformConn) postOnce(addr string, body []byte) (status int, err error) {
	if err := p.connect(addr); err != nil {
		return 0, err
	}
	status, err = p.exchange(addr, body)
	if err != nil {
		p.disconnect(postFailed, err)
	}
	return status, err
}

// connect opens a connection unless an active one is open.
func (p *platformConn) connect(addr string) error {
	if p.conn != nil && p.conn.IsActive() {
		return nil
	}
	p.disconnect(peerClosed, nil)
	conn, err := netpoll.DialConnection("tcp", addr, postTimeout)
	if err != nil {
		p.log(addr, connectFailure, err)
		return fmt.Errorf("%w: %w", errNotConnected, err)
	}
	conn.SetReadTimeout(postTimeout)
	conn.SetWriteTimeout(postTimeout)
	p.conn = conn
	return nil
}

// exchange writes a request and reads its answer.
func (p *platformConn) exchange(addr string, body []byte) (status int, err error) {
	request := http1.AppendRequest(nil, "POST", outcomesPath, addr, len(body))
	if _, err := p.conn.Write(append(request, body...)); err != nil {
		return 0, err
	}
	var answer http1.Answer
	for !answer.Done {
		if err := readPiece(p.conn.Reader(), &answer); err != nil {
			return 0, err
		}
	}
	p.answeredAt = time.Now()
	if answer.Close || answer.BytesAfter() > 0 {
		p.disconnect(endpointCloses, nil)
	}
	return answer.Status(), nil
}

// readPiece waits for input and passes all that is available to the parser of an answer.
func readPiece(r netpoll.Reader, answer *http1.Answer) error {
	if _, err := r.Peek(1); err != nil {
		return err
	}
	piece, err := r.Next(r.Len())
	if err == nil {
		err = answer.Feed(piece)
	}
	r.Release()
	return err
}

// disconnect closes the connection, if there is one, and logs why.
func (p *platformConn) disconnect(why reason, err error) {
	if p.conn != nil {
		p.log(p.addr, why, err)
		p.conn.Close()
		p.conn = nil
	}
}
