package main

// This file has the stand-ins of discovery, the platform, an endpoint and a client, as the protocol page describes them.

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is one endpoint in discovery's list.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// list is one message of discovery.
type list struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// outcome is one line of a notice to the platform.
type outcome struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryIn int    `json:"retry_in_ms"`
}

// agent is the stand-in of discovery and of the platform, at one address.
type agent struct {
	mu        sync.Mutex
	addr      string
	version   int
	servers   map[string]entry
	changed   map[string]int // version in which an entry changed
	down      bool           // discovery is down: the agent accepts calls for the list and stays silent
	refuses   bool           // discovery ends its watches and refuses calls for the list
	wake      chan struct{}  // closed and replaced with each change
	onOutcome func(outcome)
}

func newAgent(rec *record, onOutcome func(outcome)) (*agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{addr: ln.Addr().String(), servers: map[string]entry{}, changed: map[string]int{}, wake: make(chan struct{}), onOutcome: onOutcome}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", a.serveList)
	mux.HandleFunc("POST /v1/outcomes", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		for _, line := range strings.Split(strings.TrimSpace(string(body)), "\n") {
			var o outcome
			if json.Unmarshal([]byte(line), &o) != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			rec.add("platform: notice for %s: %s", o.Message, o.Outcome)
			if a.onOutcome != nil {
				a.onOutcome(o)
			}
		}
		w.WriteHeader(http.StatusNoContent)
	})
	go http.Serve(ln, mux)
	return a, nil
}

// set changes entries of the list.
func (a *agent) set(entries ...entry) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for _, e := range entries {
		a.servers[e.ID] = e
		a.changed[e.ID] = a.version
	}
	close(a.wake)
	a.wake = make(chan struct{})
	return a.version
}

// setDown begins or ends an outage of discovery.
func (a *agent) setDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
}

// isDown reports whether discovery is down.
func (a *agent) isDown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.down
}

// setRefuses begins or ends a time in which discovery refuses calls for the list.
func (a *agent) setRefuses(refuses bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refuses = refuses
	close(a.wake)
	a.wake = make(chan struct{})
}

// isRefusing reports whether discovery refuses calls for the list.
func (a *agent) isRefusing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refuses
}

// list returns the entries changed after a version; the whole list if since is 0.
func (a *agent) list(since int) (list, chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := list{Version: a.version, Full: since <= 0, Servers: []entry{}}
	for id, e := range a.servers {
		if l.Full && e.State != "removed" || !l.Full && a.changed[id] > since {
			l.Servers = append(l.Servers, e)
		}
	}
	return l, a.wake
}

// serveList answers a call for the list, and keeps a watch open.
func (a *agent) serveList(w http.ResponseWriter, r *http.Request) {
	for a.isDown() {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	if a.isRefusing() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.FormValue("follow") != "1" {
		l, _ := a.list(0)
		json.NewEncoder(w).Encode(l)
		return
	}
	since, _ := strconv.Atoi(r.FormValue("since"))
	flusher := w.(http.Flusher)
	for first := true; ; first = false {
		l, wake := a.list(since)
		if a.isRefusing() {
			return
		}
		if len(l.Servers) > 0 || first {
			json.NewEncoder(w).Encode(l)
			flusher.Flush()
		}
		since = l.Version
	quiet:
		for {
			select {
			case <-wake:
				break quiet
			case <-time.After(2 * time.Second):
				if _, err := w.Write([]byte("\n")); err != nil {
					return
				}
				flusher.Flush()
			case <-r.Context().Done():
				return
			}
		}
	}
}

// item is one message in a call.
type item struct {
	ID, Key string
	Body    []byte
}

// call is one call that has come to an endpoint.
type call struct {
	at         time.Time // when its last byte came
	conn       net.Conn
	bulk       bool
	items      []item
	deadlineMS int
	host       string
}

// names returns the ids of a call's messages.
func names(c *call) (all []string) {
	for _, i := range c.items {
		all = append(all, i.ID)
	}
	return all
}

// endpoint is a stand-in of an endpoint.
type endpoint struct {
	addr   string
	ln     net.Listener
	handle func(c *call) (answer string, keep bool)
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	opened int

	maxBody int64               // it closes on a longer body; 0 for no limit
	large   func(*http.Request) // called for such a body
}

// newEndpoint listens at an address ("" for any free one). handle answers each call; an empty answer is not written.
func newEndpoint(addr string, handle func(c *call) (string, bool)) (*endpoint, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	e := &endpoint{addr: ln.Addr().String(), ln: ln, handle: handle, conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[conn] = struct{}{}
			e.opened++
			e.mu.Unlock()
			go e.serve(conn)
		}
	}()
	return e, nil
}

func (e *endpoint) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if e.maxBody > 0 && req.ContentLength > e.maxBody {
			io.CopyN(io.Discard, req.Body, e.maxBody)
			e.large(req)
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.Method == "GET" { // probes are off in the settings of the cases
			io.WriteString(conn, status(200, ""))
			continue
		}
		c := &call{at: time.Now(), conn: conn, bulk: req.URL.Path == "/inbox/bulk", host: req.Host}
		c.deadlineMS, _ = strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
		if c.bulk {
			var items []struct {
				ID, Key, Body string
			}
			if json.Unmarshal(body, &items) != nil {
				io.WriteString(conn, status(400, ""))
				continue
			}
			for _, i := range items {
				b, _ := base64.StdEncoding.DecodeString(i.Body)
				c.items = append(c.items, item{i.ID, i.Key, b})
			}
		} else {
			c.items = []item{{ID: req.Header.Get("X-Request-Id"), Body: body}}
		}
		answer, keep := e.handle(c)
		if answer != "" {
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
		if !keep {
			return
		}
	}
}

// closeAll closes all connections of an endpoint.
func (e *endpoint) closeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.Close()
	}
}

// status returns an answer without a body; headers are whole lines.
func status(code int, headers string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", code, headers)
}

// states returns a bulk answer with the state of each message.
func states(headers string, of map[string]string) string {
	var items []map[string]string
	for id, state := range of {
		items = append(items, map[string]string{"id": id, "state": state})
	}
	body, _ := json.Marshal(items)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", headers, len(body), body)
}

// client is a connection of a client.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

func dialClient(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

// command returns a command in RESP2.
func command(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.String()
}

// addCommand returns the command that hands in a message.
func addCommand(key, id, class string, ms, dest int, body string) string {
	if key == "" {
		key = "0000000000000000"
	}
	return command("OUT.ADD", key, id, fmt.Sprintf("c=%s,d=%d,dest=%d", class, ms, dest), body)
}

// answer reads one answer line; a bulk string is read whole.
func (c *client) answer(within time.Duration) (string, error) {
	c.conn.SetReadDeadline(time.Now().Add(within))
	line, err := c.r.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if strings.HasPrefix(line, "$") {
		n, _ := strconv.Atoi(line[1:])
		buf := make([]byte, n+2)
		if _, err := io.ReadFull(c.r, buf); err != nil {
			return "", err
		}
		return string(buf[:n]), nil
	}
	return line, nil
}

// do sends a command and reads its answer.
func (c *client) do(text string, within time.Duration) (string, error) {
	if _, err := io.WriteString(c.conn, text); err != nil {
		return "", err
	}
	return c.answer(within)
}
