package run

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"flaxcove/internal/cluster/popularity/count"
	"flaxcove/internal/cluster/popularity/merge"
	"flaxcove/internal/cluster/popularity/score"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
)

// This file is counts on their way up and scores on their way down. One message carries both: a process calls its
// parent, and the answer holds the scores that it does not have. Where nothing changed the message is a few dozen
// bytes, and of a process that has no small one below it there is none.

const (
	upPath = "/popularity/up"
	// changed is from which part of the counts on it is news. Decay alone has it at 0.05 after a turn of two seconds and
	// 0.15 after seven: steady traffic is told each eight seconds, what comes twice as fast each four.
	changed = 0.15
)

type up struct {
	Digest *merge.Digest `json:"digest,omitempty"`
	Want   bool          `json:"want,omitempty"` // scores: there is a small process, or one below
	Have   score.Mark    `json:"have"`
	region view.Region   // the caller's; not told
}

type down struct {
	Told *score.Told `json:"told,omitempty"`
	Lost bool        `json:"lost,omitempty"` // nothing is held of the caller: it tells all anew
}

// telling is what was told last. Guarded by mu.
type telling struct {
	seq    uint64
	to     view.Life // the parent, or this process itself as head
	rows   []count.Row
	at     view.Now
	any    bool // told to that parent at all
	out    bool
	wanted view.Now // when one below last asked for scores
	want   bool     // ever
}

// reports are those of this region that report here. Called with mu held.
func (r *Runner) reports(v *view.View, t *tree.Tree) {
	var all []view.Life
	for _, name := range t.Children(r.o.Self.Name) {
		if m, found := v.Find(name); found && t.Region(m.Zone) == r.region(t) {
			all = append(all, m.Life)
		}
	}
	r.merged.Reports(all)
}

// region is this process's, as the tree has it: a slip in its own settings must not put it apart.
func (r *Runner) region(t *tree.Tree) view.Region { return t.Region(r.o.Self.Zone) }

// tell is one turn: the region's head ranks, all others tell their parent.
func (r *Runner) tell() {
	now, v, t := r.o.Now(), r.o.View(), r.o.Tree()
	if v == nil || t == nil {
		return
	}
	to := t.RegionHead(r.region(t))
	heads := to == r.o.Self.Name
	if !heads {
		to, _ = t.Parent(r.o.Self.Name)
	}
	parent, found := v.Find(to)
	if !found || t.Region(parent.Zone) != r.region(t) {
		return
	}
	r.mu.Lock()
	r.reports(v, t)
	g := &r.telling
	if parent.Life != g.to {
		*g = telling{seq: g.seq, to: parent.Life, out: g.out, wanted: g.wanted, want: g.want}
	}
	rows, processes := r.merged.Sum(now, r.counts.Top(now, merge.MostRows))
	due := !g.any || now-g.at >= r.turns(renewTurns)-r.o.Turn/2 ||
		merge.Changed(g.rows, rows, count.Decay(now-g.at, count.HalfLife)) > changed
	var in up
	in.Want = r.small() || g.want && now-g.wanted <= r.turns(wantTurns)
	if due && !(g.out && !heads) {
		g.seq++
		d := merge.Make(r.o.Self.Life, g.seq, processes, rows)
		in.Digest = &d
		g.rows, g.at, g.any = rows, now, true
		if heads {
			r.board.Take(now, r.region(t), score.Told{Mark: score.Mark{Head: d.From, Seq: d.Seq}, Region: r.region(t),
				Processes: processes, Destinations: d.Destinations, Notices: d.Notices})
			r.status.Scored = processes
		}
	}
	in.Have, in.region = r.board.Mark(), r.region(t)
	send := !heads && !g.out && (in.Want || in.Digest != nil)
	g.out = g.out || send
	r.mu.Unlock()
	if send {
		r.begin(func() { r.tellUp(parent.Life, in, now) })
	}
}

func (r *Runner) tellUp(to view.Life, in up, at view.Now) {
	if in.Digest != nil {
		in.Digest.Age = max(0, r.o.Now()-at)
	}
	begun := r.o.Now()
	var answer down
	err := r.call(to.Name, upPath, in, &answer)
	now := r.o.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.telling.out = false
	if err != nil || answer.Lost {
		if r.telling.to == to {
			r.telling.any = false
		}
		return
	}
	if answer.Told != nil {
		// How long the answer was on its way is not known; the whole call is the most that it can be.
		answer.Told.Age += max(0, now-begun)
		if r.board.Take(now, in.region, *answer.Told) {
			r.status.Scored = answer.Told.Processes
		}
	}
}

func (r *Runner) hearUp(_ context.Context, from view.Life, body []byte) (any, error) {
	var in up
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, r.bad(fmt.Errorf("popularity: counts of %s: %w", from.Name, err))
	}
	if in.Digest != nil && in.Digest.From != from {
		return nil, r.bad(fmt.Errorf("popularity: counts from %q, field from tells %q", from.Name, in.Digest.From.Name))
	}
	now, v, t := r.o.Now(), r.o.View(), r.o.Tree()
	if v == nil || t == nil {
		return down{Lost: true}, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports(v, t)
	if in.Digest != nil && r.merged.Put(now, *in.Digest) == merge.Unsound {
		r.status.Bad++
		return nil, fmt.Errorf("popularity: counts of %s: not sound", from.Name)
	}
	answer := down{Lost: !r.merged.Holds(from)}
	if in.Want {
		r.telling.wanted, r.telling.want = now, true
		answer.Told = r.board.Tell(now, in.Have)
	}
	return answer, nil
}

// turns is a span of so many.
func (r *Runner) turns(n int) time.Duration { return time.Duration(n) * r.o.Turn }
