package consensus

import (
	"maps"
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"flaxcove/internal/cluster/consensus/voters"
	"flaxcove/internal/cluster/view"
)

// keeper is what the loop alone knows.
type keeper struct {
	unfounded time.Time // since when the view has shown all founders, and none founded
	led       time.Time // since when this one leads
	staged    voters.ID
	stagedAt  time.Time
	passed    map[voters.ID]time.Time // not to be staged until then; of those staged lately, few
	quiet     bool
}

// keep is the loop that takes leadership up, founds, changes voters, and cuts the log. Each call of the library in it
// ends when leadership is lost, at the latest.
func (c *Group) keep() {
	defer c.running.Done()
	k := &keeper{passed: map[voters.ID]time.Time{}}
	ticker := time.NewTicker(c.o.Adjust)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-c.raft.LeaderCh():
		case <-c.poke:
		case <-ticker.C:
		}
		c.hush(k)
		c.mu.RLock()
		v, heavy := c.view, c.weight > c.o.logMost
		c.mu.RUnlock()
		if heavy {
			_ = c.raft.Snapshot().Error()
		}
		if v != nil {
			c.found(k, v)
		}
		if c.raft.State() != raft.Leader {
			continue
		}
		if !c.Leading() && !c.takeUp(k) {
			continue
		}
		if v != nil {
			c.adjust(k, v)
		}
	}
}

// takeUp waits until all that earlier leaders had decided is applied here: only then does this one lead.
func (c *Group) takeUp(k *keeper) bool {
	term := c.raft.CurrentTerm()
	configuration := c.raft.GetConfiguration()
	err := c.raft.Barrier(c.o.Heartbeat).Error()
	if err != nil || configuration.Error() != nil || c.raft.CurrentTerm() != term {
		within(c.done, 20*time.Millisecond) // leadership may be on its way to another
		c.wakeUp()
		return false
	}
	c.setPlaced(configuration.Index(), configuration.Configuration())
	k.led, k.stagedAt = time.Now(), time.Time{}
	c.ledTerm.Store(term)
	c.log.Info("council: leads", zap.Uint64("term", term))
	c.news()
	return true
}

// found begins the council, once: the founder with the lowest name does, while all founders are here and none holds
// records. It can't be done by halves: the others only ever take what it sends them.
func (c *Group) found(k *keeper, v *view.View) {
	first := c.self.Name == c.o.Founders[0] && !c.Voted()
	configuration := raft.Configuration{}
	for _, name := range c.o.Founders {
		m, found := v.Find(name)
		if !found || m.State != view.Alive || m.Voted || m.Folder == "" {
			first = false
			break
		}
		id := idOf(voters.ID{Name: m.Name, Folder: m.Folder})
		configuration.Servers = append(configuration.Servers,
			raft.Server{Suffrage: raft.Voter, ID: id, Address: raft.ServerAddress(id)})
	}
	switch {
	case !first:
		k.unfounded = time.Time{}
	case k.unfounded.IsZero():
		k.unfounded = time.Now()
	case time.Since(k.unfounded) >= c.o.FoundAfter:
		err := c.raft.BootstrapCluster(configuration).Error()
		c.log.Info("council: founded", zap.Int("voters", len(configuration.Servers)), zap.Error(err))
	}
}

// adjust makes the change of voters that is due.
func (c *Group) adjust(k *keeper, v *view.View) {
	rule := voters.Rule{Most: mostVoters, DeadFor: c.o.DeadFor, Silent: 2 * c.o.Heartbeat}
	now := time.Now()
	if now.Sub(k.led) < rule.Silent {
		return // who is reached is not known yet
	}
	maps.DeleteFunc(k.passed, func(_ voters.ID, until time.Time) bool { return now.After(until) })
	future := c.raft.GetConfiguration()
	if future.Error() != nil {
		return
	}
	last := c.raft.CommitIndex()
	s := voters.State{Leader: c.self, View: v, Passed: map[voters.ID]bool{}}
	in := map[raft.ServerID]bool{}
	for _, server := range future.Configuration().Servers {
		in[server.ID] = true
		one := voters.Server{ID: serverOf(server.ID), Vote: server.Suffrage == raft.Voter, CaughtUp: true}
		if one.ID != c.self {
			answered, matched := c.carry.of(server.ID)
			since := k.led
			if one.ID == k.staged && k.stagedAt.After(since) {
				since = k.stagedAt
			}
			if answered.After(since) {
				since = answered
			}
			one.Silence, one.CaughtUp = now.Sub(since), matched >= last
		}
		s.Servers = append(s.Servers, one)
		if !one.Vote && one.ID == k.staged &&
			(one.Silence >= rule.Silent || !one.CaughtUp && now.Sub(k.stagedAt) > stageFor) {
			k.passed[one.ID] = now.Add(passFor)
		}
	}
	c.carry.keepOnly(in)
	for id := range k.passed {
		s.Passed[id] = true
	}
	if change, due := voters.Next(s, rule); due {
		c.change(k, change, future.Index(), now)
	}
}

// change has one change decided, upon the configuration that it was worked out from and no other.
func (c *Group) change(k *keeper, change voters.Change, upon uint64, now time.Time) {
	id := idOf(change.ID)
	var done raft.IndexFuture
	what := ""
	switch change.Kind {
	case voters.Stage:
		what = "staged"
		k.staged, k.stagedAt = change.ID, now
		done = c.raft.AddNonvoter(id, raft.ServerAddress(id), upon, c.o.Heartbeat)
	case voters.Promote:
		what = "given a vote"
		done = c.raft.AddVoter(id, raft.ServerAddress(id), upon, c.o.Heartbeat)
	case voters.Remove:
		what = "taken out"
		done = c.raft.RemoveServer(id, upon, c.o.Heartbeat)
	}
	c.carry.wake()
	if err := done.Error(); err != nil {
		c.log.Warn("council: a change of voters was not made", zap.String("server", string(id)), zapError(err))
		return
	}
	c.log.Info("council: "+what, zap.String("server", string(id)))
	c.wakeUp()
}

// isOut tells whether a server has no place by the configuration decided last, and at which index that was.
func (c *Group) isOut(id raft.ServerID) (uint64, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.decided.index, c.decided.index > 0 && !c.decided.in[id]
}

// heardOut is told by another that this one has no place by what was decided at an index.
func (c *Group) heardOut(index uint64) {
	if c.outAt.Swap(index) != index {
		c.wakeUp()
	}
}

// heardLeader is told that a leader called: this one has a place.
func (c *Group) heardLeader() {
	if c.outAt.Load() > 0 && c.outAt.Swap(0) > 0 {
		c.wakeUp()
	}
}

// hush has one that was left out ask for votes rarely. Only what is newer than the configuration here counts: the other
// may itself be behind. It still answers, so that it can be asked back, and still asks: it may have been told what
// is wrong.
func (c *Group) hush(k *keeper) {
	known := c.raft.GetConfiguration()
	quiet := known.Error() == nil && c.outAt.Load() > known.Index()
	if quiet == k.quiet {
		return
	}
	config := c.raft.ReloadableConfig()
	config.HeartbeatTimeout, config.ElectionTimeout = c.o.Heartbeat, c.o.Heartbeat
	if quiet {
		config.HeartbeatTimeout, config.ElectionTimeout = quietFor, quietFor
	}
	if err := c.raft.ReloadConfig(config); err != nil {
		c.log.Warn("council: elections are not slowed", zapError(err))
		return
	}
	k.quiet = quiet
	c.log.Info("council: asks for votes", zap.Bool("rarely", quiet))
}

// tell calls Applied.
func (c *Group) tell() {
	defer c.running.Done()
	for {
		select {
		case <-c.done:
			return
		case <-c.applied:
		}
		if c.o.Applied == nil {
			continue
		}
		var index uint64
		c.Read(func(i uint64) { index = i })
		c.o.Applied(index)
	}
}
