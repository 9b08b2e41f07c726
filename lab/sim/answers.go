package sim

// This file is what comes back: answers, and ends of connections.

import (
	"flaxcove/choice"
	"flaxcove/lab/world"
)

// onLink does something with the link of a connection once its process is awake, unless it is closed by then.
func (n *node) onLink(wc *world.Conn, do func(l *link)) {
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

// connDown hears that a connection was refused, or ended by the other side.
func (n *node) connDown(wc *world.Conn, why world.ConnEnd) {
	n.onLink(wc, func(l *link) {
		c := l.call
		n.dropIdle(l)
		n.e.w.CloseBySender(wc)
		if c == nil || c.over {
			return
		}
		if why == world.ConnRefused {
			n.finish(c, choice.ConnectFailed, world.Answer{})
		} else {
			n.finish(c, choice.Reset, world.Answer{})
		}
	})
}

// answered hears an answer, or its first half.
func (n *node) answered(wc *world.Conn, a world.Answer) {
	n.onLink(wc, func(l *link) {
		c := l.call
		if c == nil || c.over {
			return
		}
		if a.Half {
			n.waitForRest(c)
			return
		}
		l.call = nil
		if a.Spoilt || a.Close {
			l.closed = true
			n.e.w.CloseBySender(wc)
		} else {
			n.makeIdle(l)
		}
		n.finish(c, resultOf(a), a)
	})
}

// waitForRest abandons a call if the other half of its answer does not come.
func (n *node) waitForRest(c *call) {
	life := n.incarnation
	n.e.w.After(answerRestTimeout, func() {
		if n.incarnation != life || c.over {
			return
		}
		n.whenRunning(func() {
			if !c.over {
				n.abandon(c, choice.Spoilt)
			}
		})
	})
}

// resultOf is what a whole answer means.
func resultOf(a world.Answer) choice.Result {
	switch {
	case a.Spoilt:
		return choice.Spoilt
	case a.Status == 200:
		return choice.Done
	case a.Status == 429 || a.Status == 503:
		return choice.Full
	}
	return choice.Errored
}

// finish ends a call.
func (n *node) finish(c *call, result choice.Result, a world.Answer) {
	if c.over {
		return
	}
	c.over = true
	delete(n.out, c)
	n.reportCall(c, result, a)
}

// reportCall has the module hear how a call ended, message by message.
func (n *node) reportCall(c *call, result choice.Result, a world.Answer) {
	n.scheduleTick()
	if c.probe {
		n.policy.Probed(c.e.id, result)
		return
	}
	wait := a.Wait
	if wait > 0 {
		wait++ // counted from a clock that may lie inside a tenth
	}
	for i, o := range c.messages {
		if o.call != c {
			continue // it has parted
		}
		out := choice.Outcome{Message: o.ID, Attempt: o.attempts - 1, Endpoint: c.e.id, Took: n.Now() - c.startedAt, Result: result,
			Final: result == choice.Done, Wait: wait, Report: a.Report, Reused: c.reused, Closed: a.Close}
		if a.Statuses != nil && result == choice.Done && a.Statuses[i] != 200 {
			out.Result, out.Final = choice.Errored, false
		}
		if len(c.messages) == 1 && out.Result != choice.Full {
			out.Wait = 0
		}
		n.attemptEnded(c, o, out)
	}
}

// attemptEnded has the module hear how an attempt ended.
func (n *node) attemptEnded(c *call, o *openMessage, out choice.Outcome) {
	o.call = nil
	switch out.Result {
	case choice.Errored, choice.TimedOut, choice.Reset, choice.Cancelled, choice.Spoilt:
		if !o.MayRun {
			o.MayRun, o.RanAt, o.RanIn = true, c.startedAt, c.e.zone
		}
	default:
		if !o.MayRun && !out.Final {
			o.mayRunRecorded = false
		}
	}
	n.policy.Ended(out)
	if out.Final {
		n.forgetMessage(o)
	}
}
