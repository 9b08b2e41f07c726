package roster

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxcove/internal/cluster/view"
)

func seen(name view.Name, incarnation view.Incarnation, state view.State) Seen {
	return Seen{Member: view.Member{Life: view.Life{Name: name, Incarnation: incarnation}, State: state}, Gossip: "a"}
}

// TestAnyTrace drives a roster by all that can happen and checks after each step what must hold of every view.
func TestAnyTrace(t *testing.T) {
	bounds := Bounds{Keep: time.Minute, Gone: 3, Here: 6}
	rapid.Check(t, func(t *rapid.T) {
		var now view.Now
		r := New(seen("self", 1, view.Alive), bounds, now)
		last := map[view.Name]view.Member{} // what the last view showed
		lastNo := r.View().No
		draw := func(t *rapid.T) Seen {
			return seen(view.Name(fmt.Sprintf("p%d", rapid.IntRange(0, 8).Draw(t, "name"))),
				view.Incarnation(rapid.IntRange(1, 4).Draw(t, "incarnation")),
				view.State(rapid.IntRange(0, 3).Draw(t, "state")))
		}
		one := func(f func(*Roster, Seen, view.Now) bool, state view.State) func(*rapid.T) {
			return func(t *rapid.T) {
				s := draw(t)
				was, known := last[s.Member.Name]
				f(r, s, now)
				m, is := r.View().Find(s.Member.Name)
				if known && was.Incarnation > s.Member.Incarnation {
					if m != was {
						t.Fatalf("an earlier life turned %+v into %+v", was, m)
					}
				} else if is && (m.State != state || m.Incarnation != s.Member.Incarnation) {
					t.Fatalf("told %+v as %d, shown %+v", s.Member, state, m)
				} else if known && !is && (view.Member{State: state}).Here() {
					t.Fatalf("%s was forgotten", s.Member.Name)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"heard":   one((*Roster).Heard, view.Alive),
			"suspect": one((*Roster).Suspect, view.Suspected),
			"leave":   one((*Roster).Leave, view.Left),
			"fail":    one((*Roster).Fail, view.Dead),
			"look": func(t *rapid.T) {
				r.Look(rapid.SliceOfNDistinct(rapid.Custom(draw), 0, 6,
					func(s Seen) view.Name { return s.Member.Name }).Draw(t, "seen"), now)
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second
				r.Age(now)
			},
			"": func(t *rapid.T) {
				v := r.View()
				here, gone := 0, 0
				is := map[view.Name]view.Member{}
				for i, m := range v.Members {
					is[m.Name] = m
					if i > 0 && v.Members[i-1].Name >= m.Name {
						t.Fatalf("not by name: %v", v.Members)
					}
					if since, _ := r.Since(m.Name); !m.Here() {
						gone++
						if now-since > bounds.Keep {
							t.Fatalf("%s is kept for %v", m.Name, now-since)
						}
					} else {
						here++
					}
					if was, known := last[m.Name]; known && was.Incarnation > m.Incarnation {
						t.Fatalf("%s went back from life %d to %d", m.Name, was.Incarnation, m.Incarnation)
					}
				}
				// Those remembered as gone may come back, so both bounds together are what holds.
				if gone > bounds.Gone || here > bounds.Here+bounds.Gone {
					t.Fatalf("%d here, %d gone", here, gone)
				}
				if self, is := v.Find("self"); !is || self.State != view.Alive {
					t.Fatalf("self is shown as %+v", self)
				}
				for name, was := range last {
					if _, still := is[name]; !still && was.Here() && v.No == lastNo {
						t.Fatalf("%s went without a change", name)
					}
				}
				if v.No < lastNo || fmt.Sprint(is) != fmt.Sprint(last) && len(last) > 0 && v.No == lastNo {
					t.Fatalf("No %d after %d", v.No, lastNo)
				}
				last, lastNo = is, v.No
			},
		})
	})
}

func TestOneThatStoodStillAndOneThatLostItsFolder(t *testing.T) {
	r := New(seen("self", 1, view.Alive), Bounds{}, 0)
	state := func(want view.State, incarnation view.Incarnation) {
		t.Helper()
		if m, is := r.View().Find("a"); !is || m.State != want || m.Incarnation != incarnation {
			t.Errorf("shown as %+v, want state %d of life %d", m, want, incarnation)
		}
	}
	r.Heard(seen("a", 2, 0), 1*time.Second)
	r.Suspect(seen("a", 2, 0), 2*time.Second)
	r.Fail(seen("a", 2, 0), 4*time.Second)
	state(view.Dead, 2)
	r.Heard(seen("a", 2, 0), 30*time.Second) // woke, the same life
	state(view.Alive, 2)
	r.Look(nil, 31*time.Second) // the watch no longer shows it
	state(view.Dead, 2)
	if r.Heard(seen("a", 1, 0), 32*time.Second) {
		t.Error("an earlier life was taken")
	}
	lost := seen("a", 3, 0)
	lost.Member.Empty, lost.Member.Folder = true, "other"
	r.Heard(lost, 33*time.Second)
	state(view.Alive, 3)
	r.Leave(lost, 34*time.Second)
	state(view.Left, 3)
	r.Age(34*time.Second + KeepGone)
	state(view.Left, 3)
	if !r.Age(35*time.Second+KeepGone) || r.Gossip("a") != "" {
		t.Error("it is kept longer than told")
	}
}

func TestTwoThatClaimOneLife(t *testing.T) {
	a, b := seen("a", 2, view.Alive), seen("a", 2, view.Alive)
	a.Gossip = "b"
	if Later(a, b) == Later(b, a) || !Later(a, b) || Later(a, a) {
		t.Error("not decided alike from both sides")
	}
}
