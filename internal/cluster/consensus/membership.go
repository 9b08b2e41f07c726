package consensus

// This file is changes of the group's voters: what the leader knows of its servers, the change that package voters
// works out from that, and what a server hears about its own removal.

import (
	"maps"
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"flaxcove/internal/cluster/consensus/voters"
	"flaxcove/internal/cluster/view"
)

// unreachableHeartbeats is after how many heartbeat timeouts without an answer a server counts as unreachable.
const unreachableHeartbeats = 2

// adjustVoters makes the change of voters that is due, if there is one.
func (g *Group) adjustVoters(m *maintenance, v *view.View) {
	rule := voters.Rule{
		MaxVoters:        maxVoters,
		DeadAfter:        g.options.ReplaceDeadAfter,
		UnreachableAfter: unreachableHeartbeats * g.options.HeartbeatTimeout,
	}
	now := time.Now()
	if now.Sub(m.leadingSince) < rule.UnreachableAfter {
		return // which servers are reachable is not known yet
	}
	maps.DeleteFunc(m.skipped, func(_ voters.ID, until time.Time) bool { return now.After(until) })
	future := g.raft.GetConfiguration()
	if future.Error() != nil {
		return
	}
	commitIndex := g.raft.CommitIndex()
	state := voters.State{Leader: g.self, View: v, Skipped: map[voters.ID]bool{}}
	members := map[raft.ServerID]bool{}
	for _, server := range future.Configuration().Servers {
		members[server.ID] = true
		known := g.serverState(m, server, commitIndex, now)
		state.Servers = append(state.Servers, known)
		if !known.Voter && known.ID == m.staged &&
			(known.SilentFor >= rule.UnreachableAfter || !known.CaughtUp && now.Sub(m.stagedSince) > catchUpTimeout) {
			m.skipped[known.ID] = now.Add(catchUpRetryDelay)
		}
	}
	g.transport.retainPeers(members)
	for id := range m.skipped {
		state.Skipped[id] = true
	}
	if change, due := voters.Next(state, rule); due {
		g.applyChange(m, change, future.Index(), now)
	}
}

// serverState is what the leader knows of one server of the configuration. Silence counts from when this server became
// leader, or staged the other, at the earliest.
func (g *Group) serverState(m *maintenance, server raft.Server, commitIndex uint64, now time.Time) voters.Server {
	known := voters.Server{ID: voterID(server.ID), Voter: server.Suffrage == raft.Voter, CaughtUp: true}
	if known.ID == g.self {
		return known
	}
	answered, matchIndex := g.transport.progress(server.ID)
	since := m.leadingSince
	if known.ID == m.staged && m.stagedSince.After(since) {
		since = m.stagedSince
	}
	if answered.After(since) {
		since = answered
	}
	known.SilentFor, known.CaughtUp = now.Sub(since), matchIndex >= commitIndex
	return known
}

// applyChange has one change committed, on condition that the configuration is still the one at basedOn, from which it
// was worked out.
func (g *Group) applyChange(m *maintenance, change voters.Change, basedOn uint64, now time.Time) {
	id := raftID(change.ID)
	var future raft.IndexFuture
	text := ""
	switch change.Kind {
	case voters.Stage:
		text = "server added as nonvoter"
		m.staged, m.stagedSince = change.ID, now
		future = g.raft.AddNonvoter(id, raft.ServerAddress(id), basedOn, g.options.HeartbeatTimeout)
	case voters.Promote:
		text = "server promoted to voter"
		future = g.raft.AddVoter(id, raft.ServerAddress(id), basedOn, g.options.HeartbeatTimeout)
	case voters.Remove:
		text = "server removed"
		future = g.raft.RemoveServer(id, basedOn, g.options.HeartbeatTimeout)
	}
	g.transport.notifyProposed()
	if err := future.Error(); err != nil {
		g.log.Warn("consensus: change of voters failed", zap.String("server", string(id)), zapError(err))
		return
	}
	g.log.Info("consensus: "+text, zap.String("server", string(id)))
	g.wake()
}

// removedAt returns the index of the latest configuration known here, and whether it lacks a server.
func (g *Group) removedAt(id raft.ServerID) (uint64, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.configuration.index, g.configuration.index > 0 && !g.configuration.members[id]
}

// recordRemoval records that a peer's configuration, of this index, lacks this server.
func (g *Group) recordRemoval(index uint64) {
	if g.removedIndex.Swap(index) != index {
		g.wake()
	}
}

// recordLeaderCall records that a leader called: this server is in its configuration.
func (g *Group) recordLeaderCall() {
	if g.removedIndex.Load() > 0 && g.removedIndex.Swap(0) > 0 {
		g.wake()
	}
}
