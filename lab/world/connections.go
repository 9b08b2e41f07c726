package world

// This file is the connections to an endpoint.

import (
	"flaxcove/choice"
)

// Dial begins a connection to an endpoint at the address that its sender was told.
func (w *World) Dial(s SenderNo, id choice.EndpointID, addr int) *Conn {
	w.conns++
	c := &Conn{No: w.conns, Sender: s}
	e := w.byID[id]
	if e == nil {
		w.After(Millisecond, func() { w.wire.Down(c, SeenRefused) })
		return c
	}
	c.Endpoint = e
	w.calls++
	there := w.way(s, e, int64(w.calls))
	w.After(2*there, func() {
		switch {
		case c.hung:
		case addr != e.Addr || e.Stage == choice.Gone || !e.accepts(w.now):
			w.saw(e, s)
			w.wire.Down(c, SeenRefused)
		default:
			w.admit(c)
			w.wire.Up(c)
		}
	})
	return c
}

// Accept is Dial for an engine with real connections: it has come up already.
func (w *World) Accept(s SenderNo, e *Endpoint) *Conn {
	w.conns++
	c := &Conn{No: w.conns, Sender: s, Endpoint: e}
	w.admit(c)
	return c
}

// Accepts tells whether an endpoint takes new connections at that address just now.
func (w *World) Accepts(e *Endpoint, addr int) bool {
	return addr == e.Addr && e.Stage != choice.Gone && e.accepts(w.now)
}

func (w *World) admit(c *Conn) {
	e := c.Endpoint
	c.up = true
	c.crowded = e.Partner.Kind.Table > 0 && len(e.conns) >= e.Partner.Kind.Table
	e.conns[c] = struct{}{}
	w.watchIdle(c)
}

// watchIdle closes a connection that carries nothing for too long.
func (w *World) watchIdle(c *Conn) {
	c.idleAt = w.now
	at := w.now
	w.After(seconds(c.Endpoint.Partner.Kind.IdleS), func() {
		if c.call == nil && c.idleAt == at && !c.gone && !c.hung {
			w.drop(c, true)
		}
	})
}

// drop ends a connection from the endpoint's side; tell says whether its sender learns of it.
func (w *World) drop(c *Conn, tell bool) {
	if c.gone {
		return
	}
	c.gone = true
	delete(c.Endpoint.conns, c)
	if call := c.call; call != nil {
		w.unqueue(call)
		w.setOut(call, false)
	}
	if tell && !c.hung {
		c.notified = true
		w.After(w.way(c.Sender, c.Endpoint, int64(c.carried)), func() {
			if !c.hung && !w.senders[c.Sender].cut {
				w.wire.Down(c, SeenBroken)
			}
		})
	}
}

// Hang ends a connection from its sender's side.
func (w *World) Hang(c *Conn) {
	if c.hung {
		return
	}
	c.hung = true
	if call := c.call; call != nil {
		w.setOut(call, false) // an end and a later call leave their sender in this order, however long each takes
	}
	e := c.Endpoint
	if e == nil || c.gone {
		return
	}
	w.After(w.way(c.Sender, e, int64(c.carried)), func() {
		if !c.gone {
			c.gone = true
			delete(e.conns, c)
			if c.call != nil {
				w.saw(e, c.Sender) // who gave a call up there has seen it fail
			}
		}
	})
	if c.call != nil && e.out {
		w.saw(e, c.Sender)
	}
}
