package sim

// This file implements choice.Host, which a policy calls to act, for a simulated sender.

import (
	"math"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

func (n *node) Now() choice.Time { return n.e.w.Now() }

func (n *node) Allowed(id choice.MessageID, e choice.EndpointID) bool {
	return n.e.opts.Allowed == nil || n.e.opts.Allowed(n.Now(), n.no, id, e)
}

func (n *node) Attempt(id choice.MessageID, to choice.EndpointID, in choice.CallID, timeOut choice.Time) {
	o := n.messages[id]
	c := n.callsByID[in]
	if c == nil {
		c = n.newCall(to)
		n.callsByID[in] = c
	}
	c.messages = append(c.messages, o)
	c.timeout = max(c.timeout, timeOut)
	o.call = c
	o.attempts++
	n.scheduleTick()
}

// newCall returns a call that begins at the end of this tick.
func (n *node) newCall(to choice.EndpointID) *call {
	e := n.endpoints[to]
	if e == nil {
		e = &endpoint{id: to, gone: true}
	}
	c := &call{n: n, endpoint: e, startedAt: n.Now()}
	n.newCalls = append(n.newCalls, c)
	return c
}

func (n *node) Shed(id choice.MessageID, comeBackIn choice.Time) {
	o := n.messages[id]
	if o == nil || o.over {
		return
	}
	ms := int64(math.Ceil(float64(comeBackIn) / float64(choice.Millisecond)))
	n.endMessage(o, func() {
		if o.unanswered {
			n.e.w.Answered(o.handIn, world.HandInBusy, ms)
		} else {
			n.e.w.ReportEnd(o.ID, world.EndHandedBack, ms)
		}
	})
}

func (n *node) Fail(id choice.MessageID) {
	o := n.messages[id]
	if o == nil || o.over {
		return
	}
	n.endMessage(o, func() {
		if o.unanswered {
			n.e.w.Answered(o.handIn, world.HandInError, 0)
		} else {
			n.e.w.ReportEnd(o.ID, world.EndFailed, 0)
		}
	})
}

func (n *node) forgetMessage(o *openMessage) {
	o.over = true
	delete(n.messages, o.ID)
}

func (n *node) Probe(id choice.EndpointID) {
	e := n.endpoints[id]
	if e == nil {
		e = &endpoint{id: id, gone: true}
	}
	n.newCalls = append(n.newCalls, &call{n: n, endpoint: e, startedAt: n.Now(), probe: true, timeout: n.settings.DialTimeout + probeTimeout})
	n.scheduleTick()
}

// EndpointChanged implements choice.Host; it does nothing.
func (n *node) EndpointChanged(choice.EndpointID, choice.HealthEvent, choice.HealthReason) {}

// BroadcastNote does nothing: gossip between senders (Settings.Notes) is off in both engines.
func (n *node) BroadcastNote([]byte) {}

func (n *node) CloseIdle(id choice.EndpointID) {
	if e := n.endpoints[id]; e != nil {
		n.closeIdleLinks(e)
	}
}

func (n *node) SetTimer(in choice.Time, id choice.TimerID) {
	incarnation := n.incarnation
	n.timers[id] = true
	n.e.w.After(in, func() {
		if n.incarnation != incarnation || !n.timers[id] {
			return
		}
		n.whenRunning(func() {
			if n.timers[id] {
				delete(n.timers, id)
				n.policy.TimerFired(id)
				n.scheduleTick()
			}
		})
	})
}

func (n *node) CancelTimer(id choice.TimerID) { delete(n.timers, id) }
