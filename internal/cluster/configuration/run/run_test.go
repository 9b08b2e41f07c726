package run

import (
	"strings"
	"testing"

	"go.uber.org/goleak"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/configuration/ledger"
	"flaxcove/internal/cluster/configuration/spread"
	"flaxcove/internal/cluster/leadercall"
)

// TestChange checks that a change is committed once although its first answer is lost, that it comes into force and is
// stored in each process, and that it is sent as a patch. The same order again gets the same version.
func TestChange(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := newFleet(t, 13)
	defer f.close()
	f.net.LoseNextAnswer(ledger.KindDecide) // the change is committed, but its answer is lost, so it is proposed again with the same ID
	first := f.mustChange("a", 0, `{"pace":1}`)
	before := f.net.CallsStarted(pathUpdate)
	second := f.mustChange("b", 1, `{"pace":2}`)
	t.Logf("%d updates for one change with 13 processes", f.net.CallsStarted(pathUpdate)-before)
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
	if status := f.runners[0].Status(); status.Counters.PatchesSent == 0 {
		t.Errorf("no patch was sent: %+v", status.Counters)
	}
	var got orderResponse
	if code := f.request("p04", "POST", "/v1/configuration", `{"id":"a","base":0,"patch":{"pace":1},"who":"ops","why":"try"}`, &got); code != 202 ||
		!got.Duplicate || got.Version != 1 || got.Sum != first.Sum {
		t.Errorf("the same order again: %d %+v", code, got)
	}
	s := f.mustStatus()
	if s.Version != 2 || s.State != InForce || s.Members != 13 || !running(s, 2, 13) ||
		s.At100MS == 0 || s.At100MS < s.At50MS || s.Why != "try" || len(s.Laggards)+len(s.Absent) > 0 {
		t.Errorf("%+v", s)
	}
	f.request("p03", "GET", "/v1/configuration/1", "", &s)
	if !strings.Contains(string(s.Settings), `"pace":1`) {
		t.Errorf("%s", s.Settings)
	}
}

// running reports whether version is the newest version in force, in exactly this number of processes.
func running(s ConfigurationStatus, version uint64, members int) bool {
	return len(s.InForce) > 0 && s.InForce[0] == spread.Count{Version: version, Members: members}
}

// TestRejectedOrders checks the status and the field in the answer to invalid and conflicting orders, and that none of
// them makes a new version.
func TestRejectedOrders(t *testing.T) {
	f := newFleet(t, 4)
	f.mustChangePace("a", 0)
	for name, c := range map[string]struct {
		url, body string
		code      int
		field     string
		current   uint64
	}{
		"older base":      {"", `{"id":"b","base":0,"patch":{"pace":1},"who":"w","why":"y"}`, 409, "base", 1},
		"other content":   {"", `{"id":"a","base":0,"patch":{"pace":4},"who":"ops","why":"try"}`, 409, "id", 1},
		"check":           {"", `{"id":"b","base":1,"patch":{"pace":-1},"who":"w","why":"y"}`, 400, "patch", 0},
		"check settings":  {"", `{"id":"b","base":1,"settings":{"pace":-1},"who":"w","why":"y"}`, 400, "settings", 0},
		"no object":       {"", `{"id":"b","base":1,"settings":[],"who":"w","why":"y"}`, 400, "settings", 0},
		"both":            {"", `{"id":"b","base":1,"settings":{},"patch":{},"who":"w","why":"y"}`, 400, "settings", 0},
		"no base":         {"", `{"id":"b","settings":{},"who":"w","why":"y"}`, 400, "base", 0},
		"no why":          {"", `{"id":"b","base":1,"settings":{},"who":"w"}`, 400, "why", 0},
		"unknown field":   {"", `{"id":"b","base":1,"colour":{}}`, 400, "", 0},
		"unknown wait":    {"?wait=long", `{"id":"b","base":1,"settings":{},"who":"w","why":"y"}`, 400, "wait", 0},
		"no such version": {"/9/restore", `{"id":"b","who":"w","why":"y"}`, 400, "restore", 0},
		"no number":       {"/x/restore", `{"id":"b","who":"w","why":"y"}`, 400, "version", 0},
		"restore a patch": {"/1/restore", `{"id":"b","patch":{},"who":"w","why":"y"}`, 400, "settings", 0},
		"restore in body": {"", `{"id":"b","restore":1,"who":"w","why":"y"}`, 400, "restore", 0},
	} {
		var response leadercall.ErrorResponse
		if code := f.request("p03", "POST", "/v1/configuration"+c.url, c.body, &response); code != c.code || response.Field != c.field || response.Error == "" ||
			(c.current > 0) != (response.Current != nil) || c.current > 0 && *response.Current != c.current {
			t.Errorf("%s: %d %+v", name, code, response)
		}
	}
	var response leadercall.ErrorResponse
	if code := f.request("p03", "GET", "/v1/configuration/9", "", &response); code != 404 {
		t.Errorf("%d %+v", code, response)
	}
	if s := f.mustStatus(); s.Version != 1 {
		t.Errorf("%+v", s)
	}
}

// mustChangePace is mustChange with a fixed patch. It sends the order to p01, so that it works in small fleets.
func (f *fleet) mustChangePace(id string, base uint64) {
	f.t.Helper()
	var got orderResponse
	body := `{"id":"` + id + `","base":` + string(rune('0'+base)) + `,"patch":{"pace":1},"who":"ops","why":"try"}`
	if code := f.request("p01", "POST", "/v1/configuration?wait=in_force&for=20s", body, &got); code != 200 {
		f.t.Fatalf("%d %+v", code, got)
	}
}

// TestRestoreOlderVersion checks that one order restores an older version, or the file from before the first change, as
// a new version.
func TestRestoreOlderVersion(t *testing.T) {
	f := newFleet(t, 4)
	f.mustChangePace("a", 0)
	f.mustChangePace("b", 1)
	var got orderResponse
	for i, version := range []string{"1", "0"} {
		body := `{"id":"back to ` + version + `","who":"ops","why":"it was bad"}`
		if code := f.request("p03", "POST", "/v1/configuration/"+version+"/restore?wait=in_force&for=20s", body, &got); code != 200 || got.Version != uint64(3+i) {
			t.Fatalf("%d %+v", code, got)
		}
	}
	cached, err := configuration.LoadCached(f.senders[3].folder)
	if err != nil || string(cached.Settings) != ownSettings || cached.Version != 4 {
		t.Fatalf("%s %v", cached.Settings, err)
	}
	if s := f.mustStatus(); s.Restored == nil || *s.Restored != 0 {
		t.Fatalf("%+v", s)
	}
}
