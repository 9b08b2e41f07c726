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
	"flaxcove/internal/sender/together"
)

// This file is the processes in memory that the tests run: links that lose, senders that hold.

type handler = func(context.Context, view.Life, []byte) (any, error)

// world is processes in memory: two regions, a link that can lose any of them.
type world struct {
	t        *testing.T
	mu       sync.Mutex
	view     *view.View
	tree     *tree.Tree
	handlers map[view.Name]map[string]handler
	down     map[view.Name]bool
	runners  map[view.Name]*Runner
	senders  map[view.Name]*sender
	most     int // bytes of a message
	asks     int
	gate     chan struct{} // questions wait for it to be closed
	open     func()
}

type end struct {
	w    *world
	self view.Life
}

func (e end) Handle(path string, h handler) {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	e.w.handlers[e.self.Name][path] = h
}

func (e end) Call(ctx context.Context, to view.Name, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	e.w.mu.Lock()
	h, lost := e.w.handlers[to][path], e.w.down[to] || e.w.down[e.self.Name]
	e.w.most = max(e.w.most, len(body))
	if path == askPath {
		e.w.asks++
	}
	e.w.mu.Unlock()
	if path == askPath {
		<-e.w.gate
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

// sender holds destinations; its loop is whoever calls.
type sender struct {
	mu     sync.Mutex
	held   map[choice.DestinationID]together.Held
	taught map[choice.EndpointID]together.Lesson
}

func (s *sender) Evict(all []choice.DestinationID, done func([]choice.DestinationID)) {
	s.mu.Lock()
	var kept []choice.DestinationID
	for _, d := range all {
		if s.held[d].InUse {
			kept = append(kept, d)
		} else {
			delete(s.held, d)
		}
	}
	s.mu.Unlock()
	done(kept)
}

func (s *sender) Holding(done func([]together.Held)) {
	s.mu.Lock()
	var all []together.Held
	for _, h := range s.held {
		all = append(all, h)
	}
	s.mu.Unlock()
	done(all)
}

func (s *sender) Teach(lessons []together.Lesson) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range lessons {
		s.taught[l.Endpoint] = l
	}
}

func endpoint(d choice.DestinationID) choice.EndpointID { return choice.EndpointID(fmt.Sprint("e", d)) }

func (s *sender) Know(of []choice.DestinationID, done func([]together.Lesson)) {
	k := choice.LearnedState{Mean: 50, Dev: 5, Past: 50, Seen: 30, Limit: 9}
	done([]together.Lesson{{Endpoint: endpoint(of[0]), LearnedState: k}})
}

func (s *sender) holds(all ...together.Held) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range all {
		s.held[h.Destination] = h
	}
}

func (s *sender) has(d choice.DestinationID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, is := s.held[d]
	return is
}

func (s *sender) count() (held, taught int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held), len(s.taught)
}

const turn = 20 * time.Millisecond

func start(t *testing.T, bounds evict.Bounds) *world {
	w := &world{t: t, gate: make(chan struct{}), handlers: map[view.Name]map[string]handler{}, down: map[view.Name]bool{},
		runners: map[view.Name]*Runner{}, senders: map[view.Name]*sender{}}
	var all []view.Member
	for i := range 8 {
		m := view.Member{Life: view.Life{Name: view.Name(fmt.Sprint("p", i)), Incarnation: 1},
			Zone: view.Zone(fmt.Sprint("z", i%4)), Region: view.Region(fmt.Sprint("r", i%2)), Size: view.Large}
		if i >= 6 {
			m.Size = view.Small
		}
		all = append(all, m)
	}
	w.see(all)
	for i, m := range all {
		began := time.Now().Add(-time.Duration(i) * time.Hour) // no two clocks are near each other
		w.handlers[m.Name] = map[string]handler{}
		w.senders[m.Name] = &sender{held: map[choice.DestinationID]together.Held{},
			taught: map[choice.EndpointID]together.Lesson{}}
		w.runners[m.Name] = New(Options{Self: m, Now: func() view.Now { return time.Since(began) }, Link: end{w, m.Life},
			Orders: w.senders[m.Name], View: w.seen, Tree: w.branches, Bounds: bounds, Turn: turn})
	}
	for _, r := range w.runners {
		r.Start()
	}
	w.open = sync.OnceFunc(func() { close(w.gate) })
	t.Cleanup(func() {
		w.open()
		for _, r := range w.runners {
			r.Close()
		}
	})
	return w
}

func (w *world) see(all []view.Member) {
	v := view.Make("", 1, all)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view, w.tree = v, tree.Derive(v)
}

func (w *world) seen() *view.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

func (w *world) branches() *tree.Tree {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tree
}

// fall has a process answer nobody, and others see it.
func (w *world) fall(name view.Name) {
	w.mu.Lock()
	w.down[name] = true
	all := slices.DeleteFunc(slices.Clone(w.view.Members), func(m view.Member) bool { return m.Name == name })
	w.mu.Unlock()
	w.see(all)
}

// until waits for what must come; the bound is far beyond what it takes.
func (w *world) until(what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(turn / 4) {
		if time.Now().After(end) {
			w.t.Fatal("not within five seconds: ", what)
		}
	}
}

func (w *world) of(name view.Name, d choice.DestinationID) float64 {
	r := w.runners[name]
	now := r.o.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.board.Of(now, d, 0)
}
