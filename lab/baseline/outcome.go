package baseline

// This file handles the end of an attempt: whether and when the message is sent again. A message that may have been executed
// must not be sent where its effect could come twice.

import (
	"flaxcove/choice"
)

// Ended takes the end of an attempt.
func (p *policy) Ended(o choice.Outcome) {
	n := p.messages[o.Message]
	if n == nil || n.sentTo == nil || o.Attempt != n.attempts-1 {
		return
	}
	e := n.sentTo
	n.sentTo = nil
	e.calls--
	p.inFlight--
	if n.slow {
		n.slow = false
		p.slowInFlight--
	}
	if o.RetryAfter > 0 {
		p.applyRetryAfter(e, o.RetryAfter)
	}
	p.recordExecution(n, e, o.Result)
	if o.Final {
		p.release(n)
		return
	}
	p.retry(n)
}

// applyRetryAfter blocks an endpoint, or its whole destination, for the time that it named.
func (p *policy) applyRetryAfter(e *endpoint, wait choice.Time) {
	until := p.host.Now() + wait + choice.Time(p.rng.Int64N(int64(50*choice.Millisecond)))
	if p.settings.Kinds[e.Kind].SeparateRoutes {
		e.blockedUntil = max(e.blockedUntil, until)
	} else {
		e.destination.blockedUntil = max(e.destination.blockedUntil, until)
	}
}

// recordExecution records that an attempt may have been executed. Its ordering key rests if it may still be worked on.
func (p *policy) recordExecution(n *message, e *endpoint, result choice.Result) {
	switch result {
	case choice.Errored, choice.TimedOut, choice.Reset, choice.Cancelled, choice.Unreadable:
	default:
		return
	}
	if !n.MayRun {
		n.MayRun, n.RanAt, n.RanIn = true, n.sentAt, e.Zone
	}
	answered := result == choice.Errored || result == choice.Unreadable
	if n.keyQueue != nil && !answered {
		n.keyQueue.pausedUntil = p.host.Now() + p.settings.KeyPause
	}
}

// retry sends a message again after a backoff if that is allowed and there is time; else it ends the message.
func (p *policy) retry(n *message) {
	if p.kind == oneTry {
		p.finish(n)
		return
	}
	wait := p.backoff(n)
	spent := p.mayNotRepeat(n, p.host.Now()+wait)
	if p.kind == least && !p.takeFromBudget() {
		spent = true
	}
	if spent || n.attempts >= p.settings.MaxAttempts || p.host.Now()+wait >= p.cutoff(n) {
		p.finish(n)
		return
	}
	p.after(wait, func() { p.enqueue(n) })
}

// backoff is the time before a message's next attempt.
func (p *policy) backoff(n *message) choice.Time {
	switch p.kind {
	case fixed:
		return fixedWait
	case backoff, least:
		ceiling := min(2*p.shortest, p.shortest/4<<min(n.attempts-1, maxDoublings))
		return 1 + choice.Time(p.rng.Int64N(int64(max(1, ceiling))))
	case allSeen:
		return p.settings.TurnInterval << min(n.attempts, maxTurnDoublings)
	}
	return 0
}

// mayNotRepeat reports whether a message that is sent again at a time could have its effect twice.
func (p *policy) mayNotRepeat(n *message, at choice.Time) bool {
	w := &p.settings.Classes[n.Class]
	switch {
	case !n.MayRun:
		return false
	case w.Repeat == choice.NonIdempotent:
		return true
	case w.Repeat == choice.Keyed:
		return w.ZoneGroup || at > n.RanAt+w.RepeatWindow-2*p.settings.TurnInterval-windowMargin
	}
	return false
}

// takeFromBudget takes a retry out of the retry budget. It is false if there is none left.
func (p *policy) takeFromBudget() bool {
	if p.budget < 1 {
		return false
	}
	p.budget--
	return true
}

// Probed does nothing: baselines send no health probes.
func (p *policy) Probed(choice.EndpointID, choice.Result) {}
