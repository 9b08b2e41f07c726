package member

import (
	"testing"

	"github.com/hashicorp/memberlist"

	"flaxcove/internal/cluster/member/roster"
	"flaxcove/internal/cluster/view"
)

// TestMetaCache checks that refresh returns the same as decoding each node would, and that the cache holds only the
// members of the last snapshot.
func TestMetaCache(t *testing.T) {
	node := func(name string, incarnation view.Incarnation, state memberlist.NodeStateType) *memberlist.Node {
		meta, err := encodeMeta(roster.Observation{Member: view.Member{Instance: view.Instance{Name: view.Name(name), Incarnation: incarnation}, Zone: "z"}})
		if err != nil {
			t.Fatal(err)
		}
		return &memberlist.Node{Name: name, Meta: meta, State: state}
	}
	torn := &memberlist.Node{Name: "torn", Meta: []byte("{"), State: memberlist.StateAlive}
	c := metaCache{}
	for i, snapshot := range [][]*memberlist.Node{
		{node("a", 1, memberlist.StateAlive), node("b", 1, memberlist.StateAlive), torn},
		{node("a", 1, memberlist.StateSuspect), node("b", 2, memberlist.StateAlive), torn},
		{node("a", 1, memberlist.StateAlive), node("b", 2, memberlist.StateDead)},
		{node("b", 2, memberlist.StateDead)},
	} {
		got := c.refresh(snapshot)
		for j, n := range snapshot {
			want, err := decodeMeta(n)
			if (got[j].err == nil) != (err == nil) || err == nil && got[j].observed != want {
				t.Errorf("snapshot %d, %s: %+v (%v), want %+v (%v)", i, n.Name, got[j].observed, got[j].err, want, err)
			}
		}
		if len(c) != len(snapshot) {
			t.Errorf("snapshot %d: the cache has %d entries, want %d", i, len(c), len(snapshot))
		}
	}
}
