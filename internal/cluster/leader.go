package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/view"
)

// This file finds the leader of the consensus group. Processes without a participant of the group ask those that have
// one.

const (
	leaderPath       = "/council/leader"
	leaderHintTTL    = 5 * maintenanceInterval // how long an answer is valid
	leaderTimeout    = 300 * time.Millisecond  // bounds one query
	maxLeaderQueries = 3                       // queries per round
)

// errNoConsensus is the error of a proposal in a small process, which has no participant of the consensus group.
var errNoConsensus = errors.New("this process is small and does not take part in the consensus group")

// leaderHint is the leader that another process named in its answer, valid until expiresAt.
type leaderHint struct {
	leader    view.Name
	expiresAt view.Uptime
}

// consensusClient gives the subsystems access to the consensus group. It also works in a process without a participant
// of the group.
type consensusClient struct{ node *Node }

// Propose proposes a command to the consensus group. It returns errNoConsensus in a process without a participant.
func (c consensusClient) Propose(ctx context.Context, part, kind string, body any) (json.RawMessage, error) {
	if c.node.consensus == nil {
		return nil, errNoConsensus
	}
	return c.node.consensus.Propose(ctx, part, kind, body)
}

// Leading reports whether this process is the leader.
func (c consensusClient) Leading() bool { return c.node.consensus != nil && c.node.consensus.Leading() }

// Leader returns the leader that this process's participant knows, or else the one that another process named recently.
// It returns false if neither is known.
func (c consensusClient) Leader() (view.Name, bool) {
	if c.node.consensus != nil {
		if name, known := c.node.consensus.Leader(); known {
			return name, true
		}
	}
	if h := c.node.leaderHint.Load(); h != nil && c.node.Now() < h.expiresAt {
		return h.leader, true
	}
	return "", false
}

// LeaderCandidates returns the candidates for the leader, the most likely one first.
func (c consensusClient) LeaderCandidates() (names []view.Name) {
	if name, known := c.Leader(); known && name != c.node.self.Name {
		names = append(names, name)
	}
	if c.node.consensus != nil {
		for _, name := range c.node.consensus.LeaderCandidates() {
			if len(names) == 0 || name != names[0] {
				names = append(names, name)
			}
		}
	}
	return names
}

// Clock returns the consensus group's clock; 0 in a process without a participant of the group.
func (c consensusClient) Clock() time.Duration {
	if c.node.consensus == nil {
		return 0
	}
	return c.node.consensus.Clock()
}

// Term returns the group's current term; 0 in a process without a participant of the group.
func (c consensusClient) Term() uint64 {
	if c.node.consensus == nil {
		return 0
	}
	return c.node.consensus.Term()
}

// Read calls f with the index of the last applied command; the state does not change during the call. In a process
// without a participant of the group it does nothing.
func (c consensusClient) Read(f func(uint64)) {
	if c.node.consensus != nil {
		c.node.consensus.Read(f)
	}
}

// leaderAnswer is the answer to a call of leaderPath.
type leaderAnswer struct {
	Leader view.Name `json:"leader,omitempty"` // "" if unknown
}

// serveLeader answers calls of leaderPath with the leader that this process's own participant knows, never with a hint:
// two processes that refreshed their hints from each other would name a dead leader forever.
func (n *Node) serveLeader() {
	n.link.Handle(leaderPath, func(context.Context, view.Instance, []byte) (any, error) {
		var answer leaderAnswer
		if n.consensus != nil {
			answer.Leader, _ = n.consensus.Leader()
		}
		return answer, nil
	})
}

// queryLeader asks up to maxLeaderQueries processes that hold the group's records for the leader, unless this process's
// own participant knows it. The round number selects which process is asked first.
func (n *Node) queryLeader(ctx context.Context, round int) {
	if n.consensus != nil {
		if _, known := n.consensus.Leader(); known {
			return
		}
	}
	var voters []view.Name
	for _, m := range n.View().Members {
		if m.Present() && m.HasRecords && m.Name != n.self.Name {
			voters = append(voters, m.Name)
		}
	}
	for i := range min(len(voters), maxLeaderQueries) {
		ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
		var answer leaderAnswer
		err := n.link.Call(ctx, voters[(round+i)%len(voters)], leaderPath, nil, &answer)
		cancel()
		if err == nil && answer.Leader != "" {
			if current := n.leaderHint.Load(); current == nil || current.leader != answer.Leader {
				n.log.Info("consensus leader learned from another process", zap.String("leader", string(answer.Leader)))
			}
			n.leaderHint.Store(&leaderHint{answer.Leader, n.Now() + leaderHintTTL})
			return
		}
	}
}
