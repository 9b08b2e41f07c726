package spread

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
	"flaxcove/internal/sender/withdrawal"
)

// record returns the ledger's record of a purge opened by simulation.open.
func record(w *simulation, seq uint64) ledger.Record {
	r, _ := w.ledger.Find(fmt.Sprintf("%s-%d", w.openedKey[seq], seq-1))
	return r
}

// TestRootCallsArePerChild checks that, without faults, the root makes and receives fewer than two calls per child for a purge,
// whatever the number of processes, and that each message is counted once.
func TestRootCallsArePerChild(t *testing.T) {
	for _, n := range []int{4, 13, 30, 300} {
		w := newSimulation(t, t.Fatalf, n, 3, time.Hour)
		for _, p := range w.processes {
			p.disk.messages = append(p.disk.messages, &testMessage{key: "a", acceptedAt: w.now})
		}
		for round := 1; round <= 2; round++ {
			w.rootCalls = 0
			w.now += time.Second
			seq := w.open("a")
			began := w.now
			w.settle(200)
			if r := record(w, seq); r.State != ledger.Complete || r.Reached != n || r.Found.NotBegun != n*(2-round) {
				t.Fatalf("%d processes, round %d: %+v", n, round, r)
			}
			for range 200 { // later messages count as well
				w.now += 10 * time.Millisecond
				w.step()
				net := w.network
				w.network = nil
				for _, m := range net {
					m.deliver()
				}
			}
			t.Logf("%d processes: complete after %v, %d calls at the root", n, w.now-began-2*time.Second, w.rootCalls)
			if round == 2 && w.rootCalls >= 2*3 { // the first purge takes more calls, as the children have not reported yet
				t.Errorf("%d processes: %d calls at the root with 3 children, want fewer than 6", n, w.rootCalls)
			}
		}
	}
}

// TestTenThousandPurges checks that ten thousand purges opened at once are closed, with a bounded number of calls at the root.
func TestTenThousandPurges(t *testing.T) {
	w := newSimulation(t, t.Fatalf, 13, 3, time.Hour)
	w.processes[5].disk.messages = append(w.processes[5].disk.messages, &testMessage{key: "k77", acceptedAt: w.now})
	w.now += time.Second
	for i := range 10000 {
		w.open(fmt.Sprintf("k%d", i))
	}
	w.settle(3000)
	if w.ledger.OldestOpen() != 10001 {
		t.Fatalf("%d of 10000 purges closed", w.ledger.OldestOpen()-1)
	}
	if r := record(w, 78); r.Found.NotBegun != 1 {
		t.Errorf("purge of the only message: %+v, want one message found", r)
	}
	if w.rootCalls > 2*3*10000/MaxPurgesPerMessage+60 {
		t.Errorf("%d calls at the root, too many", w.rootCalls)
	}
}

// TestClosuresFitTheLog guards against purges that never close: with twelve zones the command that closes 256 purges at once was
// longer than the log takes, and was proposed again unchanged.
func TestClosuresFitTheLog(t *testing.T) {
	w := newSimulation(t, t.Fatalf, 36, 12, time.Hour)
	w.now += time.Second
	const purges = 600
	for i := range purges {
		w.open(fmt.Sprintf("k%d", i))
	}
	w.settle(3000)
	if w.ledger.OldestOpen() != purges+1 {
		t.Fatalf("%d of %d purges closed", w.ledger.OldestOpen()-1, purges)
	}
}

// TestPartitionedProcessLapses checks that the acknowledgement of a partitioned process lapses after the longest deadline and not
// before, and that the process gets the purges that it still needs once it is reachable again.
func TestPartitionedProcessLapses(t *testing.T) {
	w := newSimulation(t, t.Fatalf, 4, 2, time.Minute)
	partitioned := w.processes[3]
	partitioned.alive = false // unreachable
	w.now += time.Second
	seq := w.open("a")
	w.settle(500)
	if r := record(w, seq); r.State != ledger.Spreading {
		t.Fatalf("the acknowledgement lapsed after %v: %+v", w.now, r)
	}
	for _, p := range w.leaderState.StatusOf(seq) {
		if p.Acknowledged == (p.Participant.Name == partitioned.name) {
			t.Errorf("wrong acknowledgement in status: %+v", p)
		}
	}
	w.now += w.longestDeadline + ledger.LapseMargin
	w.settle(50)
	r := record(w, seq)
	if r.State != ledger.Lapsed || r.Lapsed != 1 || len(r.LapsedNames) != 1 || r.LapsedNames[0] != partitioned.name {
		t.Fatalf("not lapsed after the longest deadline and the margin: %+v", r)
	}
	late := w.open("a")
	partitioned.alive = true
	w.settle(1500)
	if r := record(w, late); r.State != ledger.Complete || partitioned.disk.applied != late {
		t.Fatalf("after the partition: %+v, applied up to %d, want %d", r, partitioned.disk.applied, late)
	}
}

// TestRootAndLeaderLost checks that a purge is not completed while the root, which is also the leader, is lost before all processes
// have acknowledged, and is completed by the next root and leader once the lost process is replaced with an empty disk.
func TestRootAndLeaderLost(t *testing.T) {
	w := newSimulation(t, t.Fatalf, 13, 3, time.Hour)
	for _, p := range w.processes {
		p.disk.messages = append(p.disk.messages, &testMessage{key: "a", acceptedAt: w.now})
	}
	w.now += time.Second
	seq := w.open("a")
	w.settle(6) // not all processes have acknowledged yet
	if r := record(w, seq); r.State != ledger.Spreading {
		t.Fatalf("the purge is closed before the root is lost: %+v", r)
	}
	w.processes[0].alive = false
	w.network = nil
	w.tree[1], w.tree[2], w.tree[3], w.tree[0] = -1, 1, 1, 1
	w.lead(4)
	for _, p := range w.processes[1:] {
		w.updateTree(p)
	}
	w.settle(300)
	if r := record(w, seq); r.State != ledger.Spreading {
		t.Fatalf("closed without the acknowledgement of the lost participant: %+v", r)
	}
	w.start(w.processes[0], true)
	for _, p := range w.processes {
		w.updateTree(p)
	}
	w.settle(600)
	if r := record(w, seq); r.State != ledger.Complete || r.Found.NotBegun < 12 || r.Found.NotBegun > 13 {
		t.Fatalf("after the replacement: %+v, want complete with 12 or 13 messages found", r)
	}
}

// TestKillBeforeAcknowledging checks that a process that is killed after applying a purge and before acknowledging it is counted
// once: its next incarnation is handed the purge again and reports the same finding.
func TestKillBeforeAcknowledging(t *testing.T) {
	disk := map[uint64]clusterapi.PurgeResult{1: {NotBegun: 3}}
	p := view.Instance{Name: "p", Incarnation: 1}
	g := NewLeaderState(view.Instance{Name: "l", Incarnation: 1})
	order := []clusterapi.Purge{{Seq: 1, Match: clusterapi.Match{Key: "a"}}}
	g.AddPurges(order, 1, 1, time.Hour, 0)
	for inc := range 3 {
		p.Incarnation = view.Incarnation(inc + 1)
		g.SetParticipants([]ledger.Participant{{Instance: p}}, uint64(inc))
		g.SetRoot(p, 0)
		if got := g.StatusOf(1)[0]; got.Acknowledged {
			t.Fatalf("incarnation %d counts as having acknowledged before it did", p.Incarnation)
		}
		st := New(p, "folder", min(uint64(inc), 1))
		st.HandleUpdate(g.PurgesSince(0, 0), 0)
		if all := st.NextBatch(0); len(all) != 1 {
			t.Fatalf("incarnation %d is handed %v, want one purge", p.Incarnation, all)
		}
		st.BatchApplied(1, []clusterapi.PurgeResult{disk[1]}, 0)
		report := st.Answer(Update{}, 0)
		g.HandleRootReport(report, 0)
		g.HandleRootReport(report, 0)
		if got := g.StatusOf(1)[0]; !got.Acknowledged || got.Found.NotBegun != 3 {
			t.Fatalf("incarnation %d: %+v, want an acknowledgement with 3 messages found", p.Incarnation, got)
		}
	}
}

// TestLostAnswer checks that if an answer with findings is lost, the parent does not accept the reports that are differences to it
// until it has received the findings.
func TestLostAnswer(t *testing.T) {
	parentInstance, childInstance := view.Instance{Name: "up", Incarnation: 1}, view.Instance{Name: "low", Incarnation: 1}
	parent, child := New(parentInstance, "u", 0), New(childInstance, "l", 0)
	parent.SetTree(Parent{}, []view.Instance{childInstance}, 0)
	child.SetTree(Parent{Instance: parentInstance}, nil, 0)
	order := func(seq uint64, found int) {
		d := Update{From: parentInstance, Base: seq - 1, UpTo: seq, OldestOpen: 1,
			Purges: []clusterapi.Purge{{Seq: seq, Match: clusterapi.Match{Key: "a"}}}}
		parent.HandleUpdate(d, 0)
		child.HandleUpdate(d, 0)
		child.NextBatch(0)
		child.BatchApplied(seq, []clusterapi.PurgeResult{{NotBegun: found}}, 0)
	}
	order(1, 0)
	// The parent is also the leader and sends an update as such: the answer does not count as a report to the parent.
	if child.Answer(Update{From: parentInstance, FromLeader: true}, 0); !child.reporting.changed {
		t.Fatal("an answer to the leader counts as a report to the parent")
	}
	parent.HandleReport(child.Answer(Update{From: parentInstance}, 0), 0)
	order(2, 5)
	parent.DueUpdates(0)
	child.Answer(Update{From: parentInstance}, 0) // lost
	order(3, 0)
	for i := range 3 {
		now := time.Duration(i+1) * time.Minute
		if msg, due := child.DueReport(now); due {
			child.ReportAnswered(Parent{Instance: parentInstance}, parent.HandleReport(msg, now), now)
		}
		st := parent.children["low"].progress[0]
		if r := parent.findings[findingKey{2, "low", "l"}]; st.AppliedSeq >= 2 && r == nil {
			t.Fatalf("purges up to %d are known as applied, but the finding of purge 2 is not known", st.AppliedSeq)
		}
	}
	if st := parent.children["low"].progress[0]; st.AppliedSeq != 3 {
		t.Errorf("purges up to %d are known as applied, want 3", st.AppliedSeq)
	}
}

// TestRestartedCoordinatorSendsAll checks that a restarted coordinator can send a closed purge to a process below it that was
// restored from an old copy of its folder and lacks the purge, although the coordinator has applied the purge before its restart.
func TestRestartedCoordinatorSendsAll(t *testing.T) {
	w := newSimulation(t, t.Fatalf, 4, 1, time.Hour)
	low := w.processes[3]
	w.tree[3] = 1
	low.disk.messages = append(low.disk.messages, &testMessage{key: "a", acceptedAt: w.now})
	low.oldDisk = low.disk.copy()
	for _, p := range w.processes {
		w.updateTree(p)
	}
	w.now += time.Second
	w.open("a")
	w.settle(300)
	w.open("x") // its updates carry the new OldestOpen
	w.settle(300)
	w.start(w.processes[1], false)
	low.disk = low.oldDisk.copy()
	w.start(low, false)
	for _, p := range w.processes {
		w.updateTree(p)
	}
	low.requiredSeq, w.processes[1].requiredSeq = 0, 0 // neither requests purges from the leader, so that they come down the tree only
	low.state.HandleUpdate(w.processes[1].state.PurgesSince(0, w.now), w.now)
	w.open("b")
	w.settle(600)
	if low.state.AppliedSeq() != 3 || low.disk.messages[0].state != withdrawal.Withdrawn {
		t.Fatalf("applied purges up to %d, want 3; message state %d", low.state.AppliedSeq(), low.disk.messages[0].state)
	}
	w.startAttempts(low)
}

// TestLongNamesFitTheLink checks that a complete report stays below the link's message size in a tree of twice the largest
// planned cluster, if all names have the longest length, all processes but one are behind, and there are as many findings as it takes.
func TestLongNamesFitTheLink(t *testing.T) {
	const members = 2000
	s := New(view.Instance{Name: "p"}, "f", 0)
	below := &child{reported: true}
	for i := range members {
		name := view.Name(fmt.Sprintf("%s%04d", strings.Repeat("p", 59), i))
		below.progress = append(below.progress, Progress{view.Instance{Name: name, Incarnation: ^view.Incarnation(0)}, uint64(1e9 + i)})
		if i >= MaxFindingsPerMessage {
			continue // more findings would hide the progress of those behind
		}
		s.findings[findingKey{uint64(1e9 + i), name, strings.Repeat("f", 32)}] = &finding{incarnation: ^view.Incarnation(0),
			found: clusterapi.PurgeResult{NotBegun: 1e6, MayRun: 1e6, Delivered: 1e6, LearnedState: 1e6}}
	}
	s.children["c"], s.childNames = below, []view.Name{"c"}
	report := s.makeReport(false, 0)
	if text, err := json.Marshal(report); err != nil || len(text) > 1<<20 || len(report.Findings) != MaxFindingsPerMessage || len(report.Behind) != members {
		t.Errorf("report with %d findings: %d bytes, error %v", len(report.Findings), len(text), err)
	} else {
		t.Logf("%d bytes with %d findings", len(text), len(report.Findings))
	}
}

// TestLongKeysFitTheLink checks that updates stay below the link's message size if all keys have the longest length and consist of
// characters that JSON escapes.
func TestLongKeysFitTheLink(t *testing.T) {
	s := New(view.Instance{Name: "p"}, "f", 0)
	d := Update{UpTo: 600, OldestOpen: 1}
	for i := range 600 {
		d.Purges = append(d.Purges, clusterapi.Purge{Seq: uint64(i + 1), Match: clusterapi.Match{Key: strings.Repeat("\x01", 512)}})
	}
	s.HandleUpdate(d, 0)
	for since := uint64(0); since < 600; {
		m := s.PurgesSince(since, 0)
		if text, err := json.Marshal(m); err != nil || len(text) > 1<<20 || m.UpTo <= since {
			t.Fatalf("update from %d up to %d: %d bytes, error %v", since, m.UpTo, len(text), err)
		}
		since = m.UpTo
	}
}
