package member

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"flaxcove/internal/cluster/view"
)

// testCluster is a cluster whose members a test starts, changes and closes step by step.
type testCluster struct {
	t         *testing.T
	addresses *addressBook
	members   map[view.Name]*Members
	suspected sync.Map // names of the members that any member has seen suspected
}

func startCluster(t *testing.T, names ...view.Name) *testCluster {
	t.Helper()
	c := &testCluster{t: t, addresses: &addressBook{addrs: map[view.Name]string{}}, members: map[view.Name]*Members{}}
	for _, name := range names {
		c.members[name] = c.addresses.start(t, name, 1, func(o *Options) { o.OnViewChange = c.recordSuspected })
	}
	return c
}

func (c *testCluster) recordSuspected(v *view.View) {
	for _, m := range v.Members {
		if m.State == view.Suspected {
			c.suspected.Store(m.Name, true)
		}
	}
}

// awaitState waits until all members but the one named except see a member with the given state and incarnation.
func (c *testCluster) awaitState(what string, except view.Name, name view.Name, state view.State, incarnation view.Incarnation) {
	c.t.Helper()
	for at, m := range c.members {
		if at != except {
			eventually(c.t, fmt.Sprint(what, " at ", at), func() bool { return hasState(m, name, state, incarnation) }, m)
		}
	}
}

// kill closes a member without a leave message.
func (c *testCluster) kill(name view.Name) {
	c.t.Helper()
	if err := c.members[name].Close(); err != nil {
		c.t.Error(err)
	}
}

// TestMembershipChanges takes one cluster through each kind of change of a member: join, update, leave, death, and
// return with an empty, the same and an old folder.
func TestMembershipChanges(t *testing.T) {
	t.Parallel()
	c := startCluster(t, "a", "b", "c", "d", "e")
	for name := range c.members {
		c.awaitState("joined", "", name, view.Alive, 1)
	}
	c.checkUpdate("c", "e")
	c.checkLeave("d")
	c.checkDeath("e")
	c.checkReturnWithEmptyFolder("e")
	c.checkRestartBeforeDetection("c", 7)
	c.checkReturnWithOldFolder("c", 7)
}

// checkUpdate checks that new metadata reaches another member, and that metadata too long for the library is rejected.
func (c *testCluster) checkUpdate(name, other view.Name) {
	m := c.members[name]
	if err := m.Update(func(s *view.Member) { s.Size, s.HasRecords, s.Name = view.Small, true, "other" }); err != nil {
		c.t.Fatal(err)
	}
	eventually(c.t, "new metadata", func() bool {
		s, _ := c.members[other].View().Find(name)
		return s.Size == view.Small && s.HasRecords
	})
	long := make([]byte, 600)
	err := m.Update(func(s *view.Member) { s.Zone = view.Zone(long) })
	if err == nil || m.Self().Zone != "z1" {
		c.t.Error("metadata too long for the library was accepted: ", err)
	}
}

// checkLeave checks that all members, the leaving one included, see that it left.
func (c *testCluster) checkLeave(name view.Name) {
	if err := c.members[name].Leave(5 * time.Second); err != nil {
		c.t.Error(err)
	}
	c.awaitState("left", "", name, view.Left, 1)
	c.kill(name)
	delete(c.members, name)
}

// checkDeath checks that a member that is killed is first suspected and then dead.
func (c *testCluster) checkDeath(name view.Name) {
	c.kill(name)
	c.awaitState("died", name, name, view.Dead, 1)
	if _, was := c.suspected.Load(name); !was {
		c.t.Errorf("%s was dead without having been suspected", name)
	}
}

// checkReturnWithEmptyFolder checks that a dead member that returns on another port, with an empty folder and a low
// incarnation, raises its incarnation above the one that the others know.
func (c *testCluster) checkReturnWithEmptyFolder(name view.Name) {
	raised := make(chan view.Incarnation, 9)
	c.addresses.remove(name)
	c.members[name] = c.addresses.start(c.t, name, 1, func(o *Options) {
		o.Self.StartedEmpty, o.Self.FolderID = true, "new"
		o.OnIncarnationRaised = func(i view.Incarnation) { raised <- i }
	})
	c.awaitState("back with an empty folder", "", name, view.Alive, 2)
	if s, _ := c.members["a"].View().Find(name); !s.StartedEmpty || s.FolderID != "new" || <-raised != 2 {
		c.t.Errorf("returned as %+v, want an empty folder \"new\" and incarnation 2", s)
	}
}

// checkRestartBeforeDetection checks that all see the new incarnation of a member that is killed and returns on the
// same port before its failure is detected.
func (c *testCluster) checkRestartBeforeDetection(name view.Name, incarnation view.Incarnation) {
	c.kill(name)
	c.members[name] = c.addresses.start(c.t, name, incarnation, func(o *Options) { o.Listen = c.members[name].Addr() })
	c.awaitState("back at once", "", name, view.Alive, incarnation)
}

// checkReturnWithOldFolder checks that a dead member that returns with an old copy of its folder raises its incarnation
// above the one that the others know.
func (c *testCluster) checkReturnWithOldFolder(name view.Name, incarnation view.Incarnation) {
	c.kill(name)
	c.awaitState("died", name, name, view.Dead, incarnation)
	c.members[name] = c.addresses.start(c.t, name, 3, func(o *Options) {
		o.Listen, o.Seeds = c.members[name].Addr(), []view.Name{"e"}
	})
	c.awaitState("back from an old folder", "", name, view.Alive, incarnation+1)
}
