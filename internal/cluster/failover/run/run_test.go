package run

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/apply"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/failover/weigh"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type handler = func(context.Context, view.Life, []byte) (any, error)

// world is processes in memory: a link that can lose any of them, and a council of one mind.
type world struct {
	mu       sync.Mutex
	members  []view.Member
	tree     *tree.Tree
	handlers map[view.Name]map[string]handler
	down     map[view.Name]bool
	failing  map[view.Zone]bool
	inForce  plan.InForce
	leader   view.Name // "" for none
	runners  map[view.Name]*Runner
	calls    map[view.Name]int // that came down to or up to one
}

var errDown = errors.New("no answer")

type end struct {
	w    *world
	self view.Name
}

func (e end) Handle(path string, h handler) {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	if e.w.handlers[e.self] == nil {
		e.w.handlers[e.self] = map[string]handler{}
	}
	e.w.handlers[e.self][path] = h
}

func (e end) Call(ctx context.Context, to view.Name, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	e.w.mu.Lock()
	h := e.w.handlers[to][path]
	lost := h == nil || e.w.down[to] || e.w.down[e.self]
	e.w.calls[to]++
	e.w.mu.Unlock()
	if lost {
		return errDown
	}
	answer, err := h(ctx, view.Life{Name: e.self}, body)
	if err != nil || out == nil {
		return err
	}
	if body, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(body, out)
}

func (e end) Propose(_ context.Context, _, kind string, body any) (json.RawMessage, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	if e.w.leader != e.self {
		return nil, errors.New("leads no more")
	}
	return e.w.inForce.Apply(1, 0, kind, b)
}

func (e end) Leader() (view.Name, bool) {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	return e.w.leader, e.w.leader != ""
}

func (e end) Leading() bool { l, known := e.Leader(); return known && l == e.self }

func (e end) Read(f func(uint64)) { e.w.mu.Lock(); defer e.w.mu.Unlock(); f(1) }

var zones = []view.Zone{"a1", "a2", "b1", "b2"}

func newWorld(t *testing.T, perZone int) *world {
	w := &world{handlers: map[view.Name]map[string]handler{}, down: map[view.Name]bool{}, failing: map[view.Zone]bool{},
		runners: map[view.Name]*Runner{}, calls: map[view.Name]int{}}
	for _, z := range zones {
		for i := range perZone {
			w.members = append(w.members, view.Member{Life: view.Life{Name: view.Name(fmt.Sprint(z, "-", i))}, Zone: z,
				Region: view.Region(z[:1])})
		}
	}
	w.tree = tree.Derive(view.Make("", 1, w.members))
	t.Cleanup(func() {
		for _, r := range w.runners {
			r.Close()
		}
	})
	return w
}

func (w *world) start(m view.Member) {
	begun := time.Now()
	set := plan.Usual()
	set.Gap, set.Hold, set.Calm = 50*time.Millisecond, time.Second, 200*time.Millisecond
	e := end{w, m.Name}
	w.mu.Lock()
	delete(w.handlers, m.Name)
	w.mu.Unlock()
	r := Start(Options{Self: m.Name, Zone: m.Zone, Now: func() view.Now { return time.Since(begun) }, Link: e, Consensus: e,
		InForce: &w.inForce, Tree: func() *tree.Tree { w.mu.Lock(); defer w.mu.Unlock(); return w.tree },
		Samples: func(view.Now) []healthreport.Sample { return w.sightings(m.Zone) },
		Local: func() apply.Local {
			return apply.Local{Zone: m.Zone, Numbers: map[view.Zone]choice.ZoneNo{"a1": 0, "a2": 1, "b1": 2, "b2": 3},
				Listed: map[choice.DestinationID][]choice.ZoneNo{1: {0, 1, 2, 3}}}
		}, Bounds: weigh.Usual(), Settings: set, Turn: 20 * time.Millisecond})
	w.runners[m.Name] = r
}

// sightings are those of two processes a zone that send near alone.
func (w *world) sightings(z view.Zone) (all []healthreport.Sample) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range 2 {
		s := healthreport.Sample{Locality: healthreport.Locality{Destination: 1, Zone: z}, From: z, Span: time.Second, Sent: 20, Done: 20,
			Endpoints: 2, Limit: 100, Witness: view.Name(fmt.Sprint("witness", i))}
		if w.failing[z] {
			s.Done, s.Failed = 0, 20
		}
		all = append(all, s)
	}
	return all
}

// within waits until all that are up say so, or fails.
func (w *world) within(t *testing.T, d time.Duration, what string, say func(view.Member, *Runner) bool) {
	t.Helper()
	begun := time.Now()
	for {
		missing := ""
		for _, m := range w.members {
			w.mu.Lock()
			down := w.down[m.Name]
			w.mu.Unlock()
			if !down && !say(m, w.runners[m.Name]) {
				missing = fmt.Sprint(missing, " ", m.Name)
			}
		}
		if missing == "" {
			t.Logf("%s: after %v", what, time.Since(begun).Round(time.Millisecond))
			return
		}
		if time.Since(begun) > d {
			w.mu.Lock()
			defer w.mu.Unlock()
			t.Fatalf("%s: not at%s after %v; led by %s, in force %+v", what, missing, d, w.leader, w.inForce.Plan())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// moved tells whether hardly any message of zone a1 goes near there, and those of other zones do.
func moved(m view.Member, r *Runner) bool {
	g := r.Guide()
	if g == nil {
		return false
	}
	near := 0
	for i := range 100 {
		for no, z := range zones {
			if z == m.Zone && g.Allowed(choice.MessageID(fmt.Sprint("n", i)), 1, choice.ZoneNo(no)) {
				near++
			}
		}
	}
	return m.Zone == "a1" && near < 30 || m.Zone != "a1" && near == 100
}

func planned(_ view.Member, r *Runner) bool { return r.Guide() != nil }

func TestPlanReachesAllWithoutTheirCoordinators(t *testing.T) {
	w := newWorld(t, 3)
	w.leader = w.members[len(w.members)-1].Name
	if w.leader == w.tree.Root() {
		w.leader = w.members[0].Name
	}
	for _, m := range w.members {
		w.start(m)
	}
	w.within(t, 5*time.Second, "a first plan", planned)
	w.mu.Lock()
	w.failing["a1"] = true
	w.mu.Unlock()
	w.within(t, 5*time.Second, "moved", moved)

	w.mu.Lock() // from here on the root and the head of zone b1 are gone, and no view has noticed
	w.down[w.tree.Root()], w.down[w.tree.ZoneHead("b1")] = true, true
	if w.down[w.leader] {
		w.leader = "a1-1"
	}
	before := w.inForce.Plan()
	before.Epoch++
	body, _ := json.Marshal(before)
	_, err := w.inForce.Apply(2, 0, plan.Kind, body)
	w.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	w.within(t, 5*time.Second, "past those who are gone", func(_ view.Member, r *Runner) bool {
		return r.Stats().Epoch >= before.Epoch
	})

	w.mu.Lock() // and now the leader falls, and another zone, whose head finds no parent that answers
	w.down[w.leader] = true
	for _, m := range w.members {
		if !w.down[m.Name] {
			w.leader = m.Name
		}
	}
	other := view.Zone("")
	for _, z := range zones[1:] {
		if !w.down[w.tree.ZoneHead(z)] {
			other = z
		}
	}
	w.failing[other] = true
	w.mu.Unlock()
	w.within(t, 5*time.Second, "decided by another", func(m view.Member, r *Runner) bool {
		w.mu.Lock()
		p := w.inForce.Plan()
		w.mu.Unlock()
		_, found := p.Find(1, other)
		return found && r.Stats().Epoch == p.Epoch
	})
}

func TestLapsesWithoutALeader(t *testing.T) {
	w := newWorld(t, 2)
	w.leader = "a1-0"
	for _, m := range w.members {
		w.start(m)
	}
	w.within(t, 5*time.Second, "a first plan", planned)
	time.Sleep(1200 * time.Millisecond) // longer than it holds unheard of
	w.within(t, 0, "renewed", planned)
	w.runners["b2-1"].Close() // a process begins anew, with nothing
	w.start(w.members[len(w.members)-1])
	w.within(t, 2*time.Second, "told again", planned)
	w.mu.Lock()
	w.leader = "" // no quorum: the old leader knows it
	w.mu.Unlock()
	w.within(t, 4*time.Second, "lapsed", func(m view.Member, r *Runner) bool { return r.Guide() == nil })
	w.mu.Lock()
	w.leader = "b1-0"
	w.mu.Unlock()
	w.within(t, 4*time.Second, "in force again", planned)
}

func TestSpoiltMessagesChangeNothing(t *testing.T) {
	w := newWorld(t, 1)
	w.leader = "a1-0"
	for _, m := range w.members {
		w.start(m)
	}
	w.within(t, 5*time.Second, "a first plan", planned)
	r := w.runners["b1-0"]
	epoch := r.Stats().Epoch
	for _, body := range []string{`{`, `{"epoch":99,"plan":{"epoch":99,"hold":-1}}`, `{"epoch":99,"age":-5}`} {
		r.hearDown(t.Context(), view.Life{Name: "x"}, []byte(body))
		r.hearUp(t.Context(), view.Life{Name: "x"}, []byte(body))
	}
	if s := r.Stats(); s.Epoch != epoch || s.Bad != 3 {
		t.Errorf("%+v after spoilt messages at epoch %d", s, epoch)
	}
}
