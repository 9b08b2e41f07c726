package scale

import (
	"testing"

	"flaxcove/lab/scale/host"
)

// TestSeeEachOther: the next members are started once those that run see all that were started, and not while one of them
// is still on its way, sees fewer, or sees one that is gone.
func TestSeeEachOther(t *testing.T) {
	member := func(up bool, here int) host.MemberState { return host.MemberState{Up: up, Alive: here} }
	answers := func(hosts ...[]host.MemberState) (all []*host.Answer) {
		for _, states := range hosts {
			all = append(all, &host.Answer{States: states})
		}
		return all
	}
	for _, c := range []struct {
		why     string
		answers []*host.Answer
		started int
		want    bool
	}{
		{"all see all", answers([]host.MemberState{member(true, 3), member(false, 0)}, []host.MemberState{member(true, 3), member(true, 3)}), 3, true},
		{"one sees fewer", answers([]host.MemberState{member(true, 3)}, []host.MemberState{member(true, 2), member(true, 3)}), 3, false},
		{"one sees more", answers([]host.MemberState{member(true, 4)}, []host.MemberState{member(true, 3), member(true, 3)}), 3, false},
		{"one is on its way", answers([]host.MemberState{member(true, 3), member(false, 0)}, []host.MemberState{member(true, 3)}), 3, false},
		{"nobody answers", nil, 1, false},
	} {
		if got := seeEachOther(c.answers, c.started); got != c.want {
			t.Errorf("%s: %v, want %v", c.why, got, c.want)
		}
	}
}
