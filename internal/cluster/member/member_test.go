package member

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"flaxcove/internal/cluster/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// quick is a fifth of the defaults, so that a test sees a death within its time.
var quick = Timing{Probe: 150 * time.Millisecond, Answer: 75 * time.Millisecond, Gossip: 40 * time.Millisecond,
	Look: 50 * time.Millisecond, Rejoin: 300 * time.Millisecond, Stream: 500 * time.Millisecond}

// place is where the processes of one test are bound, as a settings file would tell it.
type place struct {
	mu sync.Mutex
	at map[view.Name]string
}

func (p *place) reach(name view.Name) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, known := p.at[name]
	return addr, known
}

func (p *place) put(name view.Name, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at[name] = addr
}

func (p *place) start(t *testing.T, name view.Name, incarnation view.Incarnation, change func(*Options)) *Members {
	t.Helper()
	opts := Options{Fleet: "fleet", Reach: p.reach, Seeds: []view.Name{"a", "b"}, Timing: quick,
		Self: view.Member{Life: view.Life{Name: name, Incarnation: incarnation}, Zone: "z1", Region: "r1", Size: view.Large}}
	if change != nil {
		change(&opts)
	}
	m, err := Start(opts)
	if err != nil {
		t.Fatal(err)
	}
	if _, known := p.reach(name); !known {
		p.put(name, m.Addr())
	}
	t.Cleanup(func() {
		if err := m.Close(); err != nil {
			t.Error(name, err)
		}
	})
	return m
}

// eventually waits for what is to come about, with a bound far above what it takes.
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

func shows(m *Members, name view.Name, state view.State, incarnation view.Incarnation) bool {
	s, found := m.View().Find(name)
	return found && s.State == state && s.Incarnation == incarnation
}

func TestFleet(t *testing.T) {
	t.Parallel()
	p := &place{at: map[view.Name]string{}}
	all := map[view.Name]*Members{}
	var suspected sync.Map
	for _, name := range []view.Name{"a", "b", "c", "d", "e"} {
		all[name] = p.start(t, name, 1, func(o *Options) {
			o.Changed = func(v *view.View) {
				for _, s := range v.Members {
					if s.State == view.Suspected {
						suspected.Store(s.Name, true)
					}
				}
			}
		})
	}
	everywhere := func(what string, but view.Name, name view.Name, state view.State, incarnation view.Incarnation) {
		t.Helper()
		for at, m := range all {
			if at != but {
				eventually(t, fmt.Sprint(what, " at ", at), func() bool { return shows(m, name, state, incarnation) }, m)
			}
		}
	}
	for name := range all {
		everywhere("joined", "", name, view.Alive, 1)
	}

	if err := all["c"].Update(func(s *view.Member) { s.Size, s.Voted, s.Name = view.Small, true, "other" }); err != nil {
		t.Fatal(err)
	}
	eventually(t, "what c tells anew", func() bool {
		s, _ := all["e"].View().Find("c")
		return s.Size == view.Small && s.Voted
	})
	long := make([]byte, 600)
	err := all["c"].Update(func(s *view.Member) { s.Zone = view.Zone(long) })
	if err == nil || all["c"].Self().Zone != "z1" {
		t.Error("a card too long to be carried was taken: ", err)
	}

	if err := all["d"].Leave(5 * time.Second); err != nil {
		t.Error(err)
	}
	everywhere("left", "", "d", view.Left, 1)
	if err := all["d"].Close(); err != nil {
		t.Error(err)
	}
	delete(all, "d")

	if err := all["e"].Close(); err != nil { // without a word
		t.Error(err)
	}
	everywhere("died", "e", "e", view.Dead, 1)
	if _, was := suspected.Load(view.Name("e")); !was {
		t.Error("e was dead before it was suspected")
	}

	// It comes back on another port, its folder lost and its count begun anew: above what the fleet remembers.
	raised := make(chan view.Incarnation, 9)
	p.mu.Lock()
	delete(p.at, "e")
	p.mu.Unlock()
	all["e"] = p.start(t, "e", 1, func(o *Options) {
		o.Self.Empty, o.Self.Folder = true, "anew"
		o.Raised = func(i view.Incarnation) { raised <- i }
	})
	everywhere("back with an empty folder", "", "e", view.Alive, 2)
	if s, _ := all["a"].View().Find("e"); !s.Empty || s.Folder != "anew" || <-raised != 2 {
		t.Errorf("came back as %+v", s)
	}

	// One is killed and is back before anybody missed it, on the same port.
	if err := all["c"].Close(); err != nil {
		t.Error(err)
	}
	all["c"] = p.start(t, "c", 7, func(o *Options) { o.Listen = all["c"].Addr() })
	everywhere("back at once", "", "c", view.Alive, 7)

	// One comes back from an old copy of its folder.
	if err := all["c"].Close(); err != nil {
		t.Error(err)
	}
	everywhere("died", "c", "c", view.Dead, 7)
	all["c"] = p.start(t, "c", 3, func(o *Options) { o.Listen, o.Seeds = all["c"].Addr(), []view.Name{"e"} })
	everywhere("back from an old folder", "", "c", view.Alive, 8)
}

func TestAnotherFleetIsRefused(t *testing.T) {
	t.Parallel()
	p := &place{at: map[view.Name]string{}}
	a := p.start(t, "a", 1, nil)
	other := p.start(t, "b", 1, func(o *Options) { o.Fleet = "other fleet" })
	c := p.start(t, "c", 1, nil)
	eventually(t, "c is here", func() bool { return shows(a, "c", view.Alive, 1) })
	time.Sleep(4 * quick.Rejoin) // both have b for a seed and go on trying
	for _, m := range []*Members{a, c, other} {
		for _, s := range m.View().Members {
			if (s.Name == "b") != (m == other) {
				t.Errorf("%s took %s in", m.Self().Name, s.Name)
			}
		}
	}
	if _, err := Start(Options{Self: a.Self()}); err == nil {
		t.Error("a fleet without a name was begun")
	}
}

// TestOneNameTwice: the later life has the name everywhere, the earlier is told and falls silent, and they do not take
// turns. Nobody has an address of it but what it tells itself.
func TestOneNameTwice(t *testing.T) {
	t.Parallel()
	p := &place{at: map[view.Name]string{}}
	reach := func(name view.Name) (string, bool) {
		if name == "x" {
			return "", false
		}
		return p.reach(name)
	}
	told := make(chan view.Life, 9)
	twice := func(o *Options) {
		o.Reach = reach
		o.Conflict = func(l view.Life) { told <- l }
	}
	a := p.start(t, "a", 1, func(o *Options) { o.Reach = reach })
	b := p.start(t, "b", 1, func(o *Options) { o.Reach = reach })
	first := p.start(t, "x", 4, twice)
	eventually(t, "the first is here", func() bool { return shows(a, "x", view.Alive, 4) && shows(b, "x", view.Alive, 4) })
	first.mu.Lock()
	first.met -= settling // it has been here for long
	first.mu.Unlock()
	second := p.start(t, "x", 5, twice)
	eventually(t, "the first is told", func() bool { return len(told) > 0 })
	if l := <-told; l.Incarnation != 5 {
		t.Errorf("told of %+v", l)
	}
	for range 50 {
		eventually(t, "the later has the name", func() bool {
			s, _ := b.View().Find("x")
			return shows(a, "x", s.State, 5) && s.Incarnation == 5
		})
		time.Sleep(10 * time.Millisecond)
	}
	if err := first.Leave(time.Second); err != nil {
		t.Error(err)
	}
	eventually(t, "it is still here", func() bool {
		return shows(a, "x", view.Alive, 5) && shows(second, "a", view.Alive, 1)
	})
	if len(told) > 0 {
		t.Errorf("told again: %+v", <-told)
	}
}

// TestThroughARelay: a and b reach each other through relays alone; a cut is death to both, its end brings both back.
func TestThroughARelay(t *testing.T) {
	t.Parallel()
	p := &place{at: map[view.Name]string{}}
	ways := map[view.Name]*relay{"a": newRelay(t), "b": newRelay(t)}
	start := func(name, other view.Name) *Members {
		return p.start(t, name, 1, func(o *Options) {
			o.Advertise = "127.0.0.1:9" // what a process tells is of no use to others here
			o.Reach = func(n view.Name) (string, bool) { return ways[n].addr, n == other }
		})
	}
	a, b := start("a", "b"), start("b", "a")
	ways["a"].lead(a.Addr())
	ways["b"].lead(b.Addr())
	both := func(state view.State) func() bool {
		return func() bool { return shows(a, "b", state, 1) && shows(b, "a", state, 1) }
	}
	eventually(t, "both are here", both(view.Alive))
	ways["a"].lead("")
	ways["b"].lead("")
	eventually(t, "both are cut off", both(view.Dead))
	ways["a"].lead(a.Addr())
	ways["b"].lead(b.Addr())
	eventually(t, "both are back, the same lives", both(view.Alive))
}

// TestStoodStill: the far end neither hears nor says anything, as under SIGSTOP, while it takes itself for well.
func TestStoodStill(t *testing.T) {
	t.Parallel()
	p := &place{at: map[view.Name]string{}}
	a, b := p.start(t, "a", 1, nil), p.start(t, "b", 1, nil)
	way := newRelay(t)
	p.put("c", way.addr)
	var still sync.Mutex
	c := p.start(t, "c", 1, func(o *Options) {
		o.Reach = func(n view.Name) (string, bool) {
			still.Lock() // as long as it stands still nothing of it is sent
			defer still.Unlock()
			return p.reach(n)
		}
	})
	way.lead(c.Addr())
	eventually(t, "c is here", func() bool { return shows(a, "c", view.Alive, 1) && shows(c, "b", view.Alive, 1) })
	still.Lock()
	way.lead("")
	eventually(t, "c is dead", func() bool { return shows(a, "c", view.Dead, 1) && shows(b, "c", view.Dead, 1) })
	way.lead(c.Addr())
	still.Unlock()
	eventually(t, "c is back, the same life", func() bool {
		return shows(a, "c", view.Alive, 1) && shows(b, "c", view.Alive, 1)
	})
}

func TestNothingListensBeyondLoopback(t *testing.T) {
	p := &place{at: map[view.Name]string{}}
	host, _, err := net.SplitHostPort(p.start(t, "a", 1, nil).Addr())
	if err != nil || !net.ParseIP(host).IsLoopback() {
		t.Errorf("bound to %q: %v", host, err)
	}
}
