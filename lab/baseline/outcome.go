package baseline

// This file owns what follows an attempt: whether and when a message goes again. It must never send what may have run where
// its effect could come twice.

import (
	"flaxcove/choice"
)

// Ended hears how an attempt ended.
func (p *plain) Ended(o choice.Outcome) {
	n := p.held[o.Message]
	if n == nil || n.out == nil || o.Attempt != n.tries-1 {
		return
	}
	e := n.out
	n.out = nil
	e.calls--
	p.out--
	if n.slow {
		n.slow = false
		p.slow--
	}
	if o.Wait > 0 {
		p.heedWait(e, o.Wait)
	}
	p.noteRun(n, e, o.Result)
	if o.Final {
		p.release(n)
		return
	}
	p.again(n)
}

// heedWait holds an endpoint, or its whole destination, for as long as it was told.
func (p *plain) heedWait(e *end, wait choice.Time) {
	until := p.h.Now() + wait + choice.Time(p.rng.Int64N(int64(50*choice.Millisecond)))
	if p.set.Kinds[e.Kind].Apart {
		e.halt = max(e.halt, until)
	} else {
		e.d.halt = max(e.d.halt, until)
	}
}

// noteRun takes note that an attempt may have run, and that its key rests where nobody knows whether it still does.
func (p *plain) noteRun(n *message, e *end, result choice.Result) {
	switch result {
	case choice.Errored, choice.TimedOut, choice.Reset, choice.Cancelled, choice.Spoilt:
	default:
		return
	}
	if !n.MayRun {
		n.MayRun, n.RanAt, n.RanIn = true, n.sentAt, e.Zone
	}
	answered := result == choice.Errored || result == choice.Spoilt
	if n.line != nil && !answered {
		n.line.rest = p.h.Now() + p.set.KeyRest
	}
}

// again sends a message once more if it may be and there is time, else it has its final answer.
func (p *plain) again(n *message) {
	if p.kind == oneTry {
		p.finish(n)
		return
	}
	wait := p.wait(n)
	spent := p.mayNotRepeat(n, p.h.Now()+wait)
	if p.kind == least && !p.pay() {
		spent = true
	}
	if spent || n.tries >= p.set.MaxAttempts || p.h.Now()+wait >= p.last(n) {
		p.finish(n)
		return
	}
	p.after(wait, func() { p.add(n) })
}

// wait is how long a message rests before its next try.
func (p *plain) wait(n *message) choice.Time {
	switch p.kind {
	case fixed:
		return fixedWait
	case backoff, least:
		ceiling := min(2*p.shortest, p.shortest/4<<min(n.tries-1, longestDouble))
		return 1 + choice.Time(p.rng.Int64N(int64(max(1, ceiling))))
	case allSeen:
		return p.set.Turn << min(n.tries, longestTurnDouble)
	}
	return 0
}

// mayNotRepeat tells whether a message that is sent again at a time could have its effect twice.
func (p *plain) mayNotRepeat(n *message, at choice.Time) bool {
	w := &p.set.Classes[n.Class]
	switch {
	case !n.MayRun:
		return false
	case w.Repeat == choice.NonIdempotent:
		return true
	case w.Repeat == choice.Keyed:
		return w.ZoneGroup || at > n.RanAt+w.RepeatWindow-2*p.set.Turn-windowMargin
	}
	return false
}

// pay takes a retry out of the budget, if that has one left.
func (p *plain) pay() bool {
	if p.budget < 1 {
		return false
	}
	p.budget--
	return true
}

// Probed hears of a probe; no baseline sends one.
func (p *plain) Probed(choice.EndpointID, choice.Result) {}
