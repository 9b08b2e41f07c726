package sender

// This file owns the connection to the platform, on which endings are posted. It belongs to the one goroutine that
// posts, and must never post two at once.

import (
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/internal/http1"
)

const (
	outcomesPath = "/v1/outcomes"
	// The platform's agent answers at once; while one post waits, all later endings do, and a message without its
	// ending 300 ms past its deadline is lost.
	postTimeout = 250 * time.Millisecond
)

const postFailed reason = "post_failed"

// platformConn holds the connection to the platform. It belongs to the one goroutine that posts.
type platformConn struct {
	conn netpoll.Connection
	addr string // of conn
	log  func(addr string, why reason, err error)
}

func (p *platformConn) post(addr string, body []byte) (status int, err error) {
	if addr != p.addr {
		p.disconnect(notNeeded, nil)
		p.addr = addr
	}
	fresh := p.conn == nil || !p.conn.IsActive()
	if status, err = p.postOnce(addr, body); err != nil && !fresh {
		// The kept connection had ended; a message told twice does no harm.
		status, err = p.postOnce(addr, body)
	}
	return status, err
}

func (p *platformConn) postOnce(addr string, body []byte) (status int, err error) {
	if p.conn == nil || !p.conn.IsActive() {
		p.disconnect(peerClosed, nil)
		if p.conn, err = netpoll.DialConnection("tcp", addr, postTimeout); err != nil {
			p.conn = nil
			p.log(addr, connectFailure, err)
			return 0, err
		}
		p.conn.SetReadTimeout(postTimeout)
		p.conn.SetWriteTimeout(postTimeout)
	}
	defer func() {
		if err != nil {
			p.disconnect(postFailed, err)
		}
	}()
	request := append(http1.AppendRequest(nil, "POST", outcomesPath, addr, len(body)), body...)
	if _, err = p.conn.Write(request); err != nil {
		return 0, err
	}
	var a http1.Answer
	for !a.Done {
		r := p.conn.Reader()
		if _, err = r.Peek(1); err != nil {
			return 0, err
		}
		piece, err := r.Next(r.Len())
		if err == nil {
			err = a.Feed(piece)
		}
		r.Release()
		if err != nil {
			return 0, err
		}
	}
	if a.Close || a.Left() > 0 {
		p.disconnect(endpointCloses, nil)
	}
	return a.Status(), nil
}

func (p *platformConn) disconnect(why reason, err error) {
	if p.conn != nil {
		p.log(p.addr, why, err)
		p.conn.Close()
		p.conn = nil
	}
}
