// Package evict says which destinations a small process lets go of, to stay within a number and within bytes.
//
// Pure. What goes is worth least: a destination's score by what it would cost to learn again, for each byte it takes.
// It must never name one that is pinned: then a bound is exceeded, and that is told.
package evict

import (
	"cmp"
	"math"
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

const (
	// callsToLearn is from how many answers on what is learnt is as good as it gets, near enough: then it is worth
	// twice what a destination of none is. The module weighs a call by one over those seen.
	callsToLearn = 16
	// backFor is for how long one that was let go and woke again is worth more, and backWorth how much more: what
	// just came back was let go in error, and letting it go again would have it asked for in turn with another.
	// Simulated (size_test.go): with 2 hit rates are up to 0.007 above those with 1.
	backFor   = time.Minute
	backWorth = 2.0
	least     = 1e-3 // messages; so that cost and bytes count among those of no score
	mostGone  = 2048
	perBytes  = 1024.0 // of less, bytes are no matter: a destination costs that much to keep in any form
)

// Bounds are what may be held; 0 is no bound.
type Bounds struct {
	Destinations int
	Bytes        int
}

// Choice is what goes.
type Choice struct {
	Go []choice.DestinationID // the least worth first
	// Over is set where a bound is exceeded by what must never go.
	Over bool
}

// Evictor remembers what went and came back. It is for one goroutine at a time.
type Evictor struct {
	gone map[choice.DestinationID]view.Now // let go when; at most mostGone, the longest ago leaves
	back map[choice.DestinationID]view.Now // came back when; a part of what is held
}

// Make makes one.
func Make() *Evictor {
	return &Evictor{gone: map[choice.DestinationID]view.Now{}, back: map[choice.DestinationID]view.Now{}}
}

// Woke tells of a destination that nothing was held of.
func (e *Evictor) Woke(now view.Now, d choice.DestinationID) {
	if when, was := e.gone[d]; was && now-when <= backFor {
		if len(e.back) >= mostGone {
			e.lapse(now)
		}
		if len(e.back) < mostGone {
			e.back[d] = now
		}
	}
	delete(e.gone, d)
}

// Went tells of one that was let go.
func (e *Evictor) Went(now view.Now, d choice.DestinationID) {
	delete(e.back, d)
	if _, is := e.gone[d]; !is && len(e.gone) >= mostGone {
		e.lapse(now)
		if len(e.gone) >= mostGone {
			return // so many in a minute are more than a table holds: those that come back are not favoured
		}
	}
	e.gone[d] = now
}

func (e *Evictor) lapse(now view.Now) {
	for _, m := range []map[choice.DestinationID]view.Now{e.gone, e.back} {
		for d, when := range m {
			if now-when > backFor {
				delete(m, d)
			}
		}
	}
}

type worth struct {
	held together.Held
	of   float64
}

// Choose names what goes so that the rest is within bounds. The score is of each destination, as of now.
func (e *Evictor) Choose(now view.Now, held []together.Held, b Bounds,
	score func(choice.DestinationID) float64) (c Choice) {
	number, bytes := len(held), 0
	for i := range held {
		bytes += max(held[i].Bytes, 0)
	}
	over := func() bool {
		return b.Destinations > 0 && number > b.Destinations || b.Bytes > 0 && bytes > b.Bytes
	}
	if !over() {
		return c
	}
	all := make([]worth, 0, len(held))
	for _, h := range held {
		if !h.InUse {
			all = append(all, worth{h, e.worth(now, h, score(h.Destination))})
		}
	}
	slices.SortFunc(all, func(a, b worth) int {
		return cmp.Or(cmp.Compare(a.of, b.of), cmp.Compare(a.held.Destination, b.held.Destination))
	})
	for _, w := range all {
		if !over() {
			break
		}
		number, bytes = number-1, bytes-max(w.held.Bytes, 0)
		c.Go = append(c.Go, w.held.Destination)
	}
	c.Over = over()
	return c
}

// worth is what is lost with a destination, for what it takes.
func (e *Evictor) worth(now view.Now, h together.Held, score float64) float64 {
	if !(score >= least) || math.IsInf(score, 0) {
		score = least
	}
	calls := h.Calls
	if !(calls > 0) {
		calls = 0
	}
	w := score * (1 + min(calls, callsToLearn)/callsToLearn) / (perBytes + float64(max(h.Bytes, 0)))
	if when, back := e.back[h.Destination]; back && now-when <= backFor {
		w *= backWorth
	}
	return w
}
