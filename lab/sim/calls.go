package sim

// This file is connections and the calls that leave by them.

import (
	"slices"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

func (n *node) closeIdle(e *endpoint) {
	for _, l := range e.idle {
		l.closed = true
		n.e.w.CloseBySender(l.c)
	}
	e.idle = nil
}

func (n *node) begin(c *call) {
	if !c.probe && !n.limitCallTime(c) {
		return
	}
	life := n.incarnation
	n.e.w.After(c.timeout, func() {
		if n.incarnation == life && !c.over {
			n.whenRunning(func() { n.expire(c) })
		}
	})
	if k := len(c.e.idle); k > 0 {
		l := c.e.idle[k-1]
		c.e.idle = c.e.idle[:k-1]
		n.send(c, l)
		return
	}
	l := &link{e: c.e, call: c}
	c.link = l
	l.c = n.e.w.Dial(n.no, c.e.id, c.e.addr)
	l.c.Engine = l
	n.out[c] = struct{}{}
	if within := n.settings.DialTimeout; within > 0 && within < c.timeout {
		n.e.w.After(within, func() {
			if n.incarnation == life && !c.over && !l.up {
				n.whenRunning(func() { n.dialFailed(c) })
			}
		})
	}
}

// limitCallTime and part are the sender's.
func (n *node) limitCallTime(c *call) bool {
	longest, life := choice.Time(0), n.incarnation
	for _, o := range slices.Clone(c.messages) {
		left := o.Deadline - n.Now() - n.settings.Turn
		if longest = max(longest, left); left <= 0 {
			n.detach(c, o)
		}
	}
	c.timeout = min(c.timeout, longest)
	for _, o := range c.messages {
		if left := o.Deadline - n.Now() - n.settings.Turn; left < c.timeout {
			n.e.w.After(left, func() {
				if n.incarnation == life && !c.over && o.call == c {
					n.whenRunning(func() { n.detach(c, o) })
				}
			})
		}
	}
	return len(c.messages) > 0
}

// detach takes a message off a call that goes on without it.
func (n *node) detach(c *call, o *openMessage) {
	if c.over || o.call != c {
		return
	}
	n.scheduleTick()
	out := choice.Outcome{Message: o.ID, Attempt: o.attempts - 1, Endpoint: c.e.id, Took: n.Now() - c.startedAt, Result: choice.Cancelled}
	if c.link == nil || !c.link.up {
		out.Result = choice.Moot
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
	n.e.w.CloseBySender(c.link.c)
	n.finish(c, choice.ConnectFailed, world.Answer{})
}

// connUp hears that a connection stands. A slow one may have let a wait or a drain come in between.
func (n *node) connUp(wc *world.Conn) {
	n.onLink(wc, func(l *link) {
		l.up = true
		c := l.call
		if c == nil || c.over {
			l.call = nil
			n.makeIdle(l)
			return
		}
		if n.Now() >= c.startedAt+c.timeout || !c.probe && !n.policy.Open(c.e.id, c.ids()...) {
			l.call = nil
			n.makeIdle(l)
			n.finish(c, choice.ConnectFailed, world.Answer{})
			return
		}
		n.send(c, l)
	})
}

func (c *call) ids() (ids []choice.MessageID) {
	for _, o := range c.messages {
		ids = append(ids, o.ID)
	}
	return ids
}

// send has a call leave on a link.
func (n *node) send(c *call, l *link) {
	c.link, c.reused, l.call, l.used = l, l.used, c, true
	l.idleNo++
	n.out[c] = struct{}{}
	n.e.w.Send(l.c, c.ids(), c.probe)
}

// makeIdle keeps a link for the next call, for as long as its endpoint surely keeps it too.
func (n *node) makeIdle(l *link) {
	if l.closed {
		return
	}
	if l.e.gone {
		l.closed = true
		n.e.w.CloseBySender(l.c)
		return
	}
	l.e.idle = append(l.e.idle, l)
	l.idleNo++
	keep := n.settings.ConnIdle
	if keep <= 0 {
		return
	}
	no, life := l.idleNo, n.incarnation
	still := func() bool { return !l.closed && l.call == nil && l.idleNo == no }
	n.e.w.After(max(keep/2, keep-idleMargin), func() {
		if n.incarnation != life || !still() {
			return
		}
		n.whenRunning(func() {
			if still() {
				n.dropIdle(l)
				n.e.w.CloseBySender(l.c)
			}
		})
	})
}

// dropIdle forgets a link.
func (n *node) dropIdle(l *link) {
	l.closed = true
	l.e.idle = slices.DeleteFunc(l.e.idle, func(other *link) bool { return other == l })
}

// expire ends a call whose time is over.
func (n *node) expire(c *call) {
	if c.over {
		return
	}
	if c.link == nil || !c.link.up {
		if c.link != nil {
			c.link.closed = true
			n.e.w.CloseBySender(c.link.c)
		}
		n.finish(c, choice.ConnectFailed, world.Answer{})
		return
	}
	n.abandon(c, choice.TimedOut)
}

// abandon ends a call's connection; the module hears of it once the endpoint has had time to see that.
func (n *node) abandon(c *call, result choice.Result) {
	c.link.closed = true
	c.link.call = nil
	c.over = true
	delete(n.out, c)
	n.e.w.CloseBySender(c.link.c)
	life := n.incarnation
	n.e.w.After(abandonDelay, func() {
		if n.incarnation == life {
			n.whenRunning(func() { n.reportCall(c, result, world.Answer{}) })
		}
	})
}
