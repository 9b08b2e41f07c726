package run

// This file holds the tests with partitions, restarts, lost leaders and damaged files.

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/configuration/ledger"
	"flaxcove/internal/cluster/configuration/spread"
	"flaxcove/internal/cluster/leadercall/leadercalltest"
	"flaxcove/internal/cluster/view"
)

// TestPartitionedProcessCatchesUp checks that a process that is partitioned during three changes is shown with its
// version and gets only the newest version afterwards. It also checks that a process that restarts after it has missed
// a change has the newest version in force before it is ready.
func TestPartitionedProcessCatchesUp(t *testing.T) {
	f := newFleet(t, 13)
	f.mustChange("a", 0, `{"pace":1}`)
	f.net.SetDown(true, "p12")
	for i, id := range []string{"b", "c", "d"} {
		var got orderResponse
		body := `{"id":"` + id + `","base":` + string(rune('1'+i)) + `,"patch":{"pace":` + string(rune('2'+i)) + `},"who":"ops","why":"try"}`
		if code := f.request("p07", "POST", "/v1/configuration", body, &got); code != 202 {
			t.Fatalf("%d %+v", code, got)
		}
	}
	f.waitFor("p12 is shown as unreachable", func() bool {
		s := f.mustStatus()
		return len(s.Laggards) == 1 && s.Laggards[0].Name == "p12" && s.Laggards[0].Reason == spread.Unreachable &&
			s.Laggards[0].Version == 1 && running(s, 4, 12) && s.State == Spreading
	})
	f.members[12].State = view.Dead // the view shows its absence only later
	f.publishView()
	f.waitFor("p12 is shown as absent with its version", func() bool {
		s := f.mustStatus()
		return len(s.Absent) == 1 && s.Absent[0].Name == "p12" && s.Absent[0].Version == 1 && s.Absent[0].VersionKnown && s.Members == 12
	})
	f.members[12].State = view.Alive
	f.net.SetDown(false, "p12")
	f.publishView()
	f.waitFor("p12 has caught up", func() bool { return f.runners[12].Status().Version == 4 })
	if ran := f.senders[12].history(); len(ran) != 3 {
		t.Errorf("p12 ran %v", ran)
	}
	f.waitFor("the newest version is in force everywhere", func() bool { return f.mustStatus().State == InForce })

	f.runners[11].Close()
	f.changeWithoutEleven(t)
	f.members[11].Incarnation++
	f.start(11)
	f.publishView()
	f.waitReady(f.runners[11])
	if status := f.runners[11].Status(); status.Version != 5 || !status.CaughtUp {
		t.Errorf("after the restart p11 is ready with %+v", status)
	}
}

// changeWithoutEleven orders a change while no process can reach p11.
func (f *fleet) changeWithoutEleven(t *testing.T) {
	t.Helper()
	f.net.SetDown(true, "p11")
	var got orderResponse
	if code := f.request("p07", "POST", "/v1/configuration", `{"id":"e","base":4,"patch":{"pace":9},"who":"ops","why":"try"}`, &got); code != 202 {
		t.Fatalf("%d %+v", code, got)
	}
	f.net.SetDown(false, "p11")
}

// TestRejectedByOneProcess checks that a process whose check rejects a version keeps the version that it has, reports
// the rejected field, and does not delay the others. The same holds for a process whose sender rejects a version that
// passed the check; it also restarts with the version that was in force.
func TestRejectedByOneProcess(t *testing.T) {
	f := newFleet(t, 13)
	f.mustChange("a", 0, `{"pace":1}`)
	f.senders[5].rejectsField, f.senders[6].failsAtField = "shiny", "shiny"
	var got orderResponse
	body := `{"id":"b","base":1,"patch":{"shiny":true},"who":"ops","why":"try"}`
	if code := f.request("p07", "POST", "/v1/configuration?wait=in_force&for=20s", body, &got); code != 200 || got.State != InForceExceptRejected {
		t.Fatalf("%d %+v", code, got)
	}
	s := f.mustStatus()
	if len(s.Laggards) != 2 || !running(s, 2, 11) {
		t.Fatalf("%+v", s)
	}
	for _, l := range s.Laggards {
		if l.Reason != spread.Rejected || !strings.Contains(l.Text, "shiny") || l.Version != 1 {
			t.Errorf("%+v", l)
		}
	}
	f.restart(6)
	f.waitReady(f.runners[6])
	if status := f.runners[6].Status(); status.Version != 1 || status.Rejected != 2 {
		t.Errorf("%+v", status)
	}
	f.mustChange("c", 2, `{"shiny":null}`)
	f.waitFor("the next version is in force everywhere", func() bool { return f.mustStatus().State == InForce })
}

// TestLeaderAnnouncesOutsideTheTree checks that the leader's announcements bring the newest version to a process that
// its parent does not reach, and to a process that has returned but is still absent from the view.
func TestLeaderAnnouncesOutsideTheTree(t *testing.T) {
	f := newFleet(t, 13)
	f.mustChange("a", 0, `{"pace":1}`)
	f.net.SetCut("p12", "p03", true) // its parent
	f.net.SetDown(true, "p11")
	f.members[11].State = view.Dead
	f.publishView()
	var got orderResponse
	if code := f.request("p07", "POST", "/v1/configuration", `{"id":"b","base":1,"patch":{"pace":2},"who":"ops","why":"try"}`, &got); code != 202 {
		t.Fatalf("%d %+v", code, got)
	}
	f.waitFor("p12 has version 2", func() bool { return f.runners[12].Status().Version == 2 })
	f.net.SetDown(false, "p11")
	f.waitFor("p11 has version 2", func() bool { return f.runners[11].Status().Version == 2 })
	f.waitFor("p11 is shown as absent with version 2", func() bool {
		s := f.mustStatus()
		return len(s.Absent) == 1 && s.Absent[0].Name == "p11" && s.Absent[0].Version == 2
	})
	f.net.SetCut("p12", "p03", false)
	f.members[11].State = view.Alive
	f.publishView()
	f.waitFor("the newest version is in force everywhere", func() bool { return f.mustStatus().State == InForce })
}

// TestLeaderLostDuringChange checks that a committed version comes into force everywhere although the leader is lost
// before it has distributed the version.
func TestLeaderLostDuringChange(t *testing.T) {
	f := newFleet(t, 13)
	f.mustChange("a", 0, `{"pace":1}`)
	f.net.SetDown(true, "p02", "p03")
	body, _ := json.Marshal(ledger.Decide{ID: "b", Base: 1, Settings: json.RawMessage(`{"pace":2}`), Who: "w", Why: "y"})
	f.net.SetLeaderAfter("p09", func() {
		if _, err := f.ledger.Apply(0, 0, ledger.KindDecide, body); err != nil {
			t.Fatal(err)
		}
	})
	f.members[2].State, f.members[3].State = view.Dead, view.Dead
	f.publishView()
	f.waitFor("version 2 is in force in the processes that are up", func() bool { return f.mustStatus().State == InForce && running(f.mustStatus(), 2, 11) })
	f.net.SetDown(false, "p02", "p03")
	f.members[2].State, f.members[3].State = view.Alive, view.Alive
	f.publishView()
	f.waitFor("version 2 is in force everywhere", func() bool { return f.mustStatus().State == InForce })
}

// TestAdoptAfterLostRecords checks that a consensus group that has lost its records adopts the version that members
// have in force, and numbers the next versions from there.
func TestAdoptAfterLostRecords(t *testing.T) {
	f := newFleet(t, 4)
	f.mustChangePace("a", 0)
	f.mustChangePace("b", 1)
	f.net.SetLeaderAfter("p03", func() {
		if err := f.ledger.Restore(json.RawMessage("null")); err != nil {
			t.Fatal(err)
		}
	})
	f.waitFor("the consensus group knows version 2", func() bool { return f.mustStatus().Version == 2 })
	f.mustChangePace("c", 2)
	if got := f.runners[1].Status().Version; got != 3 {
		t.Fatal(got)
	}
}

// TestDamagedCacheIsReplaced checks that a damaged stored version is not used, and that the process gets the version
// from the others before it is ready.
func TestDamagedCacheIsReplaced(t *testing.T) {
	f := newFleet(t, 4)
	f.mustChangePace("a", 0)
	f.runners[3].Close()
	f.senders[3].applied = nil // with the stored version lost, the sender starts with its own file
	if err := os.WriteFile(configuration.Path(f.senders[3].folder), []byte(`{"version":1,"sum":"`), 0o640); err != nil {
		t.Fatal(err)
	}
	f.members[3].Incarnation++
	f.start(3)
	f.publishView()
	f.waitReady(f.runners[3])
	if status := f.runners[3].Status(); status.Version != 1 {
		t.Errorf("%+v", status)
	}
}

// TestProcessWithoutPeersBecomesReady checks that a process that reaches no other becomes ready and reports that it has
// not caught up.
func TestProcessWithoutPeersBecomesReady(t *testing.T) {
	defer goleak.VerifyNone(t)
	l := ledger.New()
	f := &fleet{t: t, net: leadercalltest.New(l, ""), ledger: l}
	s := &fakeSender{folder: t.TempDir()}
	member := view.Member{Instance: view.Instance{Name: "p", Incarnation: 1}}
	r, err := Start(Options{Self: member, Link: f.net.Link(member.Instance), Consensus: f.net.Consensus("p"), Ledger: f.ledger, Orders: s,
		Folder: s.folder, CatchUp: 50 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	f.waitReady(r)
	if r.Status().CaughtUp {
		t.Error("the process reports that it has caught up")
	}
	if _, err := Start(Options{}); err == nil {
		t.Error("Start accepted empty options")
	}
}

// TestUnwritableFolder checks that a version that can't be stored on disk is not put in force and is reported as
// rejected.
func TestUnwritableFolder(t *testing.T) {
	f := newFleet(t, 4)
	folder := f.senders[3].folder
	if err := errors.Join(os.Remove(folder), os.WriteFile(folder, nil, 0o600)); err != nil {
		t.Fatal(err)
	}
	var got orderResponse
	body := `{"id":"a","base":0,"settings":{"pace":1},"who":"ops","why":"try"}`
	if code := f.request("p01", "POST", "/v1/configuration?wait=in_force&for=20s", body, &got); code != 200 || got.State != InForceExceptRejected {
		t.Fatalf("%d %+v", code, got)
	}
	if ran := f.senders[3].history(); len(ran) != 1 {
		t.Errorf("p03 ran %v although it can store nothing", ran)
	}
}
