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
	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type handler = func(context.Context, view.Life, []byte) (any, error)

// testCluster is processes in memory: a link that can lose any of them, and a consensus group of one mind.
type testCluster struct {
	mu       sync.Mutex
	members  []view.Member
	tree     *tree.Tree
	handlers map[view.Name]map[string]handler
	down     map[view.Name]bool
	failing  map[view.Zone]bool
	inForce  plan.InForce
	leader   view.Name // "" for none
	runners  map[view.Name]*Runner
	calls    map[view.Name]int // received by each process
}

var errDown = errors.New("no answer")

type testLink struct {
	cluster *testCluster
	self    view.Name
}

func (e testLink) Handle(path string, h handler) {
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	if e.cluster.handlers[e.self] == nil {
		e.cluster.handlers[e.self] = map[string]handler{}
	}
	e.cluster.handlers[e.self][path] = h
}

func (e testLink) Call(ctx context.Context, to view.Name, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	e.cluster.mu.Lock()
	h := e.cluster.handlers[to][path]
	lost := h == nil || e.cluster.down[to] || e.cluster.down[e.self]
	e.cluster.calls[to]++
	e.cluster.mu.Unlock()
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

func (e testLink) Propose(_ context.Context, _, kind string, body any) (json.RawMessage, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	if e.cluster.leader != e.self {
		return nil, errors.New("leads no more")
	}
	return e.cluster.inForce.Apply(1, 0, kind, b)
}

func (e testLink) Leader() (view.Name, bool) {
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	return e.cluster.leader, e.cluster.leader != ""
}

func (e testLink) Leading() bool { l, known := e.Leader(); return known && l == e.self }

func (e testLink) Read(f func(uint64)) { e.cluster.mu.Lock(); defer e.cluster.mu.Unlock(); f(1) }

var zones = []view.Zone{"a1", "a2", "b1", "b2"}

func newTestCluster(t *testing.T, perZone int) *testCluster {
	w := &testCluster{handlers: map[view.Name]map[string]handler{}, down: map[view.Name]bool{}, failing: map[view.Zone]bool{},
		runners: map[view.Name]*Runner{}, calls: map[view.Name]int{}}
	for _, z := range zones {
		for i := range perZone {
			w.members = append(w.members, view.Member{Life: view.Life{Name: view.Name(fmt.Sprint(z, "-", i))}, Zone: z,
				Region: view.Region(z[:1])})
		}
	}
	w.tree = tree.Derive(view.New("", 1, w.members))
	t.Cleanup(func() {
		for _, r := range w.runners {
			r.Close()
		}
	})
	return w
}

func (w *testCluster) start(m view.Member) {
	begun := time.Now()
	set := plan.DefaultSettings()
	set.MinPlanInterval, set.Hold, set.MinReturnDelay = 50*time.Millisecond, time.Second, 200*time.Millisecond
	e := testLink{w, m.Name}
	w.mu.Lock()
	delete(w.handlers, m.Name)
	w.mu.Unlock()
	r := Start(Options{Self: m.Name, Zone: m.Zone, Now: func() view.Uptime { return time.Since(begun) }, Link: e, Consensus: e,
		InForce: &w.inForce, Tree: func() *tree.Tree { w.mu.Lock(); defer w.mu.Unlock(); return w.tree },
		HealthReports: func(view.Uptime) []healthreport.Sample { return w.healthReports(m.Zone) },
		Local: func() apply.Local {
			return apply.Local{Zone: m.Zone, Numbers: map[view.Zone]choice.ZoneNo{"a1": 0, "a2": 1, "b1": 2, "b2": 3},
				Listed: map[choice.DestinationID][]choice.ZoneNo{1: {0, 1, 2, 3}}}
		}, Bounds: assess.DefaultBounds(), Settings: set, TickInterval: 20 * time.Millisecond})
	w.runners[m.Name] = r
}

// startAll starts all members and waits for the first plan.
func (w *testCluster) startAll(t *testing.T) {
	t.Helper()
	for _, m := range w.members {
		w.start(m)
	}
	w.waitFor(t, 5*time.Second, "a first plan", planned)
}

// healthReports are those of two processes a zone that send near alone.
func (w *testCluster) healthReports(z view.Zone) (all []healthreport.Sample) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range 2 {
		s := healthreport.Sample{Locality: healthreport.Locality{Destination: 1, Zone: z}, ReporterZone: z, Span: time.Second, Sent: 20, Done: 20,
			Endpoints: 2, Limit: 100, Reporter: view.Name(fmt.Sprint("witness", i))}
		if w.failing[z] {
			s.Done, s.Failed = 0, 20
		}
		all = append(all, s)
	}
	return all
}

// waitFor waits until the condition holds at all processes that are up, or fails.
func (w *testCluster) waitFor(t *testing.T, d time.Duration, what string, holds func(view.Member, *Runner) bool) {
	t.Helper()
	started := time.Now()
	for {
		missing := ""
		for _, m := range w.members {
			w.mu.Lock()
			down := w.down[m.Name]
			w.mu.Unlock()
			if !down && !holds(m, w.runners[m.Name]) {
				missing = fmt.Sprint(missing, " ", m.Name)
			}
		}
		if missing == "" {
			t.Logf("%s: after %v", what, time.Since(started).Round(time.Millisecond))
			return
		}
		if time.Since(started) > d {
			w.mu.Lock()
			defer w.mu.Unlock()
			t.Fatalf("%s: not at%s after %v; led by %s, in force %+v", what, missing, d, w.leader, w.inForce.Plan())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// moved reports whether hardly any message of zone a1 goes near there, and all those of other zones do.
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

func TestPlanReachesAllWithoutCoordinators(t *testing.T) {
	w := newTestCluster(t, 3)
	w.leader = w.members[len(w.members)-1].Name
	if w.leader == w.tree.Root() {
		w.leader = w.members[0].Name
	}
	w.startAll(t)
	w.mu.Lock()
	w.failing["a1"] = true
	w.mu.Unlock()
	w.waitFor(t, 5*time.Second, "moved", moved)

	w.mu.Lock() // from here on the root and the coordinator of zone b1 are gone, and no view has noticed
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
	w.waitFor(t, 5*time.Second, "past those who are gone", func(_ view.Member, r *Runner) bool {
		return r.Stats().Epoch >= before.Epoch
	})

	w.mu.Lock() // now the leader fails, and another zone, whose coordinator finds no parent that answers
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
	w.waitFor(t, 5*time.Second, "decided by another", func(m view.Member, r *Runner) bool {
		w.mu.Lock()
		p := w.inForce.Plan()
		w.mu.Unlock()
		_, found := p.Find(1, other)
		return found && r.Stats().Epoch == p.Epoch
	})
}

func TestPlanLapsesWithoutALeader(t *testing.T) {
	w := newTestCluster(t, 2)
	w.leader = "a1-0"
	w.startAll(t)
	time.Sleep(1200 * time.Millisecond) // longer than a plan holds without renewal
	w.waitFor(t, 0, "renewed", planned)
	w.runners["b2-1"].Close() // a process restarts with no state
	w.start(w.members[len(w.members)-1])
	w.waitFor(t, 2*time.Second, "announced again", planned)
	w.mu.Lock()
	w.leader = "" // no quorum: the old leader knows it
	w.mu.Unlock()
	w.waitFor(t, 4*time.Second, "lapsed", func(m view.Member, r *Runner) bool { return r.Guide() == nil })
	w.mu.Lock()
	w.leader = "b1-0"
	w.mu.Unlock()
	w.waitFor(t, 4*time.Second, "in force again", planned)
}

func TestMalformedMessagesChangeNothing(t *testing.T) {
	w := newTestCluster(t, 1)
	w.leader = "a1-0"
	w.startAll(t)
	r := w.runners["b1-0"]
	epoch := r.Stats().Epoch
	for _, body := range []string{`{`, `{"epoch":99,"plan":{"epoch":99,"hold":-1}}`, `{"epoch":99,"age":-5}`} {
		r.handlePlan(t.Context(), view.Life{Name: "x"}, []byte(body))
		r.handleReports(t.Context(), view.Life{Name: "x"}, []byte(body))
	}
	if s := r.Stats(); s.Epoch != epoch || s.Malformed != 3 {
		t.Errorf("%+v after spoilt messages at epoch %d", s, epoch)
	}
}
