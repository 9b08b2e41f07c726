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

func record(w *simulation, seq uint64) ledger.Record {
	r, _ := w.ledger.Find(fmt.Sprintf("%s-%d", w.openedKey[seq], seq-1))
	return r
}

// One purge in a fleet without faults takes under two calls a child at the root, and counts each message once.
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
				t.Fatalf("%d processes: %+v", n, r)
			}
			for range 200 { // what trails behind counts as well
				w.now += 10 * time.Millisecond
				w.step()
				net := w.network
				w.network = nil
				for _, m := range net {
					m.deliver()
				}
			}
			t.Logf("%d processes: complete after %v, %d calls at the root", n, w.now-began-2*time.Second, w.rootCalls)
			if round == 2 && w.rootCalls >= 2*3 { // the first also makes acquaintance
				t.Errorf("%d processes: %d calls at the root with 3 children", n, w.rootCalls)
			}
		}
	}
}

// Ten thousand purges at once.
func TestTenThousandPurges(t *testing.T) {
	w := newSimulation(t, t.Fatalf, 13, 3, time.Hour)
	w.processes[5].disk.messages = append(w.processes[5].disk.messages, &testMessage{key: "k77", acceptedAt: w.now})
	w.now += time.Second
	for i := range 10000 {
		w.open(fmt.Sprintf("k%d", i))
	}
	w.settle(3000)
	if w.ledger.OldestOpen() != 10001 {
		t.Fatalf("%d closed", w.ledger.OldestOpen()-1)
	}
	if r := record(w, 78); r.Found.NotBegun != 1 {
		t.Errorf("%+v", r)
	}
	if w.rootCalls > 2*3*10000/MaxPurgesPerMessage+60 {
		t.Errorf("%d calls at the root", w.rootCalls)
	}
}

// A process that is partitioned for longer than the longest deadline lapses, and not before. Once it is back it gets the
// purges that still matter.
func TestPartitionedProcessLapses(t *testing.T) {
	w := newSimulation(t, t.Fatalf, 4, 2, time.Minute)
	far := w.processes[3]
	far.alive = false // nobody reaches it
	w.now += time.Second
	seq := w.open("a")
	w.settle(500)
	if r := record(w, seq); r.State != ledger.Spreading {
		t.Fatalf("time stood for an answer after %v: %+v", w.now, r)
	}
	for _, p := range w.leaderState.StatusOf(seq) {
		if p.Acknowledged == (p.Participant.Name == far.name) {
			t.Errorf("%+v", p)
		}
	}
	w.now += w.longestDeadline + ledger.LapseMargin
	w.settle(50)
	r := record(w, seq)
	if r.State != ledger.Lapsed || r.Lapsed != 1 || len(r.LapsedNames) != 1 || r.LapsedNames[0] != far.name {
		t.Fatalf("%+v", r)
	}
	late := w.open("a")
	far.alive = true
	w.settle(1500)
	if r := record(w, late); r.State != ledger.Complete || far.disk.applied != late {
		t.Fatalf("%+v, applied %d", r, far.disk.applied)
	}
}

// The root, which also leads, is lost with its disk halfway: the next root and the next leader ask again.
func TestRootAndLeaderLost(t *testing.T) {
	w := newSimulation(t, t.Fatalf, 13, 3, time.Hour)
	for _, p := range w.processes {
		p.disk.messages = append(p.disk.messages, &testMessage{key: "a", acceptedAt: w.now})
	}
	w.now += time.Second
	seq := w.open("a")
	w.settle(6) // under way
	if r := record(w, seq); r.State != ledger.Spreading {
		t.Fatalf("too quick for this test: %+v", r)
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
		t.Fatalf("complete without the life that had a seat: %+v", r)
	}
	w.start(w.processes[0], true)
	for _, p := range w.processes {
		w.updateTree(p)
	}
	w.settle(600)
	if r := record(w, seq); r.State != ledger.Complete || r.Found.NotBegun < 12 || r.Found.NotBegun > 13 {
		t.Fatalf("%+v", r)
	}
}

// A process is killed between effect and acknowledgement: its next incarnation answers the same, and is counted once.
func TestKillBeforeAcknowledging(t *testing.T) {
	disk := map[uint64]clusterapi.Found{1: {NotBegun: 3}}
	p := view.Life{Name: "p", Incarnation: 1}
	g := NewLeaderState(view.Life{Name: "l", Incarnation: 1})
	order := []clusterapi.Purge{{Seq: 1, Match: clusterapi.Match{Key: "a"}}}
	g.AddPurges(order, 1, 1, time.Hour, 0)
	for inc := range 3 {
		p.Incarnation = view.Incarnation(inc + 1)
		g.SetParticipants([]ledger.Participant{{Life: p}}, uint64(inc))
		g.SetRoot(p, 0)
		if got := g.StatusOf(1)[0]; got.Acknowledged {
			t.Fatalf("life %d has not acknowledged", p.Incarnation)
		}
		st := New(p, "folder", min(uint64(inc), 1))
		st.HandleUpdate(g.PurgesSince(0, 0), 0)
		if all := st.NextBatch(0); len(all) != 1 {
			t.Fatalf("life %d is asked again: %v", p.Incarnation, all)
		}
		st.BatchApplied(1, []clusterapi.Found{disk[1]}, 0)
		up := st.Answer(Update{}, 0)
		g.HandleRootReport(up, 0)
		g.HandleRootReport(up, 0)
		if got := g.StatusOf(1)[0]; !got.Acknowledged || got.Found.NotBegun != 3 {
			t.Fatalf("life %d: %+v", p.Incarnation, got)
		}
	}
}

// An answer is lost and the next report builds on it: that is not accepted before the lost findings are known.
func TestLostAnswer(t *testing.T) {
	up, low := view.Life{Name: "up", Incarnation: 1}, view.Life{Name: "low", Incarnation: 1}
	parent, child := New(up, "u", 0), New(low, "l", 0)
	parent.SetTree(Parent{}, []view.Life{low}, 0)
	child.SetTree(Parent{Life: up}, nil, 0)
	order := func(seq uint64, found int) {
		d := Update{From: up, Base: seq - 1, UpTo: seq, OldestOpen: 1,
			Purges: []clusterapi.Purge{{Seq: seq, Match: clusterapi.Match{Key: "a"}}}}
		parent.HandleUpdate(d, 0)
		child.HandleUpdate(d, 0)
		child.NextBatch(0)
		child.BatchApplied(seq, []clusterapi.Found{{NotBegun: found}}, 0)
	}
	order(1, 0)
	// The parent also leads and asks as the leader: what it is answered does not count as reported to the parent.
	if child.Answer(Update{From: up, FromLeader: true}, 0); !child.reporting.changed {
		t.Fatal("what the leader was told counts as told to the parent")
	}
	parent.HandleReport(child.Answer(Update{From: up}, 0), 0)
	order(2, 5)
	parent.DueUpdates(0)
	child.Answer(Update{From: up}, 0) // lost
	order(3, 0)
	for i := range 3 {
		now := time.Duration(i+1) * time.Minute
		if msg, due := child.DueReport(now); due {
			child.ReportAnswered(Parent{Life: up}, parent.HandleReport(msg, now), now)
		}
		st := parent.children["low"].progress[0]
		if r := parent.findings[findingKey{2, "low", "l"}]; st.AppliedSeq >= 2 && r == nil {
			t.Fatalf("up to %d is told as applied, what was found is not known", st.AppliedSeq)
		}
	}
	if st := parent.children["low"].progress[0]; st.AppliedSeq != 3 {
		t.Errorf("told up to %d", st.AppliedSeq)
	}
}

// A coordinator restarts after a purge was closed, and a process below it is restored from an old copy of its folder and
// lacks that purge. The coordinator must be able to send it, although it has applied the purge itself long ago.
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
	w.open("x") // with it the floor is told
	w.settle(300)
	w.start(w.processes[1], false)
	low.disk = low.oldDisk.copy()
	w.start(low, false)
	for _, p := range w.processes {
		w.updateTree(p)
	}
	low.requiredSeq, w.processes[1].requiredSeq = 0, 0 // neither asks the leader: the tree alone must do
	low.state.HandleUpdate(w.processes[1].state.PurgesSince(0, w.now), w.now)
	w.open("b")
	w.settle(600)
	if low.state.AppliedSeq() != 3 || low.disk.messages[0].state != withdrawal.Withdrawn {
		t.Fatalf("applied up to %d, notice %d", low.state.AppliedSeq(), low.disk.messages[0].state)
	}
	w.startAttempts(low)
}

// Purges with the longest keys of characters that JSON escapes still fit the link's message size, a few at a time.
func TestLongKeysFitTheLink(t *testing.T) {
	s := New(view.Life{Name: "p"}, "f", 0)
	d := Update{UpTo: 600, OldestOpen: 1}
	for i := range 600 {
		d.Purges = append(d.Purges, clusterapi.Purge{Seq: uint64(i + 1), Match: clusterapi.Match{Key: strings.Repeat("\x01", 512)}})
	}
	s.HandleUpdate(d, 0)
	for since := uint64(0); since < 600; {
		m := s.PurgesSince(since, 0)
		if text, err := json.Marshal(m); err != nil || len(text) > 1<<20 || m.UpTo <= since {
			t.Fatalf("after %d up to %d: %d bytes, %v", since, m.UpTo, len(text), err)
		}
		since = m.UpTo
	}
}
