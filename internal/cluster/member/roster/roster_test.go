package roster

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxcove/internal/cluster/view"
)

func observed(name view.Name, incarnation view.Incarnation, state view.State) Observation {
	return Observation{Member: view.Member{Instance: view.Instance{Name: name, Incarnation: incarnation}, State: state}, GossipAddr: "a"}
}

// TestInvariantsUnderAnyTrace applies random observations to a roster and checks the invariants of its view after each.
func TestInvariantsUnderAnyTrace(t *testing.T) {
	bounds := Bounds{RetainGone: time.Minute, MaxGone: 3, MaxPresent: 6}
	rapid.Check(t, func(t *rapid.T) {
		var now view.Uptime
		r := New(observed("self", 1, view.Alive), bounds, now)
		lastMembers := map[view.Name]view.Member{} // of the last view
		lastVersion := r.View().Version
		drawObservation := func(t *rapid.T) Observation {
			return observed(view.Name(fmt.Sprintf("p%d", rapid.IntRange(0, 8).Draw(t, "name"))),
				view.Incarnation(rapid.IntRange(1, 4).Draw(t, "incarnation")),
				view.State(rapid.IntRange(0, 3).Draw(t, "state")))
		}
		marking := func(f func(*Roster, Observation, view.Uptime) bool, state view.State) func(*rapid.T) {
			return func(t *rapid.T) {
				s := drawObservation(t)
				previous, known := lastMembers[s.Member.Name]
				f(r, s, now)
				m, byName := r.View().Find(s.Member.Name)
				if known && previous.Incarnation > s.Member.Incarnation {
					if m != previous {
						t.Fatalf("an earlier incarnation changed %+v to %+v", previous, m)
					}
				} else if byName && (m.State != state || m.Incarnation != s.Member.Incarnation) {
					t.Fatalf("observed %+v in state %d, the view has %+v", s.Member, state, m)
				} else if known && !byName && (view.Member{State: state}).Present() {
					t.Fatalf("present member %s is missing from the view", s.Member.Name)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"alive":   marking((*Roster).MarkAlive, view.Alive),
			"suspect": marking((*Roster).MarkSuspected, view.Suspected),
			"leave":   marking((*Roster).MarkLeft, view.Left),
			"fail":    marking((*Roster).MarkDead, view.Dead),
			"snapshot": func(t *rapid.T) {
				r.ApplySnapshot(rapid.SliceOfNDistinct(rapid.Custom(drawObservation), 0, 6,
					func(s Observation) view.Name { return s.Member.Name }).Draw(t, "seen"), now)
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second
				r.Expire(now)
			},
			"": func(t *rapid.T) {
				v := r.View()
				present, gone := 0, 0
				byName := map[view.Name]view.Member{}
				for i, m := range v.Members {
					byName[m.Name] = m
					if i > 0 && v.Members[i-1].Name >= m.Name {
						t.Fatalf("not sorted by name: %v", v.Members)
					}
					if since, _ := r.StateSince(m.Name); !m.Present() {
						gone++
						if now-since > bounds.RetainGone {
							t.Fatalf("%s is gone and has been retained for %v, limit is %v", m.Name, now-since, bounds.RetainGone)
						}
					} else {
						present++
					}
					if previous, known := lastMembers[m.Name]; known && previous.Incarnation > m.Incarnation {
						t.Fatalf("%s went back from incarnation %d to %d", m.Name, previous.Incarnation, m.Incarnation)
					}
				}
				// A retained member that is gone may return although MaxPresent members are present.
				if gone > bounds.MaxGone || present > bounds.MaxPresent+bounds.MaxGone {
					t.Fatalf("%d members are present and %d gone, bounds are %+v", present, gone, bounds)
				}
				if self, byName := v.Find("self"); !byName || self.State != view.Alive {
					t.Fatalf("the view has the process itself as %+v", self)
				}
				for name, previous := range lastMembers {
					if _, still := byName[name]; !still && previous.Present() && v.Version == lastVersion {
						t.Fatalf("%s was removed without a new version", name)
					}
				}
				if v.Version < lastVersion || fmt.Sprint(byName) != fmt.Sprint(lastMembers) && len(lastMembers) > 0 && v.Version == lastVersion {
					t.Fatalf("version %d after %d: it decreased, or the members changed without a new version", v.Version, lastVersion)
				}
				lastMembers, lastVersion = byName, v.Version
			},
		})
	})
}

// TestSuspendedAndRestartedMember takes one member through suspicion, death, return with the same incarnation, removal
// from the snapshot, restart with a later incarnation, leave and expiry.
func TestSuspendedAndRestartedMember(t *testing.T) {
	r := New(observed("self", 1, view.Alive), Bounds{}, 0)
	wantState := func(want view.State, incarnation view.Incarnation) {
		t.Helper()
		if m, is := r.View().Find("a"); !is || m.State != want || m.Incarnation != incarnation {
			t.Errorf("the view has %+v, want state %d of incarnation %d", m, want, incarnation)
		}
	}
	r.MarkAlive(observed("a", 2, 0), 1*time.Second)
	r.MarkSuspected(observed("a", 2, 0), 2*time.Second)
	r.MarkDead(observed("a", 2, 0), 4*time.Second)
	wantState(view.Dead, 2)
	r.MarkAlive(observed("a", 2, 0), 30*time.Second) // resumed with the same incarnation
	wantState(view.Alive, 2)
	r.ApplySnapshot(nil, 31*time.Second) // missing from the snapshot
	wantState(view.Dead, 2)
	if r.MarkAlive(observed("a", 1, 0), 32*time.Second) {
		t.Error("an earlier incarnation was accepted")
	}
	restarted := observed("a", 3, 0)
	restarted.Member.StartedEmpty, restarted.Member.FolderID = true, "other"
	r.MarkAlive(restarted, 33*time.Second)
	wantState(view.Alive, 3)
	r.MarkLeft(restarted, 34*time.Second)
	wantState(view.Left, 3)
	r.Expire(34*time.Second + DefaultRetainGone)
	wantState(view.Left, 3)
	if !r.Expire(35*time.Second+DefaultRetainGone) || r.GossipAddr("a") != "" {
		t.Error("the member is retained for longer than DefaultRetainGone")
	}
}

// TestSupersedesIsAntisymmetric checks that of two observations of one incarnation exactly one supersedes the other.
func TestSupersedesIsAntisymmetric(t *testing.T) {
	a, b := observed("a", 2, view.Alive), observed("a", 2, view.Alive)
	a.GossipAddr = "b"
	if Supersedes(a, b) == Supersedes(b, a) || !Supersedes(a, b) || Supersedes(a, a) {
		t.Error("of two addresses of one incarnation not exactly the greater one supersedes the other")
	}
}
