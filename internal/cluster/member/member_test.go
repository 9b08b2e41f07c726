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

// fastTiming is a fifth of the defaults, so that a test sees a death within its time.
var fastTiming = Timing{ProbeInterval: 150 * time.Millisecond, ProbeTimeout: 75 * time.Millisecond, GossipInterval: 40 * time.Millisecond,
	SnapshotInterval: 50 * time.Millisecond, RejoinInterval: 300 * time.Millisecond, StreamTimeout: 500 * time.Millisecond}

// addressBook holds where the processes of one test listen, as a settings file would.
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
		Self: view.Member{Life: view.Life{Name: name, Incarnation: incarnation}, Zone: "z1", Region: "r1", Size: view.Large}}
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

// eventually waits until f holds, with a bound far above what that takes.
func eventually(t *testing.T, what string, f func() bool, at ...*Members) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for _, m := range at {
				t.Logf("%+v", m.View())
			}
			t.Fatalf("never: %s", what)
		}
	}
}

func hasState(m *Members, name view.Name, state view.State, incarnation view.Incarnation) bool {
	s, found := m.View().Find(name)
	return found && s.State == state && s.Incarnation == incarnation
}

func TestOtherClusterIsRejected(t *testing.T) {
	t.Parallel()
	p := &addressBook{addrs: map[view.Name]string{}}
	a := p.start(t, "a", 1, nil)
	other := p.start(t, "b", 1, func(o *Options) { o.Cluster = "other fleet" })
	c := p.start(t, "c", 1, nil)
	eventually(t, "c is here", func() bool { return hasState(a, "c", view.Alive, 1) })
	time.Sleep(4 * fastTiming.RejoinInterval) // both have b for a seed and go on trying
	for _, m := range []*Members{a, c, other} {
		for _, s := range m.View().Members {
			if (s.Name == "b") != (m == other) {
				t.Errorf("%s accepted %s", m.Self().Name, s.Name)
			}
		}
	}
	if _, err := Start(Options{Self: a.Self()}); err == nil {
		t.Error("a cluster without a name was started")
	}
}

// TestNameConflict: the later incarnation owns the name everywhere, the earlier is notified and ends its membership, and
// they do not alternate. Others know only the addresses that both announce.
func TestNameConflict(t *testing.T) {
	t.Parallel()
	p := &addressBook{addrs: map[view.Name]string{}}
	reach := func(name view.Name) (string, bool) {
		if name == "x" {
			return "", false
		}
		return p.addressOf(name)
	}
	conflicts := make(chan view.Life, 9)
	conflicting := func(o *Options) {
		o.Reach = reach
		o.OnNameConflict = func(l view.Life) { conflicts <- l }
	}
	a := p.start(t, "a", 1, func(o *Options) { o.Reach = reach })
	b := p.start(t, "b", 1, func(o *Options) { o.Reach = reach })
	first := p.start(t, "x", 4, conflicting)
	eventually(t, "the first is here", func() bool { return hasState(a, "x", view.Alive, 4) && hasState(b, "x", view.Alive, 4) })
	first.mu.Lock()
	first.metAt -= settlingPeriod // it has been here for long
	first.mu.Unlock()
	second := p.start(t, "x", 5, conflicting)
	eventually(t, "the first is notified", func() bool { return len(conflicts) > 0 })
	if l := <-conflicts; l.Incarnation != 5 {
		t.Errorf("notified of %+v", l)
	}
	for range 50 {
		eventually(t, "the later has the name", func() bool {
			s, _ := b.View().Find("x")
			return hasState(a, "x", s.State, 5) && s.Incarnation == 5
		})
		time.Sleep(10 * time.Millisecond)
	}
	if err := first.Leave(time.Second); err != nil {
		t.Error(err)
	}
	eventually(t, "it is still here", func() bool {
		return hasState(a, "x", view.Alive, 5) && hasState(second, "a", view.Alive, 1)
	})
	if len(conflicts) > 0 {
		t.Errorf("notified again: %+v", <-conflicts)
	}
}

// TestReachableOnlyThroughRelays: a and b reach each other through relays alone; each takes the other for dead
// during a partition, and both return as the same incarnation after it.
func TestReachableOnlyThroughRelays(t *testing.T) {
	t.Parallel()
	p := &addressBook{addrs: map[view.Name]string{}}
	relays := map[view.Name]*relay{"a": newRelay(t), "b": newRelay(t)}
	start := func(name, other view.Name) *Members {
		return p.start(t, name, 1, func(o *Options) {
			o.Advertise = "127.0.0.1:9" // the announced address is useless here
			o.Reach = func(n view.Name) (string, bool) { return relays[n].addr, n == other }
		})
	}
	a, b := start("a", "b"), start("b", "a")
	relays["a"].forwardTo(a.Addr())
	relays["b"].forwardTo(b.Addr())
	both := func(state view.State) func() bool {
		return func() bool { return hasState(a, "b", state, 1) && hasState(b, "a", state, 1) }
	}
	eventually(t, "both are here", both(view.Alive))
	relays["a"].forwardTo("")
	relays["b"].forwardTo("")
	eventually(t, "both are cut off", both(view.Dead))
	relays["a"].forwardTo(a.Addr())
	relays["b"].forwardTo(b.Addr())
	eventually(t, "both are back, as the same incarnations", both(view.Alive))
}

// TestSuspendedProcess: a process that neither sends nor receives, as under SIGSTOP, returns as the same incarnation.
func TestSuspendedProcess(t *testing.T) {
	t.Parallel()
	p := &addressBook{addrs: map[view.Name]string{}}
	a, b := p.start(t, "a", 1, nil), p.start(t, "b", 1, nil)
	relayToC := newRelay(t)
	p.set("c", relayToC.addr)
	var suspended sync.Mutex
	c := p.start(t, "c", 1, func(o *Options) {
		o.Reach = func(n view.Name) (string, bool) {
			suspended.Lock() // while it is suspended it sends nothing
			defer suspended.Unlock()
			return p.addressOf(n)
		}
	})
	relayToC.forwardTo(c.Addr())
	eventually(t, "c is here", func() bool { return hasState(a, "c", view.Alive, 1) && hasState(c, "b", view.Alive, 1) })
	suspended.Lock()
	relayToC.forwardTo("")
	eventually(t, "c is dead", func() bool { return hasState(a, "c", view.Dead, 1) && hasState(b, "c", view.Dead, 1) })
	relayToC.forwardTo(c.Addr())
	suspended.Unlock()
	eventually(t, "c is back, as the same incarnation", func() bool {
		return hasState(a, "c", view.Alive, 1) && hasState(b, "c", view.Alive, 1)
	})
}

func TestNothingListensBeyondLoopback(t *testing.T) {
	p := &addressBook{addrs: map[view.Name]string{}}
	host, _, err := net.SplitHostPort(p.start(t, "a", 1, nil).Addr())
	if err != nil || !net.ParseIP(host).IsLoopback() {
		t.Errorf("bound to %q: %v", host, err)
	}
}
