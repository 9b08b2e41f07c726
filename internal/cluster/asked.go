package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/view"
)

// This file knows who leads the council, also at processes that have no place in it: these ask those who do.

const (
	leaderPath  = "/council/leader"
	leaderEach  = time.Second
	leaderFor   = 5 * leaderEach // what was heard counts for so long
	leaderCall  = 300 * time.Millisecond
	mostLeaders = 3 // asked in one round
)

// errNoCouncil is what a small process answers.
var errNoCouncil = errors.New("this process has no place in the council")

// hint is whom another named as the leader.
type hint struct {
	leader view.Name
	until  view.Now
}

// asked is the council as the uses see it. It does all that the council does, and knows the leader by others too.
type asked struct{ n *Node }

func (a asked) Propose(ctx context.Context, part, kind string, body any) (json.RawMessage, error) {
	if a.n.council == nil {
		return nil, errNoCouncil
	}
	return a.n.council.Propose(ctx, part, kind, body)
}

func (a asked) Leading() bool { return a.n.council != nil && a.n.council.Leading() }

func (a asked) Leader() (view.Name, bool) {
	if a.n.council != nil {
		if name, known := a.n.council.Leader(); known {
			return name, true
		}
	}
	if h := a.n.hint.Load(); h != nil && a.n.Now() < h.until {
		return h.leader, true
	}
	return "", false
}

// Ask is whom to ask for a decision, the likeliest first.
func (a asked) Ask() (all []view.Name) {
	if name, known := a.Leader(); known && name != a.n.self.Name {
		all = append(all, name)
	}
	if a.n.council != nil {
		for _, name := range a.n.council.Ask() {
			if len(all) == 0 || name != all[0] {
				all = append(all, name)
			}
		}
	}
	return all
}

func (a asked) Clock() time.Duration {
	if a.n.council == nil {
		return 0
	}
	return a.n.council.Clock()
}

func (a asked) Term() uint64 {
	if a.n.council == nil {
		return 0
	}
	return a.n.council.Term()
}

func (a asked) Read(f func(uint64)) {
	if a.n.council != nil {
		a.n.council.Read(f)
	}
}

type leaderTold struct {
	Leader view.Name `json:"leader,omitempty"`
}

// serveLeader answers by what the council itself says, never by hearsay: two that only heard of each other would keep
// a dead leader alive.
func (n *Node) serveLeader() {
	n.link.Handle(leaderPath, func(context.Context, view.Life, []byte) (any, error) {
		var told leaderTold
		if n.council != nil {
			told.Leader, _ = n.council.Leader()
		}
		return told, nil
	})
}

// askLeader asks a few of those who hold the council's records, unless this process's own council knows.
func (n *Node) askLeader(ctx context.Context, round int) {
	if n.council != nil {
		if _, known := n.council.Leader(); known {
			return
		}
	}
	var to []view.Name
	for _, m := range n.View().Members {
		if m.Here() && m.Voted && m.Name != n.self.Name {
			to = append(to, m.Name)
		}
	}
	for i := range min(len(to), mostLeaders) {
		ctx, cancel := context.WithTimeout(ctx, leaderCall)
		var told leaderTold
		err := n.link.Call(ctx, to[(round+i)%len(to)], leaderPath, nil, &told)
		cancel()
		if err == nil && told.Leader != "" {
			if h := n.hint.Load(); h == nil || h.leader != told.Leader {
				n.log.Info("the council's leader, by others", zap.String("leader", string(told.Leader)))
			}
			n.hint.Store(&hint{told.Leader, n.Now() + leaderFor})
			return
		}
	}
}
