package spread

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/view"
)

// This file holds the simulation of a fleet in one goroutine: the states, their disks and senders, and a network that
// loses, delays and duplicates messages.

const (
	step        = 10 * time.Millisecond   // of simulated time
	callTimeout = 1500 * time.Millisecond // of a simulated call, as in configuration/run
)

// fatalReporter is the part of testing.TB and rapid.T that a simulation uses.
type fatalReporter interface{ Fatalf(string, ...any) }

// process is one simulated process. Its disk survives restarts.
type process struct {
	name            view.Name
	instance        view.Instance
	state           *State                 // nil while it is down
	disk            configuration.Document // the stored version
	inForce         uint64                 // the version that its sender runs
	highest         uint64                 // the highest version that its sender ever ran
	rejectedVersion uint64                 // a version that its check rejects; 0 for none
	group           int                    // processes of different groups can't reach each other
	treeVersion     int                    // version of the tree that it saw last
	leaderState     *State                 // its leader state when it last led since its start
}

// simulation is a fleet with its network, consensus group and tree.
type simulation struct {
	t              fatalReporter
	random         *rand.Rand
	now            view.Uptime
	processes      []*process
	order          []int                    // processes in the order of the tree: children of i are 3i+1 to 3i+3
	leader         int                      // index of the leader in processes
	leaderState    *State                   // nil while the leader is down
	leaderInstance view.Instance            // the incarnation that leaderState belongs to
	committed      []configuration.Document // committed documents by version, from 1
	events         []event                  // not run yet
	loss           float64                  // probability that a message is lost
	calls          int                      // number of calls
	measure        bool                     // count bytes
	bytes          map[view.Name]int        // bytes of messages and answers that a process has sent and received, without the overhead of the link
	maxChildren    int                      // children per process in the tree
	treeVersions   int                      // number of trees so far
}

// newSimulation returns a fleet of running processes, of which the first leads, without any version.
func newSimulation(t fatalReporter, seed uint64, size int) *simulation {
	w := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), bytes: map[view.Name]int{}, maxChildren: 3}
	for i := range size {
		p := &process{name: view.Name(fmt.Sprintf("p%03d", i))}
		w.processes = append(w.processes, p)
		w.order = append(w.order, i)
		w.start(p)
	}
	w.updateTree()
	return w
}

// start starts the next incarnation of a process with the version on its disk.
func (w *simulation) start(p *process) {
	p.instance = view.Instance{Name: p.name, Incarnation: p.instance.Incarnation + 1}
	p.inForce = p.disk.Version
	w.recordRun(p, p.inForce)
	p.state = New(p.instance, p.disk, p.inForce)
	if p.inForce == p.rejectedVersion && p.inForce > 0 {
		w.t.Fatalf("%s has stored version %d, which it rejects", p.name, p.inForce)
	}
}

// recordRun records that a sender runs a version, and checks that no process runs an older version after a newer one.
func (w *simulation) recordRun(p *process, version uint64) {
	if version < p.highest {
		w.t.Fatalf("%s runs version %d after %d", p.name, version, p.highest)
	}
	p.highest = version
}

// kill ends a process. Its disk stays.
func (w *simulation) kill(p *process) { p.state, p.leaderState = nil, nil }

// running returns the running processes in the order of the tree.
func (w *simulation) running() (all []*process) {
	for _, i := range w.order {
		if w.processes[i].state != nil {
			all = append(all, w.processes[i])
		}
	}
	return all
}

// updateTree makes a tree of the running processes. The leader's state gets it at once, and each process after a random
// delay.
func (w *simulation) updateTree() {
	all := w.running()
	w.treeVersions++
	treeVersion := w.treeVersions
	for i, p := range all {
		var parent Parent
		if i > 0 {
			parent.Instance = all[(i-1)/w.maxChildren].instance
		} else if l := w.processes[w.leader]; l.state != nil {
			parent = Parent{l.instance, true}
		}
		var children []view.Instance
		for j := w.maxChildren*i + 1; j <= w.maxChildren*i+w.maxChildren && j < len(all); j++ {
			children = append(children, all[j].instance)
		}
		instance, delay := p.instance, time.Duration(w.random.IntN(20))*step
		w.after(delay, func() {
			if p.state != nil && p.instance == instance && p.treeVersion < treeVersion {
				p.treeVersion = treeVersion
				p.state.SetTree(parent, children, w.now)
			}
		})
	}
	leader := w.processes[w.leader]
	if leader.state == nil {
		w.leaderState = nil
		return
	}
	if w.leaderState == nil || w.leaderInstance != leader.instance {
		w.leaderState, w.leaderInstance = NewLeaderState(leader.instance, leader.leaderState), leader.instance
		leader.leaderState = w.leaderState
	}
	if len(all) > 0 {
		w.leaderState.SetTree(Parent{}, []view.Instance{all[0].instance}, w.now)
	}
}

// stepProcess does what is due in a process, as configuration/run does.
func (w *simulation) stepProcess(p *process) {
	state := p.state
	w.sendUpdates(p, state)
	if report, due := state.DueReport(w.now); due {
		parent := state.Parent()
		w.call(p, parent.Name, report, func(at *process, done func(any)) {
			receiver := at.state
			if report.ToLeader {
				if w.leaderState == nil || at != w.processes[w.leader] {
					return
				}
				receiver = w.leaderState
			}
			done(receiver.HandleReport(report, w.now))
		}, func(answer any) {
			if a, ok := answer.(ReportAnswer); ok {
				state.ReportAnswered(parent, a, w.now)
				return
			}
			state.ReportFailed(parent, w.now)
		})
	}
	if name, found := state.ChildWithNewer(); found && w.random.IntN(10) == 0 {
		w.fetch(p, state, name)
	}
	if (state.ParentUnreachable() || state.NewFetch().NeedsFull) && w.random.IntN(20) == 0 {
		w.fetch(p, state, w.processes[w.random.IntN(len(w.processes))].name)
	}
	if d, due := state.NextToApply(w.now); due {
		w.apply(p, state, d)
	}
}

// apply does what package run and a sender do with a version: they check, store, apply and record it. A process may be
// killed between any two of these steps.
func (w *simulation) apply(p *process, state *State, d configuration.Document) {
	if d.Version == p.rejectedVersion {
		state.RecordApplied(d.Version, errors.New("field pace: unknown"), w.now)
		return
	}
	w.after(time.Duration(w.random.IntN(3))*step, func() {
		if p.state != state {
			return
		}
		p.disk = d
		w.after(time.Duration(w.random.IntN(3))*step, func() {
			if p.state != state {
				return
			}
			p.inForce = d.Version
			w.recordRun(p, d.Version)
			w.after(time.Duration(w.random.IntN(3))*step, func() {
				if p.state == state {
					state.RecordApplied(d.Version, nil, w.now)
				}
			})
		})
	})
}

// commit adds a new version to the committed ones.
func (w *simulation) commit() {
	version := uint64(len(w.committed) + 1)
	settings := fmt.Sprintf(`{"long":"%0400d","pace":%d,"odd":%d}`, 7, version, version%2)
	d, err := configuration.NewDocument(version, []byte(settings))
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	w.committed = append(w.committed, d)
}

// run lets simulated time pass.
func (w *simulation) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += step
		var due, later []event
		for _, e := range w.events {
			if e.at <= w.now {
				due = append(due, e)
			} else {
				later = append(later, e)
			}
		}
		w.events = later
		for _, e := range due {
			e.do()
		}
		if leader := w.processes[w.leader]; w.leaderState != nil && leader.state != nil {
			if n := len(w.committed); n > 0 {
				w.leaderState.SetCommitted(w.committed[n-1], w.now)
			}
			w.sendUpdates(leader, w.leaderState)
		}
		for _, p := range w.processes {
			if p.state != nil {
				w.stepProcess(p)
				w.check(p)
			}
		}
	}
}

// check checks that the newest version of a process is a committed one with the committed content.
func (w *simulation) check(p *process) {
	held := p.state.Newest()
	if v := held.Version; v > 0 && (v > uint64(len(w.committed)) || held.Sum != w.committed[v-1].Sum) {
		w.t.Fatalf("%s has a version %d that was not committed", p.name, v)
	}
}
