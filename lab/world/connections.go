package world

// This file models connections from senders to endpoints.

import (
	"flaxcove/choice"
)

// Dial opens a connection to an endpoint, at the address that the sender got from discovery. Wire.ConnUp or Wire.ConnDown
// reports the result after a round trip.
func (w *World) Dial(s SenderNo, id choice.EndpointID, addr int) *Conn {
	w.conns++
	c := &Conn{No: w.conns, Sender: s}
	e := w.byID[id]
	if e == nil {
		w.After(Millisecond, func() { w.wire.ConnDown(c, ConnRefused) })
		return c
	}
	c.Endpoint = e
	w.calls++
	there := w.oneWayDelay(s, e, int64(w.calls))
	w.After(2*there, func() {
		switch {
		case c.closedBySender:
		case addr != e.Addr || e.Stage == choice.Gone || !e.accepts(w.now):
			w.noteFailureSeen(e, s)
			w.wire.ConnDown(c, ConnRefused)
		default:
			w.admit(c)
			w.wire.ConnUp(c)
		}
	})
	return c
}

// Accept records a connection that an engine with real sockets has established. Such an engine uses it in place of Dial.
func (w *World) Accept(s SenderNo, e *Endpoint) *Conn {
	w.conns++
	c := &Conn{No: w.conns, Sender: s, Endpoint: e}
	w.admit(c)
	return c
}

// Accepts reports whether an endpoint accepts new connections at an address now.
func (w *World) Accepts(e *Endpoint, addr int) bool {
	return addr == e.Addr && e.Stage != choice.Gone && e.accepts(w.now)
}

// admit records that an endpoint has accepted a connection.
func (w *World) admit(c *Conn) {
	e := c.Endpoint
	c.up = true
	c.overLimit = e.Partner.Kind.MaxConnections > 0 && len(e.conns) >= e.Partner.Kind.MaxConnections
	e.conns[c] = struct{}{}
	w.watchIdle(c)
}

// watchIdle schedules the endpoint's close of a connection if it stays idle for PartnerKind.IdleS.
func (w *World) watchIdle(c *Conn) {
	c.idleAt = w.now
	at := w.now
	w.After(seconds(c.Endpoint.Partner.Kind.IdleS), func() {
		if c.call == nil && c.idleAt == at && !c.closedAtEndpoint && !c.closedBySender {
			w.closeAtEndpoint(c, true)
		}
	})
}

// closeAtEndpoint closes a connection from the endpoint's side. If notify is set, the sender sees the reset after the delay
// of the network.
func (w *World) closeAtEndpoint(c *Conn, notify bool) {
	if c.closedAtEndpoint {
		return
	}
	c.closedAtEndpoint = true
	delete(c.Endpoint.conns, c)
	if call := c.call; call != nil {
		w.removeFromQueue(call)
		w.setInFlight(call, false)
	}
	if notify && !c.closedBySender {
		c.notified = true
		w.After(w.oneWayDelay(c.Sender, c.Endpoint, int64(c.carried)), func() {
			if !c.closedBySender && !w.senders[c.Sender].isolated {
				w.wire.ConnDown(c, ConnReset)
			}
		})
	}
}

// CloseBySender closes a connection from the sender's side.
func (w *World) CloseBySender(c *Conn) {
	if c.closedBySender {
		return
	}
	c.closedBySender = true
	if call := c.call; call != nil {
		// The call ends now and not when the close reaches the endpoint: a later call of this sender leaves after the close,
		// though it may arrive before it.
		w.setInFlight(call, false)
	}
	e := c.Endpoint
	if e == nil || c.closedAtEndpoint {
		return
	}
	w.After(w.oneWayDelay(c.Sender, e, int64(c.carried)), func() {
		if !c.closedAtEndpoint {
			c.closedAtEndpoint = true
			delete(e.conns, c)
			if c.call != nil {
				w.noteFailureSeen(e, c.Sender) // the sender abandoned a call, and so has seen the endpoint fail
			}
		}
	})
	if c.call != nil && e.inOutage {
		w.noteFailureSeen(e, c.Sender)
	}
}
