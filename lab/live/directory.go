package live

// This file owns discovery's watch and the platform's end, as one sender sees them on a socket. It must never decide what is news.

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

// heartbeatEvery is how often a watch with nothing new shows that it lives.
const heartbeatEvery = 2 * time.Second

// directory is discovery's agent beside one sender, and the platform's end of its messages.
type directory struct {
	e      *engine
	sender world.SenderNo
	server *http.Server

	mu     sync.Mutex
	lines  chan []byte // of the newest watch
	silent bool
}

type listed struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

type listMessage struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []listed `json:"servers"`
}

func (e *engine) newDirectory(s world.SenderNo) (*directory, error) {
	ln, err := net.Listen("tcp", e.directoryAddr(s))
	if err != nil {
		return nil, err
	}
	d := &directory{e: e, sender: s}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", d.serveTargets)
	mux.HandleFunc("POST /v1/outcomes", d.serveOutcomes)
	d.server = &http.Server{Handler: mux}
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		d.server.Serve(ln)
	}()
	return d, nil
}

func (d *directory) close() { d.server.Close() }

// message is a list in discovery's form, with the addresses meant for this sender.
func (d *directory) message(l world.List) listMessage {
	states := map[choice.Stage]string{choice.Ready: "up", choice.Draining: "draining", choice.Gone: "removed"}
	m := listMessage{Version: l.Version, Full: l.Full, Servers: []listed{}}
	for _, entry := range l.Entries {
		end := entry.Endpoint
		m.Servers = append(m.Servers, listed{ID: string(end.ID), Addr: d.e.endpointAddr(d.sender, end.No, entry.Address),
			Zone: fmt.Sprintf("z%d", end.Zone), Kind: end.Partner.Kind.Name, Cell: int(end.Partner.No), State: states[entry.Stage],
			Weight: d.e.w.Rating(end)})
	}
	return m
}

func (d *directory) sendUpdate(l world.List) {
	text, err := json.Marshal(d.message(l))
	if err != nil {
		return // strings and numbers always marshal
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = false
	if d.lines != nil {
		select {
		case d.lines <- append(text, '\n'):
		default: // a watch that reads nothing is asked for anew
			close(d.lines)
			d.lines = nil
		}
	}
}

func (d *directory) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = true
}

func (d *directory) isSilent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silent
}

func (d *directory) serveTargets(out http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("follow") != "1" {
		whole := make(chan listMessage, 1)
		d.e.post(func() { whole <- d.message(d.e.w.FullList()) })
		select {
		case m := <-whole:
			json.NewEncoder(out).Encode(m)
		case <-d.e.done:
		}
		return
	}
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(out, "since", http.StatusBadRequest)
		return
	}
	lines := make(chan []byte, 4096)
	d.mu.Lock()
	d.lines, d.silent = lines, false
	d.mu.Unlock()
	out.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(out)
	flusher.Flush()
	d.e.post(func() { d.e.w.Watch(d.sender, since) })
	alive := time.NewTicker(heartbeatEvery)
	defer alive.Stop()
	for {
		var line []byte
		select {
		case text, ok := <-lines:
			if !ok {
				return
			}
			line = text
		case <-alive.C:
			if d.isSilent() {
				continue
			}
			line = []byte("\n")
		case <-r.Context().Done():
			return
		case <-d.e.done:
			return
		}
		if _, err := out.Write(line); err != nil {
			return
		}
		if flusher.Flush() != nil {
			return
		}
	}
}

// serveOutcomes is the platform hearing of ends. One from a sender that is cut off does not arrive, and is not answered.
func (d *directory) serveOutcomes(out http.ResponseWriter, r *http.Request) {
	type line struct {
		Message   string `json:"message"`
		Outcome   string `json:"outcome"`
		RetryInMS int64  `json:"retry_in_ms"`
	}
	var all []line
	for in := json.NewDecoder(r.Body); in.More(); {
		var l line
		if err := in.Decode(&l); err != nil || l.Outcome != "given_up" && l.Outcome != "handed_back" {
			http.Error(out, "line", http.StatusBadRequest)
			return
		}
		all = append(all, l)
	}
	heard := make(chan bool, 1)
	d.e.post(func() {
		if d.e.w.Isolated(d.sender) {
			heard <- false
			return
		}
		for _, l := range all {
			what := world.EndFailed
			if l.Outcome == "handed_back" {
				what = world.EndHandedBack
			}
			d.e.w.ReportEnd(choice.MessageID(l.Message), what, l.RetryInMS)
		}
		heard <- true
	})
	select {
	case ok := <-heard:
		if ok {
			out.WriteHeader(http.StatusNoContent)
			return
		}
		select {
		case <-r.Context().Done():
		case <-d.e.done:
		}
	case <-d.e.done:
	}
}
