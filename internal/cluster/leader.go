package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/view"
)

// This file finds the leader of the consensus group, also in processes that have no part in it: these ask those that do.

const (
	leaderPath       = "/council/leader"
	leaderHintTTL    = 5 * maintenanceInterval // for how long an answer is valid
	leaderTimeout    = 300 * time.Millisecond
	maxLeaderQueries = 3 // in one round
)

// errNoConsensus is the error of a proposal in a small process.
var errNoConsensus = errors.New("this process has no place in the council")

// leaderHint is the leader as another process answered.
type leaderHint struct {
	leader    view.Name
	expiresAt view.Uptime
}

// consensusClient is the consensus group as the subsystems use it, also in a process without a part in it.
type consensusClient struct{ node *Node }

// Propose puts a command to the consensus group; it fails in a process that has no part in the group.
func (c consensusClient) Propose(ctx context.Context, part, kind string, body any) (json.RawMessage, error) {
	if c.node.consensus == nil {
		return nil, errNoConsensus
	}
	return c.node.consensus.Propose(ctx, part, kind, body)
}

// Leading reports whether this process is the leader.
func (c consensusClient) Leading() bool { return c.node.consensus != nil && c.node.consensus.Leading() }

// Leader returns the leader by this process's part of the group, or else by what others answered recently.
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

// Ask returns whom to ask for a decision, the most likely leader first.
func (c consensusClient) Ask() (names []view.Name) {
	if name, known := c.Leader(); known && name != c.node.self.Name {
		names = append(names, name)
	}
	if c.node.consensus != nil {
		for _, name := range c.node.consensus.Ask() {
			if len(names) == 0 || name != names[0] {
				names = append(names, name)
			}
		}
	}
	return names
}

// Clock returns the consensus group's clock; 0 in a process without a part in it.
func (c consensusClient) Clock() time.Duration {
	if c.node.consensus == nil {
		return 0
	}
	return c.node.consensus.Clock()
}

// Term returns the group's present term; 0 in a process without a part in it.
func (c consensusClient) Term() uint64 {
	if c.node.consensus == nil {
		return 0
	}
	return c.node.consensus.Term()
}

// Read calls f with the index of the last applied command while the state does not change; not in a process without a
// part in the group.
func (c consensusClient) Read(f func(uint64)) {
	if c.node.consensus != nil {
		c.node.consensus.Read(f)
	}
}

// leaderAnswer is the answer to leaderPath.
type leaderAnswer struct {
	Leader view.Name `json:"leader,omitempty"`
}

// serveLeader answers by this process's own part of the group, never by a hint: two processes that only had hints from
// each other would keep a dead leader for ever.
func (n *Node) serveLeader() {
	n.link.Handle(leaderPath, func(context.Context, view.Life, []byte) (any, error) {
		var answer leaderAnswer
		if n.consensus != nil {
			answer.Leader, _ = n.consensus.Leader()
		}
		return answer, nil
	})
}

// queryLeader asks a few processes that hold the group's records for the leader, unless this process's own part of the
// group knows it.
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
