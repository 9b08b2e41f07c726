package consensus

import (
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"flaxcove/internal/cluster/consensus/voters"
	"flaxcove/internal/cluster/view"
)

// maintenance is the state of the maintenance loop, which alone reads and writes it.
type maintenance struct {
	foundersSince   time.Time // the view has shown all founders alive and without records since then
	leadingSince    time.Time
	staged          voters.ID // the server added as nonvoter last
	stagedSince     time.Time
	skipped         map[voters.ID]time.Time // servers that did not catch up, not to be staged again until then
	electionsSlowed bool
}

// maintain is the loop that assumes leadership, bootstraps the group, changes voters and truncates the log. Each call
// of the library in it ends when leadership is lost, at the latest.
func (g *Group) maintain() {
	defer g.goroutines.Done()
	m := &maintenance{skipped: map[voters.ID]time.Time{}}
	ticker := time.NewTicker(g.options.VoterCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-g.raft.LeaderCh():
		case <-g.wakeups:
		case <-ticker.C:
		}
		g.slowElectionsIfRemoved(m)
		g.mu.RLock()
		v, logTooLarge := g.view, g.logBytes > g.options.maxLogBytes
		g.mu.RUnlock()
		if logTooLarge {
			_ = g.raft.Snapshot().Error()
		}
		if v != nil {
			g.bootstrap(m, v)
		}
		if g.raft.State() != raft.Leader {
			continue
		}
		if !g.Leading() && !g.assumeLeadership(m) {
			continue
		}
		if v != nil {
			g.adjustVoters(m, v)
		}
	}
}

// assumeLeadership waits until all entries of earlier leaders are applied here: only then does Leading hold.
func (g *Group) assumeLeadership(m *maintenance) bool {
	term := g.raft.CurrentTerm()
	configuration := g.raft.GetConfiguration()
	err := g.raft.Barrier(g.options.HeartbeatTimeout).Error()
	if err != nil || configuration.Error() != nil || g.raft.CurrentTerm() != term {
		closedWithin(g.done, leadershipRetryDelay) // leadership may be passing to another server
		g.wake()
		return false
	}
	g.setConfiguration(configuration.Index(), configuration.Configuration())
	m.leadingSince, m.stagedSince = time.Now(), time.Time{}
	g.leadingTerm.Store(term)
	g.log.Info("consensus: became leader", zap.Uint64("term", term))
	g.signalApplied()
	return true
}

// bootstrap writes the first configuration, once: the founder with the lowest name does so after all founders were
// alive and without records for a while. It can't be done in part, as the others only take what that founder sends.
func (g *Group) bootstrap(m *maintenance, v *view.View) {
	first := g.self.Name == g.options.InitialVoters[0] && !g.HasRecords()
	configuration := raft.Configuration{}
	for _, name := range g.options.InitialVoters {
		member, found := v.Find(name)
		if !found || member.State != view.Alive || member.HasRecords || member.Folder == "" {
			first = false
			break
		}
		id := raftID(voters.ID{Name: member.Name, Folder: member.Folder})
		configuration.Servers = append(configuration.Servers,
			raft.Server{Suffrage: raft.Voter, ID: id, Address: raft.ServerAddress(id)})
	}
	switch {
	case !first:
		m.foundersSince = time.Time{}
	case m.foundersSince.IsZero():
		m.foundersSince = time.Now()
	case time.Since(m.foundersSince) >= g.options.BootstrapAfter:
		err := g.raft.BootstrapCluster(configuration).Error()
		g.log.Info("consensus: bootstrapped", zap.Int("voters", len(configuration.Servers)), zap.Error(err))
	}
}

// slowElectionsIfRemoved lengthens the election timeout of a server that was removed, and restores it afterwards. Only a
// removal newer than the configuration here counts, as the peer that reported it may itself be behind. A removed server
// still answers, so that it can be added again, and still starts elections now and then, as the report may be wrong.
func (g *Group) slowElectionsIfRemoved(m *maintenance) {
	known := g.raft.GetConfiguration()
	removed := known.Error() == nil && g.removedIndex.Load() > known.Index()
	if removed == m.electionsSlowed {
		return
	}
	config := g.raft.ReloadableConfig()
	config.HeartbeatTimeout, config.ElectionTimeout = g.options.HeartbeatTimeout, g.options.HeartbeatTimeout
	if removed {
		config.HeartbeatTimeout, config.ElectionTimeout = removedElectionTimeout, removedElectionTimeout
	}
	if err := g.raft.ReloadConfig(config); err != nil {
		g.log.Warn("consensus: election timeout not changed", zapError(err))
		return
	}
	m.electionsSlowed = removed
	g.log.Info("consensus: election timeout changed", zap.Bool("rarely", removed))
}

// reportApplied calls Options.Applied after commands were applied.
func (g *Group) reportApplied() {
	defer g.goroutines.Done()
	for {
		select {
		case <-g.done:
			return
		case <-g.appliedSignal:
		}
		if g.options.Applied == nil {
			continue
		}
		var index uint64
		g.Read(func(i uint64) { index = i })
		g.options.Applied(index)
	}
}
