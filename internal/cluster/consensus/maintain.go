package consensus

import (
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"flaxcove/internal/cluster/consensus/voters"
	"flaxcove/internal/cluster/view"
)

// maintenance is the state of the maintenance loop (Group.maintain). No other goroutine uses it.
type maintenance struct {
	foundersSince   time.Time // since when the view shows all initial voters alive and without records; zero if it does not
	leadingSince    time.Time
	staged          voters.ID // the server that was last added as nonvoter
	stagedSince     time.Time
	skipped         map[voters.ID]time.Time // servers that did not catch up, with the time at which they may be staged again
	electionsSlowed bool                    // the election timeout is removedElectionTimeout
}

// maintain is the maintenance loop: it assumes leadership, bootstraps the group, changes voters and truncates the log.
// Its calls of the raft library return at the latest when leadership is lost.
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

// assumeLeadership waits until all entries of earlier leaders are applied here, after which Leading returns true. It
// returns false if that failed; the maintenance loop then retries.
func (g *Group) assumeLeadership(m *maintenance) bool {
	term := g.raft.CurrentTerm()
	configuration := g.raft.GetConfiguration()
	err := g.raft.Barrier(g.options.HeartbeatTimeout).Error()
	if err != nil || configuration.Error() != nil || g.raft.CurrentTerm() != term {
		closedWithin(g.done, leadershipRetryDelay) // leadership may be moving to another server
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

// bootstrap writes the first configuration of the group. Only the initial voter with the lowest name does so, after all
// initial voters were alive and without records for Timing.BootstrapAfter. The other servers get the configuration from
// that server, so the group is never bootstrapped in part.
func (g *Group) bootstrap(m *maintenance, v *view.View) {
	first := g.self.Name == g.options.InitialVoters[0] && !g.HasRecords()
	configuration := raft.Configuration{}
	for _, name := range g.options.InitialVoters {
		member, found := v.Find(name)
		if !found || member.State != view.Alive || member.HasRecords || member.FolderID == "" {
			first = false
			break
		}
		id := raftID(voters.ID{Name: member.Name, Folder: member.FolderID})
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
		g.log.Info("consensus: bootstrap of the group attempted", zap.Int("voters", len(configuration.Servers)), zap.Error(err))
	}
}

// slowElectionsIfRemoved sets the election timeout to removedElectionTimeout while this server is removed from the
// configuration, and resets it afterwards. A reported removal counts only if it is newer than the configuration here,
// because the peer that reported it may itself be behind. A removed server still answers calls, so that it can be added
// again, and still starts elections from time to time, because the report may be wrong.
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
		g.log.Warn("consensus: election timeout could not be changed", zapError(err))
		return
	}
	m.electionsSlowed = removed
	g.log.Info("consensus: election timeout changed", zap.Bool("rarely", removed))
}

// reportApplied is the goroutine that calls Options.Applied after commands were applied.
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
