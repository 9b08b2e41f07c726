// Package leadercall holds the code that purge/run and configuration/run share. Both parts accept orders over HTTP,
// have them committed by the consensus group, and distribute the result over the tree of processes. The package defines
// the interfaces of the link, the consensus group and the tree, finds and calls the leader with retries, and writes
// answers over HTTP.
//
// The package owns the handlers of a Caller, the slots of a Limiter and the channels of Signals, and no other state. It
// does not depend on the content of an order, starts no goroutine, and never calls another process with a lock held. It
// has no lock of its own: Signals uses the lock of the part, and a Caller reads the part's state through functions that
// acquire that lock.
package leadercall

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"flaxcove/internal/cluster/view"
)

// Handler handles a message from another process. The answer is encoded as JSON; an error makes the call fail.
type Handler = func(ctx context.Context, from view.Instance, body []byte) (any, error)

// Link carries messages between processes and has the HTTP interface for callers.
type Link interface {
	// Call sends a message to the handler of path at another process and decodes the answer into out.
	Call(ctx context.Context, to view.Name, path string, in, out any) error
	// Handle registers the handler of a path.
	Handle(path string, h Handler)
	// Public returns the HTTP interface for callers.
	Public() *http.ServeMux
}

// Consensus is the interface of the consensus group that commits orders (see consensus.Group). A part may read its
// ledger only inside Read.
type Consensus interface {
	// Propose commits a command of a part and returns the part's answer. It works on the leader only.
	Propose(ctx context.Context, part, kind string, body any) (json.RawMessage, error)
	// Leader returns the leader and reports whether it is known here.
	Leader() (view.Name, bool)
	// Leading reports whether this process leads.
	Leading() bool
	// LeaderCandidates returns the processes that may lead, the likeliest first.
	LeaderCandidates() []view.Name
	// Clock returns the group's clock, which starts at 0 when the group is bootstrapped.
	Clock() time.Duration
	// Read calls f while no command is applied. f gets the index of the latest command.
	Read(f func(index uint64))
}

// Tree is the tree over which versions and reports are distributed.
type Tree interface {
	// Parent returns the parent of a process. It returns false for the root and for a process that is not in the tree.
	Parent(p view.Name) (view.Name, bool)
	// Children returns the children of a process.
	Children(p view.Name) []view.Name
	// Root returns the root of the tree.
	Root() view.Name
}

// NoConsensus implements Consensus for a process that is not in the consensus group.
type NoConsensus struct {
	NotLeading error // returned by Propose
}

// Propose returns NotLeading.
func (o NoConsensus) Propose(context.Context, string, string, any) (json.RawMessage, error) {
	return nil, o.NotLeading
}

// Leader returns false: the leader is not known.
func (NoConsensus) Leader() (view.Name, bool) { return "", false }

// Leading returns false.
func (NoConsensus) Leading() bool { return false }

// LeaderCandidates returns nil.
func (NoConsensus) LeaderCandidates() []view.Name { return nil }

// Clock returns 0.
func (NoConsensus) Clock() time.Duration { return 0 }

// Read does nothing, because there is no ledger.
func (NoConsensus) Read(func(uint64)) {}

// NewClock returns a monotonic clock that starts at 0 now.
func NewClock() func() view.Uptime {
	start := time.Now()
	return func() view.Uptime { return time.Since(start) }
}

// InstanceOf returns the incarnation of a process in the view, or the zero value if the process is not in the view.
func InstanceOf(v *view.View, name view.Name) view.Instance {
	m, found := v.Find(name)
	if !found {
		return view.Instance{}
	}
	return m.Instance
}

// TreePosition returns the parent and the children of self in the tree, and reports whether self is the root. The
// parent of the root is the leader if it is known, and otherwise lastLeader, the process that last called self as the
// leader. A parent that is not in the view is the zero value. Children that are not in the view are omitted.
func TreePosition(members *view.View, tree Tree, self, leader view.Name, known bool, lastLeader view.Instance) (parent view.Instance, isRoot bool, children []view.Instance) {
	if name, found := tree.Parent(self); found {
		parent = InstanceOf(members, name)
	} else if tree.Root() == self {
		isRoot, parent = true, lastLeader
		if known {
			parent = InstanceOf(members, leader)
		}
	}
	for _, name := range tree.Children(self) {
		if instance := InstanceOf(members, name); instance.Name != "" {
			children = append(children, instance)
		}
	}
	return parent, isRoot, children
}

// Candidates returns the processes that self asks when only the leader can answer. The likely processes come first, or
// lastLeader (the process that last called as the leader) if there are none. Present members of the view follow, those
// with raft records first, until there are limit processes. members may be nil. self is never in the result.
func Candidates(likely []view.Name, lastLeader view.Name, members *view.View, self view.Name, limit int) []view.Name {
	all := slices.Clone(likely)
	if lastLeader != "" && len(all) == 0 {
		all = append(all, lastLeader)
	}
	if members == nil {
		return all
	}
	for _, voter := range []bool{true, false} {
		for _, m := range members.Members {
			if m.Present() && m.HasRecords == voter && len(all) < limit && !slices.Contains(all, m.Name) {
				all = append(all, m.Name)
			}
		}
	}
	return slices.DeleteFunc(all, func(name view.Name) bool { return name == self })
}
