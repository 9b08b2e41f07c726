package sim

// This file is connections and the calls that leave by them.

import (
	"slices"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

func (n *node) closeIdle(e *end) {
	for _, l := range e.idle {
		l.closed = true
		n.e.w.Hang(l.c)
	}
	e.idle = nil
}

func (n *node) begin(c *call) {
	if !c.probe && !n.timeCall(c) {
		return
	}
	life := n.life
	n.e.w.After(c.lasts, func() {
		if n.life == life && !c.over {
			n.awake(func() { n.expire(c) })
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
	if within := n.set.DialTimeout; within > 0 && within < c.lasts {
		n.e.w.After(within, func() {
			if n.life == life && !c.over && !l.up {
				n.awake(func() { n.dialFailed(c) })
			}
		})
	}
}

// timeCall and part are the sender's.
func (n *node) timeCall(c *call) bool {
	longest, life := choice.Time(0), n.life
	for _, o := range slices.Clone(c.messages) {
		left := o.Deadline - n.Now() - n.set.Turn
		if longest = max(longest, left); left <= 0 {
			n.part(c, o)
		}
	}
	c.lasts = min(c.lasts, longest)
	for _, o := range c.messages {
		if left := o.Deadline - n.Now() - n.set.Turn; left < c.lasts {
			n.e.w.After(left, func() {
				if n.life == life && !c.over && o.out == c {
					n.awake(func() { n.part(c, o) })
				}
			})
		}
	}
	return len(c.messages) > 0
}

// part takes a message off a call that goes on without it.
func (n *node) part(c *call, o *owed) {
	if c.over || o.out != c {
		return
	}
	n.scheduleTurn()
	out := choice.Outcome{Message: o.ID, Attempt: o.tries - 1, Endpoint: c.e.id, Took: n.Now() - c.began, Result: choice.Cancelled}
	if c.link == nil || !c.link.up {
		out.Result = choice.Moot
		c.messages = slices.DeleteFunc(c.messages, func(other *owed) bool { return other == o })
	}
	n.attemptEnded(c, o, out)
}

// dialFailed ends a call whose connection did not come up in time.
func (n *node) dialFailed(c *call) {
	if c.over || c.link.up {
		return
	}
	c.link.closed = true
	n.e.w.Hang(c.link.c)
	n.finish(c, choice.ConnectFailed, world.Answer{})
}

// up hears that a connection stands. A slow one may have let a wait or a drain come in between.
func (n *node) up(wc *world.Conn) {
	n.onLink(wc, func(l *link) {
		l.up = true
		c := l.call
		if c == nil || c.over {
			l.call = nil
			n.makeIdle(l)
			return
		}
		if n.Now() >= c.began+c.lasts || !c.probe && !n.policy.Open(c.e.id, c.ids()...) {
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
		n.e.w.Hang(l.c)
		return
	}
	l.e.idle = append(l.e.idle, l)
	l.idleNo++
	keep := n.set.ConnIdle
	if keep <= 0 {
		return
	}
	no, life := l.idleNo, n.life
	still := func() bool { return !l.closed && l.call == nil && l.idleNo == no }
	n.e.w.After(max(keep/2, keep-idleMargin), func() {
		if n.life != life || !still() {
			return
		}
		n.awake(func() {
			if still() {
				n.dropIdle(l)
				n.e.w.Hang(l.c)
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
			n.e.w.Hang(c.link.c)
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
	n.e.w.Hang(c.link.c)
	life := n.life
	n.e.w.After(settleFor, func() {
		if n.life == life {
			n.awake(func() { n.tell(c, result, world.Answer{}) })
		}
	})
}
