// Package leadercall is what is common to the parts that have orders of HTTP callers committed by the consensus group and
// then distributed over the tree (purge/run and configuration/run): the interfaces they use, how they find and call the
// leader with retries, and how they answer over HTTP.
//
// It owns the handlers of a Caller, the slots of a Limiter and the channels of Signals, and no other state. It must
// never know what is ordered, decide anything about it, start a goroutine, or call another process with a lock held. It
// has no lock of its own: Signals use the part's, and a Caller reads the part's state through functions that lock.
//
// This file is the interfaces, and the process's position among the others.
package leadercall

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"flaxcove/internal/cluster/view"
)

// Handler handles a message of another process and returns the answer.
type Handler = func(ctx context.Context, from view.Life, body []byte) (any, error)

// Link carries messages between processes, and serves HTTP to callers.
type Link interface {
	Call(ctx context.Context, to view.Name, path string, in, out any) error
	Handle(path string, h Handler)
	Public() *http.ServeMux
}

// Consensus is where orders are committed. A part's ledger may be read only inside Read.
type Consensus interface {
	Propose(ctx context.Context, part, kind string, body any) (json.RawMessage, error)
	Leader() (view.Name, bool)
	Leading() bool
	Ask() []view.Name // who may lead, the likeliest first
	Clock() time.Duration
	Read(f func(index uint64))
}

// Tree says who reports to whom.
type Tree interface {
	Parent(p view.Name) (view.Name, bool)
	Children(p view.Name) []view.Name
	Root() view.Name
}

// NoConsensus is the Consensus of a process that is not in the consensus group.
type NoConsensus struct {
	NotLeading error // returned by Propose
}

// Propose returns NotLeading.
func (o NoConsensus) Propose(context.Context, string, string, any) (json.RawMessage, error) {
	return nil, o.NotLeading
}

// Leader is unknown.
func (NoConsensus) Leader() (view.Name, bool) { return "", false }

// Leading is false.
func (NoConsensus) Leading() bool { return false }

// Ask names nobody.
func (NoConsensus) Ask() []view.Name { return nil }

// Clock is always 0.
func (NoConsensus) Clock() time.Duration { return 0 }

// Read does not call f: there is no ledger.
func (NoConsensus) Read(func(uint64)) {}

// NewClock returns a clock that starts at 0 now.
func NewClock() func() view.Uptime {
	start := time.Now()
	return func() view.Uptime { return time.Since(start) }
}

// LifeOf is the incarnation of a process in the view; the zero value for one that is not in it.
func LifeOf(v *view.View, name view.Name) view.Life {
	m, found := v.Find(name)
	if !found {
		return view.Life{}
	}
	return m.Life
}

// TreePosition returns the parent and the children of self in the tree. At the root (top is true) the parent is the
// leader where it is known, and otherwise lastLeader, which last called self as the leader. A parent that is not in the
// view is the zero value; such children are omitted.
func TreePosition(members *view.View, tree Tree, self, leader view.Name, known bool, lastLeader view.Life) (above view.Life, top bool, below []view.Life) {
	if parent, found := tree.Parent(self); found {
		above = LifeOf(members, parent)
	} else if tree.Root() == self {
		top, above = true, lastLeader
		if known {
			above = LifeOf(members, leader)
		}
	}
	for _, name := range tree.Children(self) {
		if life := LifeOf(members, name); life.Name != "" {
			below = append(below, life)
		}
	}
	return above, top, below
}

// Candidates lists whom self asks for what only the leader can answer: the likely ones, or without any the process that
// last called as the leader; then others of the view (which may be nil) up to the limit, those with raft records first.
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
