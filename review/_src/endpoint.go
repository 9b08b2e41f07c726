package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// answer is what an endpoint does with one call.
type answer struct {
	status     int
	retryAfter time.Duration // of a 429
	delay      time.Duration // before the answer
	reset      bool          // the connection is reset instead of an answer
	hang       bool          // no answer ever comes
}

// oneCall is a call that an endpoint has read completely.
type oneCall struct {
	at       time.Time
	ids      []string
	answered int // the status; 0 for none
}

// endpoint is a stand-in for one endpoint of a destination.
type endpoint struct {
	rec    *record
	name   string
	addr   string
	server *http.Server
	ln     net.Listener

	hungEnded chan struct{} // closed when the connection of a call that is not answered has ended; may be nil

	mu     sync.Mutex
	decide func(ids []string) answer
	calls  []oneCall
}

func startEndpoint(rec *record, name, addr string, decide func([]string) answer) (*endpoint, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	e := &endpoint{rec: rec, name: name, addr: ln.Addr().String(), ln: ln, decide: decide}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /inbox", e.inbox)
	mux.HandleFunc("POST /inbox/bulk", e.bulk)
	mux.HandleFunc("GET /-/healthy", e.healthy)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(ln) }()
	return e, nil
}

// stop ends the endpoint: its connections are closed and new ones are refused.
func (e *endpoint) stop() { _ = e.server.Close() }

func (e *endpoint) setDecide(decide func([]string) answer) {
	e.mu.Lock()
	e.decide = decide
	e.mu.Unlock()
}

func (e *endpoint) healthy(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	a := e.decide(nil)
	e.mu.Unlock()
	status := http.StatusOK // a probe is answered 200 or 503
	if a.status != http.StatusOK {
		status = http.StatusServiceUnavailable
	}
	e.rec.line("%s: probe, %d", e.name, status)
	e.finish(w, r, answer{status: status}, nil, "")
}

func (e *endpoint) inbox(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	e.take(w, r, []string{r.Header.Get("X-Request-Id")}, false)
}

func (e *endpoint) bulk(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var items []struct{ ID string }
	if json.Unmarshal(text, &items) != nil || len(items) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var ids []string
	for _, i := range items {
		ids = append(ids, i.ID)
	}
	e.take(w, r, ids, true)
}

func (e *endpoint) take(w http.ResponseWriter, r *http.Request, ids []string, bulk bool) {
	e.mu.Lock()
	a := e.decide(ids)
	e.calls = append(e.calls, oneCall{at: time.Now(), ids: ids, answered: a.status})
	e.mu.Unlock()
	what := fmt.Sprintf("answered %d", a.status)
	if a.retryAfter > 0 {
		what += fmt.Sprintf(" with Retry-After %.1f", a.retryAfter.Seconds())
	}
	if a.reset {
		what = "connection reset"
	}
	if a.hang {
		what = "not answered"
	}
	e.rec.line("%s: call with %v, %s", e.name, ids, what)
	body := ""
	if bulk && a.status == http.StatusOK {
		var states []map[string]string
		for _, id := range ids {
			states = append(states, map[string]string{"id": id, "state": "ok"})
		}
		text, _ := json.Marshal(states)
		body = string(text)
	}
	e.finish(w, r, a, ids, body)
}

func (e *endpoint) finish(w http.ResponseWriter, r *http.Request, a answer, ids []string, body string) {
	if a.hang {
		<-r.Context().Done()
		if e.hungEnded != nil {
			e.rec.line("%s: the connection of the call with %v has ended", e.name, ids)
			close(e.hungEnded)
		}
		return
	}
	if a.delay > 0 {
		select {
		case <-time.After(a.delay):
		case <-r.Context().Done():
			return
		}
	}
	if a.reset {
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	if a.retryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprintf("%.3f", a.retryAfter.Seconds()))
	}
	w.WriteHeader(a.status)
	_, _ = io.WriteString(w, body)
}

// callsWith returns the calls that carried a message.
func (e *endpoint) callsWith(id string) (found []oneCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.calls {
		for _, one := range c.ids {
			if one == id {
				found = append(found, c)
			}
		}
	}
	return found
}

func (e *endpoint) callsSince(at time.Time) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.calls {
		if c.at.After(at) {
			n++
		}
	}
	return n
}
