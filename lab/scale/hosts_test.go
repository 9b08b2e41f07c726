package scale

import (
	"testing"

	"flaxcove/lab/scale/host"
)

// TestSeeEachOther checks that the next step of starts begins only once all started members run and each sees exactly that number
// of members alive.
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
		{"all members see all", answers([]host.MemberState{member(true, 3), member(false, 0)}, []host.MemberState{member(true, 3), member(true, 3)}), 3, true},
		{"one member sees fewer", answers([]host.MemberState{member(true, 3)}, []host.MemberState{member(true, 2), member(true, 3)}), 3, false},
		{"one member sees more", answers([]host.MemberState{member(true, 4)}, []host.MemberState{member(true, 3), member(true, 3)}), 3, false},
		{"one member does not run yet", answers([]host.MemberState{member(true, 3), member(false, 0)}, []host.MemberState{member(true, 3)}), 3, false},
		{"no host answers", nil, 1, false},
	} {
		if got := seeEachOther(c.answers, c.started); got != c.want {
			t.Errorf("%s: %v, want %v", c.why, got, c.want)
		}
	}
}
