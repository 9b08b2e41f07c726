package live

// This file serves the sockets of endpoints. Each endpoint has an address of its own for each sender, by which the engine
// knows who calls. The world decides how a call ends.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

// listenerKey identifies a listener. The field addr is the number of the endpoint's address.
type listenerKey struct {
	sender world.SenderNo
	end    world.EndpointNo
	addr   int
}

// listener accepts one sender's connections at one address of an endpoint. It can be closed and opened again.
type listener struct {
	e   *engine
	key listenerKey
	end *world.Endpoint

	mu sync.Mutex   // protects ln
	ln net.Listener // nil while the address is closed
}

// socket is a TCP connection with its counterpart in the world's model.
type socket struct {
	conn       net.Conn
	worldConn  *world.Conn
	answeredAt time.Time // when the last answer was written; owned by the world's goroutine
}

// listenEndpoint opens an endpoint's current address for a sender, if it is not open.
func (e *engine) listenEndpoint(s world.SenderNo, end *world.Endpoint) error {
	key := listenerKey{s, end.No, end.Addr}
	l := e.listeners[key]
	if l == nil {
		l = &listener{e: e, key: key, end: end}
		e.listeners[key] = l
	}
	return l.open()
}

func (l *listener) open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp", l.e.endpointAddr(l.key.sender, l.key.end, l.key.addr))
	if err != nil {
		return err
	}
	l.ln = ln
	l.e.wg.Add(1)
	go func() {
		defer l.e.wg.Done()
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			l.e.wg.Add(1)
			go func() {
				defer l.e.wg.Done()
				l.serve(conn)
			}()
		}
	}()
	return nil
}

func (l *listener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil {
		l.ln.Close()
		l.ln = nil
	}
}

// AcceptingChanged opens or closes an endpoint's current address for each sender, and closes its former ones. The operating
// system refuses connections to a closed address.
func (e *engine) AcceptingChanged(end *world.Endpoint, on bool) {
	for s := range e.opts.Spec.Senders {
		// An endpoint that has moved accepts no connections at its former addresses.
		for addr := range end.Addr {
			if l := e.listeners[listenerKey{world.SenderNo(s), end.No, addr}]; l != nil {
				l.close()
			}
		}
		if on {
			if err := e.listenEndpoint(world.SenderNo(s), end); err != nil {
				e.failure = fmt.Sprintf("the address of endpoint %s for sender %d cannot be opened again: %v", end.ID, s, err)
			}
		} else if l := e.listeners[listenerKey{world.SenderNo(s), end.No, end.Addr}]; l != nil {
			l.close()
		}
	}
}

// serve reads the calls of one connection, one at a time, and posts them to the world.
func (l *listener) serve(conn net.Conn) {
	e := l.e
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		// At the end of the run the connection is closed even if the sender does not close it.
		select {
		case <-e.done:
			conn.Close()
		case <-stop:
		}
	}()
	s, ok := l.admit(conn)
	if !ok {
		return
	}
	l.readCalls(s, stop)
	e.post(func() { e.w.CloseBySender(s.worldConn) })
	conn.Close()
}

// admit asks the world whether the endpoint accepts a connection, and resets the connection if not. The bool reports whether
// the connection was accepted; it is false at the end of the run too.
func (l *listener) admit(conn net.Conn) (*socket, bool) {
	e := l.e
	s := &socket{conn: conn}
	accepted := make(chan bool, 1)
	e.post(func() {
		if !e.w.Accepts(l.end, l.key.addr) {
			accepted <- false
			return
		}
		s.worldConn = e.w.Accept(l.key.sender, l.end)
		s.worldConn.Engine = s
		accepted <- true
	})
	select {
	case ok := <-accepted:
		if !ok {
			reset(conn)
		}
		return s, ok
	case <-e.done:
		return nil, false
	}
}

// readCalls posts the calls of a connection to the world until the connection is closed or a call cannot be read. A call
// that is not in the format of senders fails the run.
func (l *listener) readCalls(s *socket, stop chan struct{}) {
	e := l.e
	r := bufio.NewReaderSize(s.conn, 4096)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		if !l.waitUntilReading(stop) {
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		ids, probe, err := readCall(req)
		if err != nil {
			e.post(func() { e.failure = fmt.Sprintf("a call to %s cannot be read: %v", l.end.ID, err) })
			return
		}
		e.post(func() {
			if !e.w.ClosedAtEndpoint(s.worldConn) {
				e.w.SendWithDialDelay(s.worldConn, ids, probe)
			}
		})
	}
}

// waitUntilReading waits while a fault keeps the endpoint from reading. It reports false if the run has ended.
func (l *listener) waitUntilReading(stop chan struct{}) bool {
	for {
		answer := make(chan bool, 1)
		l.e.post(func() { answer <- l.e.w.NeverReads(l.end) })
		select {
		case neverReads := <-answer:
			if !neverReads {
				return true
			}
		case <-l.e.done:
			return false
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-l.e.done:
			return false
		}
	}
}

var errBodyTooLong = fmt.Errorf("the body is longer than %d bytes", maxBody)

// readBody reads a body, which may have maxBody bytes.
func readBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errBodyTooLong
	}
	return body, err
}

// readCall returns the ids of a call's messages, or whether it is a health probe.
func readCall(req *http.Request) (ids []choice.MessageID, probe bool, err error) {
	if req.Method == http.MethodGet {
		return nil, true, nil
	}
	body, err := readBody(req.Body)
	if err != nil {
		return nil, false, err
	}
	switch req.URL.Path {
	case "/inbox":
		return []choice.MessageID{choice.MessageID(req.Header.Get("X-Request-Id"))}, false, nil
	case "/inbox/bulk":
		var items []struct{ ID string }
		if err := json.Unmarshal(body, &items); err != nil {
			return nil, false, err
		}
		for _, item := range items {
			ids = append(ids, choice.MessageID(item.ID))
		}
		return ids, false, nil
	}
	return nil, false, fmt.Errorf("the path %q is neither /inbox nor /inbox/bulk", req.URL.Path)
}

// reset closes a connection with a TCP reset, which its peer sees at once even if the peer has unread data.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// ConnDown resets a connection that the endpoint has closed.
func (e *engine) ConnDown(c *world.Conn, _ world.ConnEnd) {
	if s, ok := c.Engine.(*socket); ok {
		reset(s.conn)
	}
}
