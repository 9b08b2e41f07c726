package judge

import (
	"slices"
	"testing"

	"flaxcove/choice"
	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/configuration/run"
	"flaxcove/internal/cluster/status"
	"flaxcove/internal/cluster/view"
)

// statusOf returns the status of a process with a plan.
func statusOf(name view.Name, epoch view.Epoch, sum uint32) *status.Status {
	m := view.Member{Instance: view.Instance{Name: name, Incarnation: 1}}
	return &status.Status{Self: m, Members: []view.Member{m}, Root: "a", Leader: "a", Epoch: epoch, PlanSum: sum}
}

// TestEpochs checks that conflicting plans and decreasing epochs are breaches.
func TestEpochs(t *testing.T) {
	for _, c := range []struct {
		what string
		saw  []*status.Status
		want int
	}{
		{"two processes with the same plan, one whose plan lapsed, one with an older plan", []*status.Status{statusOf("a", 2, 7), statusOf("b", 2, 7), statusOf("b", 0, 0), statusOf("c", 1, 5)}, 0},
		{"two plans of one epoch", []*status.Status{statusOf("a", 2, 7), statusOf("b", 2, 8)}, 1},
		{"one process goes back to an older epoch", []*status.Status{statusOf("a", 2, 7), statusOf("a", 1, 5)}, 1},
	} {
		j := New()
		for _, s := range c.saw {
			j.ObserveStatus(s)
		}
		if b := j.End(nil); len(b) != c.want || c.want > 0 && b[0].Promise != Forked {
			t.Errorf("%s: %v", c.what, b)
		}
	}
}

// TestPurges checks that only a matching message that was accepted before a purge and sent after its completion is a breach, and
// that differences and an incomplete purge at the end are breaches.
func TestPurges(t *testing.T) {
	j := New()
	mine := func(n choice.MessageID) bool { return n != "other" }
	j.Accepted("before", 10)
	j.Accepted("other", 10)
	j.PurgeOrdered("p", 20, mine)
	j.Accepted("after", 30)
	j.CallSent("before", 40) // allowed: the purge is not complete yet
	j.PurgeComplete("p", 50, false)
	j.CallSent("after", 60)
	j.CallSent("other", 60)
	if b := j.End(nil); len(b) != 0 {
		t.Fatalf("breaches of a correct run: %v", b)
	}
	j.CallSent("before", 60)
	j.PurgeOrdered("q", 70, mine)
	b := j.End([]string{"s1 sees 2 of 3"})
	var got []Promise
	for _, one := range b {
		got = append(got, one.Promise)
	}
	if len(got) != 3 || got[0] != SentAfterPurge || got[1] != Disagreement || got[2] != Unreported {
		t.Errorf("breaches: %v", b)
	}
}

// statusWithVersion returns the status of a process that runs a version of the settings from a folder.
func statusWithVersion(name view.Name, folder string, version uint64, sum configuration.Sum) *status.Status {
	s := statusOf(name, 0, 0)
	s.Self.FolderID, s.Configuration = folder, &run.Status{Version: version, Sum: sum}
	return s
}

// TestVersions checks that a decreasing version in a folder, two contents of a version and two changes with the same version are
// breaches.
func TestVersions(t *testing.T) {
	for _, c := range []struct {
		what string
		saw  []*status.Status
		want []Promise
	}{
		{"versions rise; a process with an emptied folder starts again at 0", []*status.Status{statusWithVersion("a", "f", 1, "x"), statusWithVersion("a", "f", 3, "z"), statusWithVersion("a", "g", 0, ""), statusWithVersion("b", "h", 1, "x")}, nil},
		{"an older version from the same folder", []*status.Status{statusWithVersion("a", "f", 3, "z"), statusWithVersion("a", "f", 2, "y")}, []Promise{VersionRegressed}},
		{"two contents of a version", []*status.Status{statusWithVersion("a", "f", 3, "z"), statusWithVersion("b", "g", 3, "y")}, []Promise{Forked}},
	} {
		j := New()
		for _, s := range c.saw {
			j.ObserveStatus(s)
		}
		var got []Promise
		for _, b := range j.End(nil) {
			got = append(got, b.Promise)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v", c.what, got)
		}
	}
	j := New()
	j.ChangeOrdered("c1")
	j.ChangeOrdered("c2")
	j.ChangeOrdered("c3")
	j.ChangeDecided("c1", 4, "x")
	j.ChangeDecided("c2", 4, "x")
	if b := j.End(nil); len(b) != 2 || b[0].Promise != Forked || b[1].Promise != Unreported || j.Newest() != 4 {
		t.Error(b)
	}
	if differences := Differences([]*status.Status{statusWithVersion("a", "f", 3, "z"), statusWithVersion("b", "g", 2, "y")}, 1, false); len(differences) != 1 {
		t.Error(differences)
	}
}

// TestSettled checks that Differences reports every difference between two statuses.
func TestSettled(t *testing.T) {
	a, b := statusOf("a", 2, 7), statusOf("b", 2, 7)
	a.Members = []view.Member{a.Self, b.Self}
	b.Members = a.Members
	if differences := Differences([]*status.Status{a, b}, 2, true); len(differences) != 0 {
		t.Error(differences)
	}
	b.Epoch, b.Leader, b.LastPurge = 1, "b", 4
	if differences := Differences([]*status.Status{a, b}, 3, true); len(differences) != 6 {
		t.Errorf("%d differences: %v", len(differences), differences)
	}
}
