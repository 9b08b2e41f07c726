package cluster

import (
	"slices"
	"testing"
	"time"

	"flaxcove/internal/cluster/view"
)

func memberInState(name view.Name, state view.State) view.Member {
	return view.Member{Instance: view.Instance{Name: name, Incarnation: 1}, State: state}
}

// TestTrackGone checks that peers are asked about a member after it was suspected or dead for goneQueryDelay, and never
// about one that left.
func TestTrackGone(t *testing.T) {
	var state antiEntropy
	gone := view.New("a", 1, []view.Member{memberInState("a", view.Alive), memberInState("b", view.Dead), memberInState("c", view.Left),
		memberInState("d", view.Suspected), memberInState("e", view.Alive)})
	if ask := state.trackGone(time.Second, gone); len(ask) > 0 {
		t.Errorf("asked about %v at once", ask)
	}
	if ask := state.trackGone(time.Second+goneQueryDelay, gone); !slices.Equal(ask, []view.Name{"b", "d"}) {
		t.Errorf("after goneQueryDelay: asked about %v, want b and d", ask)
	}
	back := view.New("a", 2, []view.Member{memberInState("a", view.Alive), memberInState("b", view.Alive), memberInState("d", view.Dead)})
	if ask := state.trackGone(2*time.Second+goneQueryDelay, back); !slices.Equal(ask, []view.Name{"d"}) {
		t.Errorf("after b returned: asked about %v, want d", ask)
	}
	if ask := state.trackGone(3*time.Second+goneQueryDelay, gone); !slices.Equal(ask, []view.Name{"d"}) {
		t.Errorf("just after b is gone again: asked about %v, want d", ask)
	}
	if present := aliveAmong(back, []view.Name{"b", "d", "x"}); !slices.Equal(present, []view.Name{"b"}) {
		t.Errorf("alive: %v, want b", present)
	}
}

// TestExchangeBackoff checks that differing checksums cause an exchange only while the own view is stable, and with a
// growing backoff while they stay different: an exchange in a large cluster costs as much as a minute of gossip.
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
		{"after the first backoff", 15 * time.Second, own, other, true},
		{"during the doubled backoff", 30 * time.Second, own, other, false},
		{"after the doubled backoff", 35 * time.Second, own, other, true},
		{"the peer runs an older version and sends no checksum", 90 * time.Second, own, none, false},
		{"equal checksums reset the backoff", 95 * time.Second, own, own, false},
		{"no backoff after the reset", 100 * time.Second, own, other, true},
		{"after the first backoff following the reset", 110 * time.Second, own, other, true},
	} {
		if got := state.shouldExchange(step.at, step.own, step.peer); got != step.want {
			t.Errorf("%s: shouldExchange returned %v, want %v", step.why, got, step.want)
		}
	}
	for at := 10 * time.Minute; at < 2*time.Hour; at += 5 * time.Second {
		state.shouldExchange(at, own, other)
	}
	if state.backoff != maxExchangeBackoff {
		t.Errorf("the backoff grew to %v, want %v", state.backoff, maxExchangeBackoff)
	}
}

// TestMembershipChecksum checks that the checksum covers exactly the present members, which include suspected ones,
// with their incarnations.
func TestMembershipChecksum(t *testing.T) {
	sum := func(members ...view.Member) uint64 { return membershipChecksum(view.New("a", 1, members)) }
	a, b, c := memberInState("a", view.Alive), memberInState("b", view.Alive), memberInState("c", view.Dead)
	suspected, later := b, b
	suspected.State, later.Incarnation = view.Suspected, 2
	all := sum(a, b, c)
	if sum(c, b, a) != all || sum(a, suspected) != all {
		t.Error("the order of the members, a member that is gone or a suspicion changes the checksum")
	}
	if sum(a) == all || sum(a, later) == all {
		t.Error("a further member or a later incarnation does not change the checksum")
	}
	if sum() == 0 {
		t.Error("the checksum of no members is 0, which stands for a missing checksum")
	}
	if sum := (&presenceAnswer{Checksum: "x"}).checksum() + (&presenceAnswer{}).checksum(); sum != 0 {
		t.Errorf("invalid and missing checksums add up to %d, want 0", sum)
	}
}
