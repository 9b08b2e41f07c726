package judge

import (
	"testing"

	"flaxcove/choice"
	"flaxcove/internal/cluster/status"
	"flaxcove/internal/cluster/view"
)

func told(name view.Name, epoch view.Epoch, sum uint32) *status.Status {
	m := view.Member{Life: view.Life{Name: name, Incarnation: 1}}
	return &status.Status{Self: m, Members: []view.Member{m}, Root: "a", Leader: "a", Epoch: epoch, PlanSum: sum}
}

func TestEpochs(t *testing.T) {
	for _, c := range []struct {
		what string
		saw  []*status.Status
		want int
	}{
		{"two at one epoch with one plan, one that lapsed, one behind", []*status.Status{told("a", 2, 7), told("b", 2, 7), told("b", 0, 0), told("c", 1, 5)}, 0},
		{"two plans of one epoch", []*status.Status{told("a", 2, 7), told("b", 2, 8)}, 1},
		{"one that goes back", []*status.Status{told("a", 2, 7), told("a", 1, 5)}, 1},
	} {
		j := New()
		for _, s := range c.saw {
			j.Saw(s)
		}
		if b := j.End(nil); len(b) != c.want || c.want > 0 && b[0].Promise != Fork {
			t.Errorf("%s: %v", c.what, b)
		}
	}
}

func TestPurges(t *testing.T) {
	j := New()
	mine := func(n choice.NoticeID) bool { return n != "other" }
	j.Taken("before", 10)
	j.Taken("other", 10)
	j.Opened("p", 20, mine)
	j.Taken("after", 30)
	j.Began("before", 40) // it spreads still
	j.Complete("p", 50, false)
	j.Began("after", 60)
	j.Began("other", 60)
	if b := j.End(nil); len(b) != 0 {
		t.Fatalf("nothing was broken: %v", b)
	}
	j.Began("before", 60)
	j.Opened("q", 70, mine)
	b := j.End([]string{"s1 sees 2 of 3"})
	var got []Promise
	for _, one := range b {
		got = append(got, one.Promise)
	}
	if len(got) != 3 || got[0] != Purged || got[1] != Parted || got[2] != Untold {
		t.Errorf("broken: %v", b)
	}
}

func TestSettled(t *testing.T) {
	a, b := told("a", 2, 7), told("b", 2, 7)
	a.Members = []view.Member{a.Self, b.Self}
	b.Members = a.Members
	if why := Settled([]*status.Status{a, b}, 2, true); len(why) != 0 {
		t.Error(why)
	}
	b.Epoch, b.Leader, b.Purged = 1, "b", 4
	if why := Settled([]*status.Status{a, b}, 3, true); len(why) != 6 {
		t.Errorf("%d differences: %v", len(why), why)
	}
}
