package run

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/recall"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

// This file asks the region's head for what is known of destinations that woke, many in one call: a hundred that wake
// together are two messages.

const (
	askPath  = "/popularity/ask"
	mostAsk  = 64 // destinations in a call
	mostAsks = 2  // calls out
)

type question struct {
	Of []choice.DestinationID `json:"of"`
}

type answers struct {
	All []recall.Lessons `json:"all,omitempty"`
}

// asking is of the loop alone.
type asking struct {
	waiting []choice.DestinationID
	out     map[choice.DestinationID]bool // waiting or asked for: one question each
}

// wakes takes in what woke, all that is there by now.
func (r *Runner) wakes(d choice.DestinationID) {
	for more := true; more; {
		r.evictor.Woke(r.o.Now(), d)
		r.letting.woke++
		dropped := len(r.asking.waiting) >= mostWoken
		if !r.asking.out[d] && !dropped {
			r.asking.out[d] = true
			r.asking.waiting = append(r.asking.waiting, d)
		}
		r.mu.Lock()
		r.status.Woke++
		r.mu.Unlock()
		if dropped {
			r.dropped.Add(1)
		}
		select {
		case d = <-r.woken:
		default:
			more = false
		}
	}
}

func (r *Runner) ask() {
	now, t := r.o.Now(), r.o.Tree()
	r.mu.Lock()
	finished, room := r.finished, mostAsks-r.asks
	r.finished = nil
	r.mu.Unlock()
	for _, d := range finished {
		delete(r.asking.out, d)
	}
	a := &r.asking
	for ; len(a.waiting) > 0 && room > 0; room-- {
		batch := slices.Clone(a.waiting[:min(len(a.waiting), mostAsk)])
		a.waiting = slices.Delete(a.waiting, 0, len(batch))
		head := view.Name("")
		if t != nil {
			head = t.RegionHead(r.region(t))
		}
		r.mu.Lock()
		r.asks++
		r.status.Asked += uint64(len(batch))
		r.mu.Unlock()
		if !r.begin(func() { r.askHead(head, batch, now) }) {
			return
		}
	}
}

func (r *Runner) askHead(head view.Name, of []choice.DestinationID, at view.Now) {
	var got answers
	var err error
	switch head {
	case "": // nobody is known: there is no answer
	case r.o.Self.Name:
		r.mu.Lock()
		got = r.known(of)
		r.mu.Unlock()
	default:
		err = r.call(head, askPath, question{of}, &got)
	}
	waited := max(0, r.o.Now()-at)
	asked := make(map[choice.DestinationID]bool, len(of))
	for _, d := range of {
		asked[d] = true
	}
	var teach []together.Lesson
	for i := 0; err == nil && i < len(got.All); i++ {
		if !asked[got.All[i].Destination] {
			continue
		}
		for _, l := range got.All[i].All {
			l.Age += waited
			if lesson, some := recall.Trust(l, r.o.Self.Zone); some {
				teach = append(teach, lesson)
			}
		}
	}
	if len(teach) > 0 && r.ctx.Err() == nil {
		r.o.Orders.Teach(teach)
	}
	r.mu.Lock()
	r.asks--
	r.finished = append(r.finished, of...) // at most as many as are out
	r.status.Taught += uint64(len(teach))
	r.mu.Unlock()
	r.news()
}

// known is what the summary has of destinations. Called with mu held.
func (r *Runner) known(of []choice.DestinationID) (a answers) {
	now := r.o.Now()
	for _, d := range of[:min(len(of), mostAsk)] {
		if l, some := r.summary.Of(now, d); some {
			a.All = append(a.All, l)
		}
	}
	return a
}

func (r *Runner) hearAsk(_ context.Context, from view.Life, body []byte) (any, error) {
	var in question
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, r.bad(fmt.Errorf("popularity: question of %s: %w", from.Name, err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known(in.Of), nil
}
