package world

// This file holds the state of partners, endpoints, connections and calls, and sends calls to endpoints. work.go processes
// them there.

import (
	"flaxcove/choice"
)

// bulkMessageWork is the additional work for each further message of a bulk call, as a share of the work for the first.
const bulkMessageWork = 0.15

// Partner is one partner system: a destination of messages.
type Partner struct {
	No        PartnerNo
	Kind      *PartnerKind
	KindNo    int
	Share     float64 // share of the traffic
	Rate      float64 // capacity of all endpoints together, in calls a second
	Endpoints []*Endpoint
	limit     *limit // nil if the partner has no limit, or if each endpoint has its own
}

// Endpoint is one server of a partner.
type Endpoint struct {
	No      EndpointNo
	ID      choice.EndpointID
	Partner *Partner
	Zone    int
	Addr    int // number of the current address, from 0; each move adds 1
	Stage   choice.Stage
	Rate    float64 // capacity in calls a second after slow start

	sameMS, crossMS float64 // mean one-way network delay inside a zone and between zones, in milliseconds
	meanDuration    float64 // mean duration of a call, in tenths of a millisecond
	slots, queueMax int     // most calls that are worked on at once, and most calls that wait
	limit           *limit  // nil if the endpoint has no limit of its own
	effects         effects
	busy            int     // number of calls that are worked on
	queue           []*Call // calls that wait for a slot; at most queueMax
	conns           map[*Conn]struct{}
	inOutage        bool // the endpoint is in an outage, as the referee's rule on returns defines it
	outageChangedAt Time // when the outage began or ended
	slowStartBegan  Time
	sawFailure      map[SenderNo]struct{} // senders that saw a call fail in the current or last outage
	recentCalls     []recentCall          // calls during slow start, of the last Rules.FallS
	downUntil       Time                  // end of an outage caused by an overload in slow start
	report          choice.Report
	reportAt        Time  // when report is to be renewed
	restarts        int64 // number of crashes, by which work begun before a crash is recognised
	refusesConns    bool  // the engine was told that the endpoint refuses connections
	lastCallAt      Time
	callsSincePause float64 // calls since the last pause in calls, for the fault refusing_first
}

// recentCall is a call that counts towards the load on an endpoint in slow start.
type recentCall struct {
	at     Time
	sender SenderNo
	weight float64 // 1 for a call with one message
}

// Conn is one connection from a sender to an endpoint.
type Conn struct {
	No               int64
	Sender           SenderNo
	Endpoint         *Endpoint
	Engine           any // the engine's own state of the connection
	up               bool
	closedAtEndpoint bool // the endpoint closed the connection, or the sender's close reached the endpoint
	closedBySender   bool
	notified         bool  // the reset is on its way to the sender
	carried          int   // number of calls sent on the connection
	idleAt           Time  // when the connection was last established or became idle
	call             *Call // nil if the connection is idle
	overLimit        bool  // the connection exceeds the endpoint's maximum number of connections
}

// Call is one request to an endpoint: a request with one message, a bulk request with several, or a health probe.
type Call struct {
	No          CallNo
	Conn        *Conn
	Messages    []*HandIn
	Probe       bool
	SentAt      Time
	firstOnConn bool
	arrived     bool // the call has reached the endpoint
	inFlight    bool // the sender may still get an answer
	running     bool // the endpoint is working on the call
	ended       bool // the endpoint's part in the call is over, with or without an answer
}

// Bound returns the rate that an endpoint accepts after slow start, in calls a second: the lower of its capacity and its
// part of the rate limit.
func (e *Endpoint) Bound() float64 {
	if l := e.limitOf(); l != nil {
		part := 1.0
		if e.limit == nil {
			part = float64(len(e.Partner.Endpoints))
		}
		return min(e.Rate, l.perSecond/part)
	}
	return e.Rate
}

// WouldAnswer reports whether a call sent now would be answered, and how long that would take in tenths of a millisecond.
// The parameter mine is the number of the sender's calls in flight to the endpoint. WouldAnswer serves baseline policies
// that may see the true state of the world.
func (w *World) WouldAnswer(id choice.EndpointID, mine int) (well bool, waiting float64) {
	e := w.byID[id]
	if e == nil || e.Stage == choice.Gone || e.unresponsive() || e.effects.failing > 0.5 || w.now < e.downUntil {
		return false, 0
	}
	if l := e.limitOf(); l != nil && l.unusedShare(w.now, e.effects.limitLeft(w.now)) <= 0 {
		return false, 0
	}
	there := max(mine, e.busy+len(e.queue))
	if there >= e.slots+e.queueMax {
		return false, 0
	}
	return true, (float64(1+there) / float64(e.slots)) * e.meanDuration * e.effects.durationFactor() / w.capacityShare(e)
}

// setInFlight records whether a call's sender may still get an answer, and reports a change to the ledger.
func (w *World) setInFlight(c *Call, out bool) {
	if c.inFlight != out {
		c.inFlight = out
		w.ledger.InFlightChanged(c, out)
	}
}

// Send sends a call, which arrives at its endpoint after the delay of the network.
func (w *World) Send(c *Conn, messages []choice.MessageID, probe bool) *Call {
	call := w.newCall(c, messages, probe)
	w.After(w.oneWayDelay(c.Sender, c.Endpoint, int64(call.No)), func() { w.arrive(call) })
	return call
}

// SendWithDialDelay is Send for an engine that establishes connections without delay: the first call on a connection takes
// three times the one-way delay, to include the round trip of the handshake.
func (w *World) SendWithDialDelay(c *Conn, messages []choice.MessageID, probe bool) *Call {
	call := w.newCall(c, messages, probe)
	way := w.oneWayDelay(c.Sender, c.Endpoint, int64(call.No))
	if call.firstOnConn {
		way *= 3
	}
	w.After(way, func() { w.arrive(call) })
	return call
}

// newCall records a call on a connection. A message that no client handed in, or whose hand-in has been forgotten, gets a
// HandIn with Unknown set.
func (w *World) newCall(c *Conn, messages []choice.MessageID, probe bool) *Call {
	w.calls++
	call := &Call{No: w.calls, Conn: c, Probe: probe, SentAt: w.now, firstOnConn: c.carried == 0}
	for _, id := range messages {
		if h := w.byMessage[id]; h != nil {
			h.attempts++
			call.Messages = append(call.Messages, h)
		} else {
			call.Messages = append(call.Messages, &HandIn{ID: id, Unknown: true, Sender: c.Sender})
		}
	}
	c.carried++
	c.call = call
	w.setInFlight(call, true)
	w.ledger.CallSent(call)
	return call
}

// unresponsive reports whether a fault keeps the endpoint from answering calls with success.
func (e *Endpoint) unresponsive() bool {
	return e.effects.crash || e.effects.shut || e.effects.silent || e.effects.hung || e.effects.isolated ||
		e.effects.neverReads || e.effects.unanswered
}

// accepts reports whether the endpoint accepts new connections.
func (e *Endpoint) accepts(now Time) bool {
	return !e.effects.crash && !e.effects.refusesConns && now >= e.downUntil
}

// MeanMS returns the mean duration of a call at an endpoint without faults, in milliseconds.
func (w *World) MeanMS(e *Endpoint) float64 { return e.meanDuration / float64(Millisecond) }
