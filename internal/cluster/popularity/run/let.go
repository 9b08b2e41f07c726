package run

import (
	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/evict"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

// This file has a small process's sender let go of what is beyond its bounds: each second turn, and sooner where many
// woke or a bound was lowered. Between two looks the sender may hold as many more as woke since.

const (
	lookTurns = 2
	// lookWoken: so many woken, or an eighth of the bound, are reason to look before the turn.
	lookWoken = 8
	// leastLook is a part of a turn, between two looks: the sender walks through all it holds for each.
	leastLook = 4
	// answerTurns: a sender that did not say what it holds by then is asked again.
	answerTurns = 5
)

type holding struct {
	no  uint64
	all []together.Held
}

// letting is of the loop alone.
type letting struct {
	no     uint64
	out    bool
	at     view.Now
	any    bool
	woke   int
	bounds evict.Bounds // of the last look
}

// look asks the sender what it holds, where that is due.
func (r *Runner) look(turn bool) {
	now, l := r.o.Now(), &r.letting
	r.mu.Lock()
	bounds := r.bounds
	r.mu.Unlock()
	if !r.small() || bounds == (evict.Bounds{}) || l.out && now-l.at < r.turns(answerTurns) {
		return
	}
	due := !l.any || bounds != l.bounds || turn && now-l.at >= r.turns(lookTurns)-r.o.Turn/2
	soon := l.woke >= max(lookWoken, bounds.Destinations/8) && now-l.at >= r.o.Turn/leastLook
	if !due && !soon {
		return
	}
	l.no, l.out, l.at, l.any, l.woke, l.bounds = l.no+1, true, now, true, 0, bounds
	no := l.no
	r.o.Orders.Holding(func(all []together.Held) { r.handHeld(holding{no, all}) })
}

// handHeld takes the sender's answer on its loop, and never waits.
func (r *Runner) handHeld(h holding) {
	select {
	case r.held <- h:
	default:
	}
}

func (r *Runner) holds(h holding) {
	if !r.small() {
		r.choosePass(h)
		return
	}
	l := &r.letting
	if h.no != l.no || !l.out {
		return
	}
	l.out = false
	now := r.o.Now()
	r.mu.Lock()
	c := r.evictor.Choose(now, h.all, r.bounds, func(d choice.DestinationID) float64 {
		return r.board.Of(now, d, r.counts.Of(now, d))
	})
	if c.Over && !r.status.Over {
		r.o.Log.Warn("popularity: a bound is exceeded by what must never go", zap.Int("held", len(h.all)))
	}
	r.status.Held, r.status.Over = len(h.all)-len(c.Go), c.Over
	r.status.Evicted += uint64(len(c.Go))
	r.mu.Unlock()
	if len(c.Go) == 0 {
		return
	}
	for _, d := range c.Go {
		r.evictor.Went(now, d)
	}
	r.o.Orders.Evict(c.Go, func(kept []choice.DestinationID) { r.kept.Add(uint64(len(kept))) })
}
