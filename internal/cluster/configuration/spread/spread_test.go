package spread

import (
	"encoding/json"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/view"
)

// heal ends all faults and lets 8 s pass.
func heal(w *simulation) {
	w.loss = 0
	for _, p := range w.processes {
		p.group = 0
		if p.state == nil {
			w.start(p)
		}
	}
	w.updateTree()
	w.run(8 * time.Second)
}

// checkAgreement checks that all processes run the newest version, except those that reject it, and that the leader
// knows this.
func checkAgreement(w *simulation) {
	newest := uint64(len(w.committed))
	for _, p := range w.processes {
		want := newest
		if p.rejectedVersion == newest && newest > 0 {
			want = p.inForce
		}
		if p.inForce != want || p.state.Newest().Version != newest {
			w.t.Fatalf("%s runs %d and has %d; the newest version is %d", p.name, p.inForce, p.state.Newest().Version, newest)
		}
	}
	if newest == 0 {
		return
	}
	sum := w.leaderState.Summary(w.now)
	rejecting := 0
	for _, p := range w.processes {
		if p.rejectedVersion == newest {
			rejecting++
		}
	}
	if sum.Members != len(w.processes) || sum.Unknown > 0 || sum.MembersAtLeast(newest) != len(w.processes)-rejecting ||
		len(sum.Laggards)+sum.Unnamed != rejecting {
		w.t.Fatalf("of %d processes %d reject the version; the leader has the summary %+v", len(w.processes), rejecting, sum)
	}
	for _, l := range sum.Laggards {
		if l.Reason != Rejected || l.Text == "" || l.Version != w.find(l.Name).inForce {
			w.t.Fatalf("%+v", l)
		}
	}
	if !w.leaderState.Settled() {
		w.t.Fatalf("not settled: %+v", sum)
	}
}

// TestFaults draws faults of all kinds: messages are lost, duplicated and reordered, processes are killed between any
// two steps and restart with their disks, the fleet is partitioned, and coordinators and leaders change. It checks that
// no process ever runs an older version after a newer one, or another content under a version number, and that after
// the faults all processes run the newest version and the leader knows it.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 16).Draw(t, "size"))
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		w.run(time.Second)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			p := w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")]
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1, 2:
				w.commit()
			case 3:
				w.kill(p)
				w.updateTree()
			case 4:
				if p.state == nil {
					w.start(p)
					w.updateTree()
				}
			case 5:
				p.group = rapid.IntRange(0, 1).Draw(t, "group")
			case 6:
				w.leader = rapid.IntRange(0, len(w.processes)-1).Draw(t, "leader")
				w.updateTree()
			case 7: // coordinators change
				w.random.Shuffle(len(w.order), func(i, j int) { w.order[i], w.order[j] = w.order[j], w.order[i] })
				w.updateTree()
			}
			w.run(time.Duration(rapid.IntRange(0, 80).Draw(t, "pause")) * step)
		}
		if rapid.IntRange(0, 2).Draw(t, "refusing") == 0 {
			w.processes[len(w.processes)/2].rejectedVersion = uint64(len(w.committed) + 1)
			w.commit()
		}
		heal(w)
		checkAgreement(w)
	})
}

// TestFaultlessChange checks that without faults a change costs about one call per process, and that the leader knows
// within 3 s that it is in force everywhere. While nothing changes, a process makes at most one call per
// RefreshInterval.
func TestFaultlessChange(t *testing.T) {
	for _, size := range []int{1, 13, 660} {
		w := newSimulation(t, 3, size)
		w.maxChildren = 32
		w.updateTree()
		w.commit()
		w.run(8 * time.Second)
		checkAgreement(w)
		calls, began := w.calls, w.now
		w.commit()
		for w.leaderState.Summary(w.now).MembersAtLeast(2) < size {
			w.run(step)
			if w.now-began > 3*time.Second {
				t.Fatalf("%d processes: %+v", size, w.leaderState.Summary(w.now))
			}
		}
		t.Logf("%d processes: the leader knows after %v that the version is in force everywhere; %d calls", size, w.now-began, w.calls-calls)
		if extra := w.calls - calls - size; extra > size/10+1 {
			t.Errorf("%d processes: %d calls", size, w.calls-calls)
		}
		w.run(time.Second)
		calls = w.calls
		w.run(RefreshInterval)
		if got := w.calls - calls; got > size+1 {
			t.Errorf("%d processes without a change: %d calls in %v", size, got, RefreshInterval)
		}
	}
}

// TestCoordinatorsDie kills coordinators, the root among them, just when a change is committed. Messages are lost, and
// the view shows the dead processes only after two seconds. All other processes must have the change in force within
// six seconds.
func TestCoordinatorsDie(t *testing.T) {
	w := newSimulation(t, 11, 660)
	w.maxChildren, w.leader = 32, 400
	w.updateTree()
	w.commit()
	w.run(8 * time.Second)
	w.loss = 0.02
	w.commit()
	began := w.now
	for _, i := range []int{0, 1, 7, 20} {
		w.kill(w.processes[i])
	}
	w.run(2 * time.Second)
	w.updateTree()
	inForce := func() (n int) {
		for _, p := range w.processes {
			if p.state != nil && p.inForce == 2 {
				n++
			}
		}
		return n
	}
	for inForce() < 656 {
		w.run(step)
		if w.now-began > 6*time.Second {
			t.Fatalf("after %v the version is in force in %d of 656 processes", w.now-began, inForce())
		}
	}
	t.Logf("the version is in force in all remaining processes after %v", w.now-began)
}

// TestPartitionedProcessGetsNewestOnly checks that a process that is partitioned during three changes is shown as a
// laggard with its version, and gets only the newest version afterwards.
func TestPartitionedProcessGetsNewestOnly(t *testing.T) {
	w := newSimulation(t, 5, 13)
	w.commit()
	w.run(3 * time.Second)
	cut := w.processes[12]
	cut.group = 1
	for range 3 {
		w.commit()
		w.run(2 * time.Second)
	}
	sum := w.leaderState.Summary(w.now)
	if len(sum.Laggards) != 1 || sum.Laggards[0].Name != cut.name || sum.Laggards[0].Version != 1 || sum.Laggards[0].Reason != Unreachable {
		t.Fatalf("%+v", sum)
	}
	if cut.inForce != 1 {
		t.Fatal(cut.inForce)
	}
	cut.group = 0
	began := w.now
	for cut.inForce != 4 {
		w.run(step)
		if w.now-began > 4*time.Second {
			t.Fatal("the process has not caught up")
		}
	}
	heal(w)
	checkAgreement(w)
}

// TestAnswerOfNextIncarnation checks that a parent uses the answer to an update for an earlier incarnation of a child.
// The next incarnation gives that answer and counts it as reported. If the parent dropped the answer, the leader would
// learn of later changes only half a minute late, with the next report.
func TestAnswerOfNextIncarnation(t *testing.T) {
	document, err := configuration.NewDocument(3, json.RawMessage(`{}`))
	if err != nil {
		t.Fatal(err)
	}
	parent := New(view.Instance{Name: "p", Incarnation: 1}, document, 3)
	first, second := view.Instance{Name: "c", Incarnation: 1}, view.Instance{Name: "c", Incarnation: 2}
	parent.SetTree(Parent{}, []view.Instance{first}, 0)
	updates := parent.DueUpdates(time.Second)
	parent.SetTree(Parent{}, []view.Instance{second}, time.Second)
	child := New(second, document, 3)
	child.SetTree(Parent{Instance: view.Instance{Name: "p", Incarnation: 1}}, nil, time.Second)
	child.BeginAnswer()
	r, answered := child.Answer(updates[0].Update, time.Second)
	if !answered {
		t.Fatal("the update was not answered")
	}
	parent.HandleAnswer(updates[0].Child, r, time.Second)
	if sum := parent.Summary(time.Second); sum.MembersAtLeast(3) != 2 || sum.Unknown > 0 {
		t.Fatalf("%+v", sum)
	}
	child.BeginAnswer()
	if _, again := child.Answer(updates[0].Update, time.Second); again {
		t.Fatal("the update was answered twice")
	}
}

// TestOneWayLink checks that a process that no call reaches, but whose reports arrive, gets the newest version with the
// answers to its reports and is then no longer a laggard.
func TestOneWayLink(t *testing.T) {
	first, err := configuration.NewDocument(1, json.RawMessage(`{"a":1}`))
	if err != nil {
		t.Fatal(err)
	}
	second, err := configuration.NewDocument(2, json.RawMessage(`{"a":2}`))
	if err != nil {
		t.Fatal(err)
	}
	instance := view.Instance{Name: "c", Incarnation: 1}
	parent, child := New(view.Instance{Name: "p", Incarnation: 1}, first, 1), New(instance, first, 1)
	parent.SetTree(Parent{}, []view.Instance{instance}, 0)
	child.SetTree(Parent{Instance: view.Instance{Name: "p", Incarnation: 1}}, nil, 0)
	report := func(now view.Uptime) {
		t.Helper()
		r, due := child.DueReport(now)
		if !due {
			t.Fatal("no report is due")
		}
		child.ReportAnswered(child.Parent(), parent.HandleReport(r, now), now)
	}
	report(0)
	parent.SetCommitted(second, time.Second)
	parent.RecordApplied(2, nil, time.Second)
	for _, to := range parent.DueUpdates(time.Second) {
		parent.UpdateFailed(to.Child, time.Second)
	}
	if sum := parent.Summary(5 * time.Second); len(sum.Laggards) != 1 || sum.Laggards[0].Reason != Unreachable {
		t.Fatalf("%+v", sum)
	}
	report(time.Minute) // no report is due earlier
	if d, due := child.NextToApply(time.Minute); !due || d.Version != 2 {
		t.Fatal(d, due)
	}
	child.RecordApplied(2, nil, time.Minute)
	report(2 * time.Minute)
	if sum := parent.Summary(2 * time.Minute); len(sum.Laggards) != 0 || !parent.Settled() {
		t.Fatalf("%+v", sum)
	}
}
