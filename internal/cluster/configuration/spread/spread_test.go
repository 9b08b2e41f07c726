package spread

import (
	"encoding/json"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/view"
)

// heal ends all faults and gives the fleet time.
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

// checkAgreement checks that all run the newest version, and that the leader knows it.
func checkAgreement(w *simulation) {
	newest := uint64(len(w.decided))
	for _, p := range w.processes {
		want := newest
		if p.rejectedVersion == newest && newest > 0 {
			want = p.inForce
		}
		if p.inForce != want || p.state.Newest().Version != newest {
			w.t.Fatalf("%s runs %d and holds %d; %d is the newest", p.name, p.inForce, p.state.Newest().Version, newest)
		}
	}
	if newest == 0 {
		return
	}
	sum := w.leaderState.Summary(w.now)
	refusing := 0
	for _, p := range w.processes {
		if p.rejectedVersion == newest {
			refusing++
		}
	}
	if sum.Members != len(w.processes) || sum.Unknown > 0 || sum.MembersAtLeast(newest) != len(w.processes)-refusing ||
		len(sum.Laggards)+sum.Unnamed != refusing {
		w.t.Fatalf("of %d processes, %d refusing, the leader knows %+v", len(w.processes), refusing, sum)
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

// Messages are lost, duplicated and reordered; processes are killed between any two steps and restart with their disks;
// parts are partitioned; coordinators and leaders change meanwhile. No process ever runs an older version after a newer
// one, or another content under a version number, and after the faults all run the newest, and the leader knows it.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 16).Draw(t, "size"))
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		w.run(time.Second)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			p := w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")]
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1, 2:
				w.decide()
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
			w.processes[len(w.processes)/2].rejectedVersion = uint64(len(w.decided) + 1)
			w.decide()
		}
		heal(w)
		checkAgreement(w)
	})
}

// Without faults a change costs one call a child, is sent as a patch, and is known to be in force everywhere well within
// the bound; while idle next to nothing is sent.
func TestFaultlessChange(t *testing.T) {
	for _, size := range []int{1, 13, 660} {
		w := newSimulation(t, 3, size)
		w.fan = 32
		w.updateTree()
		w.decide()
		w.run(8 * time.Second)
		checkAgreement(w)
		calls, began := w.calls, w.now
		w.decide()
		for w.leaderState.Summary(w.now).MembersAtLeast(2) < size {
			w.run(step)
			if w.now-began > 3*time.Second {
				t.Fatalf("%d processes: %+v", size, w.leaderState.Summary(w.now))
			}
		}
		t.Logf("%d processes: known to be in force everywhere after %v, %d calls", size, w.now-began, w.calls-calls)
		if extra := w.calls - calls - size; extra > size/10+1 {
			t.Errorf("%d processes: %d calls", size, w.calls-calls)
		}
		w.run(time.Second)
		calls = w.calls
		w.run(RefreshInterval)
		if got := w.calls - calls; got > size+1 {
			t.Errorf("%d processes, idle: %d calls in %v", size, got, RefreshInterval)
		}
	}
}

// Coordinators, the root among them, die just as a change is committed, messages are lost, and the view takes two seconds
// to drop the dead: all others have the change in force within the allowed six seconds.
func TestCoordinatorsDie(t *testing.T) {
	w := newSimulation(t, 11, 660)
	w.fan, w.leader = 32, 400
	w.updateTree()
	w.decide()
	w.run(8 * time.Second)
	w.loss = 0.02
	w.decide()
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
			t.Fatalf("after %v in force at %d of 656", w.now-began, inForce())
		}
	}
	t.Logf("in force at all who are left after %v", w.now-began)
}

// A process that is partitioned during three changes gets only the newest when it is back; meanwhile it is shown as a
// laggard with its version.
func TestPartitionedProcessGetsNewestOnly(t *testing.T) {
	w := newSimulation(t, 5, 13)
	w.decide()
	w.run(3 * time.Second)
	cut := w.processes[12]
	cut.group = 1
	for range 3 {
		w.decide()
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
			t.Fatal("not caught up")
		}
	}
	heal(w)
	checkAgreement(w)
}

// An update to an earlier incarnation is answered by the next one, which then counts its answer as reported: the parent
// must not drop it. (Found by TestFaults: the leader knew of later changes only half a minute late.)
func TestAnswerOfNextIncarnation(t *testing.T) {
	document, err := configuration.NewDocument(3, json.RawMessage(`{}`))
	if err != nil {
		t.Fatal(err)
	}
	parent := New(view.Life{Name: "p", Incarnation: 1}, document, 3)
	first, second := view.Life{Name: "c", Incarnation: 1}, view.Life{Name: "c", Incarnation: 2}
	parent.SetTree(Parent{}, []view.Life{first}, 0)
	downs := parent.DueUpdates(time.Second)
	parent.SetTree(Parent{}, []view.Life{second}, time.Second)
	child := New(second, document, 3)
	child.SetTree(Parent{Life: view.Life{Name: "p", Incarnation: 1}}, nil, time.Second)
	child.BeginAnswer()
	r, answered := child.Answer(downs[0].Update, time.Second)
	if !answered {
		t.Fatal("not answered")
	}
	parent.HandleAnswer(downs[0].Child, r, time.Second)
	if sum := parent.Summary(time.Second); sum.MembersAtLeast(3) != 2 || sum.Unknown > 0 {
		t.Fatalf("%+v", sum)
	}
	child.BeginAnswer()
	if _, again := child.Answer(downs[0].Update, time.Second); again {
		t.Fatal("one message answered twice")
	}
}

// A process that no call reaches, but whose reports arrive, gets what it lacks with their answers, and lags no more.
func TestOneWayLink(t *testing.T) {
	first, err := configuration.NewDocument(1, json.RawMessage(`{"a":1}`))
	if err != nil {
		t.Fatal(err)
	}
	second, err := configuration.NewDocument(2, json.RawMessage(`{"a":2}`))
	if err != nil {
		t.Fatal(err)
	}
	life := view.Life{Name: "c", Incarnation: 1}
	parent, child := New(view.Life{Name: "p", Incarnation: 1}, first, 1), New(life, first, 1)
	parent.SetTree(Parent{}, []view.Life{life}, 0)
	child.SetTree(Parent{Life: view.Life{Name: "p", Incarnation: 1}}, nil, 0)
	report := func(now view.Uptime) {
		t.Helper()
		r, due := child.DueReport(now)
		if !due {
			t.Fatal("no report is due")
		}
		child.ReportAnswered(child.Parent(), parent.HandleReport(r, now), now)
	}
	report(0)
	parent.SetDecided(second, time.Second)
	parent.RecordApplied(2, nil, time.Second)
	for _, to := range parent.DueUpdates(time.Second) {
		parent.UpdateFailed(to.Child, time.Second)
	}
	if sum := parent.Summary(5 * time.Second); len(sum.Laggards) != 1 || sum.Laggards[0].Reason != Unreachable {
		t.Fatalf("%+v", sum)
	}
	report(time.Minute) // none is due sooner
	if d, due := child.NextToApply(time.Minute); !due || d.Version != 2 {
		t.Fatal(d, due)
	}
	child.RecordApplied(2, nil, time.Minute)
	report(2 * time.Minute)
	if sum := parent.Summary(2 * time.Minute); len(sum.Laggards) != 0 || !parent.Settled() {
		t.Fatalf("%+v", sum)
	}
}
