// Package ordering is what the parts share that have orders of callers decided in common and then spread over the tree
// (purge/run, configuration/run): what such a part is given, whom it asks, how it calls and tries again, and how it
// answers over HTTP.
//
// It owns nothing that lasts but the paths a Caller takes, the places of a Gate and the channels of Signals. It must
// never know what is ordered, decide anything about it, start a goroutine, or call another process or a caller with a
// lock held. It has no lock of its own: Signals take the part's, and a Caller reads what the part guards by functions
// that do.
//
// This file is what a part is given, and where it stands among the others.
package ordering

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"flaxcove/internal/cluster/view"
)

// Handler takes a message of another process and answers it.
type Handler = func(ctx context.Context, from view.Life, body []byte) (any, error)

// Link carries messages between processes, and the callers' HTTP.
type Link interface {
	Call(ctx context.Context, to view.Name, path string, in, out any) error
	Handle(path string, h Handler)
	Public() *http.ServeMux
}

// Consensus is where orders are decided in common. A part's ledger may be read inside Read alone.
type Consensus interface {
	Propose(ctx context.Context, part, kind string, body any) (json.RawMessage, error)
	Leader() (view.Name, bool)
	Leading() bool
	Ask() []view.Name // whom to ask for a decision, the likeliest first
	Clock() time.Duration
	Read(f func(index uint64))
}

// Tree is who reports to whom.
type Tree interface {
	Parent(p view.Name) (view.Name, bool)
	Children(p view.Name) []view.Name
	Root() view.Name
}

// Outsider is the council of a process that has no place in it.
type Outsider struct {
	NotLeading error // the answer to a proposal
}

// Propose refuses.
func (o Outsider) Propose(context.Context, string, string, any) (json.RawMessage, error) {
	return nil, o.NotLeading
}

// Leader knows of none.
func (Outsider) Leader() (view.Name, bool) { return "", false }

// Leading is never so.
func (Outsider) Leading() bool { return false }

// Ask knows of none.
func (Outsider) Ask() []view.Name { return nil }

// Clock stands still.
func (Outsider) Clock() time.Duration { return 0 }

// Read does not call f: there is no ledger.
func (Outsider) Read(func(uint64)) {}

// Clock returns a clock that counts from now on.
func Clock() func() view.Now {
	began := time.Now()
	return func() view.Now { return time.Since(began) }
}

// LifeOf is a process's life by the view; the zero value for one that is not in it.
func LifeOf(v *view.View, name view.Name) view.Life {
	m, found := v.Find(name)
	if !found {
		return view.Life{}
	}
	return m.Life
}

// Place is who stands above and below self in the tree. At the root (top) that above is the council's leader where it
// is known, and otherwise spoke, which last spoke to self as the leader. What the view does not have is left out below,
// and is the zero value above.
func Place(v *view.View, t Tree, self, leader view.Name, known bool, spoke view.Life) (above view.Life, top bool, below []view.Life) {
	if parent, found := t.Parent(self); found {
		above = LifeOf(v, parent)
	} else if t.Root() == self {
		top, above = true, spoke
		if known {
			above = LifeOf(v, leader)
		}
	}
	for _, name := range t.Children(self) {
		if life := LifeOf(v, name); life.Name != "" {
			below = append(below, life)
		}
	}
	return above, top, below
}

// Whom is whom self asks for what the leader alone can answer: the likely ones, or without any the one that spoke last
// as the leader; then others of the view (which may be nil) until there are most, those with a vote first.
func Whom(likely []view.Name, spoke view.Name, v *view.View, self view.Name, most int) []view.Name {
	all := slices.Clone(likely)
	if spoke != "" && len(all) == 0 {
		all = append(all, spoke)
	}
	if v == nil {
		return all
	}
	for _, voted := range []bool{true, false} {
		for _, m := range v.Members {
			if m.Here() && m.Voted == voted && len(all) < most && !slices.Contains(all, m.Name) {
				all = append(all, m.Name)
			}
		}
	}
	return slices.DeleteFunc(all, func(name view.Name) bool { return name == self })
}
