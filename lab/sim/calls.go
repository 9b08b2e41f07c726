package sim

// This file handles the connections of a sender and the calls on them.

import (
	"slices"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

// closeIdleLinks closes all idle links to an endpoint.
func (n *node) closeIdleLinks(e *endpoint) {
	for _, l := range e.idle {
		l.closed = true
		n.e.w.CloseBySender(l.conn)
	}
	e.idle = nil
}

// startCall sends a call on an idle link, or opens a link for it.
func (n *node) startCall(c *call) {
	if !c.probe && !n.limitCallTime(c) {
		return
	}
	incarnation := n.incarnation
	n.e.w.After(c.timeout, func() {
		if n.incarnation == incarnation && !c.over {
			n.whenRunning(func() { n.expire(c) })
		}
	})
	if k := len(c.endpoint.idle); k > 0 {
		l := c.endpoint.idle[k-1]
		c.endpoint.idle = c.endpoint.idle[:k-1]
		n.send(c, l)
		return
	}
	l := &link{endpoint: c.endpoint, call: c}
	c.link = l
	l.conn = n.e.w.Dial(n.no, c.endpoint.id, c.endpoint.addr)
	l.conn.Engine = l
	n.inFlight[c] = struct{}{}
	if within := n.settings.DialTimeout; within > 0 && within < c.timeout {
		n.e.w.After(within, func() {
			if n.incarnation == incarnation && !c.over && !l.up {
				n.whenRunning(func() { n.dialFailed(c) })
			}
		})
	}
}

// limitCallTime limits a call's timeout to the deadlines of its messages, as internal/sender does: a message that reaches
// its deadline is detached from the call. It reports whether the call has any messages left.
func (n *node) limitCallTime(c *call) bool {
	longest, incarnation := choice.Time(0), n.incarnation
	for _, o := range slices.Clone(c.messages) {
		left := o.Deadline - n.Now() - n.settings.TurnInterval
		if longest = max(longest, left); left <= 0 {
			n.detach(c, o)
		}
	}
	c.timeout = min(c.timeout, longest)
	for _, o := range c.messages {
		if left := o.Deadline - n.Now() - n.settings.TurnInterval; left < c.timeout {
			n.e.w.After(left, func() {
				if n.incarnation == incarnation && !c.over && o.call == c {
					n.whenRunning(func() { n.detach(c, o) })
				}
			})
		}
	}
	return len(c.messages) > 0
}

// detach ends the attempt of one message of a call. The call continues for the other messages.
func (n *node) detach(c *call, o *openMessage) {
	if c.over || o.call != c {
		return
	}
	n.scheduleTick()
	out := choice.Outcome{Message: o.ID, Attempt: o.attempts - 1, Endpoint: c.endpoint.id, Duration: n.Now() - c.startedAt, Result: choice.Cancelled}
	if c.link == nil || !c.link.up {
		out.Result = choice.NotRun
		c.messages = slices.DeleteFunc(c.messages, func(other *openMessage) bool { return other == o })
	}
	n.attemptEnded(c, o, out)
}

// dialFailed ends a call whose connection did not come up in time.
func (n *node) dialFailed(c *call) {
	if c.over || c.link.up {
		return
	}
	c.link.closed = true
	n.e.w.CloseBySender(c.link.conn)
	n.endCall(c, choice.ConnectFailed, world.Answer{})
}

// connUp handles an established connection: its call is sent. The call fails if it has timed out, or if the policy has
// closed the route in the meantime because the endpoint drains or has sent a Retry-After.
func (n *node) connUp(wc *world.Conn) {
	n.withLink(wc, func(l *link) {
		l.up = true
		c := l.call
		if c == nil || c.over {
			l.call = nil
			n.makeIdle(l)
			return
		}
		if n.Now() >= c.startedAt+c.timeout || !c.probe && !n.policy.MaySend(c.endpoint.id, c.ids()...) {
			l.call = nil
			n.makeIdle(l)
			n.endCall(c, choice.ConnectFailed, world.Answer{})
			return
		}
		n.send(c, l)
	})
}

// ids returns the ids of the call's messages.
func (c *call) ids() (ids []choice.MessageID) {
	for _, o := range c.messages {
		ids = append(ids, o.ID)
	}
	return ids
}

// send sends a call on an established link.
func (n *node) send(c *call, l *link) {
	c.link, c.reused, l.call, l.used = l, l.used, c, true
	l.useCount++
	n.inFlight[c] = struct{}{}
	n.e.w.Send(l.conn, c.ids(), c.probe)
}

// makeIdle keeps a link for the next call. It schedules the close of the link for idleMargin before the endpoint would
// close it, or for half of the idle time if that is later.
func (n *node) makeIdle(l *link) {
	if l.closed {
		return
	}
	if l.endpoint.gone {
		l.closed = true
		n.e.w.CloseBySender(l.conn)
		return
	}
	l.endpoint.idle = append(l.endpoint.idle, l)
	l.useCount++
	keep := n.settings.ConnIdle
	if keep <= 0 {
		return
	}
	no, incarnation := l.useCount, n.incarnation
	still := func() bool { return !l.closed && l.call == nil && l.useCount == no }
	n.e.w.After(max(keep/2, keep-idleMargin), func() {
		if n.incarnation != incarnation || !still() {
			return
		}
		n.whenRunning(func() {
			if still() {
				n.dropLink(l)
				n.e.w.CloseBySender(l.conn)
			}
		})
	})
}

// dropLink marks a link as closed and removes it from the idle links.
func (n *node) dropLink(l *link) {
	l.closed = true
	l.endpoint.idle = slices.DeleteFunc(l.endpoint.idle, func(other *link) bool { return other == l })
}

// expire ends a call that has reached its timeout. If its link was never established, the result is ConnectFailed.
func (n *node) expire(c *call) {
	if c.over {
		return
	}
	if c.link == nil || !c.link.up {
		if c.link != nil {
			c.link.closed = true
			n.e.w.CloseBySender(c.link.conn)
		}
		n.endCall(c, choice.ConnectFailed, world.Answer{})
		return
	}
	n.abandon(c, choice.TimedOut)
}

// abandon ends a call by closing its connection. The policy is told after abandonDelay, when the endpoint has seen the
// close.
func (n *node) abandon(c *call, result choice.Result) {
	c.link.closed = true
	c.link.call = nil
	c.over = true
	delete(n.inFlight, c)
	n.e.w.CloseBySender(c.link.conn)
	incarnation := n.incarnation
	n.e.w.After(abandonDelay, func() {
		if n.incarnation == incarnation {
			n.whenRunning(func() { n.reportCall(c, result, world.Answer{}) })
		}
	})
}
