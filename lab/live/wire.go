package live

// This file implements world.Wire: how the world reaches the senders.

import (
	"flaxcove/lab/world"
)

// ConnUp does nothing: the machine establishes connections.
func (e *engine) ConnUp(*world.Conn) {}

// Datagram does nothing: these senders do not listen for datagrams.
func (e *engine) Datagram(world.SenderNo, world.SenderNo, []byte) {}

func (e *engine) Act(on world.SenderNo, what world.Act) {
	p := e.senders[on]
	switch what {
	case world.Kill:
		p.endExpected = true
		p.kill()
		e.w.SetServing(on, false)
	case world.Start:
		if !p.alive() { // two overlapping faults killed it once
			p.start()
		}
	case world.Term:
		p.term()
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

func (e *engine) faultAmount(kind string) float64 {
	for i := range e.o.Spec.Faults {
		if t := &e.o.Spec.Faults[i]; t.Kind == kind {
			return t.Amount
		}
	}
	return world.FaultKinds[kind].Default
}

func (e *engine) HandIn(h *world.HandIn) { e.pools[h.Sender].handIn(h) }

func (e *engine) ListUpdate(to world.SenderNo, l world.List) { e.discoveries[to].sendUpdate(l) }

func (e *engine) ListFailed(to world.SenderNo) { e.discoveries[to].silence() }
