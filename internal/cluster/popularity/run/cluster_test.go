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

// This file has the processes in memory that the tests run: links that lose calls, and senders that hold destinations.

type handler = func(context.Context, view.Life, []byte) (any, error)

// testCluster is processes in memory: two regions, and a link that can lose any of them.
type testCluster struct {
	t              *testing.T
	mu             sync.Mutex
	view           *view.View
	tree           *tree.Tree
	handlers       map[view.Name]map[string]handler
	down           map[view.Name]bool
	runners        map[view.Name]*Runner
	senders        map[view.Name]*fakeSender
	maxMessageSize int // bytes of a message
	requests       int
	requestGate    chan struct{} // requests wait until it is closed
	openGate       func()
}

type testLink struct {
	cluster *testCluster
	self    view.Life
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
		return errors.New("no answer")
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

// fakeSender holds destinations; its loop is whoever calls.
type fakeSender struct {
	mu     sync.Mutex
	held   map[choice.DestinationID]clusterapi.Held
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

func (s *fakeSender) Holding(done func([]clusterapi.Held)) {
	s.mu.Lock()
	var all []clusterapi.Held
	for _, h := range s.held {
		all = append(all, h)
	}
	s.mu.Unlock()
	done(all)
}

func (s *fakeSender) Teach(lessons []clusterapi.LearnedEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range lessons {
		s.taught[l.Endpoint] = l
	}
}

func endpoint(d choice.DestinationID) choice.EndpointID { return choice.EndpointID(fmt.Sprint("e", d)) }

func (s *fakeSender) Know(of []choice.DestinationID, done func([]clusterapi.LearnedEndpoint)) {
	k := choice.LearnedState{Mean: 50, Dev: 5, Past: 50, Seen: 30, Limit: 9}
	done([]clusterapi.LearnedEndpoint{{Endpoint: endpoint(of[0]), LearnedState: k}})
}

func (s *fakeSender) hold(all ...clusterapi.Held) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range all {
		s.held[h.Destination] = h
	}
}

func (s *fakeSender) has(d choice.DestinationID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, is := s.held[d]
	return is
}

func (s *fakeSender) counts() (held, taught int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held), len(s.taught)
}

const tickInterval = 20 * time.Millisecond

func startCluster(t *testing.T, bounds evict.Bounds) *testCluster {
	w := &testCluster{t: t, requestGate: make(chan struct{}), handlers: map[view.Name]map[string]handler{}, down: map[view.Name]bool{},
		runners: map[view.Name]*Runner{}, senders: map[view.Name]*fakeSender{}}
	var all []view.Member
	for i := range 8 {
		m := view.Member{Life: view.Life{Name: view.Name(fmt.Sprint("p", i)), Incarnation: 1},
			Zone: view.Zone(fmt.Sprint("z", i%4)), Region: view.Region(fmt.Sprint("r", i%2)), Size: view.Large}
		if i >= 6 {
			m.Size = view.Small
		}
		all = append(all, m)
	}
	w.setMembers(all)
	for i, m := range all {
		began := time.Now().Add(-time.Duration(i) * time.Hour) // no two clocks are near each other
		w.handlers[m.Name] = map[string]handler{}
		w.senders[m.Name] = &fakeSender{held: map[choice.DestinationID]clusterapi.Held{},
			taught: map[choice.EndpointID]clusterapi.LearnedEndpoint{}}
		w.runners[m.Name] = New(Options{Self: m, Now: func() view.Uptime { return time.Since(began) }, Link: testLink{w, m.Life},
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

// fail makes a process answer nobody, which others see.
func (w *testCluster) fail(name view.Name) {
	w.mu.Lock()
	w.down[name] = true
	all := slices.DeleteFunc(slices.Clone(w.view.Members), func(m view.Member) bool { return m.Name == name })
	w.mu.Unlock()
	w.setMembers(all)
}

// waitFor waits for a condition that must come true; the bound is far beyond what it takes.
func (w *testCluster) waitFor(what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(tickInterval / 4) {
		if time.Now().After(end) {
			w.t.Fatal("not within five seconds: ", what)
		}
	}
}

func (w *testCluster) score(name view.Name, d choice.DestinationID) float64 {
	r := w.runners[name]
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.scores.Score(now, d, 0)
}
