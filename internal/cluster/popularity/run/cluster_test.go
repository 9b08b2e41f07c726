package run

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/evict"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// This file implements the cluster in memory that the tests run: links that can lose calls, and senders that cache destinations.

// handler handles calls of one path.
type handler = func(context.Context, view.Instance, []byte) (any, error)

// testCluster is a cluster of processes in two regions, each of which can become unreachable.
type testCluster struct {
	t              *testing.T
	mu             sync.Mutex
	view           *view.View
	tree           *tree.Tree
	handlers       map[view.Name]map[string]handler
	down           map[view.Name]bool
	runners        map[view.Name]*Runner
	senders        map[view.Name]*fakeSender
	maxMessageSize int           // size in bytes of the largest message
	requests       int           // calls to requestPath
	requestGate    chan struct{} // calls to requestPath wait until it is closed
	openGate       func()        // closes requestGate
}

// testLink is the Link of one process.
type testLink struct {
	cluster *testCluster
	self    view.Instance
}

func (e testLink) Handle(path string, h handler) {
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	e.cluster.handlers[e.self.Name][path] = h
}

func (e testLink) Call(ctx context.Context, to view.Name, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	e.cluster.mu.Lock()
	h, lost := e.cluster.handlers[to][path], e.cluster.down[to] || e.cluster.down[e.self.Name]
	e.cluster.maxMessageSize = max(e.cluster.maxMessageSize, len(body))
	if path == requestPath {
		e.cluster.requests++
	}
	e.cluster.mu.Unlock()
	if path == requestPath {
		<-e.cluster.requestGate
	}
	if lost || h == nil {
		return errors.New("process is unreachable")
	}
	answer, err := h(ctx, e.self, body)
	if err != nil || out == nil {
		return err
	}
	if body, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(body, out)
}

// fakeSender is a sender that caches destinations. It calls back at once, on the goroutine of the caller.
type fakeSender struct {
	mu     sync.Mutex
	held   map[choice.DestinationID]clusterapi.HeldState
	taught map[choice.EndpointID]clusterapi.LearnedEndpoint
}

func (s *fakeSender) Evict(all []choice.DestinationID, done func([]choice.DestinationID)) {
	s.mu.Lock()
	var retained []choice.DestinationID
	for _, d := range all {
		if s.held[d].InUse {
			retained = append(retained, d)
		} else {
			delete(s.held, d)
		}
	}
	s.mu.Unlock()
	done(retained)
}

func (s *fakeSender) ListHeldState(done func([]clusterapi.HeldState)) {
	s.mu.Lock()
	var all []clusterapi.HeldState
	for _, h := range s.held {
		all = append(all, h)
	}
	s.mu.Unlock()
	done(all)
}

func (s *fakeSender) AdoptLearnedState(learned []clusterapi.LearnedEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range learned {
		s.taught[l.Endpoint] = l
	}
}

// endpoint returns the only endpoint of a destination.
func endpoint(d choice.DestinationID) choice.EndpointID { return choice.EndpointID(fmt.Sprint("e", d)) }

func (s *fakeSender) GetLearnedState(of []choice.DestinationID, done func([]clusterapi.LearnedEndpoint)) {
	k := choice.LearnedState{Mean: 50, Dev: 5, Past: 50, Seen: 30, Limit: 9}
	done([]clusterapi.LearnedEndpoint{{Endpoint: endpoint(of[0]), LearnedState: k}})
}

// hold adds destinations to the cache.
func (s *fakeSender) hold(all ...clusterapi.HeldState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range all {
		s.held[h.Destination] = h
	}
}

// has reports whether a destination is cached.
func (s *fakeSender) has(d choice.DestinationID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.held[d]
	return found
}

// counts returns the numbers of cached destinations and of endpoints with received learned state.
func (s *fakeSender) counts() (held, taught int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held), len(s.taught)
}

const tickInterval = 20 * time.Millisecond

// startCluster starts eight processes, p0 to p7. Those with even numbers are in region r0, the others in r1. p6 and p7 are small.
// The cluster is stopped at the end of the test.
func startCluster(t *testing.T, bounds evict.Bounds) *testCluster {
	w := &testCluster{t: t, requestGate: make(chan struct{}), handlers: map[view.Name]map[string]handler{}, down: map[view.Name]bool{},
		runners: map[view.Name]*Runner{}, senders: map[view.Name]*fakeSender{}}
	var all []view.Member
	for i := range 8 {
		m := view.Member{Instance: view.Instance{Name: view.Name(fmt.Sprint("p", i)), Incarnation: 1},
			Zone: view.Zone(fmt.Sprint("z", i%4)), Region: view.Region(fmt.Sprint("r", i%2)), Size: view.Large}
		if i >= 6 {
			m.Size = view.Small
		}
		all = append(all, m)
	}
	w.setMembers(all)
	for i, m := range all {
		began := time.Now().Add(-time.Duration(i) * time.Hour) // all clocks differ by hours
		w.handlers[m.Name] = map[string]handler{}
		w.senders[m.Name] = &fakeSender{held: map[choice.DestinationID]clusterapi.HeldState{},
			taught: map[choice.EndpointID]clusterapi.LearnedEndpoint{}}
		w.runners[m.Name] = New(Options{Self: m, Now: func() view.Uptime { return time.Since(began) }, Link: testLink{w, m.Instance},
			Orders: w.senders[m.Name], View: w.currentView, Tree: w.currentTree, Bounds: bounds, TickInterval: tickInterval})
	}
	for _, r := range w.runners {
		r.Start()
	}
	w.openGate = sync.OnceFunc(func() { close(w.requestGate) })
	t.Cleanup(func() {
		w.openGate()
		for _, r := range w.runners {
			r.Close()
		}
	})
	return w
}

// setMembers sets the view of all processes.
func (w *testCluster) setMembers(all []view.Member) {
	v := view.New("", 1, all)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view, w.tree = v, tree.Derive(v)
}

func (w *testCluster) currentView() *view.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

func (w *testCluster) currentTree() *tree.Tree {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tree
}

// fail makes a process unreachable and removes it from the view.
func (w *testCluster) fail(name view.Name) {
	w.mu.Lock()
	w.down[name] = true
	all := slices.DeleteFunc(slices.Clone(w.view.Members), func(m view.Member) bool { return m.Name == name })
	w.mu.Unlock()
	w.setMembers(all)
}

// waitFor waits until a condition is true. It fails the test after 5 s, which is much longer than any condition takes.
func (w *testCluster) waitFor(what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(tickInterval / 4) {
		if time.Now().After(end) {
			w.t.Fatalf("condition not true within 5 s: %s", what)
		}
	}
}

// score returns the score of a destination at a process, without its own counts.
func (w *testCluster) score(name view.Name, d choice.DestinationID) float64 {
	r := w.runners[name]
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.scores.Score(now, d, 0)
}
