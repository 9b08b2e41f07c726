package member

import (
	"testing"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"

	"flaxcove/internal/cluster/member/roster"
	"flaxcove/internal/cluster/view"
)

// newTestMembers returns a membership without the library, for tests of what the library calls.
func newTestMembers() *Members {
	self := view.Member{Life: view.Life{Name: "self", Incarnation: 1}}
	return newMembers(Options{Self: self, Log: zap.NewNop()}, "")
}

func nodeOf(t *testing.T, name view.Name, incarnation view.Incarnation, state memberlist.NodeStateType) *memberlist.Node {
	t.Helper()
	meta, err := encodeMeta(roster.Observation{Member: view.Member{Life: view.Life{Name: name, Incarnation: incarnation}}})
	if err != nil {
		t.Fatal(err)
	}
	return &memberlist.Node{Name: string(name), Meta: meta, State: state}
}

func (m *Members) wantState(t *testing.T, when string, name view.Name, state view.State, incarnation view.Incarnation) {
	t.Helper()
	s, known := m.View().Find(name)
	if !known || s.State != state || s.Incarnation != incarnation {
		t.Errorf("%s: %s is %+v, want state %d of incarnation %d", when, name, s, state, incarnation)
	}
}

// TestJoinDuringSnapshot: a member that joined or returned while a snapshot was being taken, which does not show that
// yet, must not be marked dead by it; the next snapshot shows it, and may.
func TestJoinDuringSnapshot(t *testing.T) {
	m := newTestMembers()
	for _, shown := range [][]*memberlist.Node{nil, {nodeOf(t, "a", 1, memberlist.StateDead)}} {
		m.updatedSinceSnapshot = map[view.Name]bool{} // as takeSnapshot begins
		delegate{m}.NotifyJoin(nodeOf(t, "a", 2, memberlist.StateAlive))
		m.wantState(t, "as it joins", "a", view.Alive, 2)
		m.roster.ApplySnapshot(m.reconcile(m.metaCache.refresh(shown)), m.now())
		m.wantState(t, "after the snapshot that it joined during", "a", view.Alive, 2)
		m.updatedSinceSnapshot = map[view.Name]bool{}
		m.roster.ApplySnapshot(m.reconcile(m.metaCache.refresh(nil)), m.now())
		m.wantState(t, "after a snapshot without it", "a", view.Dead, 2)
	}
}

// TestJoinsNeedNoSnapshot: in a large cluster a snapshot for each of hundreds of joins exhausted the processor.
func TestJoinsNeedNoSnapshot(t *testing.T) {
	m := newTestMembers()
	alive := nodeOf(t, "a", 1, memberlist.StateAlive)
	delegate{m}.NotifyJoin(alive)
	delegate{m}.NotifyUpdate(nodeOf(t, "a", 2, memberlist.StateAlive))
	m.wantState(t, "after join and update", "a", view.Alive, 2)
	select {
	case <-m.snapshotNeeded:
		t.Error("a join asked for a snapshot")
	default:
	}
	delegate{m}.NotifyLeave(alive) // left or dead: only a snapshot distinguishes them
	select {
	case <-m.snapshotNeeded:
	default:
		t.Error("a departure asked for no snapshot")
	}
	delegate{m}.NotifyJoin(nodeOf(t, "a", 1, memberlist.StateAlive))
	m.wantState(t, "after an event of an earlier incarnation", "a", view.Alive, 2)
	delegate{m}.NotifyUpdate(nodeOf(t, "self", 9, memberlist.StateAlive))
	m.wantState(t, "after an event about this process", "self", view.Alive, 1)
	delegate{m}.NotifyJoin(&memberlist.Node{Name: "torn", Meta: []byte("{")})
	if _, known := m.View().Find("torn"); known {
		t.Error("a member with unreadable metadata was accepted")
	}
}

// TestRejectedMetaIsNotCached: the cache is bounded between two snapshots by the number of admitted members.
func TestRejectedMetaIsNotCached(t *testing.T) {
	m := newTestMembers()
	m.roster = roster.New(m.self, roster.Bounds{MaxHere: 2}, 0)
	for _, name := range []view.Name{"a", "b", "c", "d"} {
		n := nodeOf(t, name, 1, memberlist.StateAlive)
		if (delegate{m}).NotifyAlive(n) == nil {
			delegate{m}.NotifyJoin(n)
		}
	}
	if len(m.metaCache) != 1 || len(m.View().Members) != 2 {
		t.Errorf("%d cached, %d members, want 1 and 2", len(m.metaCache), len(m.View().Members))
	}
}
