package consensus

// This file changes the voters of the group: it collects what the leader knows of each server, makes the change that
// package voters computes from that, and records reports that this server was removed.

import (
	"maps"
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"flaxcove/internal/cluster/consensus/voters"
	"flaxcove/internal/cluster/view"
)

// unreachableHeartbeats is the number of heartbeat timeouts without an answer after which a server counts as
// unreachable.
const unreachableHeartbeats = 2

// adjustVoters makes the next change of voters, if one is due. It does nothing until this server has led long enough to
// know which servers are reachable.
func (g *Group) adjustVoters(m *maintenance, v *view.View) {
	rule := voters.Rule{
		MaxVoters:        maxVoters,
		DeadAfter:        g.options.ReplaceDeadAfter,
		UnreachableAfter: unreachableHeartbeats * g.options.HeartbeatTimeout,
	}
	now := time.Now()
	if now.Sub(m.leadingSince) < rule.UnreachableAfter {
		return
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

// serverState returns what the leader knows of one server of the configuration. The time without an answer (SilentFor)
// starts when this server became leader or staged the other server, if that is later than the last answer.
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

// applyChange proposes one change of the configuration. The change fails if the configuration is no longer the one at
// index basedOn, from which the change was computed.
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
		g.log.Warn("consensus: change of voters failed; it is computed again at the next check", zap.String("server", string(id)), zapError(err))
		return
	}
	g.log.Info("consensus: "+text, zap.String("server", string(id)))
	g.wake()
}

// removedAt returns the index of the latest configuration known here and reports whether that configuration lacks the
// server.
func (g *Group) removedAt(id raft.ServerID) (uint64, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.configuration.index, g.configuration.index > 0 && !g.configuration.members[id]
}

// recordRemoval records that a peer's configuration at this index lacks this server.
func (g *Group) recordRemoval(index uint64) {
	if g.removedIndex.Swap(index) != index {
		g.wake()
	}
}

// recordLeaderCall records that a leader called this server, which is therefore in the leader's configuration.
func (g *Group) recordLeaderCall() {
	if g.removedIndex.Load() > 0 && g.removedIndex.Swap(0) > 0 {
		g.wake()
	}
}
