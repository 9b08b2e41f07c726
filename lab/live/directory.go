package live

// This file serves discovery's watch and the platform's outcome callback to one sender. What is on the list is up to the
// world.

import (
	"encoding/json"
	"errors"
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

// maxUpdates is how many updates may wait for a watch that does not read them; then the watch is closed.
const maxUpdates = 4096

// heartbeatEvery is how often a watch without updates sends an empty line.
const heartbeatEvery = 2 * time.Second

// discoveryServer serves discovery and the platform's outcome callback to one sender.
type discoveryServer struct {
	e      *engine
	sender world.SenderNo
	server *http.Server

	mu     sync.Mutex
	lines  chan []byte // updates for the newest watch
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

func (e *engine) newDiscovery(s world.SenderNo) (*discoveryServer, error) {
	ln, err := net.Listen("tcp", e.discoveryAddr(s))
	if err != nil {
		return nil, err
	}
	d := &discoveryServer{e: e, sender: s}
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

func (d *discoveryServer) close() { d.server.Close() }

// message is a list in discovery's format, with the addresses for this sender.
func (d *discoveryServer) message(l world.List) listMessage {
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

func (d *discoveryServer) sendUpdate(l world.List) {
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
		default: // the sender does not read its watch and has to open a new one
			close(d.lines)
			d.lines = nil
		}
	}
}

func (d *discoveryServer) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = true
}

func (d *discoveryServer) isSilent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silent
}

// serveTargets answers a sender's question for the endpoint list: at once, or with a watch that follows its changes.
func (d *discoveryServer) serveTargets(out http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("follow") != "1" {
		d.writeFullList(out)
		return
	}
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(out, "since", http.StatusBadRequest)
		return
	}
	lines := make(chan []byte, maxUpdates)
	d.mu.Lock()
	d.lines, d.silent = lines, false
	d.mu.Unlock()
	out.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(out)
	flusher.Flush()
	d.e.post(func() { d.e.w.Watch(d.sender, since) })
	heartbeat := time.NewTicker(heartbeatEvery)
	defer heartbeat.Stop()
	for {
		line, open := d.nextLine(r, lines, heartbeat.C)
		if !open {
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

// writeFullList answers with the current list.
func (d *discoveryServer) writeFullList(out http.ResponseWriter) {
	list := make(chan listMessage, 1)
	d.e.post(func() { list <- d.message(d.e.w.FullList()) })
	select {
	case m := <-list:
		json.NewEncoder(out).Encode(m)
	case <-d.e.done:
	}
}

// nextLine waits for the next line of a watch: an update, or a heartbeat unless a fault silences discovery. It is false
// once the watch is over.
func (d *discoveryServer) nextLine(r *http.Request, lines <-chan []byte, heartbeat <-chan time.Time) ([]byte, bool) {
	for {
		select {
		case line, open := <-lines:
			return line, open
		case <-heartbeat:
			if !d.isSilent() {
				return []byte("\n"), true
			}
		case <-r.Context().Done():
			return nil, false
		case <-d.e.done:
			return nil, false
		}
	}
}

// outcomeLine is one message's end in an outcome callback.
type outcomeLine struct {
	Message   string `json:"message"`
	Outcome   string `json:"outcome"`
	RetryInMS int64  `json:"retry_in_ms"`
}

// serveOutcomes is the platform's end of the outcome callback. One from a sender that is isolated gets no answer.
func (d *discoveryServer) serveOutcomes(out http.ResponseWriter, r *http.Request) {
	lines, err := readOutcomes(r.Body)
	if err != nil {
		http.Error(out, "line", http.StatusBadRequest)
		return
	}
	received := make(chan bool, 1)
	d.e.post(func() { received <- d.reportEnds(lines) })
	select {
	case ok := <-received:
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

var errOutcome = errors.New("unknown outcome")

// readOutcomes reads the lines of an outcome callback.
func readOutcomes(body io.Reader) (lines []outcomeLine, err error) {
	for in := json.NewDecoder(body); in.More(); {
		var line outcomeLine
		if err := in.Decode(&line); err != nil {
			return nil, err
		}
		if line.Outcome != "given_up" && line.Outcome != "handed_back" {
			return nil, errOutcome
		}
		lines = append(lines, line)
	}
	return lines, nil
}

// reportEnds passes the ends to the world, on its goroutine. It is false if the sender is isolated.
func (d *discoveryServer) reportEnds(lines []outcomeLine) bool {
	if d.e.w.Isolated(d.sender) {
		return false
	}
	for _, line := range lines {
		what := world.EndFailed
		if line.Outcome == "handed_back" {
			what = world.EndHandedBack
		}
		d.e.w.ReportEnd(choice.MessageID(line.Message), what, line.RetryInMS)
	}
	return true
}
