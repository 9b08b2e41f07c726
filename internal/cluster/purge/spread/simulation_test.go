package spread

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/config"
	"flaxcove/internal/sender/clusterapi"
	"flaxcove/internal/sender/withdrawal"
)

// This file simulates a fleet with one clock: processes with disks, a ledger that never fails, and messages that may.

// testMessage is a message that a sender has accepted.
type testMessage struct {
	key        string
	acceptedAt view.Uptime
	state      withdrawal.State
	purgesSeen uint64 // up to which purge its process had all when it was accepted
}

type disk struct {
	folder   string
	applied  uint64
	found    map[uint64]clusterapi.Found
	messages []*testMessage
}

type process struct {
	name        view.Name
	zone        view.Zone
	incarnation view.Incarnation
	alive       bool
	requiredSeq uint64 // it is to apply up to here before it sends
	joinedAt    uint64 // the ledger's revision when it became a participant; 0 for not
	disk        *disk
	oldDisk     *disk // an old copy of the folder
	state       *State
}

func (d *disk) copy() *disk {
	c := &disk{folder: d.folder, applied: d.applied, found: maps.Clone(d.found)}
	for _, n := range d.messages {
		twin := *n
		c.messages = append(c.messages, &twin)
	}
	return c
}

func (p *process) life() view.Life { return view.Life{Name: p.name, Incarnation: p.incarnation} }

type simulation struct {
	t               testing.TB
	fail            func(string, ...any)
	now             view.Uptime
	ledger          *ledger.Ledger
	processes       []*process
	tree            []int // parent by number of process; -1 at the root
	leader          int
	leaderState     *LeaderState
	leaderStates    map[view.Life]*LeaderState
	network         []envelope
	disks           []*disk
	longestDeadline time.Duration
	rootCalls       int // calls that the root made or received
	openedAt        map[uint64]view.Uptime
	openedKey       map[uint64]string
	closedAt        map[uint64]uint64 // the ledger's revision when it was closed
}

func newSimulation(t testing.TB, fail func(string, ...any), n, zones int, hard time.Duration) *simulation {
	w := &simulation{t: t, fail: fail, ledger: ledger.New(), longestDeadline: hard, openedAt: map[uint64]view.Uptime{},
		openedKey: map[uint64]string{}, leaderStates: map[view.Life]*LeaderState{}, closedAt: map[uint64]uint64{}}
	for i := range n {
		p := &process{name: view.Name(fmt.Sprintf("p%02d", i)), zone: view.Zone(fmt.Sprintf("z%d", i%zones))}
		w.processes = append(w.processes, p)
		w.tree = append(w.tree, (i-1)/3) // each three children
		w.start(p, true)
	}
	w.tree[0] = -1
	w.lead(0)
	for _, p := range w.processes {
		w.updateTree(p)
	}
	return w
}

func (w *simulation) propose(kind string, c, answer any) {
	body, _ := json.Marshal(c)
	text, err := w.ledger.Apply(0, w.now, kind, body)
	if err == nil {
		err = json.Unmarshal(text, answer)
	}
	if err != nil {
		w.fail("%s: %v", kind, err)
	}
}

func (w *simulation) start(p *process, empty bool) {
	p.incarnation++
	p.alive = true
	if empty || p.disk == nil {
		p.disk = &disk{folder: fmt.Sprintf("%s-%d", p.name, p.incarnation), found: map[uint64]clusterapi.Found{}}
		w.disks = append(w.disks, p.disk)
	}
	p.state = New(p.life(), p.disk.folder, p.disk.applied)
	p.joinedAt = 0
	w.join(p)
}

func (w *simulation) join(p *process) {
	var j ledger.JoinResult
	w.propose(ledger.KindJoin, ledger.Join{Participants: []ledger.Participant{{Life: p.life(), Zone: p.zone, Region: "r",
		Folder: p.disk.folder, LongestDeadline: w.longestDeadline}}}, &j)
	p.requiredSeq, p.joinedAt = j.Seq, w.ledger.Revision()
}

func (w *simulation) lead(i int) {
	life := w.processes[i].life()
	if w.leaderStates[life] == nil {
		w.leaderStates[life] = NewLeaderState(life)
	}
	w.leader, w.leaderState = i, w.leaderStates[life]
}

func (w *simulation) updateTree(p *process) {
	me := slices.Index(w.processes, p)
	var parent Parent
	if up := w.tree[me]; up >= 0 {
		parent.Life = w.processes[up].life()
	} else {
		parent = Parent{w.processes[w.leader].life(), true}
	}
	var children []view.Life
	for i, up := range w.tree {
		if up == me {
			children = append(children, w.processes[i].life())
		}
	}
	p.state.SetTree(parent, children, w.now)
}

func (w *simulation) open(key string) uint64 {
	var o ledger.OpenResult
	id := fmt.Sprintf("%s-%d", key, w.ledger.LastSeq())
	w.propose(ledger.KindOpen, ledger.Open{ID: id, Subject: ledger.Messages, Match: clusterapi.Match{Key: key},
		RequestedBy: "w", Reason: "y"}, &o)
	if o.Rejected != "" {
		w.fail("%s", o.Rejected)
	}
	w.openedAt[o.Seq], w.openedKey[o.Seq] = w.now, key
	return o.Seq
}

// ticks is a time in the sender's unit.
func ticks(t view.Uptime) choice.Time { return config.RoundDown(time.Duration(t).Nanoseconds()) }

// apply does to a disk what a sender does; a purge is durable before it is acknowledged.
func (w *simulation) apply(p *process, all []clusterapi.Purge) (found []clusterapi.Found) {
	for _, o := range all {
		f := p.disk.found[o.Seq]
		if o.Seq > p.disk.applied {
			order := withdrawal.Since(o, ticks(w.now))
			for _, n := range p.disk.messages {
				if !order.Matches(1, "", n.key, ticks(n.acceptedAt)) {
					continue
				}
				fate := n.state.Fate()
				if fate != withdrawal.Untouched && n.purgesSeen >= o.Seq {
					w.fail("%s: a notice taken on with purge %d at hand was touched by it", p.name, o.Seq)
				}
				fate.Add(&f)
				if fate == withdrawal.End {
					n.state = withdrawal.Withdrawn
				}
			}
			p.disk.applied, p.disk.found[o.Seq] = o.Seq, f
		}
		found = append(found, f)
	}
	return found
}

// startAttempts sends what waits at a process, and checks the guarantee. A process that has caught up must respect all
// purges; one that serves without having caught up, those closed since it became a participant.
func (w *simulation) startAttempts(p *process) {
	if !p.alive {
		return
	}
	caught := p.joinedAt > 0 && p.state.AppliedSeq() >= p.requiredSeq
	for _, n := range p.disk.messages {
		if n.state != withdrawal.Waiting {
			continue
		}
		n.state = withdrawal.Delivered
		for seq, at := range w.openedAt {
			if w.closedAt[seq] == 0 || w.openedKey[seq] != n.key || n.acceptedAt >= at {
				continue
			}
			if caught || p.joinedAt > 0 && w.closedAt[seq] > p.joinedAt {
				w.fail("%s begins a notice taken on at %v after purge %d of %v was complete", p.name, n.acceptedAt, seq, at)
			}
		}
	}
}

// catchUp has a process that started ask the leader for what it missed.
func (w *simulation) catchUp(p *process) {
	if p.alive && p.joinedAt > 0 && p.state.ReceivedSeq() < p.requiredSeq {
		p.state.HandleUpdate(w.leaderState.PurgesSince(p.state.ReceivedSeq(), w.now), w.now)
	}
}
