package world

// This file holds the state of partners, endpoints, connections and calls. work.go handles calls.

import (
	"flaxcove/choice"
)

// bulkMessageWork is the additional work of each further message in a bulk call, as a share of the first one's.
const bulkMessageWork = 0.15

// Partner is one partner system: a destination of messages.
type Partner struct {
	No        PartnerNo
	Kind      *Kind
	KindNo    int
	Share     float64 // of the traffic
	Rate      float64 // capacity of all endpoints, in calls a second
	Endpoints []*Endpoint
	limit     *limit // nil if there is none, or if each endpoint has its own
}

// Endpoint is one server of a partner.
type Endpoint struct {
	No      EndpointNo
	ID      choice.EndpointID
	Partner *Partner
	Zone    int
	Addr    int // number of its current address; a move gives it the next one
	Stage   choice.Stage
	Rate    float64 // capacity in calls a second after slow start

	sameMS, crossMS float64
	mean            float64 // tenths of a millisecond
	slots, queueMax int
	limit           *limit
	effects         effects
	busy            int
	queue           []*Call // calls that wait for a slot; at most queueMax
	conns           map[*Conn]struct{}
	out             bool // in an outage, as the referee's rule on returns counts it
	since           Time // when the outage began or ended
	warmFrom        Time
	sawFailure      map[SenderNo]struct{} // senders that saw a call fail in the current or last outage
	recent          []arrival             // calls within the rule's span, during slow start
	downUntil       Time
	report          choice.Report
	reportAt        Time
	restarts        int64
	refuses         bool // the engine was told that it refuses connections
	lastCall        Time
	sincePause      float64 // calls since the last pause, for the fault refusing_first
}

type arrival struct {
	at     Time
	sender SenderNo
	weight float64
}

// Conn is one connection from a sender to an endpoint.
type Conn struct {
	No               int64
	Sender           SenderNo
	Endpoint         *Endpoint
	Engine           any // for the engine's use
	up               bool
	closedAtEndpoint bool // closed by the endpoint, or the sender's close reached it
	closedBySender   bool
	notified         bool // the reset is on its way to the sender
	carried          int
	idleAt           Time
	call             *Call
	overLimit        bool // beyond the endpoint's maximum number of connections
}

// Call is one request to an endpoint: with one message, a bulk request with several, or a health probe.
type Call struct {
	No       CallNo
	Conn     *Conn
	Messages []*HandIn
	Probe    bool
	SentAt   Time
	fresh    bool
	inFlight bool // its sender may still get an answer
	running  bool
	over     bool // the endpoint is done with it, whatever became of it
}

// Bound is the rate that an endpoint takes after slow start: its capacity, or its part of the limit if that is less.
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

// WouldAnswer is for policies that may see the true state. It reports whether a call sent now would be answered, and how
// long it would take in tenths of a millisecond. Mine is how many calls of the sender are in flight to that endpoint.
func (w *World) WouldAnswer(id choice.EndpointID, mine int) (well bool, waiting float64) {
	e := w.byID[id]
	if e == nil || e.Stage == choice.Gone || e.unresponsive() || e.effects.failing > 0.5 || w.now < e.downUntil {
		return false, 0
	}
	if l := e.limitOf(); l != nil && l.left(w.now, e.effects.limitLeft(w.now)) <= 0 {
		return false, 0
	}
	there := max(mine, e.busy+len(e.queue))
	if there >= e.slots+e.queueMax {
		return false, 0
	}
	return true, (float64(1+there) / float64(e.slots)) * e.mean * e.effects.slowness() / w.capacityShare(e)
}

func (w *World) setInFlight(c *Call, out bool) {
	if c.inFlight != out {
		c.inFlight = out
		w.ledger.InFlightChanged(c, out)
	}
}

// Send has a call leave its sender; it arrives at the endpoint after the delay of the network.
func (w *World) Send(c *Conn, messages []choice.MessageID, probe bool) *Call {
	call := w.newCall(c, messages, probe)
	w.After(w.oneWayDelay(c.Sender, c.Endpoint, int64(call.No)), func() { w.arrive(call) })
	return call
}

// SendWithDialDelay is Send for an engine whose connections come up without delay: the first call on a connection is
// delayed by the time that a handshake would have taken.
func (w *World) SendWithDialDelay(c *Conn, messages []choice.MessageID, probe bool) *Call {
	call := w.newCall(c, messages, probe)
	way := w.oneWayDelay(c.Sender, c.Endpoint, int64(call.No))
	if call.fresh {
		way *= 3
	}
	w.After(way, func() { w.arrive(call) })
	return call
}

func (w *World) newCall(c *Conn, messages []choice.MessageID, probe bool) *Call {
	w.calls++
	call := &Call{No: w.calls, Conn: c, Probe: probe, SentAt: w.now, fresh: c.carried == 0}
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

func (e *Endpoint) unresponsive() bool {
	return e.effects.crash || e.effects.shut || e.effects.silent || e.effects.hung || e.effects.cut || e.effects.neverReads
}

func (e *Endpoint) accepts(now Time) bool {
	return !e.effects.crash && !e.effects.refuse && now >= e.downUntil
}

// MeanMS is the mean duration of a call at an endpoint without faults.
func (w *World) MeanMS(e *Endpoint) float64 { return e.mean / float64(Millisecond) }
