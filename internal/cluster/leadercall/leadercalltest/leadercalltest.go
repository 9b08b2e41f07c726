// Package leadercalltest is a test environment for the parts that use package leadercall. It runs many processes in one
// test process, connects them by links in memory, and gives them a tree with three children per node and a consensus
// that fails only on request.
//
// The package owns the choice of the leader, the faults of the links, and the lock around the ledger. Only tests may
// import it. It does not check results.
package leadercalltest

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"flaxcove/internal/cluster/consensus/machine"
	"flaxcove/internal/cluster/leadercall"
	"flaxcove/internal/cluster/view"
)

// Ledger is the replicated part under test.
type Ledger interface {
	Apply(index uint64, at time.Duration, kind string, body json.RawMessage) (json.RawMessage, error)
}

// direction is one direction of the link between two processes.
type direction struct{ from, to view.Name }

// Net is the network and the consensus of all processes. Its methods are safe for concurrent use.
type Net struct {
	ledger Ledger
	start  time.Time

	mu           sync.Mutex
	leader       view.Name
	loseAnswerTo string // kind of the command whose next answer is lost; "" for none
	down         map[view.Name]bool
	cut          map[direction]bool // directions in which no message arrives
	links        map[view.Name]*Link
	calls        map[view.Name]map[string]int // number of calls that a process made or received, by path
	started      map[string]int               // number of calls, by path
}

// New returns a Net without processes. leader is the name of the first leader, or "" for none.
func New(ledger Ledger, leader view.Name) *Net {
	return &Net{ledger: ledger, start: time.Now(), leader: leader, down: map[view.Name]bool{}, cut: map[direction]bool{},
		links: map[view.Name]*Link{}, calls: map[view.Name]map[string]int{}, started: map[string]int{}}
}

// withLock calls f with the lock held, so that no command is applied and the ledger is not read meanwhile.
func (n *Net) withLock(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// SetLeader makes another process the leader.
func (n *Net) SetLeader(name view.Name) { n.SetLeaderAfter(name, func() {}) }

// SetLeaderAfter calls change, which may change the ledger, and then makes another process the leader, in one step.
func (n *Net) SetLeaderAfter(name view.Name, change func()) {
	n.withLock(func() {
		change()
		n.leader = name
	})
}

// LoseNextAnswer makes Propose return an error for the next command of this kind although the command is applied.
func (n *Net) LoseNextAnswer(kind string) { n.withLock(func() { n.loseAnswerTo = kind }) }

// SetDown isolates processes from all others, or ends their isolation.
func (n *Net) SetDown(down bool, names ...view.Name) {
	n.withLock(func() {
		for _, name := range names {
			n.down[name] = down
		}
	})
}

// SetCut cuts the link between two processes, or restores it.
func (n *Net) SetCut(one, other view.Name, cut bool) {
	n.withLock(func() { n.cut[direction{one, other}], n.cut[direction{other, one}] = cut, cut })
}

// CallsStarted returns the number of calls on a path, by all processes.
func (n *Net) CallsStarted(path string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started[path]
}

// Calls returns the number of calls on a path that one process made or received.
func (n *Net) Calls(name view.Name, path string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[name][path]
}

// Join makes a process reachable over its link, in place of an earlier link of the same process.
func (n *Net) Join(l *Link) { n.withLock(func() { n.links[l.self.Name] = l }) }

// Mux returns the public HTTP interface of a process.
func (n *Net) Mux(name view.Name) *http.ServeMux {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[name].mux
}

// Link implements leadercall.Link for one process.
type Link struct {
	net    *Net
	self   view.Instance
	mux    *http.ServeMux
	routes map[string]leadercall.Handler
}

// Link returns a link for a process. The process is reachable after Join.
func (n *Net) Link(self view.Instance) *Link {
	return &Link{net: n, self: self, mux: http.NewServeMux(), routes: map[string]leadercall.Handler{}}
}

// Public returns the HTTP interface for callers.
func (l *Link) Public() *http.ServeMux { return l.mux }

// Handle registers the handler of a path.
func (l *Link) Handle(path string, h leadercall.Handler) { l.routes[path] = h }

// Call calls the handler of the other process. It fails if one of the two processes is down or the link is cut.
func (l *Link) Call(ctx context.Context, to view.Name, path string, in, out any) error {
	other := l.net.call(l.self.Name, to, path)
	if other == nil {
		return errors.New("the called process is not reachable")
	}
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	answer, err := other.routes[path](ctx, l.self, body)
	if err != nil {
		return err
	}
	if body, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(body, out)
}

// call counts a call and returns the link of the called process, or nil if the call does not reach it.
func (n *Net) call(from, to view.Name, path string) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.started[path]++
	for _, name := range []view.Name{from, to} {
		if n.calls[name] == nil {
			n.calls[name] = map[string]int{}
		}
		n.calls[name][path]++
	}
	if n.down[to] || n.down[from] || n.cut[direction{from, to}] {
		return nil
	}
	return n.links[to]
}

// Consensus implements leadercall.Consensus for one process.
type Consensus struct {
	net  *Net
	self view.Name
}

// Consensus returns the Consensus of a process.
func (n *Net) Consensus(self view.Name) Consensus { return Consensus{n, self} }

// Propose applies a command at once. It fails on a process that is down or does not lead, and for a command that is too long.
func (c Consensus) Propose(_ context.Context, part, kind string, body any) (json.RawMessage, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.net.leader != c.self || c.net.down[c.self] {
		return nil, errors.New("not the leader")
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	if _, err := machine.Encode(machine.Command{Part: part, Kind: kind, Body: text}); err != nil {
		return nil, err
	}
	answer, err := c.net.ledger.Apply(0, c.Clock(), kind, text)
	if c.net.loseAnswerTo == kind {
		c.net.loseAnswerTo = ""
		return nil, errors.New("the answer was lost")
	}
	return answer, err
}

// Leader returns the leader. A process that is down does not know it.
func (c Consensus) Leader() (view.Name, bool) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	return c.net.leader, c.net.leader != "" && !c.net.down[c.self]
}

// Leading reports whether this process leads.
func (c Consensus) Leading() bool {
	name, known := c.Leader()
	return known && name == c.self
}

// LeaderCandidates returns the leader, or none if this process does not know it.
func (c Consensus) LeaderCandidates() []view.Name {
	name, known := c.Leader()
	if !known {
		return nil
	}
	return []view.Name{name}
}

// Clock returns the time since New.
func (c Consensus) Clock() time.Duration { return time.Since(c.net.start) }

// Read calls f while no command is applied.
func (c Consensus) Read(f func(uint64)) { c.net.withLock(func() { f(0) }) }

// Tree implements leadercall.Tree. Its members are in breadth-first order, and each has up to three children.
type Tree []view.Member

// Root returns the first member.
func (t Tree) Root() view.Name { return t[0].Name }

// Parent returns the parent of a process. It returns false for the root and for a process that is not in the tree.
func (t Tree) Parent(p view.Name) (view.Name, bool) {
	for i := range t {
		if t[i].Name == p && i > 0 {
			return t[(i-1)/3].Name, true
		}
	}
	return "", false
}

// Children returns the children of a process, at most three.
func (t Tree) Children(p view.Name) (all []view.Name) {
	for i := range t {
		if i > 0 && t[(i-1)/3].Name == p {
			all = append(all, t[i].Name)
		}
	}
	return all
}

// Request makes an HTTP request to a handler, decodes the JSON answer into out, and returns the status code.
func Request(t *testing.T, h http.Handler, method, url, body string, out any) int {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, url, strings.NewReader(body)))
	if err := json.Unmarshal(w.Body.Bytes(), out); err != nil {
		t.Fatalf("%s %s: %d %q", method, url, w.Code, w.Body)
	}
	return w.Code
}
