package live

// This file serves the sockets of endpoints, at an address of their own for each sender. How a call ends is up to the world.

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

// listenerKey identifies a listener.
type listenerKey struct {
	sender world.SenderNo
	end    world.EndpointNo
	addr   int
}

// listener listens at one address of one endpoint, for one sender.
type listener struct {
	e   *engine
	key listenerKey
	end *world.Endpoint

	mu sync.Mutex
	ln net.Listener
}

// socket is a connection of the machine with its connection in the world.
type socket struct {
	conn      net.Conn
	worldConn *world.Conn
}

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

// AcceptingChanged opens or closes an endpoint's addresses. The operating system refuses connections to a closed one.
func (e *engine) AcceptingChanged(end *world.Endpoint, on bool) {
	for s := range e.o.Spec.Senders {
		// If it has moved, nothing listens at its former addresses.
		for addr := range end.Addr {
			if l := e.listeners[listenerKey{world.SenderNo(s), end.No, addr}]; l != nil {
				l.close()
			}
		}
		if on {
			if err := e.listenEndpoint(world.SenderNo(s), end); err != nil {
				e.failure = "an endpoint's address could not be opened again: " + err.Error()
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
		// The run's end must not wait for a sender to close.
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

// admit asks the world whether the endpoint accepts the connection, and resets it if not. It is false, too, at the run's end.
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

// readCalls posts the calls of a connection until it is closed, or a call cannot be read.
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

// waitUntilReading waits while a fault has the endpoint read nothing. It is false at the run's end.
func (l *listener) waitUntilReading(stop chan struct{}) bool {
	for {
		answer := make(chan bool, 1)
		l.e.post(func() { answer <- l.e.w.NeverReads(l.end) })
		select {
		case deaf := <-answer:
			if !deaf {
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

// readCall returns the messages of a call.
func readCall(req *http.Request) (ids []choice.MessageID, probe bool, err error) {
	if req.Method == http.MethodGet {
		return nil, true, nil
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, 2<<20))
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
	return nil, false, fmt.Errorf("no path %s", req.URL.Path)
}

// reset closes a connection with a TCP reset, which its peer sees at once even if there is unread data.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

func (e *engine) ConnDown(c *world.Conn, _ world.ConnEnd) {
	if s, ok := c.Engine.(*socket); ok {
		reset(s.conn)
	}
}
