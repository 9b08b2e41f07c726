package live

// This file serves discovery's endpoint list and the platform's outcome callback to one sender. The world decides the
// content of the list and the time of updates.

import (
	"bytes"
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

// maxUpdates is the highest number of updates that wait for a watch whose sender does not read. At one more the watch is
// closed.
const maxUpdates = 4096

// heartbeatEvery is the interval at which a watch sends an empty line.
const heartbeatEvery = 2 * time.Second

// discoveryServer is the HTTP server that serves discovery and the platform's outcome callback to one sender.
type discoveryServer struct {
	e      *engine
	sender world.SenderNo
	server *http.Server

	mu     sync.Mutex  // protects the fields below
	lines  chan []byte // updates for the newest watch; nil if there is none or it was closed
	silent bool        // a fault keeps discovery from sending heartbeats
}

// listed is one endpoint in discovery's JSON format.
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

// listMessage is a list, or an update to one, in discovery's JSON format.
type listMessage struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []listed `json:"servers"`
}

// newDiscovery starts a sender's discovery server at its current address.
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

// message converts a list to discovery's format, with the endpoints' addresses for this sender.
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

// sendUpdate passes an update to the newest watch, if there is one, and enables the heartbeats again.
func (d *discoveryServer) sendUpdate(l world.List) {
	text, err := json.Marshal(d.message(l))
	if err != nil {
		return // cannot happen, since a list holds only strings and numbers
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = false
	if d.lines != nil {
		select {
		case d.lines <- append(text, '\n'):
		default: // the sender does not read its watch, and has to open a new one
			close(d.lines)
			d.lines = nil
		}
	}
}

// stopHeartbeats stops the heartbeats of watches until the next update or watch.
func (d *discoveryServer) stopHeartbeats() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = true
}

func (d *discoveryServer) isSilent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silent
}

// serveTargets answers a request for the endpoint list: with the current list, or with a watch that follows its changes if
// the request has follow=1.
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

// nextLine waits for the next line of a watch: an update, or a heartbeat unless a fault silences discovery. The bool is
// false once the watch has ended.
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

// outcomeLine is one line of an outcome callback: the end of one message.
type outcomeLine struct {
	Message   string `json:"message"`
	Outcome   string `json:"outcome"`
	RetryInMS int64  `json:"retry_in_ms"`
}

// serveOutcomes handles an outcome callback as the platform does. A callback from an isolated sender gets no answer.
func (d *discoveryServer) serveOutcomes(out http.ResponseWriter, r *http.Request) {
	body, err := readBody(r.Body)
	if errors.Is(err, errBodyTooLong) {
		d.e.post(func() {
			d.e.failure = fmt.Sprintf("an outcome callback of sender %d cannot be read: %v", d.sender, err)
		})
	}
	lines, parseErr := readOutcomes(bytes.NewReader(body))
	if err = errors.Join(err, parseErr); err != nil {
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

var errOutcome = errors.New("outcome callback: the outcome is neither given_up nor handed_back")

// readOutcomes parses the lines of an outcome callback. It fails with errOutcome for an unknown outcome.
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

// reportEnds reports the ends of messages to the world, unless the sender is isolated, and returns whether it did. It must
// be called on the world's goroutine.
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
