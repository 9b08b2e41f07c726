// Package orderingtest is what tests of the parts that use package ordering run on: many processes in one, joined by a
// link that is a map, with a council that never fails unless told and a tree of three children each.
//
// It owns who leads, who is cut off, and the lock around the ledger. It must never be imported but by tests, or judge.
package orderingtest

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

	"flaxcove/internal/cluster/ordering"
	"flaxcove/internal/cluster/view"
)

// Ledger is the council's part that is under test.
type Ledger interface {
	Apply(index uint64, at time.Duration, kind string, body json.RawMessage) (json.RawMessage, error)
}

type way struct{ from, to view.Name }

// Net is what all processes have in common.
type Net struct {
	ledger Ledger
	began  time.Time

	mu     sync.Mutex
	leader view.Name
	lose   string // of this kind the next command is decided and its answer lost
	down   map[view.Name]bool
	parted map[way]bool // nothing arrives on these
	links  map[view.Name]*Link
	calls  map[view.Name]map[string]int // begun or taken by a process, by path
	begun  map[string]int               // by path
}

// New is one where nobody is yet; leader may be "".
func New(ledger Ledger, leader view.Name) *Net {
	return &Net{ledger: ledger, began: time.Now(), leader: leader, down: map[view.Name]bool{}, parted: map[way]bool{},
		links: map[view.Name]*Link{}, calls: map[view.Name]map[string]int{}, begun: map[string]int{}}
}

// locked calls f while no command is applied and the ledger is not read.
func (n *Net) locked(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// Lead has another lead.
func (n *Net) Lead(name view.Name) { n.LeadUpon(name, func() {}) }

// LeadUpon has another lead a ledger that change changes first: nobody reads or leads between the two.
func (n *Net) LeadUpon(name view.Name, change func()) {
	n.locked(func() {
		change()
		n.leader = name
	})
}

// LoseNext has the next command of a kind decided, and its answer lost.
func (n *Net) LoseNext(kind string) { n.locked(func() { n.lose = kind }) }

// SetDown has nothing go to or from these, or has them be well again.
func (n *Net) SetDown(down bool, names ...view.Name) {
	n.locked(func() {
		for _, name := range names {
			n.down[name] = down
		}
	})
}

// Cut has nothing arrive between two, or has it be well again.
func (n *Net) Cut(one, other view.Name, off bool) {
	n.locked(func() { n.parted[way{one, other}], n.parted[way{other, one}] = off, off })
}

// Begun is how many calls were begun on a path.
func (n *Net) Begun(path string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.begun[path]
}

// Calls is how many calls on a path one process began or took.
func (n *Net) Calls(name view.Name, path string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[name][path]
}

// Join has the others reach a process over its link.
func (n *Net) Join(l *Link) { n.locked(func() { n.links[l.self.Name] = l }) }

// Mux is the public part of a process.
func (n *Net) Mux(name view.Name) *http.ServeMux {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[name].mux
}

// Link is one process's.
type Link struct {
	net    *Net
	self   view.Life
	mux    *http.ServeMux
	routes map[string]ordering.Handler
}

// Link is one for a life, which the others reach once it has joined.
func (n *Net) Link(self view.Life) *Link {
	return &Link{net: n, self: self, mux: http.NewServeMux(), routes: map[string]ordering.Handler{}}
}

// Public is for callers.
func (l *Link) Public() *http.ServeMux { return l.mux }

// Handle takes messages on a path.
func (l *Link) Handle(path string, h ordering.Handler) { l.routes[path] = h }

// Call is answered by the other process's handler.
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

// call counts a call and finds whom it reaches; nil for nobody.
func (n *Net) call(from, to view.Name, path string) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.begun[path]++
	for _, name := range []view.Name{from, to} {
		if n.calls[name] == nil {
			n.calls[name] = map[string]int{}
		}
		n.calls[name][path]++
	}
	if n.down[to] || n.down[from] || n.parted[way{from, to}] {
		return nil
	}
	return n.links[to]
}

// Consensus is one process's.
type Consensus struct {
	net  *Net
	self view.Name
}

// Consensus is that of a process.
func (n *Net) Consensus(self view.Name) Consensus { return Consensus{n, self} }

// Propose applies a command at once, at whoever leads.
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
	if c.net.lose == kind {
		c.net.lose = ""
		return nil, errors.New("unsure")
	}
	return answer, err
}

// Leader is not known to one that is down.
func (c Consensus) Leader() (view.Name, bool) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	return c.net.leader, c.net.leader != "" && !c.net.down[c.self]
}

// Leading tells whether this process does.
func (c Consensus) Leading() bool {
	name, known := c.Leader()
	return known && name == c.self
}

// Ask is the leader alone.
func (c Consensus) Ask() []view.Name {
	name, known := c.Leader()
	if !known {
		return nil
	}
	return []view.Name{name}
}

// Clock is one for all.
func (c Consensus) Clock() time.Duration { return time.Since(c.net.began) }

// Read calls f while nothing is applied.
func (c Consensus) Read(f func(uint64)) { c.net.locked(func() { f(0) }) }

// Tree is one of three children each.
type Tree []view.Member

// Root is the first.
func (t Tree) Root() view.Name { return t[0].Name }

// Parent is none for the root, and for one that is not in it.
func (t Tree) Parent(p view.Name) (view.Name, bool) {
	for i := range t {
		if t[i].Name == p && i > 0 {
			return t[(i-1)/3].Name, true
		}
	}
	return "", false
}

// Children are three at most.
func (t Tree) Children(p view.Name) (all []view.Name) {
	for i := range t {
		if i > 0 && t[(i-1)/3].Name == p {
			all = append(all, t[i].Name)
		}
	}
	return all
}

// Ask calls a public part, reads the answer into out and returns its status.
func Ask(t *testing.T, h http.Handler, method, url, body string, out any) int {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, url, strings.NewReader(body)))
	if err := json.Unmarshal(w.Body.Bytes(), out); err != nil {
		t.Fatalf("%s %s: %d %q", method, url, w.Code, w.Body)
	}
	return w.Code
}
