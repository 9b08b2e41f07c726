package member

import (
	"testing"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"

	"flaxcove/internal/cluster/member/roster"
	"flaxcove/internal/cluster/view"
)

// newTestMembers returns a membership without the library, for tests of the methods that the library calls.
func newTestMembers() *Members {
	self := view.Member{Instance: view.Instance{Name: "self", Incarnation: 1}}
	return newMembers(Options{Self: self, Log: zap.NewNop()}, "")
}

func nodeOf(t *testing.T, name view.Name, incarnation view.Incarnation, state memberlist.NodeStateType) *memberlist.Node {
	t.Helper()
	meta, err := encodeMeta(roster.Observation{Member: view.Member{Instance: view.Instance{Name: name, Incarnation: incarnation}}})
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

// TestJoinDuringSnapshot checks that a snapshot does not mark a member dead that joined or returned while the snapshot
// was being taken, as the snapshot may not show that yet. A later snapshot without the member does mark it dead.
func TestJoinDuringSnapshot(t *testing.T) {
	m := newTestMembers()
	for _, shown := range [][]*memberlist.Node{nil, {nodeOf(t, "a", 1, memberlist.StateDead)}} {
		m.updatedSinceSnapshot = map[view.Name]bool{} // as takeSnapshot begins
		delegate{m}.NotifyJoin(nodeOf(t, "a", 2, memberlist.StateAlive))
		m.wantState(t, "after the join", "a", view.Alive, 2)
		m.roster.ApplySnapshot(m.reconcile(m.metaCache.refresh(shown)), m.now())
		m.wantState(t, "after the snapshot during which it joined", "a", view.Alive, 2)
		m.updatedSinceSnapshot = map[view.Name]bool{}
		m.roster.ApplySnapshot(m.reconcile(m.metaCache.refresh(nil)), m.now())
		m.wantState(t, "after a later snapshot without it", "a", view.Dead, 2)
	}
}

// TestJoinsNeedNoSnapshot checks that joins and updates change the roster without requesting a snapshot. In a large
// cluster a snapshot for each of hundreds of joins used up all processor time. It also checks that events of an earlier
// incarnation, of this process itself and with invalid metadata are ignored.
func TestJoinsNeedNoSnapshot(t *testing.T) {
	m := newTestMembers()
	alive := nodeOf(t, "a", 1, memberlist.StateAlive)
	delegate{m}.NotifyJoin(alive)
	delegate{m}.NotifyUpdate(nodeOf(t, "a", 2, memberlist.StateAlive))
	m.wantState(t, "after join and update", "a", view.Alive, 2)
	select {
	case <-m.snapshotNeeded:
		t.Error("a join or an update requested a snapshot")
	default:
	}
	delegate{m}.NotifyLeave(alive) // only a snapshot tells whether it left or died
	select {
	case <-m.snapshotNeeded:
	default:
		t.Error("a leave requested no snapshot")
	}
	delegate{m}.NotifyJoin(nodeOf(t, "a", 1, memberlist.StateAlive))
	m.wantState(t, "after an event of an earlier incarnation", "a", view.Alive, 2)
	delegate{m}.NotifyUpdate(nodeOf(t, "self", 9, memberlist.StateAlive))
	m.wantState(t, "after an event about this process", "self", view.Alive, 1)
	delegate{m}.NotifyJoin(&memberlist.Node{Name: "torn", Meta: []byte("{")})
	if _, known := m.View().Find("torn"); known {
		t.Error("a member with invalid metadata was accepted")
	}
}

// TestRejectedMetaIsNotCached checks that only the metadata of admitted members is cached, so that the cache stays
// bounded between two snapshots.
func TestRejectedMetaIsNotCached(t *testing.T) {
	m := newTestMembers()
	m.roster = roster.New(m.self, roster.Bounds{MaxPresent: 2}, 0)
	for _, name := range []view.Name{"a", "b", "c", "d"} {
		n := nodeOf(t, name, 1, memberlist.StateAlive)
		if (delegate{m}).NotifyAlive(n) == nil {
			delegate{m}.NotifyJoin(n)
		}
	}
	if len(m.metaCache) != 1 || len(m.View().Members) != 2 {
		t.Errorf("%d cache entries, %d members, want 1 and 2", len(m.metaCache), len(m.View().Members))
	}
}
