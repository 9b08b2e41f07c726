package sim

// This file handles the answers and the closed connections that reach a sender.

import (
	"flaxcove/choice"
	"flaxcove/lab/world"
)

// withLink calls do with the link of a connection. If the process is paused, do is called when it
// continues. It is not called if the link is closed by then.
func (n *node) withLink(wc *world.Conn, do func(l *link)) {
	l, ok := wc.Engine.(*link)
	if !ok {
		return
	}
	n.whenRunning(func() {
		if !l.closed {
			do(l)
		}
	})
}

// connDown handles a connection that was refused, or closed by the endpoint.
func (n *node) connDown(wc *world.Conn, why world.ConnEnd) {
	n.withLink(wc, func(l *link) {
		c := l.call
		n.dropLink(l)
		n.e.w.CloseBySender(wc)
		if c == nil || c.over {
			return
		}
		if why == world.ConnRefused {
			n.endCall(c, choice.ConnectFailed, world.Answer{})
		} else {
			n.endCall(c, choice.Reset, world.Answer{})
		}
	})
}

// answered handles an answer, or the first half of one.
func (n *node) answered(wc *world.Conn, a world.Answer) {
	n.withLink(wc, func(l *link) {
		c := l.call
		if c == nil || c.over {
			return
		}
		if a.Incomplete {
			n.waitForRest(c)
			return
		}
		l.call = nil
		if a.Malformed || a.Close {
			l.closed = true
			n.e.w.CloseBySender(wc)
		} else {
			n.makeIdle(l)
		}
		n.endCall(c, resultOf(a), a)
	})
}

// waitForRest abandons a call after answerRestTimeout, since the rest of an incomplete answer never comes.
func (n *node) waitForRest(c *call) {
	incarnation := n.incarnation
	n.e.w.After(answerRestTimeout, func() {
		if n.incarnation != incarnation || c.over {
			return
		}
		n.whenRunning(func() {
			if !c.over {
				n.abandon(c, choice.Unreadable)
			}
		})
	})
}

// resultOf returns the result of a call that got a complete answer.
func resultOf(a world.Answer) choice.Result {
	switch {
	case a.Malformed:
		return choice.Unreadable
	case a.Status == 200:
		return choice.Done
	case a.Status == 429 || a.Status == 503:
		return choice.Rejected
	}
	return choice.Errored
}

// endCall ends a call with a result. It does nothing if the call has ended before.
func (n *node) endCall(c *call, result choice.Result, a world.Answer) {
	if c.over {
		return
	}
	c.over = true
	delete(n.inFlight, c)
	n.reportCall(c, result, a)
}

// reportCall reports the end of a call to the policy, for each of its messages.
func (n *node) reportCall(c *call, result choice.Result, a world.Answer) {
	n.scheduleTick()
	if c.probe {
		n.policy.ProbeEnded(c.endpoint.id, result)
		return
	}
	wait := a.RetryAfter
	if wait > 0 {
		wait++ // the endpoint's clock may be ahead of the sender's by a fraction of a tenth of a millisecond
	}
	for i, o := range c.messages {
		if o.call != c {
			continue // the message was detached from the call before
		}
		out := choice.Outcome{Message: o.ID, Attempt: o.attempts - 1, Endpoint: c.endpoint.id, Duration: n.Now() - c.startedAt, Result: result,
			Final: result == choice.Done, RetryAfter: wait, Report: a.Report, Reused: c.reused, Closed: a.Close}
		if a.Statuses != nil && result == choice.Done && a.Statuses[i] != 200 {
			out.Result, out.Final = choice.Errored, false
		}
		if len(c.messages) == 1 && out.Result != choice.Rejected {
			out.RetryAfter = 0
		}
		n.attemptEnded(c, o, out)
	}
}

// attemptEnded reports the end of an attempt to the policy, and records whether the message may have been executed.
func (n *node) attemptEnded(c *call, o *openMessage, out choice.Outcome) {
	o.call = nil
	switch out.Result {
	case choice.Errored, choice.TimedOut, choice.Reset, choice.Cancelled, choice.Unreadable:
		if !o.MayRun {
			o.MayRun, o.RanAt, o.RanIn = true, c.startedAt, c.endpoint.zone
		}
	default:
		if !o.MayRun && !out.Final {
			o.mayRunRecorded = false
		}
	}
	n.policy.AttemptEnded(out)
	if out.Final {
		n.deliveredAt[o.Destination] = n.Now()
		n.forgetMessage(o)
	}
}
