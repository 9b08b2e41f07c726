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
	"flaxcove/internal/cluster/link"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type handler = func(context.Context, view.Instance, []byte) (any, error)

// testCluster runs several processes in memory. Calls to and from any process can be made to fail, and all processes
// share one replicated state as their consensus group.
type testCluster struct {
	mu       sync.Mutex
	members  []view.Member
	tree     *tree.Tree
	handlers map[view.Name]map[string]handler
	down     map[view.Name]bool // processes whose calls fail
	failing  map[view.Zone]bool // zones whose endpoints fail
	inForce  plan.InForce
	leader   view.Name // "" for none
	runners  map[view.Name]*Runner
	calls    map[view.Name]int // number of calls received by each process
}

var errDown = errors.New("no answer")

// testLink is the Link and the Consensus of one process.
type testLink struct {
	cluster *testCluster
	self    view.Name
}

func (l testLink) Handle(path string, h handler) {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	if l.cluster.handlers[l.self] == nil {
		l.cluster.handlers[l.self] = map[string]handler{}
	}
	l.cluster.handlers[l.self][path] = h
}

func (l testLink) Call(ctx context.Context, to view.Name, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	if len(body) > link.DefaultBodyLimit {
		return fmt.Errorf("request body has %d bytes", len(body))
	}
	l.cluster.mu.Lock()
	h := l.cluster.handlers[to][path]
	lost := h == nil || l.cluster.down[to] || l.cluster.down[l.self]
	l.cluster.calls[to]++
	l.cluster.mu.Unlock()
	if lost {
		return errDown
	}
	answer, err := h(ctx, view.Instance{Name: l.self}, body)
	if err != nil || out == nil {
		return err
	}
	if body, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(body, out)
}

func (l testLink) Propose(_ context.Context, _, kind string, body any) (json.RawMessage, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	if l.cluster.leader != l.self {
		return nil, errors.New("not the leader")
	}
	return l.cluster.inForce.Apply(1, 0, kind, b)
}

func (l testLink) Leader() (view.Name, bool) {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	return l.cluster.leader, l.cluster.leader != ""
}

func (l testLink) Leading() bool { leader, known := l.Leader(); return known && leader == l.self }

func (l testLink) Read(f func(uint64)) { l.cluster.mu.Lock(); defer l.cluster.mu.Unlock(); f(1) }

var zones = []view.Zone{"a1", "a2", "b1", "b2"}

// newTestCluster returns a cluster of so many processes in each zone, none of them started.
func newTestCluster(t *testing.T, perZone int) *testCluster {
	c := &testCluster{handlers: map[view.Name]map[string]handler{}, down: map[view.Name]bool{}, failing: map[view.Zone]bool{},
		runners: map[view.Name]*Runner{}, calls: map[view.Name]int{}}
	for _, z := range zones {
		for i := range perZone {
			c.members = append(c.members, view.Member{Instance: view.Instance{Name: view.Name(fmt.Sprint(z, "-", i))}, Zone: z,
				Region: view.Region(z[:1])})
		}
	}
	c.tree = tree.Derive(view.New("", 1, c.members))
	t.Cleanup(func() {
		for _, r := range c.runners {
			r.Close()
		}
	})
	return c
}

// start starts a process without state.
func (c *testCluster) start(m view.Member) {
	started := time.Now()
	settings := plan.DefaultSettings()
	settings.MinPlanInterval, settings.PlanTTL, settings.MinReturnDelay = 50*time.Millisecond, time.Second, 200*time.Millisecond
	self := testLink{c, m.Name}
	c.mu.Lock()
	delete(c.handlers, m.Name)
	c.mu.Unlock()
	r := Start(Options{Self: m.Name, Zone: m.Zone, Now: func() view.Uptime { return time.Since(started) }, Link: self, Consensus: self,
		InForce: &c.inForce, Tree: func() *tree.Tree { c.mu.Lock(); defer c.mu.Unlock(); return c.tree },
		HealthReports: func(view.Uptime) []healthreport.Sample { return c.healthReports(m.Zone) },
		Local: func() apply.Local {
			return apply.Local{Zone: m.Zone, Numbers: map[view.Zone]choice.ZoneNo{"a1": 0, "a2": 1, "b1": 2, "b2": 3},
				Listed: map[choice.DestinationID][]choice.ZoneNo{1: {0, 1, 2, 3}}}
		}, Bounds: assess.DefaultBounds(), Settings: settings, TickInterval: 20 * time.Millisecond})
	c.runners[m.Name] = r
}

// startAll starts all members and waits for the first plan.
func (c *testCluster) startAll(t *testing.T) {
	t.Helper()
	for _, m := range c.members {
		c.start(m)
	}
	c.waitFor(t, 5*time.Second, "a first plan", planned)
}

// healthReports returns the samples of two processes of a zone, all of whose calls go near.
func (c *testCluster) healthReports(z view.Zone) (samples []healthreport.Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range 2 {
		s := healthreport.Sample{Locality: healthreport.Locality{Destination: 1, Zone: z}, ReporterZone: z, Span: time.Second, Sent: 20, Done: 20,
			Endpoints: 2, Limit: 100, Reporter: view.Name(fmt.Sprint("witness", i))}
		if c.failing[z] {
			s.Done, s.Failed = 0, 20
		}
		samples = append(samples, s)
	}
	return samples
}

// waitFor waits until the condition holds at all processes that are not down, and fails the test after d.
func (c *testCluster) waitFor(t *testing.T, d time.Duration, what string, holds func(view.Member, *Runner) bool) {
	t.Helper()
	started := time.Now()
	for {
		missing := ""
		for _, m := range c.members {
			c.mu.Lock()
			down := c.down[m.Name]
			c.mu.Unlock()
			if !down && !holds(m, c.runners[m.Name]) {
				missing = fmt.Sprint(missing, " ", m.Name)
			}
		}
		if missing == "" {
			t.Logf("%s: after %v", what, time.Since(started).Round(time.Millisecond))
			return
		}
		if time.Since(started) > d {
			c.mu.Lock()
			defer c.mu.Unlock()
			t.Fatalf("%s: not yet at%s after %v; the leader is %s, in force is %+v", what, missing, d, c.leader, c.inForce.Plan())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// moved reports whether a process of zone a1 sends few messages near, or one of another zone all messages.
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

// planned reports whether a process has a plan in force.
func planned(_ view.Member, r *Runner) bool { return r.Guide() != nil }

// TestPlanReachesAllWithoutCoordinators checks that a plan reaches all processes while the root and a coordinator do not
// answer but are still in the tree. It then checks that a new leader diverts a zone whose coordinator has no parent that
// answers.
func TestPlanReachesAllWithoutCoordinators(t *testing.T) {
	c := newTestCluster(t, 3)
	c.leader = c.members[len(c.members)-1].Name
	if c.leader == c.tree.Root() {
		c.leader = c.members[0].Name
	}
	c.startAll(t)
	c.mu.Lock()
	c.failing["a1"] = true
	c.mu.Unlock()
	c.waitFor(t, 5*time.Second, "zone a1 diverted", moved)

	c.mu.Lock() // the root and the coordinator of zone b1 are down from here on, but still in the tree
	c.down[c.tree.Root()], c.down[c.tree.ZoneCoordinator("b1")] = true, true
	if c.down[c.leader] {
		c.leader = "a1-1"
	}
	before := c.inForce.Plan()
	before.Epoch++
	body, _ := json.Marshal(before)
	_, err := c.inForce.Apply(2, 0, plan.Kind, body)
	c.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	c.waitFor(t, 5*time.Second, "next plan past the processes that are down", func(_ view.Member, r *Runner) bool {
		return r.Stats().Epoch >= before.Epoch
	})

	c.mu.Lock() // now the leader goes down, and another zone fails, whose coordinator has no parent that answers
	c.down[c.leader] = true
	for _, m := range c.members {
		if !c.down[m.Name] {
			c.leader = m.Name
		}
	}
	other := view.Zone("")
	for _, z := range zones[1:] {
		if !c.down[c.tree.ZoneCoordinator(z)] {
			other = z
		}
	}
	c.failing[other] = true
	c.mu.Unlock()
	c.waitFor(t, 5*time.Second, "plan of the new leader", func(m view.Member, r *Runner) bool {
		c.mu.Lock()
		p := c.inForce.Plan()
		c.mu.Unlock()
		_, found := p.Find(1, other)
		return found && r.Stats().Epoch == p.Epoch
	})
}

// TestPlanExpiresWithoutLeader checks that a plan stays in force while it is renewed, reaches a process that restarts,
// expires at all processes without a leader, and is in force again with a new leader.
func TestPlanExpiresWithoutLeader(t *testing.T) {
	c := newTestCluster(t, 2)
	c.leader = "a1-0"
	c.startAll(t)
	time.Sleep(1200 * time.Millisecond) // longer than the TTL of a plan
	c.waitFor(t, 0, "renewed", planned)
	c.runners["b2-1"].Close() // a process restarts with no state
	c.start(c.members[len(c.members)-1])
	c.waitFor(t, 2*time.Second, "announced again", planned)
	c.mu.Lock()
	c.leader = "" // the leader lost its quorum and no longer leads
	c.mu.Unlock()
	c.waitFor(t, 4*time.Second, "expired", func(m view.Member, r *Runner) bool { return r.Guide() == nil })
	c.mu.Lock()
	c.leader = "b1-0"
	c.mu.Unlock()
	c.waitFor(t, 4*time.Second, "in force again", planned)
}

// TestMalformedMessagesChangeNothing checks that messages that cannot be decoded and invalid plans are counted, and that
// the plan in force stays.
func TestMalformedMessagesChangeNothing(t *testing.T) {
	c := newTestCluster(t, 1)
	c.leader = "a1-0"
	c.startAll(t)
	r := c.runners["b1-0"]
	epoch := r.Stats().Epoch
	for _, body := range []string{`{`, `{"epoch":99,"plan":{"epoch":99,"hold":-1}}`, `{"epoch":99,"age":-5}`} {
		r.handlePlan(t.Context(), view.Instance{Name: "x"}, []byte(body))
		r.handleReports(t.Context(), view.Instance{Name: "x"}, []byte(body))
	}
	if s := r.Stats(); s.Epoch != epoch || s.Malformed != 3 {
		t.Errorf("want epoch %d and 3 malformed messages, got %+v", epoch, s)
	}
}
