package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is one endpoint in discovery's list, in the form of the protocol page.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

type list struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// platform is a stand-in for discovery and for the receiver of notices. While it is silent, discovery accepts connections
// and sends nothing; notices are answered all the same.
type platform struct {
	rec    *record
	addr   string
	server *http.Server
	ln     net.Listener
	shared *platform // gets the notices; nil for this one

	mu      sync.Mutex
	version int64
	servers map[string]entry
	order   []string
	changes []list // each with one version
	silent  bool
	changed chan struct{}
	told    map[int64]time.Time // when a version was first written to a watch
	notices []notice
}

// notice is one line of a post to /v1/outcomes.
type notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	at      time.Time
}

func startPlatform(rec *record, servers []entry) (*platform, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{rec: rec, addr: ln.Addr().String(), version: 1, servers: map[string]entry{}, changed: make(chan struct{}),
		told: map[int64]time.Time{}}
	for _, s := range servers {
		p.servers[s.ID] = s
		p.order = append(p.order, s.ID)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", p.targets)
	mux.HandleFunc("POST /v1/outcomes", p.outcomes)
	p.server = &http.Server{Handler: mux}
	p.ln = ln
	go func() { _ = p.server.Serve(ln) }()
	return p, nil
}

// whole returns the whole list. The caller holds the lock.
func (p *platform) whole() list {
	l := list{Version: p.version, Full: true, Servers: []entry{}}
	for _, id := range p.order {
		if e, found := p.servers[id]; found {
			l.Servers = append(l.Servers, e)
		}
	}
	return l
}

func (p *platform) wholeList() list {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.whole()
}

// change applies entries as one new version of the list.
func (p *platform) change(entries ...entry) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	for _, e := range entries {
		if _, found := p.servers[e.ID]; !found {
			p.order = append(p.order, e.ID)
		}
		if e.State == "removed" {
			delete(p.servers, e.ID)
		} else {
			p.servers[e.ID] = e
		}
		p.rec.line("discovery: version %d: %s at %s, cell %d, %s", p.version, e.ID, e.Addr, e.Cell, e.State)
	}
	p.changes = append(p.changes, list{Version: p.version, Servers: entries})
	close(p.changed)
	p.changed = make(chan struct{})
	return p.version
}

func (p *platform) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
	p.rec.line("discovery: silent %v", silent)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) targets(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	follow := r.URL.Query().Get("follow") == "1"
	flusher := w.(http.Flusher)
	send := func(l list) {
		text, _ := json.Marshal(l)
		_, _ = w.Write(append(text, '\n'))
		flusher.Flush()
	}
	first := true
	keepAlive := time.NewTicker(2 * time.Second)
	defer keepAlive.Stop()
	for {
		p.mu.Lock()
		var due []list
		if !p.silent {
			switch {
			case first && (since <= 0 || since > p.version || int(p.version-since) > len(p.changes)):
				due = append(due, p.whole())
			case first:
				due = append(due, list{Version: p.version, Servers: []entry{}})
				for _, l := range p.changes {
					if l.Version > since {
						due[0].Servers = append(due[0].Servers, l.Servers...)
					}
				}
			default:
				for _, l := range p.changes {
					if l.Version > since {
						due = append(due, l)
					}
				}
			}
			for _, l := range due {
				since = l.Version
				if _, known := p.told[l.Version]; !known {
					p.told[l.Version] = time.Now()
				}
			}
			first = false
		}
		changed, silent := p.changed, p.silent
		p.mu.Unlock()
		for _, l := range due {
			send(l)
		}
		if !follow && !silent {
			return
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			if !silent {
				_, _ = w.Write([]byte("\n"))
				flusher.Flush()
			}
		case <-r.Context().Done():
			return
		}
	}
}

func (p *platform) outcomes(w http.ResponseWriter, r *http.Request) {
	lines := bufio.NewScanner(r.Body)
	var all []notice
	for lines.Scan() {
		var n notice
		if json.Unmarshal(lines.Bytes(), &n) != nil || n.Message == "" {
			http.Error(w, "cannot be read", http.StatusBadRequest)
			return
		}
		n.at = time.Now()
		all = append(all, n)
	}
	to := p
	if p.shared != nil {
		to = p.shared
	}
	to.mu.Lock()
	to.notices = append(to.notices, all...)
	to.mu.Unlock()
	for _, n := range all {
		p.rec.line("platform: notice for %s: %s", n.Message, n.Outcome)
	}
	w.WriteHeader(http.StatusNoContent)
}

// noticeFor returns the first notice for a message.
func (p *platform) noticeFor(id string) (notice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.notices {
		if n.Message == id {
			return n, true
		}
	}
	return notice{}, false
}

func (p *platform) String() string { return fmt.Sprintf("platform at %s", p.addr) }
