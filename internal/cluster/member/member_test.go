package member

import (
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"flaxcove/internal/cluster/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fastTiming has intervals of a tenth to a third of the defaults, so that a test sees a death within eventually's
// bound.
var fastTiming = Timing{ProbeInterval: 150 * time.Millisecond, ProbeTimeout: 75 * time.Millisecond, GossipInterval: 40 * time.Millisecond,
	SnapshotInterval: 50 * time.Millisecond, RejoinInterval: 300 * time.Millisecond, StreamTimeout: 500 * time.Millisecond}

// addressBook maps the processes of one test to their gossip addresses, as a cluster file would.
type addressBook struct {
	mu    sync.Mutex
	addrs map[view.Name]string
}

func (p *addressBook) addressOf(name view.Name) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, known := p.addrs[name]
	return addr, known
}

func (p *addressBook) set(name view.Name, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addrs[name] = addr
}

func (p *addressBook) remove(name view.Name) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.addrs, name)
}

func (p *addressBook) start(t *testing.T, name view.Name, incarnation view.Incarnation, change func(*Options)) *Members {
	t.Helper()
	opts := Options{Cluster: "fleet", Reach: p.addressOf, Seeds: []view.Name{"a", "b"}, Timing: fastTiming,
		Self: view.Member{Instance: view.Instance{Name: name, Incarnation: incarnation}, Zone: "z1", Region: "r1", Size: view.Large}}
	if change != nil {
		change(&opts)
	}
	m, err := Start(opts)
	if err != nil {
		t.Fatal(err)
	}
	if _, known := p.addressOf(name); !known {
		p.set(name, m.Addr())
	}
	t.Cleanup(func() {
		if err := m.Close(); err != nil {
			t.Error(name, err)
		}
	})
	return m
}

// eventually waits until f returns true, for 20 s at most, which is far above what any step takes. On failure it logs
// the views of the members at.
func eventually(t *testing.T, what string, f func() bool, at ...*Members) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for _, m := range at {
				t.Logf("%+v", m.View())
			}
			t.Fatalf("did not happen within 20 s: %s", what)
		}
	}
}

func hasState(m *Members, name view.Name, state view.State, incarnation view.Incarnation) bool {
	s, found := m.View().Find(name)
	return found && s.State == state && s.Incarnation == incarnation
}

// TestOtherClusterIsRejected checks that members of two clusters that have each other as seeds never see each other,
// and that a cluster needs a name.
func TestOtherClusterIsRejected(t *testing.T) {
	t.Parallel()
	p := &addressBook{addrs: map[view.Name]string{}}
	a := p.start(t, "a", 1, nil)
	other := p.start(t, "b", 1, func(o *Options) { o.Cluster = "other fleet" })
	c := p.start(t, "c", 1, nil)
	eventually(t, "a sees c alive", func() bool { return hasState(a, "c", view.Alive, 1) })
	time.Sleep(4 * fastTiming.RejoinInterval) // a and c have b as a seed and keep trying to join it
	for _, m := range []*Members{a, c, other} {
		for _, s := range m.View().Members {
			if (s.Name == "b") != (m == other) {
				t.Errorf("%s accepted %s", m.Self().Name, s.Name)
			}
		}
	}
	if _, err := Start(Options{Self: a.Self()}); err == nil {
		t.Error("a member of a cluster without a name was started")
	}
}

// TestNameConflict checks that of two processes of one name the one with the later incarnation owns the name at all
// members, that the other is notified once and ends its membership, and that they do not alternate. The other members
// reach both at the addresses that these announce.
func TestNameConflict(t *testing.T) {
	t.Parallel()
	p := &addressBook{addrs: map[view.Name]string{}}
	reach := func(name view.Name) (string, bool) {
		if name == "x" {
			return "", false
		}
		return p.addressOf(name)
	}
	conflicts := make(chan view.Instance, 9)
	conflicting := func(o *Options) {
		o.Reach = reach
		o.OnNameConflict = func(l view.Instance) { conflicts <- l }
	}
	a := p.start(t, "a", 1, func(o *Options) { o.Reach = reach })
	b := p.start(t, "b", 1, func(o *Options) { o.Reach = reach })
	first := p.start(t, "x", 4, conflicting)
	eventually(t, "a and b see the first process alive", func() bool { return hasState(a, "x", view.Alive, 4) && hasState(b, "x", view.Alive, 4) })
	first.mu.Lock()
	first.firstMetAt -= settlingPeriod // it may not raise its incarnation any more
	first.mu.Unlock()
	second := p.start(t, "x", 5, conflicting)
	eventually(t, "the first process is notified", func() bool { return len(conflicts) > 0 })
	if l := <-conflicts; l.Incarnation != 5 {
		t.Errorf("notified of %+v, want incarnation 5", l)
	}
	for range 50 {
		eventually(t, "a and b see the later incarnation", func() bool {
			s, _ := b.View().Find("x")
			return hasState(a, "x", s.State, 5) && s.Incarnation == 5
		})
		time.Sleep(10 * time.Millisecond)
	}
	if err := first.Leave(time.Second); err != nil {
		t.Error(err)
	}
	eventually(t, "the second process is alive after the first one called Leave", func() bool {
		return hasState(a, "x", view.Alive, 5) && hasState(second, "a", view.Alive, 1)
	})
	if len(conflicts) > 0 {
		t.Errorf("notified again: %+v", <-conflicts)
	}
}

// TestReachableOnlyThroughRelays checks that a and b, which reach each other only through relays, declare each other
// dead during a partition, and are alive with the same incarnations after it.
func TestReachableOnlyThroughRelays(t *testing.T) {
	t.Parallel()
	p := &addressBook{addrs: map[view.Name]string{}}
	relays := map[view.Name]*relay{"a": newRelay(t), "b": newRelay(t)}
	start := func(name, other view.Name) *Members {
		return p.start(t, name, 1, func(o *Options) {
			o.Advertise = "127.0.0.1:9" // an address at which nothing listens
			o.Reach = func(n view.Name) (string, bool) { return relays[n].addr, n == other }
		})
	}
	a, b := start("a", "b"), start("b", "a")
	relays["a"].forwardTo(a.Addr())
	relays["b"].forwardTo(b.Addr())
	both := func(state view.State) func() bool {
		return func() bool { return hasState(a, "b", state, 1) && hasState(b, "a", state, 1) }
	}
	eventually(t, "both are alive", both(view.Alive))
	relays["a"].forwardTo("")
	relays["b"].forwardTo("")
	eventually(t, "both are dead during the partition", both(view.Dead))
	relays["a"].forwardTo(a.Addr())
	relays["b"].forwardTo(b.Addr())
	eventually(t, "both are alive with the same incarnations after the partition", both(view.Alive))
}

// TestSuspendedProcess checks that a process that neither sends nor receives for some time, as under SIGSTOP, is
// declared dead and is alive with the same incarnation afterwards.
func TestSuspendedProcess(t *testing.T) {
	t.Parallel()
	p := &addressBook{addrs: map[view.Name]string{}}
	a, b := p.start(t, "a", 1, nil), p.start(t, "b", 1, nil)
	relayToC := newRelay(t)
	p.set("c", relayToC.addr)
	var suspended sync.Mutex
	c := p.start(t, "c", 1, func(o *Options) {
		o.Reach = func(n view.Name) (string, bool) {
			suspended.Lock() // blocks while c is suspended, so that it sends nothing
			defer suspended.Unlock()
			return p.addressOf(n)
		}
	})
	relayToC.forwardTo(c.Addr())
	eventually(t, "a and c have met", func() bool { return hasState(a, "c", view.Alive, 1) && hasState(c, "b", view.Alive, 1) })
	suspended.Lock()
	relayToC.forwardTo("")
	eventually(t, "c is dead", func() bool { return hasState(a, "c", view.Dead, 1) && hasState(b, "c", view.Dead, 1) })
	relayToC.forwardTo(c.Addr())
	suspended.Unlock()
	eventually(t, "c is alive again with the same incarnation", func() bool {
		return hasState(a, "c", view.Alive, 1) && hasState(b, "c", view.Alive, 1)
	})
}

// TestNothingListensBeyondLoopback checks that without Options.Listen gossip is bound to loopback.
func TestNothingListensBeyondLoopback(t *testing.T) {
	p := &addressBook{addrs: map[view.Name]string{}}
	host, _, err := net.SplitHostPort(p.start(t, "a", 1, nil).Addr())
	if err != nil || !net.ParseIP(host).IsLoopback() {
		t.Errorf("bound to %q, want a loopback address: %v", host, err)
	}
}
