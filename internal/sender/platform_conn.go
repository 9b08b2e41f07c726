package sender

// This file owns the connection to the platform, on which endings are posted.

import (
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/internal/http1"
)

const (
	outcomesPath = "/v1/outcomes"
	// postTimeout bounds each step of a post. The platform's agent answers at once; while one post waits all later
	// endings do, and a message whose end is not reported 300 ms past its deadline counts as lost.
	postTimeout = 250 * time.Millisecond
)

const postFailed reason = "post_failed"

// platformConn is the connection to the platform. Only the goroutine of the one post that is under way uses it.
type platformConn struct {
	conn netpoll.Connection // nil for none
	addr string             // of conn
	log  func(addr string, why reason, err error)
}

// post sends one request and returns the status of its answer. It is repeated on a new connection where a reused one
// fails, as that may have ended before; an ending that is reported twice does no harm.
func (p *platformConn) post(addr string, body []byte) (status int, err error) {
	if addr != p.addr {
		p.disconnect(notNeeded, nil)
		p.addr = addr
	}
	reused := p.conn != nil && p.conn.IsActive()
	status, err = p.postOnce(addr, body)
	if err != nil && reused {
		status, err = p.postOnce(addr, body)
	}
	return status, err
}

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

// connect opens a connection unless there is one.
func (p *platformConn) connect(addr string) error {
	if p.conn != nil && p.conn.IsActive() {
		return nil
	}
	p.disconnect(peerClosed, nil)
	conn, err := netpoll.DialConnection("tcp", addr, postTimeout)
	if err != nil {
		p.log(addr, connectFailure, err)
		return err
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
	if answer.Close || answer.BytesAfter() > 0 {
		p.disconnect(endpointCloses, nil)
	}
	return answer.Status(), nil
}

// readPiece waits for bytes and hands all that have come to the parser of an answer.
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

func (p *platformConn) disconnect(why reason, err error) {
	if p.conn != nil {
		p.log(p.addr, why, err)
		p.conn.Close()
		p.conn = nil
	}
}
