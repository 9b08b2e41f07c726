package live

// This file owns the sockets of endpoints, one address of each for each sender. It must never decide how a call ends; the world does.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

type listenerKey struct {
	sender world.SenderNo
	end    world.EndpointNo
	addr   int
}

// listener is one address of one endpoint, for one sender.
type listener struct {
	e   *engine
	key listenerKey
	end *world.Endpoint

	mu sync.Mutex
	ln net.Listener
}

// socket is a connection as the world knows it and as the machine does.
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

// AcceptingChanged opens or closes an endpoint's addresses: a connection to a closed one is refused by the machine itself.
func (e *engine) AcceptingChanged(end *world.Endpoint, on bool) {
	for s := range e.o.Spec.Senders {
		// It may have moved: nobody is left at its former addresses.
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

// serve reads one connection's calls, one at a time, and posts them to the world.
func (l *listener) serve(conn net.Conn) {
	e := l.e
	s := &socket{conn: conn}
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
	in := make(chan bool, 1)
	e.post(func() {
		if !e.w.Accepts(l.end, l.key.addr) {
			in <- false
			return
		}
		s.worldConn = e.w.Accept(l.key.sender, l.end)
		s.worldConn.Engine = s
		in <- true
	})
	select {
	case ok := <-in:
		if !ok {
			reset(conn)
			return
		}
	case <-e.done:
		return
	}
	r := bufio.NewReaderSize(conn, 4096)
	for {
		if _, err := r.Peek(1); err != nil {
			break
		}
		if !l.waitUntilReading(stop) {
			break
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			break
		}
		ids, probe, err := readCall(req)
		if err != nil {
			e.post(func() { e.failure = fmt.Sprintf("a call to %s cannot be read: %v", l.end.ID, err) })
			break
		}
		e.post(func() {
			if !e.w.ClosedAtEndpoint(s.worldConn) {
				e.w.SendWithDialDelay(s.worldConn, ids, probe)
			}
		})
	}
	e.post(func() { e.w.CloseBySender(s.worldConn) })
	conn.Close()
}

// waitUntilReading waits while the endpoint waitUntilReading nothing.
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

// readCall takes the messages out of a call.
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

// reset ends a connection so that its peer hears of it at once, whatever was not read.
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

// Answered writes an answer as an endpoint would.
func (e *engine) Answered(c *world.Conn, call *world.Call, a world.Answer) {
	s, ok := c.Engine.(*socket)
	if !ok {
		return
	}
	var out bytes.Buffer
	switch {
	case a.Half:
		out.WriteString("HTTP/1.")
	case a.Spoilt:
		out.WriteString("HTTP/1.1 gone wrong\r\nContent-Length: -7\r\n\r\n{{{")
	default:
		var body []byte
		if len(call.Messages) > 1 && a.Status == 200 {
			words := map[int]string{200: "ok", 500: "error"}
			items := make([]map[string]string, 0, len(call.Messages))
			for i, h := range call.Messages {
				word := "ok"
				if a.Statuses != nil {
					word = words[a.Statuses[i]]
				}
				items = append(items, map[string]string{"id": string(h.ID), "state": word})
			}
			body, _ = json.Marshal(items) // strings always marshal
		}
		fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", a.Status, http.StatusText(a.Status), len(body))
		if a.Wait > 0 {
			fmt.Fprintf(&out, "Retry-After: %s\r\n", strconv.FormatFloat(float64(a.Wait)/float64(choice.Second), 'f', 4, 64))
		}
		if a.Report.Known {
			fmt.Fprintf(&out, "X-Load: x0=%.4f,x1=%.4f\r\n", a.Report.Left, a.Report.Limit)
		}
		if a.Close {
			out.WriteString("Connection: close\r\n")
		}
		out.WriteString("\r\n")
		out.Write(body)
	}
	s.conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := s.conn.Write(out.Bytes()); err != nil || a.Close {
		s.conn.Close()
	}
}
