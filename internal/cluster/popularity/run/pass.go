package run

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/recall"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

// This file passes what a large process has learnt to its region's head: what changed, each five turns, and to a head
// that is new all that there is room for.

const (
	learntPath = "/popularity/learnt"
	passTurns  = 5
	// mostPerHead is how many calls a second a head takes of its region, at turns of two seconds: with over 80 large
	// processes each passes less often.
	mostPerHead = 8
	// mostNew destinations in a pass, over all large processes of a region, and mostAll to a new head; the least for
	// each. At three endpoints of 90 bytes 64 in ten seconds are 1.7 KB/s at the head.
	mostNew, leastNew = 64, 1
	mostAll, leastAll = 2048, 16
	mostPass          = 64   // in a call: about 20 KB
	mostKnow          = 1280 // asked of the sender in one pass
	mostPasses        = 2    // calls out; what finds both out is passed in the next pass
	againTurns        = 30   // what changed little is passed again by then: its age is what it is trusted by
)

type learntMessage struct {
	All []recall.Lessons `json:"all"`
}

// passing is of the loop alone.
type passing struct {
	no   uint64
	at   view.Now
	any  bool
	to   view.Life // the head that told holds for
	told map[choice.DestinationID]passed
}

type passed struct {
	calls float64
	at    view.Now
}

// gathered is what the sender knows of destinations that are to be passed.
type gathered struct {
	no  uint64
	at  view.Now
	all []recall.Lessons
}

// place is the region's head and how many large processes it has.
func (r *Runner) place(v *view.View, t *tree.Tree) (head view.Member, large int, found bool) {
	region := r.region(t)
	for i := range v.Members {
		if m := &v.Members[i]; m.Here() && m.Size != view.Small && t.Region(m.Zone) == region {
			large++
		}
	}
	head, found = v.Find(t.RegionHead(region))
	return head, max(large, 1), found
}

// gather begins a pass where one is due.
func (r *Runner) gather() {
	now, v, t := r.o.Now(), r.o.View(), r.o.Tree()
	if r.small() || v == nil || t == nil {
		return
	}
	head, large, found := r.place(v, t)
	p := &r.passing
	each := max(r.turns(passTurns), r.turns(large)/(2*mostPerHead))
	if !found || head.Life == p.to && p.any && now-p.at < each-r.o.Turn/2 {
		return
	}
	p.no, p.at, p.any = p.no+1, now, true
	r.mu.Lock()
	lost := r.unpassed
	r.unpassed = false
	r.mu.Unlock()
	if lost || head.Life != p.to {
		p.to = head.Life
		clear(p.told)
	}
	no := p.no
	r.o.Orders.Holding(func(all []together.Held) { r.handHeld(holding{no, all}) })
}

// choosePass asks the sender for what changed most since it was passed, and for what was passed longest ago.
func (r *Runner) choosePass(h holding) {
	now, v, t, p := r.o.Now(), r.o.View(), r.o.Tree(), &r.passing
	if h.no != p.no || v == nil || t == nil {
		return
	}
	_, large, _ := r.place(v, t)
	most := max(leastNew, mostNew/large)
	if len(p.told) == 0 {
		most = max(leastAll, min(mostAll/large, mostKnow))
	}
	here := make(map[choice.DestinationID]bool, len(h.all))
	due := make([]together.Held, 0, len(h.all))
	for _, d := range h.all {
		here[d.Destination] = true
		was, told := p.told[d.Destination]
		if d.Calls > 0 && (!told || d.Calls < was.calls || d.Calls > was.calls*1.25+4 || now-was.at >= r.turns(againTurns)) {
			due = append(due, d)
		}
	}
	for d := range p.told {
		if !here[d] {
			delete(p.told, d)
		}
	}
	slices.SortFunc(due, func(a, b together.Held) int {
		x, y := p.told[a.Destination], p.told[b.Destination] // of one not told the zero: first
		return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Destination, b.Destination))
	})
	due = due[:min(len(due), most)]
	if len(due) == 0 {
		return
	}
	// One question each: a lesson does not tell its destination.
	g := &gathering{left: len(due), of: gathered{no: h.no, at: now}}
	for _, d := range due {
		p.told[d.Destination] = passed{d.Calls, now}
		r.o.Orders.Know([]choice.DestinationID{d.Destination}, func(all []together.Lesson) {
			r.handLearnt(g, d.Destination, all)
		})
	}
}

// gathering is answers as they come, on the sender's loop.
type gathering struct {
	mu   sync.Mutex // of a leaf: nothing is called under it
	left int
	of   gathered
}

func (g *gathering) add(l recall.Lessons) (last bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.left--; len(l.All) > 0 {
		g.of.all = append(g.of.all, l)
	}
	return g.left == 0
}

func (r *Runner) handLearnt(g *gathering, d choice.DestinationID, all []together.Lesson) {
	l := recall.Lessons{Destination: d}
	for _, k := range all {
		l.All = append(l.All, recall.Of(k, r.o.Self.Zone))
	}
	if !g.add(l) {
		return
	}
	select {
	case r.learnt <- g.of: // all answers are in: nobody else has it any more
	default:
	}
}

// pass hands what was gathered to the head, in a few calls.
func (r *Runner) pass(g gathered) {
	p := &r.passing
	if g.no != p.no || len(g.all) == 0 {
		return
	}
	to := p.to
	r.mu.Lock()
	room := r.passes < mostPasses
	if to.Name == r.o.Self.Name {
		r.keep(g.all)
	} else if room {
		r.passes++
	}
	r.mu.Unlock()
	if to.Name != r.o.Self.Name && room {
		r.begin(func() { r.passTo(to, g) })
	}
}

func (r *Runner) passTo(to view.Life, g gathered) {
	for rest := g.all; len(rest) > 0; {
		some := rest[:min(len(rest), mostPass)]
		rest = rest[len(some):]
		waited := max(0, r.o.Now()-g.at)
		for i := range some {
			for j := range some[i].All {
				some[i].All[j].Age += waited
			}
		}
		err := r.call(to.Name, learntPath, learntMessage{some}, nil)
		r.mu.Lock()
		if err != nil {
			r.unpassed = true
			r.mu.Unlock()
			break
		}
		r.status.Passed += uint64(len(some))
		r.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.passes--
}

// keep puts lessons into the summary here. Called with mu held.
func (r *Runner) keep(all []recall.Lessons) {
	now := r.o.Now()
	for _, l := range all {
		r.summary.Put(now, l)
	}
}

func (r *Runner) hearLearnt(_ context.Context, from view.Life, body []byte) (any, error) {
	var in learntMessage
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, r.bad(fmt.Errorf("popularity: lessons of %s: %w", from.Name, err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keep(in.All[:min(len(in.All), mostPass)])
	return nil, nil
}
