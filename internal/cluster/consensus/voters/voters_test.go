package voters

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxcove/internal/cluster/view"
)

var rule = Rule{MaxVoters: 5, DeadAfter: time.Minute, UnreachableAfter: time.Second}

// simulation is a fleet whose processes die, return and lose their disks, and a group that makes the changes of Next.
type simulation struct {
	members   map[view.Name]*view.Member
	silentFor map[ID]time.Duration // Server.SilentFor of the servers that are down
	servers   []Server             // the configuration
	leader    ID
}

// newSimulation draws a fleet of up to 12 processes in up to 6 zones, with 1, 3 or 5 voters.
func newSimulation(t *rapid.T) *simulation {
	w := &simulation{members: map[view.Name]*view.Member{}, silentFor: map[ID]time.Duration{}}
	zones := rapid.IntRange(1, 6).Draw(t, "zones")
	for i := range rapid.IntRange(1, 12).Draw(t, "processes") {
		zone := rapid.IntRange(0, zones-1).Draw(t, "zone")
		name := view.Name(fmt.Sprintf("p%02d", i))
		w.members[name] = &view.Member{Instance: view.Instance{Name: name}, FolderID: "1", ConsensusAddr: "here",
			Zone: view.Zone(fmt.Sprint("z", zone)), Region: view.Region(fmt.Sprint("r", zone/2)),
			Size: rapid.SampledFrom([]view.Size{view.Large, view.Small}).Draw(t, "size")}
	}
	for _, name := range w.names()[:min(len(w.members), rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "founders"))] {
		w.servers = append(w.servers, Server{ID: ID{name, "1"}, Voter: true, CaughtUp: true})
	}
	w.leader = w.servers[0].ID
	return w
}

// names returns the sorted names of all processes.
func (w *simulation) names() (names []view.Name) {
	for name := range w.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// view returns the membership view of the leader.
func (w *simulation) view() *view.View {
	var all []view.Member
	for _, m := range w.members {
		all = append(all, *m)
	}
	return view.New(w.leader.Name, 1, all)
}

// up reports whether a server runs: its process is alive and has the server's folder.
func (w *simulation) up(id ID) bool {
	m := w.members[id.Name]
	return m.State == view.Alive && m.FolderID == id.Folder
}

// counts returns how many voters are up and how many there are.
func (w *simulation) counts() (up, of int) {
	for _, s := range w.servers {
		if s.Voter {
			of++
			if w.up(s.ID) {
				up++
			}
		}
	}
	return up, of
}

// elect makes a voter that is up the leader, if the leader is down, and reports whether a majority of the voters is up.
func (w *simulation) elect() bool {
	for _, s := range w.servers {
		if s.Voter && w.up(s.ID) && !w.up(w.leader) {
			w.leader = s.ID
		}
	}
	for i := range w.servers {
		w.servers[i].SilentFor = 0
		if !w.up(w.servers[i].ID) {
			w.servers[i].SilentFor = w.silentFor[w.servers[i].ID]
		}
	}
	up, of := w.counts()
	return up > of/2
}

// step makes the change that Next returns, checks everything that the package guarantees for a change, and reports
// whether there was one.
func (w *simulation) step(t *rapid.T) bool {
	hasMajority := w.elect()
	if !w.up(w.leader) {
		return false
	}
	at := func(id ID) int { return slices.IndexFunc(w.servers, func(s Server) bool { return s.ID == id }) }
	change, due := Next(State{Leader: w.leader, Servers: slices.Clone(w.servers), View: w.view()}, rule)
	switch {
	case !due:
		return false
	case !hasMajority:
		t.Fatalf("change %v without a majority: %v", change, w.servers)
	}
	i := at(change.ID)
	switch {
	case change.Kind == Stage:
		if i >= 0 || !w.up(change.ID) {
			t.Fatalf("%v is staged: up %v, at %d", change.ID, w.up(change.ID), i)
		}
		w.servers = append(w.servers, Server{ID: change.ID})
	case change.Kind == Promote:
		if i < 0 || w.servers[i].Voter || !w.servers[i].CaughtUp || !w.up(change.ID) {
			t.Fatalf("%v becomes a voter, but is not staged, caught up and up", change.ID)
		}
		w.servers[i].Voter = true
	case i < 0 || change.ID == w.leader:
		t.Fatalf("%v is removed, but is the leader or not in the configuration", change.ID)
	default:
		up, of := w.counts()
		if w.servers[i].Voter && w.up(change.ID) && up < of {
			t.Fatalf("%v is up and removed while another voter is down", change.ID)
		}
		w.servers = slices.Delete(w.servers, i, i+1)
	}
	if up, of := w.counts(); up <= of/2 || of > rule.MaxVoters {
		t.Fatalf("%d of %d voters are up after %v", up, of, change)
	}
	return true
}

// settle lets all staged servers catch up until no change is due. It fails if there is no end of changes.
func (w *simulation) settle(t *rapid.T) {
	for n := 0; ; n++ {
		if n > 100 {
			t.Fatalf("no end of changes: %v", w.servers)
		}
		for i := range w.servers {
			w.servers[i].CaughtUp = true
		}
		if !w.step(t) {
			return
		}
	}
}

// TestVoters draws sequences of faults and checks what the package guarantees after each change.
func TestVoters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		pick := func(t *rapid.T) *view.Member { return w.members[rapid.SampledFrom(w.names()).Draw(t, "who")] }
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) { w.step(t) },
			"catch up": func(t *rapid.T) {
				for i := range w.servers {
					w.servers[i].CaughtUp = true
				}
			},
			"die": func(t *rapid.T) {
				m := pick(t)
				m.State = rapid.SampledFrom([]view.State{view.Dead, view.Left}).Draw(t, "how")
				w.silentFor[ID{m.Name, m.FolderID}] = 2 * rule.UnreachableAfter
				for id, silence := range w.silentFor { // the earlier servers of the same process as well
					if id.Name == m.Name {
						w.silentFor[id] = max(silence, 2*rule.UnreachableAfter)
					}
				}
			},
			"for good": func(t *rapid.T) {
				for id := range w.silentFor {
					if !w.up(id) {
						w.silentFor[id] = rule.DeadAfter
					}
				}
			},
			"return": func(t *rapid.T) { pick(t).State = view.Alive },
			"lose its disk": func(t *rapid.T) {
				m := pick(t)
				w.silentFor[ID{m.Name, m.FolderID}] = 0 // the leader has not noticed yet that the old server is gone
				m.FolderID += "1"
				m.State = view.Alive
			},
			"settle": func(t *rapid.T) { w.settle(t) },
			"": func(t *rapid.T) {
				if _, of := w.counts(); of > rule.MaxVoters {
					t.Fatal(of)
				}
			},
		})
		// After all processes have returned, the group must reach the target number of voters, all of them up.
		for _, m := range w.members {
			m.State = view.Alive
		}
		if !w.elect() {
			return // too many disks were lost; the group needs an operator
		}
		w.settle(t)
		up, of := w.counts()
		want := min(len(w.members), rule.MaxVoters)
		if up != of || of != want && (want%2 != 0 || of != want-1) {
			t.Fatalf("%d of %d voters are up, of %d processes: %v", up, of, len(w.members), w.servers)
		}
	})
}

// TestVotesSpreadOverZones checks the placement of five voters among twelve processes in six zones of three regions:
// the regions get two, two and one voters, and each voter is in another zone.
func TestVotesSpreadOverZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.members = map[view.Name]*view.Member{}
		order := rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}).Draw(t, "order")
		for i, n := range order {
			name := view.Name(fmt.Sprintf("p%02d", i))
			w.members[name] = &view.Member{Instance: view.Instance{Name: name}, FolderID: "1", ConsensusAddr: "here", Size: view.Large,
				Zone: view.Zone(fmt.Sprint("z", n/2)), Region: view.Region(fmt.Sprint("r", n/4))}
		}
		w.settle(t)
		regions, zones := map[view.Region]int{}, map[view.Zone]int{}
		for _, s := range w.servers {
			regions[w.members[s.Name].Region]++
			zones[w.members[s.Name].Zone]++
		}
		if len(w.servers) != 5 || len(regions) != 3 || len(zones) != 5 || regions["r0"] > 2 || regions["r1"] > 2 ||
			regions["r2"] > 2 {
			t.Fatalf("%v: %v, %v", w.servers, regions, zones)
		}
	})
}

// TestDeadVoterWithoutReplacementStays checks that a dead voter without a replacement is removed only if the group then
// tolerates more failures. Of five voters that is so if two are dead, but not if one is.
func TestDeadVoterWithoutReplacementStays(t *testing.T) {
	for dead, want := range []bool{false, false, true} {
		s := State{Leader: ID{"a", "1"}}
		var members []view.Member
		for i, name := range []view.Name{"a", "b", "c", "d", "e"} {
			m := view.Member{Instance: view.Instance{Name: name}, FolderID: "1", ConsensusAddr: "here", Zone: view.Zone(name)}
			server := Server{ID: ID{name, "1"}, Voter: true, CaughtUp: true}
			if i >= 5-dead {
				m.State, server.SilentFor = view.Dead, rule.DeadAfter
			}
			s.Servers, members = append(s.Servers, server), append(members, m)
		}
		s.View = view.New("a", 1, members)
		if change, due := Next(s, rule); due != want {
			t.Errorf("%d dead voters: change %v", dead, change)
		}
	}
}
