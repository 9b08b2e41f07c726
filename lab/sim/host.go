package sim

// This file is choice.Host on a simulated sender, and what ends a message there.

import (
	"math"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

func (n *node) Now() choice.Time { return n.e.w.Now() }

func (n *node) Allowed(id choice.MessageID, e choice.EndpointID) bool {
	return n.e.o.Allowed == nil || n.e.o.Allowed(n.Now(), n.no, id, e)
}

func (n *node) Attempt(id choice.MessageID, to choice.EndpointID, timeOut choice.Time) {
	o, e := n.owed[id], n.ends[to]
	if e == nil {
		e = &end{id: to, gone: true, bundle: 1}
	}
	c := e.open
	if c == nil || len(c.messages) >= e.bundle {
		c = &call{n: n, e: e, began: n.Now()}
		if e.open == nil || e.bundle > 1 {
			e.open = c
		}
		n.starting = append(n.starting, c)
	}
	c.messages = append(c.messages, o)
	c.lasts = max(c.lasts, timeOut)
	o.out = c
	o.tries++
	n.scheduleTurn()
}

func (n *node) Shed(id choice.MessageID, comeBackIn choice.Time) {
	o := n.owed[id]
	if o == nil || o.over {
		return
	}
	ms := int64(math.Ceil(float64(comeBackIn) / float64(choice.Millisecond)))
	n.end(o, func() {
		if o.wait {
			n.e.w.Answered(o.h, world.HeardBusy, ms)
		} else {
			n.e.w.ReportEnd(o.ID, world.EndHandedBack, ms)
		}
	})
}

func (n *node) Fail(id choice.MessageID) {
	o := n.owed[id]
	if o == nil || o.over {
		return
	}
	n.end(o, func() {
		if o.wait {
			n.e.w.Answered(o.h, world.HeardError, 0)
		} else {
			n.e.w.ReportEnd(o.ID, world.EndFailed, 0)
		}
	})
}

func (n *node) over(o *owed) {
	o.over = true
	delete(n.owed, o.ID)
}

func (n *node) Probe(id choice.EndpointID) {
	e := n.ends[id]
	if e == nil {
		e = &end{id: id, gone: true}
	}
	n.starting = append(n.starting, &call{n: n, e: e, began: n.Now(), probe: true, lasts: n.set.DialTimeout + probeFor})
	n.scheduleTurn()
}

// Tell says nothing: Settings.Notes is unset, as on sockets.
func (n *node) Tell([]byte) {}

func (n *node) CloseIdle(id choice.EndpointID) {
	if e := n.ends[id]; e != nil {
		n.closeIdle(e)
	}
}

func (n *node) Timer(in choice.Time, id choice.TimerID) {
	life := n.life
	n.timers[id] = true
	n.e.w.After(in, func() {
		if n.life != life || !n.timers[id] {
			return
		}
		n.awake(func() {
			if n.timers[id] {
				delete(n.timers, id)
				n.policy.TimerDue(id)
				n.scheduleTurn()
			}
		})
	})
}

func (n *node) Forget(id choice.TimerID) { delete(n.timers, id) }
