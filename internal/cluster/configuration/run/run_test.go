package run

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
	"flaxcove/internal/cluster/ordering"
	"flaxcove/internal/cluster/ordering/orderingtest"
	"flaxcove/internal/cluster/view"
)

// A change is decided once, in force at each, kept there, and told as what it changes; the same order again is the
// same version, and an order upon an older version is told the newest.
func TestChange(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := newFleet(t, 13)
	defer f.close()
	f.net.LoseNext(ledger.KindDecide) // decided, and the answer lost: ordered again under the same id
	first := f.change("a", 0, `{"pace":1}`)
	before := f.net.Begun(pathDown)
	second := f.change("b", 1, `{"pace":2}`)
	t.Logf("%d messages down for a change, 13 processes", f.net.Begun(pathDown)-before)
	for i, r := range f.runners {
		status := r.Status()
		if status.Version != 2 || status.Sum != second.Sum || !status.CaughtUp {
			t.Errorf("%+v", status)
		}
		cached, err := configuration.LoadCached(f.senders[i].folder)
		if err != nil || cached.Version != 2 || !strings.Contains(string(cached.Settings), `"pace":2`) {
			t.Errorf("%+v %v", cached, err)
		}
	}
	if status := f.runners[0].Status(); status.Figures.Changes == 0 {
		t.Errorf("the whole travelled: %+v", status.Figures)
	}
	var got taken
	if code := f.ask("p04", "POST", "/v1/configuration", `{"id":"a","base":0,"patch":{"pace":1},"who":"ops","why":"try"}`, &got); code != 202 ||
		!got.Known || got.Version != 1 || got.Sum != first.Sum {
		t.Errorf("the same again: %d %+v", code, got)
	}
	s := f.shown()
	if s.Version != 2 || s.State != InForce || s.Members != 13 || !running(s, 2, 13) ||
		s.At100MS == 0 || s.At100MS < s.At50MS || s.Why != "try" || len(s.Laggards)+len(s.Away) > 0 {
		t.Errorf("%+v", s)
	}
	f.ask("p03", "GET", "/v1/configuration/1", "", &s)
	if !strings.Contains(string(s.Settings), `"pace":1`) {
		t.Errorf("%s", s.Settings)
	}
}

// running tells whether so many, and no others, run the newest version.
func running(s Shown, version uint64, members int) bool {
	return len(s.InForce) > 0 && s.InForce[0] == spread.Count{Version: version, Members: members}
}

func TestRefusals(t *testing.T) {
	f := newFleet(t, 4)
	f.change3("a", 0)
	for name, c := range map[string]struct {
		url, body string
		code      int
		field     string
		current   uint64
	}{
		"older base":      {"", `{"id":"b","base":0,"patch":{"pace":1},"who":"w","why":"y"}`, 409, "base", 1},
		"other content":   {"", `{"id":"a","base":0,"patch":{"pace":4},"who":"ops","why":"try"}`, 409, "id", 1},
		"check":           {"", `{"id":"b","base":1,"patch":{"pace":-1},"who":"w","why":"y"}`, 400, "patch", 0},
		"check of whole":  {"", `{"id":"b","base":1,"settings":{"pace":-1},"who":"w","why":"y"}`, 400, "settings", 0},
		"no object":       {"", `{"id":"b","base":1,"settings":[],"who":"w","why":"y"}`, 400, "settings", 0},
		"both":            {"", `{"id":"b","base":1,"settings":{},"patch":{},"who":"w","why":"y"}`, 400, "settings", 0},
		"no base":         {"", `{"id":"b","settings":{},"who":"w","why":"y"}`, 400, "base", 0},
		"no why":          {"", `{"id":"b","base":1,"settings":{},"who":"w"}`, 400, "why", 0},
		"unknown field":   {"", `{"id":"b","base":1,"colour":{}}`, 400, "", 0},
		"nothing to wait": {"?wait=long", `{"id":"b","base":1,"settings":{},"who":"w","why":"y"}`, 400, "wait", 0},
		"not held":        {"/9/restore", `{"id":"b","who":"w","why":"y"}`, 400, "restore", 0},
		"no number":       {"/x/restore", `{"id":"b","who":"w","why":"y"}`, 400, "version", 0},
		"restore of what": {"/1/restore", `{"id":"b","patch":{},"who":"w","why":"y"}`, 400, "settings", 0},
		"restore in body": {"", `{"id":"b","restore":1,"who":"w","why":"y"}`, 400, "restore", 0},
	} {
		var no ordering.Refusal
		if code := f.ask("p03", "POST", "/v1/configuration"+c.url, c.body, &no); code != c.code || no.Field != c.field || no.Error == "" ||
			(c.current > 0) != (no.Current != nil) || c.current > 0 && *no.Current != c.current {
			t.Errorf("%s: %d %+v", name, code, no)
		}
	}
	var no ordering.Refusal
	if code := f.ask("p03", "GET", "/v1/configuration/9", "", &no); code != 404 {
		t.Errorf("%d %+v", code, no)
	}
	if s := f.shown(); s.Version != 1 {
		t.Errorf("%+v", s)
	}
}

// change3 is change where there are few processes.
func (f *fleet) change3(id string, base uint64) {
	f.t.Helper()
	var got taken
	body := `{"id":"` + id + `","base":` + string(rune('0'+base)) + `,"patch":{"pace":1},"who":"ops","why":"try"}`
	if code := f.ask("p01", "POST", "/v1/configuration?wait=in_force&for=20s", body, &got); code != 200 {
		f.t.Fatalf("%d %+v", code, got)
	}
}

// A return to an older version, and to the file from before, is one order; it is a new version.
func TestReturn(t *testing.T) {
	f := newFleet(t, 4)
	f.change3("a", 0)
	f.change3("b", 1)
	var got taken
	for i, version := range []string{"1", "0"} {
		body := `{"id":"back to ` + version + `","who":"ops","why":"it was bad"}`
		if code := f.ask("p03", "POST", "/v1/configuration/"+version+"/restore?wait=in_force&for=20s", body, &got); code != 200 || got.Version != uint64(3+i) {
			t.Fatalf("%d %+v", code, got)
		}
	}
	cached, err := configuration.LoadCached(f.senders[3].folder)
	if err != nil || string(cached.Settings) != own || cached.Version != 4 {
		t.Fatalf("%s %v", cached.Settings, err)
	}
	if s := f.shown(); s.Restored == nil || *s.Restored != 0 {
		t.Fatalf("%+v", s)
	}
}

// Who is cut off during three changes is shown with its version, and has the newest alone once it is back. Who ends and
// comes again has it before it is ready.
func TestCutOffAndBack(t *testing.T) {
	f := newFleet(t, 13)
	f.change("a", 0, `{"pace":1}`)
	f.net.SetDown(true, "p12")
	for i, id := range []string{"b", "c", "d"} {
		var got taken
		body := `{"id":"` + id + `","base":` + string(rune('1'+i)) + `,"patch":{"pace":` + string(rune('2'+i)) + `},"who":"ops","why":"try"}`
		if code := f.ask("p07", "POST", "/v1/configuration", body, &got); code != 202 {
			t.Fatalf("%d %+v", code, got)
		}
	}
	f.until("p12 is named", func() bool {
		s := f.shown()
		return len(s.Laggards) == 1 && s.Laggards[0].Name == "p12" && s.Laggards[0].Reason == spread.Unreachable &&
			s.Laggards[0].Version == 1 && running(s, 4, 12) && s.State == Spreading
	})
	f.members[12].State = view.Dead // in time the view says so, too
	f.see()
	f.until("p12 is away with its version", func() bool {
		s := f.shown()
		return len(s.Away) == 1 && s.Away[0].Name == "p12" && s.Away[0].Version == 1 && s.Away[0].Known && s.Members == 12
	})
	f.members[12].State = view.Alive
	f.net.SetDown(false, "p12")
	f.see()
	f.until("p12 has caught up", func() bool { return f.runners[12].Status().Version == 4 })
	if ran := f.senders[12].history(); len(ran) != 3 {
		t.Errorf("p12 ran %v", ran)
	}
	f.until("all is in force", func() bool { return f.shown().State == InForce })

	f.runners[11].Close()
	f.change11(t)
	f.members[11].Incarnation++
	f.start(11)
	f.see()
	f.ready(f.runners[11])
	if status := f.runners[11].Status(); status.Version != 5 || !status.CaughtUp {
		t.Errorf("ready with %+v", status)
	}
}

func (f *fleet) change11(t *testing.T) {
	t.Helper()
	f.net.SetDown(true, "p11")
	var got taken
	if code := f.ask("p07", "POST", "/v1/configuration", `{"id":"e","base":4,"patch":{"pace":9},"who":"ops","why":"try"}`, &got); code != 202 {
		t.Fatalf("%d %+v", code, got)
	}
	f.net.SetDown(false, "p11")
}

// One whose program does not take a version keeps what it has, says which field it is, and holds up nobody; nor does one
// whose sender refuses what its check let pass: its next life begins with what was in force.
func TestRefusedByOne(t *testing.T) {
	f := newFleet(t, 13)
	f.change("a", 0, `{"pace":1}`)
	f.senders[5].refuses, f.senders[6].fails = "shiny", "shiny"
	var got taken
	body := `{"id":"b","base":1,"patch":{"shiny":true},"who":"ops","why":"try"}`
	if code := f.ask("p07", "POST", "/v1/configuration?wait=in_force&for=20s", body, &got); code != 200 || got.State != WithRefusals {
		t.Fatalf("%d %+v", code, got)
	}
	s := f.shown()
	if len(s.Laggards) != 2 || !running(s, 2, 11) {
		t.Fatalf("%+v", s)
	}
	for _, l := range s.Laggards {
		if l.Reason != spread.Refused || !strings.Contains(l.Text, "shiny") || l.Version != 1 {
			t.Errorf("%+v", l)
		}
	}
	f.restart(6)
	f.ready(f.runners[6])
	if status := f.runners[6].Status(); status.Version != 1 || status.Refused != 2 {
		t.Errorf("%+v", status)
	}
	f.change("c", 2, `{"shiny":null}`)
	f.until("all have the next", func() bool { return f.shown().State == InForce })
}

// One that its parent does not reach, and one that is back while the view still says that it is away, have what they
// lack from whoever leads.
func TestBesideTheTree(t *testing.T) {
	f := newFleet(t, 13)
	f.change("a", 0, `{"pace":1}`)
	f.net.Cut("p12", "p03", true) // its parent
	f.net.SetDown(true, "p11")
	f.members[11].State = view.Dead
	f.see()
	var got taken
	if code := f.ask("p07", "POST", "/v1/configuration", `{"id":"b","base":1,"patch":{"pace":2},"who":"ops","why":"try"}`, &got); code != 202 {
		t.Fatalf("%d %+v", code, got)
	}
	f.until("p12 has it", func() bool { return f.runners[12].Status().Version == 2 })
	f.net.SetDown(false, "p11")
	f.until("p11 has it", func() bool { return f.runners[11].Status().Version == 2 })
	f.until("it is shown with what it has", func() bool {
		s := f.shown()
		return len(s.Away) == 1 && s.Away[0].Name == "p11" && s.Away[0].Version == 2
	})
	f.net.Cut("p12", "p03", false)
	f.members[11].State = view.Alive
	f.see()
	f.until("all is in force", func() bool { return f.shown().State == InForce })
}

// The leader goes in the middle of a change: what was decided is in force everywhere.
func TestLeaderGoes(t *testing.T) {
	f := newFleet(t, 13)
	f.change("a", 0, `{"pace":1}`)
	f.net.SetDown(true, "p02", "p03")
	body, _ := json.Marshal(ledger.Decide{ID: "b", Base: 1, Settings: json.RawMessage(`{"pace":2}`), Who: "w", Why: "y"})
	f.net.LeadUpon("p09", func() {
		if _, err := f.ledger.Apply(0, 0, ledger.KindDecide, body); err != nil {
			t.Fatal(err)
		}
	})
	f.members[2].State, f.members[3].State = view.Dead, view.Dead
	f.see()
	f.until("those who are reached have it", func() bool { return f.shown().State == InForce && running(f.shown(), 2, 11) })
	f.net.SetDown(false, "p02", "p03")
	f.members[2].State, f.members[3].State = view.Alive, view.Alive
	f.see()
	f.until("all have it", func() bool { return f.shown().State == InForce })
}

// Where the council lost its records, numbers go on above what members have in force.
func TestCouncilLost(t *testing.T) {
	f := newFleet(t, 4)
	f.change3("a", 0)
	f.change3("b", 1)
	f.net.LeadUpon("p03", func() {
		if err := f.ledger.Restore(json.RawMessage("null")); err != nil {
			t.Fatal(err)
		}
	})
	f.until("the council knows version 2", func() bool { return f.shown().Version == 2 })
	f.change3("c", 2)
	if got := f.runners[1].Status().Version; got != 3 {
		t.Fatal(got)
	}
}

// What was kept and is damaged is not used, and comes from the others before the process is ready.
func TestCachedIsDamaged(t *testing.T) {
	f := newFleet(t, 4)
	f.change3("a", 0)
	f.runners[3].Close()
	f.senders[3].ran = nil // what it runs at first is its own file: what was kept is lost with the file
	if err := os.WriteFile(configuration.Path(f.senders[3].folder), []byte(`{"version":1,"sum":"`), 0o640); err != nil {
		t.Fatal(err)
	}
	f.members[3].Incarnation++
	f.start(3)
	f.see()
	f.ready(f.runners[3])
	if status := f.runners[3].Status(); status.Version != 1 {
		t.Errorf("%+v", status)
	}
}

// One that reaches nobody serves on, and says that it has not caught up.
func TestAlone(t *testing.T) {
	defer goleak.VerifyNone(t)
	l := ledger.New()
	f := &fleet{t: t, net: orderingtest.New(l, ""), ledger: l}
	s := &sender{folder: t.TempDir()}
	member := view.Member{Life: view.Life{Name: "p", Incarnation: 1}}
	r, err := Start(Options{Self: member, Link: f.net.Link(member.Life), Consensus: f.net.Consensus("p"), Ledger: f.ledger, Orders: s,
		Folder: s.folder, CatchUp: 50 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	f.ready(r)
	if r.Status().CaughtUp {
		t.Error("caught up with nobody")
	}
	if _, err := Start(Options{}); err == nil {
		t.Error("started with nothing")
	}
}

// What cannot be written is not put in force, and told.
func TestNotCached(t *testing.T) {
	f := newFleet(t, 4)
	folder := f.senders[3].folder
	if err := errors.Join(os.Remove(folder), os.WriteFile(folder, nil, 0o600)); err != nil {
		t.Fatal(err)
	}
	var got taken
	body := `{"id":"a","base":0,"settings":{"pace":1},"who":"ops","why":"try"}`
	if code := f.ask("p01", "POST", "/v1/configuration?wait=in_force&for=20s", body, &got); code != 200 || got.State != WithRefusals {
		t.Fatalf("%d %+v", code, got)
	}
	if ran := f.senders[3].history(); len(ran) != 1 {
		t.Errorf("p03 ran %v without a disk", ran)
	}
}
