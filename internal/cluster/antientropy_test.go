package cluster

import (
	"slices"
	"testing"
	"time"

	"flaxcove/internal/cluster/view"
)

func memberInState(name view.Name, state view.State) view.Member {
	return view.Member{Life: view.Life{Name: name, Incarnation: 1}, State: state}
}

// TestTrackGone: peers are asked about members that have been gone for a while, not at once and not about those that left.
func TestTrackGone(t *testing.T) {
	var state antiEntropy
	gone := view.New("a", 1, []view.Member{memberInState("a", view.Alive), memberInState("b", view.Dead), memberInState("c", view.Left),
		memberInState("d", view.Suspected), memberInState("e", view.Alive)})
	if ask := state.trackGone(time.Second, gone); len(ask) > 0 {
		t.Errorf("at once: %v", ask)
	}
	if ask := state.trackGone(time.Second+goneAfter, gone); !slices.Equal(ask, []view.Name{"b", "d"}) {
		t.Errorf("after a while: %v", ask)
	}
	back := view.New("a", 2, []view.Member{memberInState("a", view.Alive), memberInState("b", view.Alive), memberInState("d", view.Dead)})
	if ask := state.trackGone(2*time.Second+goneAfter, back); !slices.Equal(ask, []view.Name{"d"}) {
		t.Errorf("one has returned: %v", ask)
	}
	if ask := state.trackGone(3*time.Second+goneAfter, gone); !slices.Equal(ask, []view.Name{"d"}) {
		t.Errorf("the time of one that is gone again starts again: %v", ask)
	}
	if present := aliveAmong(back, []view.Name{"b", "d", "x"}); !slices.Equal(present, []view.Name{"b"}) {
		t.Errorf("alive: %v", present)
	}
}

// TestExchangeBackoff: a differing checksum leads to an exchange only while nothing changes here, and with a growing
// backoff where that does not help: an exchange in a large cluster costs as much as a minute of gossip.
func TestExchangeBackoff(t *testing.T) {
	const own, other, none = uint64(7), uint64(8), uint64(0)
	var state antiEntropy
	for _, step := range []struct {
		why       string
		at        time.Duration
		own, peer uint64
		want      bool
	}{
		{"the own view just changed", 0, own, other, false},
		{"both are stable", 5 * time.Second, own, other, true},
		{"during the first backoff", 10 * time.Second, own, other, false},
		{"after it, without success", 15 * time.Second, own, other, true},
		{"during the doubled backoff", 30 * time.Second, own, other, false},
		{"after it", 35 * time.Second, own, other, true},
		{"an older version without a checksum", 90 * time.Second, own, none, false},
		{"equal checksums reset the backoff", 95 * time.Second, own, own, false},
		{"at once after the reset", 100 * time.Second, own, other, true},
		{"after the first backoff again", 110 * time.Second, own, other, true},
	} {
		if got := state.shouldExchange(step.at, step.own, step.peer); got != step.want {
			t.Errorf("%s: %v, want %v", step.why, got, step.want)
		}
	}
	for at := 10 * time.Minute; at < 2*time.Hour; at += 5 * time.Second {
		state.shouldExchange(at, own, other)
	}
	if state.backoff != maxExchangeBackoff {
		t.Errorf("the backoff has grown to %v, want %v", state.backoff, maxExchangeBackoff)
	}
}

// TestMembershipChecksum: it covers the present members and their incarnations; a suspected member is present.
func TestMembershipChecksum(t *testing.T) {
	sum := func(members ...view.Member) uint64 { return membershipChecksum(view.New("a", 1, members)) }
	a, b, c := memberInState("a", view.Alive), memberInState("b", view.Alive), memberInState("c", view.Dead)
	suspected, later := b, b
	suspected.State, later.Incarnation = view.Suspected, 2
	all := sum(a, b, c)
	if sum(c, b, a) != all || sum(a, suspected) != all {
		t.Error("the order, a member that is gone or a suspicion changes the checksum")
	}
	if sum(a) == all || sum(a, later) == all {
		t.Error("a further member or a later incarnation does not change the checksum")
	}
	if sum() == 0 {
		t.Error("without members it is 0, which stands for a missing checksum")
	}
	if sum := (&presenceAnswer{Checksum: "x"}).checksum() + (&presenceAnswer{}).checksum(); sum != 0 {
		t.Errorf("missing and invalid checksums are %d, want 0", sum)
	}
}
