package spread

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/view"
)

// This file simulates a fleet in one goroutine: states, their disks and senders, and a network that loses, delays and
// duplicates messages.

const (
	step        = 10 * time.Millisecond
	callTimeout = 1500 * time.Millisecond
)

type fatalReporter interface{ Fatalf(string, ...any) }

// process is one process; its disk survives restarts.
type process struct {
	name            view.Name
	life            view.Life
	state           *State // nil while it is down
	disk            configuration.Document
	inForce         uint64 // at its sender, since its start
	highest         uint64 // that its sender ever ran
	rejectedVersion uint64 // a version that its program rejects
	group           int    // processes of different groups can't reach each other
	treeVersion     int    // of the tree that it saw last
	leaderState     *State // the one that it had when it led last, since its start
}

type simulation struct {
	t            fatalReporter
	random       *rand.Rand
	now          view.Uptime
	processes    []*process
	order        []int // processes in the order of the tree: children of i are 3i+1 to 3i+3
	leader       int
	leaderState  *State
	leaderLife   view.Life
	decided      []configuration.Document // by version, from 1
	events       []event
	loss         float64 // of messages
	calls        int
	measure      bool
	bytes        map[view.Name]int // of messages and answers, in and out, without the link's own
	fan          int
	treeVersions int
}

func newSimulation(t fatalReporter, seed uint64, size int) *simulation {
	w := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), bytes: map[view.Name]int{}, fan: 3}
	for i := range size {
		p := &process{name: view.Name(fmt.Sprintf("p%03d", i))}
		w.processes = append(w.processes, p)
		w.order = append(w.order, i)
		w.start(p)
	}
	w.updateTree()
	return w
}

func (w *simulation) start(p *process) {
	p.life = view.Life{Name: p.name, Incarnation: p.life.Incarnation + 1}
	p.inForce = p.disk.Version
	w.recordRun(p, p.inForce)
	p.state = New(p.life, p.disk, p.inForce)
	if p.inForce == p.rejectedVersion && p.inForce > 0 {
		w.t.Fatalf("%s keeps what it refuses", p.name)
	}
}

// recordRun checks the first guarantee: no process runs an older version after a newer one.
func (w *simulation) recordRun(p *process, version uint64) {
	if version < p.highest {
		w.t.Fatalf("%s runs version %d after %d", p.name, version, p.highest)
	}
	p.highest = version
}

func (w *simulation) kill(p *process) { p.state, p.leaderState = nil, nil }

// running are the processes that run, in the order of the tree.
func (w *simulation) running() (all []*process) {
	for _, i := range w.order {
		if w.processes[i].state != nil {
			all = append(all, w.processes[i])
		}
	}
	return all
}

// updateTree has all running processes see the current tree, each after a random delay.
func (w *simulation) updateTree() {
	all := w.running()
	w.treeVersions++
	turn := w.treeVersions
	for i, p := range all {
		var above Parent
		if i > 0 {
			above.Life = all[(i-1)/w.fan].life
		} else if l := w.processes[w.leader]; l.state != nil {
			above = Parent{l.life, true}
		}
		var below []view.Life
		for j := w.fan*i + 1; j <= w.fan*i+w.fan && j < len(all); j++ {
			below = append(below, all[j].life)
		}
		life, late := p.life, time.Duration(w.random.IntN(20))*step
		w.after(late, func() {
			if p.state != nil && p.life == life && p.treeVersion < turn {
				p.treeVersion = turn
				p.state.SetTree(above, below, w.now)
			}
		})
	}
	leader := w.processes[w.leader]
	if leader.state == nil {
		w.leaderState = nil
		return
	}
	if w.leaderState == nil || w.leaderLife != leader.life {
		w.leaderState, w.leaderLife = NewLeaderState(leader.life, leader.leaderState), leader.life
		leader.leaderState = w.leaderState
	}
	if len(all) > 0 {
		w.leaderState.SetTree(Parent{}, []view.Life{all[0].life}, w.now)
	}
}

func (w *simulation) stepProcess(p *process) {
	state := p.state
	w.sendUpdates(p, state)
	if up, due := state.DueReport(w.now); due {
		above := state.Parent()
		w.call(p, above.Name, up, func(at *process, done func(any)) {
			of := at.state
			if up.ToLeader {
				if w.leaderState == nil || at != w.processes[w.leader] {
					return
				}
				of = w.leaderState
			}
			done(of.HandleReport(up, w.now))
		}, func(answer any) {
			if a, is := answer.(ReportAnswer); is {
				state.ReportAnswered(above, a, w.now)
				return
			}
			state.ReportFailed(above, w.now)
		})
	}
	if name, is := state.ChildWithNewer(); is && w.random.IntN(10) == 0 {
		w.fetch(p, state, name)
	}
	if (state.ParentUnreachable() || state.NewFetch().NeedsFull) && w.random.IntN(20) == 0 {
		w.fetch(p, state, w.processes[w.random.IntN(len(w.processes))].name)
	}
	if d, is := state.NextToApply(w.now); is {
		w.apply(p, state, d)
	}
}

// apply does what package run and a sender do: check, store, put in force, record; a kill may come between any two.
func (w *simulation) apply(p *process, state *State, d configuration.Document) {
	if d.Version == p.rejectedVersion {
		state.RecordApplied(d.Version, errors.New("field pace: not known here"), w.now)
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

func (w *simulation) decide() {
	version := uint64(len(w.decided) + 1)
	settings := fmt.Sprintf(`{"long":"%0400d","pace":%d,"odd":%d}`, 7, version, version%2)
	d, err := configuration.NewDocument(version, []byte(settings))
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	w.decided = append(w.decided, d)
}

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
			if n := len(w.decided); n > 0 {
				w.leaderState.SetDecided(w.decided[n-1], w.now)
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

// check checks the second guarantee: a version has one content.
func (w *simulation) check(p *process) {
	held := p.state.Newest()
	if v := held.Version; v > 0 && (v > uint64(len(w.decided)) || held.Sum != w.decided[v-1].Sum) {
		w.t.Fatalf("%s holds another version %d", p.name, v)
	}
}
