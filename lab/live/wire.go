package live

// This file implements the methods of world.Wire that concern processes, clients and discovery. answer.go and endpoints.go
// implement the others.

import (
	"flaxcove/lab/world"
)

// ConnUp does nothing: the operating system establishes connections.
func (e *engine) ConnUp(*world.Conn) {}

// Datagram does nothing: these senders do not listen for datagrams.
func (e *engine) Datagram(world.SenderNo, world.SenderNo, []byte) {}

// Act performs the action of a fault on a sender's process or on its clients.
func (e *engine) Act(on world.SenderNo, what world.Action) {
	p := e.senders[on]
	switch what {
	case world.Kill:
		p.endExpected = true
		p.kill()
		e.w.SetServing(on, false)
	case world.Start:
		if !p.alive() { // of two overlapping faults that killed the process, the first to end has restarted it
			p.start()
		}
	case world.Term:
		p.beginShutdown()
	case world.Pause, world.Continue:
		p.pause(what == world.Pause)
	case world.BreakConfig:
		p.reload([]byte("{"))
	case world.ReloadConfig:
		e.moveDiscovery(on)
	case world.IdleConnectionsOn:
		e.pools[on].holdConnections(e.faultAmount("hoard"))
	case world.IdleConnectionsOff:
		e.pools[on].releaseConnections()
	case world.MalformedCommandsOn:
		e.pools[on].sendMalformed(e.faultAmount("rubbish"))
	case world.MalformedCommandsOff:
		e.pools[on].stopMalformed()
	}
}

// faultAmount returns the amount of the first fault of a kind, or the kind's default if the scenario has none.
func (e *engine) faultAmount(kind string) float64 {
	for i := range e.opts.Spec.Faults {
		if t := &e.opts.Spec.Faults[i]; t.Kind == kind {
			return t.Amount
		}
	}
	return world.FaultKinds[kind].Default
}

// HandIn has a client of the sender hand a message in.
func (e *engine) HandIn(h *world.HandIn) { e.pools[h.Sender].handIn(h) }

// ListUpdate sends an update of the endpoint list to a sender's watch.
func (e *engine) ListUpdate(to world.SenderNo, l world.List) { e.discoveries[to].sendUpdate(l) }

// ListFailed stops the heartbeats of a sender's watch, so that the sender takes the watch for dead.
func (e *engine) ListFailed(to world.SenderNo) { e.discoveries[to].stopHeartbeats() }
