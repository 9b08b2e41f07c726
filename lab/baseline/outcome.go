package baseline

// This file handles the end of an attempt, and decides whether and when the message is retried. A message that may have been
// executed must not be retried if the retry could have its effect a second time.

import (
	"flaxcove/choice"
)

// AttemptEnded receives the end of an attempt. An outcome that does not belong to the attempt in flight is ignored.
func (p *policy) AttemptEnded(o choice.Outcome) {
	m := p.messages[o.Message]
	if m == nil || m.sentTo == nil || o.Attempt != m.attempts-1 {
		return
	}
	e := m.sentTo
	m.sentTo = nil
	e.calls--
	p.inFlight--
	if m.slow {
		m.slow = false
		p.slowInFlight--
	}
	if o.RetryAfter > 0 {
		p.applyRetryAfter(e, o.RetryAfter)
	}
	p.recordExecution(m, e, o.Result)
	if o.Final {
		p.release(m)
		return
	}
	p.retry(m)
}

// applyRetryAfter blocks an endpoint for the time of its Retry-After and up to 50 ms of jitter. It blocks the whole destination
// unless each endpoint is a separate route.
func (p *policy) applyRetryAfter(e *endpoint, wait choice.Time) {
	until := p.host.Now() + wait + choice.Time(p.rng.Int64N(int64(50*choice.Millisecond)))
	if p.settings.Kinds[e.Kind].SeparateRoutes {
		e.blockedUntil = max(e.blockedUntil, until)
	} else {
		e.destination.blockedUntil = max(e.destination.blockedUntil, until)
	}
}

// recordExecution records that a message may have been executed if the result of the attempt does not rule it out. If the
// attempt may still be running, its ordering key is paused.
func (p *policy) recordExecution(m *message, e *endpoint, result choice.Result) {
	switch result {
	case choice.Errored, choice.TimedOut, choice.Reset, choice.Cancelled, choice.Unreadable:
	default:
		return
	}
	if !m.MayRun {
		m.MayRun, m.RanAt, m.RanIn = true, m.sentAt, e.Zone
	}
	answered := result == choice.Errored || result == choice.Unreadable
	if m.keyQueue != nil && !answered {
		m.keyQueue.pausedUntil = p.host.Now() + p.settings.KeyPause
	}
}

// retry enqueues a message again after a backoff if the rules, the policy and the deadline allow it. Otherwise it finishes the
// message.
func (p *policy) retry(m *message) {
	if p.kind == oneTry {
		p.finish(m)
		return
	}
	wait := p.backoff(m)
	forbidden := p.mayNotRepeat(m, p.host.Now()+wait)
	if p.kind == least && !p.takeFromBudget() {
		forbidden = true
	}
	if forbidden || m.attempts >= p.settings.MaxAttempts || p.host.Now()+wait >= p.cutoff(m) {
		p.finish(m)
		return
	}
	p.after(wait, func() { p.enqueue(m) })
}

// backoff returns the time to wait before a message's next attempt.
func (p *policy) backoff(m *message) choice.Time {
	switch p.kind {
	case fixed:
		return fixedWait
	case backoff, least:
		ceiling := min(2*p.shortest, p.shortest/4<<min(m.attempts-1, maxDoublings))
		return 1 + choice.Time(p.rng.Int64N(int64(max(1, ceiling))))
	case allSeen:
		return p.settings.TurnInterval << min(m.attempts, maxTurnDoublings)
	}
	return 0
}

// mayNotRepeat reports whether a retry of a message at a time could have its effect a second time.
func (p *policy) mayNotRepeat(m *message, at choice.Time) bool {
	class := &p.settings.Classes[m.Class]
	switch {
	case !m.MayRun:
		return false
	case class.Repeat == choice.NonIdempotent:
		return true
	case class.Repeat == choice.Keyed:
		return class.ZoneGroup || at > m.RanAt+class.RepeatWindow-2*p.settings.TurnInterval-windowMargin
	}
	return false
}

// takeFromBudget takes one retry from the retry budget. It returns false if the budget is less than one retry.
func (p *policy) takeFromBudget() bool {
	if p.budget < 1 {
		return false
	}
	p.budget--
	return true
}

// ProbeEnded does nothing, because baselines send no health probes.
func (p *policy) ProbeEnded(choice.EndpointID, choice.Result) {}
