package run

// This file is the tests with partitions, restarts, lost leaders and damaged files.

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

// A process that is partitioned during three changes is shown with its version, and gets only the newest once it is back.
// A process that restarts has it before it is ready.
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
	f.waitFor("p12 is named", func() bool {
		s := f.mustStatus()
		return len(s.Laggards) == 1 && s.Laggards[0].Name == "p12" && s.Laggards[0].Reason == spread.Unreachable &&
			s.Laggards[0].Version == 1 && running(s, 4, 12) && s.State == Spreading
	})
	f.members[12].State = view.Dead // in time the view says so, too
	f.publishView()
	f.waitFor("p12 is away with its version", func() bool {
		s := f.mustStatus()
		return len(s.Away) == 1 && s.Away[0].Name == "p12" && s.Away[0].Version == 1 && s.Away[0].VersionKnown && s.Members == 12
	})
	f.members[12].State = view.Alive
	f.net.SetDown(false, "p12")
	f.publishView()
	f.waitFor("p12 has caught up", func() bool { return f.runners[12].Status().Version == 4 })
	if ran := f.senders[12].history(); len(ran) != 3 {
		t.Errorf("p12 ran %v", ran)
	}
	f.waitFor("all is in force", func() bool { return f.mustStatus().State == InForce })

	f.runners[11].Close()
	f.changeWithoutEleven(t)
	f.members[11].Incarnation++
	f.start(11)
	f.publishView()
	f.waitReady(f.runners[11])
	if status := f.runners[11].Status(); status.Version != 5 || !status.CaughtUp {
		t.Errorf("ready with %+v", status)
	}
}

// changeWithoutEleven orders a change while p11 can be reached by nobody.
func (f *fleet) changeWithoutEleven(t *testing.T) {
	t.Helper()
	f.net.SetDown(true, "p11")
	var got orderResponse
	if code := f.request("p07", "POST", "/v1/configuration", `{"id":"e","base":4,"patch":{"pace":9},"who":"ops","why":"try"}`, &got); code != 202 {
		t.Fatalf("%d %+v", code, got)
	}
	f.net.SetDown(false, "p11")
}

// A process whose program rejects a version goes on with what it has, reports the field, and holds up nobody; nor does
// one whose sender rejects what its check let pass: it restarts with what was in force.
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
	f.waitFor("all have the next", func() bool { return f.mustStatus().State == InForce })
}

// A process that its parent does not reach, and one that is back while it is still absent from the view, get what they
// lack from the leader.
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
	f.waitFor("p12 has it", func() bool { return f.runners[12].Status().Version == 2 })
	f.net.SetDown(false, "p11")
	f.waitFor("p11 has it", func() bool { return f.runners[11].Status().Version == 2 })
	f.waitFor("it is shown with what it has", func() bool {
		s := f.mustStatus()
		return len(s.Away) == 1 && s.Away[0].Name == "p11" && s.Away[0].Version == 2
	})
	f.net.SetCut("p12", "p03", false)
	f.members[11].State = view.Alive
	f.publishView()
	f.waitFor("all is in force", func() bool { return f.mustStatus().State == InForce })
}

// The leader is lost during a change: what was committed comes into force everywhere.
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
	f.waitFor("those who are reached have it", func() bool { return f.mustStatus().State == InForce && running(f.mustStatus(), 2, 11) })
	f.net.SetDown(false, "p02", "p03")
	f.members[2].State, f.members[3].State = view.Alive, view.Alive
	f.publishView()
	f.waitFor("all have it", func() bool { return f.mustStatus().State == InForce })
}

// After the consensus group lost its records, versions are numbered on from what members have in force.
func TestAdoptAfterLostRecords(t *testing.T) {
	f := newFleet(t, 4)
	f.mustChangePace("a", 0)
	f.mustChangePace("b", 1)
	f.net.SetLeaderAfter("p03", func() {
		if err := f.ledger.Restore(json.RawMessage("null")); err != nil {
			t.Fatal(err)
		}
	})
	f.waitFor("the council knows version 2", func() bool { return f.mustStatus().Version == 2 })
	f.mustChangePace("c", 2)
	if got := f.runners[1].Status().Version; got != 3 {
		t.Fatal(got)
	}
}

// A damaged stored version is not used; the process gets the version from others before it is ready.
func TestDamagedCacheIsReplaced(t *testing.T) {
	f := newFleet(t, 4)
	f.mustChangePace("a", 0)
	f.runners[3].Close()
	f.senders[3].applied = nil // what it runs at first is its own file: what was kept is lost with the file
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

// A process that reaches nobody becomes ready, and reports that it has not caught up.
func TestProcessWithoutPeersBecomesReady(t *testing.T) {
	defer goleak.VerifyNone(t)
	l := ledger.New()
	f := &fleet{t: t, net: leadercalltest.New(l, ""), ledger: l}
	s := &fakeSender{folder: t.TempDir()}
	member := view.Member{Life: view.Life{Name: "p", Incarnation: 1}}
	r, err := Start(Options{Self: member, Link: f.net.Link(member.Life), Consensus: f.net.Consensus("p"), Ledger: f.ledger, Orders: s,
		Folder: s.folder, CatchUp: 50 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	f.waitReady(r)
	if r.Status().CaughtUp {
		t.Error("caught up with nobody")
	}
	if _, err := Start(Options{}); err == nil {
		t.Error("started with nothing")
	}
}

// A version that can't be written to disk is not put in force, and reported.
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
		t.Errorf("p03 ran %v without a disk", ran)
	}
}
