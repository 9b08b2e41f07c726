// Package leadercalltest is the test environment of the parts that use package ordering: many processes in one, connected
// by in-memory links, with a consensus that fails only on request, and a tree with three children a node.
//
// It owns who leads, which links are cut, and the lock around the ledger. It must be imported by tests only, and must
// never check results itself.
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

	"flaxcove/internal/cluster/leadercall"
	"flaxcove/internal/cluster/view"
)

// Ledger is the replicated part that is under test.
type Ledger interface {
	Apply(index uint64, at time.Duration, kind string, body json.RawMessage) (json.RawMessage, error)
}

type direction struct{ from, to view.Name }

// Net is the network and the consensus of all processes.
type Net struct {
	ledger Ledger
	start  time.Time

	mu           sync.Mutex
	leader       view.Name
	loseAnswerTo string // the kind of command whose next answer is lost
	down         map[view.Name]bool
	cut          map[direction]bool // nothing arrives in these
	links        map[view.Name]*Link
	calls        map[view.Name]map[string]int // made or received by a process, by path
	started      map[string]int               // by path
}

// New returns a Net without processes; leader may be "".
func New(ledger Ledger, leader view.Name) *Net {
	return &Net{ledger: ledger, start: time.Now(), leader: leader, down: map[view.Name]bool{}, cut: map[direction]bool{},
		links: map[view.Name]*Link{}, calls: map[view.Name]map[string]int{}, started: map[string]int{}}
}

// withLock calls f while no command is applied and the ledger is not read.
func (n *Net) withLock(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// SetLeader makes another process the leader.
func (n *Net) SetLeader(name view.Name) { n.SetLeaderAfter(name, func() {}) }

// SetLeaderAfter changes the ledger by calling change and makes another process the leader, in one step.
func (n *Net) SetLeaderAfter(name view.Name, change func()) {
	n.withLock(func() {
		change()
		n.leader = name
	})
}

// LoseNextAnswer has the next command of a kind applied, and its answer lost.
func (n *Net) LoseNextAnswer(kind string) { n.withLock(func() { n.loseAnswerTo = kind }) }

// SetDown isolates processes from all others, or ends that.
func (n *Net) SetDown(down bool, names ...view.Name) {
	n.withLock(func() {
		for _, name := range names {
			n.down[name] = down
		}
	})
}

// SetCut cuts the link between two processes, or restores it.
func (n *Net) SetCut(one, other view.Name, off bool) {
	n.withLock(func() { n.cut[direction{one, other}], n.cut[direction{other, one}] = off, off })
}

// CallsStarted is the number of calls on a path.
func (n *Net) CallsStarted(path string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started[path]
}

// Calls is the number of calls on a path that one process made or received.
func (n *Net) Calls(name view.Name, path string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[name][path]
}

// Join makes a process reachable over its link.
func (n *Net) Join(l *Link) { n.withLock(func() { n.links[l.self.Name] = l }) }

// Mux is the public HTTP interface of a process.
func (n *Net) Mux(name view.Name) *http.ServeMux {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[name].mux
}

// Link is one process's link.
type Link struct {
	net    *Net
	self   view.Life
	mux    *http.ServeMux
	routes map[string]leadercall.Handler
}

// Link returns a link for a process, which is reachable once it has joined.
func (n *Net) Link(self view.Life) *Link {
	return &Link{net: n, self: self, mux: http.NewServeMux(), routes: map[string]leadercall.Handler{}}
}

// Public is the HTTP interface for callers.
func (l *Link) Public() *http.ServeMux { return l.mux }

// Handle registers the handler of a path.
func (l *Link) Handle(path string, h leadercall.Handler) { l.routes[path] = h }

// Call calls the other process's handler.
func (l *Link) Call(ctx context.Context, to view.Name, path string, in, out any) error {
	other := l.net.call(l.self.Name, to, path)
	if other == nil {
		return errors.New("not reached")
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

// call counts a call and returns the link that it reaches, or nil.
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

// Consensus is one process's access to the consensus.
type Consensus struct {
	net  *Net
	self view.Name
}

// Consensus returns that of a process.
func (n *Net) Consensus(self view.Name) Consensus { return Consensus{n, self} }

// Propose applies a command at once, on the leader only.
func (c Consensus) Propose(_ context.Context, _, kind string, body any) (json.RawMessage, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.net.leader != c.self || c.net.down[c.self] {
		return nil, errors.New("not the leader")
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	answer, err := c.net.ledger.Apply(0, c.Clock(), kind, text)
	if c.net.loseAnswerTo == kind {
		c.net.loseAnswerTo = ""
		return nil, errors.New("unsure")
	}
	return answer, err
}

// Leader is unknown to a process that is down.
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

// Ask names the leader only.
func (c Consensus) Ask() []view.Name {
	name, known := c.Leader()
	if !known {
		return nil
	}
	return []view.Name{name}
}

// Clock is the same for all processes.
func (c Consensus) Clock() time.Duration { return time.Since(c.net.start) }

// Read calls f while nothing is applied.
func (c Consensus) Read(f func(uint64)) { c.net.withLock(func() { f(0) }) }

// Tree is a tree of members in which each has up to three children.
type Tree []view.Member

// Root is the first member.
func (t Tree) Root() view.Name { return t[0].Name }

// Parent returns false for the root, and for a process that is not in the tree.
func (t Tree) Parent(p view.Name) (view.Name, bool) {
	for i := range t {
		if t[i].Name == p && i > 0 {
			return t[(i-1)/3].Name, true
		}
	}
	return "", false
}

// Children are at most three.
func (t Tree) Children(p view.Name) (all []view.Name) {
	for i := range t {
		if i > 0 && t[(i-1)/3].Name == p {
			all = append(all, t[i].Name)
		}
	}
	return all
}

// Request makes an HTTP request to a process, decodes the answer into out and returns its status.
func Request(t *testing.T, h http.Handler, method, url, body string, out any) int {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, url, strings.NewReader(body)))
	if err := json.Unmarshal(w.Body.Bytes(), out); err != nil {
		t.Fatalf("%s %s: %d %q", method, url, w.Code, w.Body)
	}
	return w.Code
}
