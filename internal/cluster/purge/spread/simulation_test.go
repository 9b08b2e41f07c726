package spread

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/consensus/machine"
	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/config"
	"flaxcove/internal/sender/clusterapi"
	"flaxcove/internal/sender/withdrawal"
)

// This file simulates a fleet with a single clock: processes with disks, a ledger that never fails, and messages that can be lost.

// testMessage is a message that a sender has accepted.
type testMessage struct {
	key        string
	acceptedAt view.Uptime
	state      withdrawal.State
	purgesSeen uint64 // ReceivedSeq of its process when the message was accepted
}

// disk is the durable state of a process.
type disk struct {
	folder   string
	applied  uint64
	found    map[uint64]clusterapi.PurgeResult
	messages []*testMessage
}

// process is a simulated process.
type process struct {
	name        view.Name
	zone        view.Zone
	incarnation view.Incarnation
	alive       bool
	requiredSeq uint64 // purges that it must apply before it sends, from the answer to its join
	joinedAt    uint64 // revision of the ledger when it became a participant; 0 if it is not one
	disk        *disk
	oldDisk     *disk // an earlier copy of the disk
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

func (p *process) instance() view.Instance {
	return view.Instance{Name: p.name, Incarnation: p.incarnation}
}

// simulation is a simulated fleet.
type simulation struct {
	t               testing.TB
	fail            func(string, ...any)
	now             view.Uptime
	ledger          *ledger.Ledger
	processes       []*process
	tree            []int // index of each process's parent; -1 for the root
	leader          int   // index of the leader
	leaderState     *LeaderState
	leaderStates    map[view.Instance]*LeaderState
	network         []envelope // messages that are on their way
	disks           []*disk    // all that were ever in use, except restored copies
	longestDeadline time.Duration
	rootCalls       int // calls made or received by the root
	openedAt        map[uint64]view.Uptime
	openedKey       map[uint64]string
	closedAt        map[uint64]uint64 // revision of the ledger when the purge was closed
}

// newSimulation returns a fleet of n processes in a number of zones, in which each has three children and process 0 is the root and
// the leader. fail reports violations. longestDeadline is that of messages.
func newSimulation(t testing.TB, fail func(string, ...any), n, zones int, longestDeadline time.Duration) *simulation {
	w := &simulation{t: t, fail: fail, ledger: ledger.New(), longestDeadline: longestDeadline, openedAt: map[uint64]view.Uptime{},
		openedKey: map[uint64]string{}, leaderStates: map[view.Instance]*LeaderState{}, closedAt: map[uint64]uint64{}}
	for i := range n {
		p := &process{name: view.Name(fmt.Sprintf("p%02d", i)), zone: view.Zone(fmt.Sprintf("z%d", i%zones))}
		w.processes = append(w.processes, p)
		w.tree = append(w.tree, (i-1)/3) // three children each
		w.start(p, true)
	}
	w.tree[0] = -1
	w.lead(0)
	for _, p := range w.processes {
		w.updateTree(p)
	}
	return w
}

// propose applies a command to the ledger and decodes its result.
func (w *simulation) propose(kind string, c, answer any) {
	body, _ := json.Marshal(c)
	if len(body) > machine.MaxBodyBytes {
		w.fail("%s: the command has %d bytes, the log takes %d", kind, len(body), machine.MaxBodyBytes)
	}
	text, err := w.ledger.Apply(0, w.now, kind, body)
	if err == nil {
		err = json.Unmarshal(text, answer)
	}
	if err != nil {
		w.fail("%s: %v", kind, err)
	}
}

// start starts the next incarnation of a process, with an empty disk if empty is true.
func (w *simulation) start(p *process, empty bool) {
	p.incarnation++
	p.alive = true
	if empty || p.disk == nil {
		p.disk = &disk{folder: fmt.Sprintf("%s-%d", p.name, p.incarnation), found: map[uint64]clusterapi.PurgeResult{}}
		w.disks = append(w.disks, p.disk)
	}
	p.state = New(p.instance(), p.disk.folder, p.disk.applied)
	p.joinedAt = 0
	w.join(p)
}

// join makes a process a participant.
func (w *simulation) join(p *process) {
	var j ledger.JoinResult
	w.propose(ledger.KindJoin, ledger.Join{Participants: []ledger.Participant{{Instance: p.instance(), Zone: p.zone, Region: "r",
		Folder: p.disk.folder, LongestDeadline: w.longestDeadline}}}, &j)
	p.requiredSeq, p.joinedAt = j.Seq, w.ledger.Revision()
}

// lead makes process i the leader, with the LeaderState that this incarnation had before, if any.
func (w *simulation) lead(i int) {
	instance := w.processes[i].instance()
	if w.leaderStates[instance] == nil {
		w.leaderStates[instance] = NewLeaderState(instance)
	}
	w.leader, w.leaderState = i, w.leaderStates[instance]
}

// updateTree tells a process its current position in the tree.
func (w *simulation) updateTree(p *process) {
	self := slices.Index(w.processes, p)
	var parent Parent
	if above := w.tree[self]; above >= 0 {
		parent.Instance = w.processes[above].instance()
	} else {
		parent = Parent{w.processes[w.leader].instance(), true}
	}
	var children []view.Instance
	for i, above := range w.tree {
		if above == self {
			children = append(children, w.processes[i].instance())
		}
	}
	p.state.SetTree(parent, children, w.now)
}

// open opens a purge of messages with a key and returns its Seq.
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

// ticks converts a time to the unit of the sender.
func ticks(t view.Uptime) choice.Time { return config.RoundDown(time.Duration(t).Nanoseconds()) }

// apply applies purges to a disk as a sender does, and returns what they found. Purges are on disk before they are acknowledged.
func (w *simulation) apply(p *process, all []clusterapi.Purge) (found []clusterapi.PurgeResult) {
	for _, o := range all {
		f := p.disk.found[o.Seq]
		if o.Seq > p.disk.applied {
			order := withdrawal.NewOrder(o, ticks(w.now))
			for _, n := range p.disk.messages {
				if !order.Matches(1, "", n.key, ticks(n.acceptedAt)) {
					continue
				}
				fate := n.state.Fate()
				if fate != withdrawal.Untouched && n.purgesSeen >= o.Seq {
					w.fail("%s: purge %d affected a message that was accepted after the purge was received", p.name, o.Seq)
				}
				fate.Add(&f)
				if fate == withdrawal.EndNotRun {
					n.state = withdrawal.Withdrawn
				}
			}
			p.disk.applied, p.disk.found[o.Seq] = o.Seq, f
		}
		found = append(found, f)
	}
	return found
}

// startAttempts sends the waiting messages of a process and checks the guarantee: none of them may match a closed purge that was
// opened after the message was accepted. For a process that has not caught up, this applies only to purges that were closed
// after it became a participant.
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
				w.fail("%s sends a message accepted at %v although a matching purge %d, opened at %v, is closed", p.name, n.acceptedAt, seq, at)
			}
		}
	}
}

// catchUp makes a process that has not caught up request missed purges from the leader.
func (w *simulation) catchUp(p *process) {
	if p.alive && p.joinedAt > 0 && p.state.ReceivedSeq() < p.requiredSeq {
		p.state.HandleUpdate(w.leaderState.PurgesSince(p.state.ReceivedSeq(), w.now), w.now)
	}
}
