package world

// This file owns partners and endpoints as they stand. It must never answer a call; work.go does.

import (
	"flaxcove/choice"
)

// bulkMessageWork is what a further message in a call adds to the work of the first.
const bulkMessageWork = 0.15

// Partner is one partner system, the destination of messages.
type Partner struct {
	No        PartnerNo
	Kind      *Kind
	KindNo    int
	Share     float64 // of the traffic
	Rate      float64 // calls a second that it can take, all endpoints
	Endpoints []*Endpoint
	limit     *limit // nil where there is none, or its endpoints have one each
}

// Endpoint is one machine of a partner.
type Endpoint struct {
	No      EndpointNo
	ID      choice.EndpointID
	Partner *Partner
	Zone    int
	Addr    int // counts its addresses; a move gives it the next one
	Stage   choice.Stage
	Rate    float64 // calls a second that it can take when warm

	sameMS, crossMS float64
	mean            float64 // tenths of a millisecond
	slots, queueMax int
	limit           *limit
	effects         effects
	busy            int
	queue           []*Call // those that wait; bounded by queueMax
	conns           map[*Conn]struct{}
	out             bool // an outage, as the rule on returns counts it
	since           Time // of the outage, or of the return
	warmFrom        Time
	sawFailure      map[SenderNo]struct{} // who saw a call fail in the present or last outage; emptied with the next
	recent          []arrival             // over the rule's span while cold
	downUntil       Time
	report          choice.Report
	reportAt        Time
	restarts        int64
	refuses         bool // connections, as the engine was told
	lastCall        Time
	sincePause      float64 // calls since a pause, where the first ones are refused
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
	Engine           any // the engine's own
	up               bool
	closedAtEndpoint bool // ended at the endpoint's side
	closedBySender   bool // ended at the sender's side
	notified         bool // the sender hears of the end by itself
	carried          int
	idleAt           Time
	call             *Call
	overLimit        bool // it came past the table's end
}

// Call is one attempt on its way: a request with one or several messages, or a probe.
type Call struct {
	No       CallNo
	Conn     *Conn
	Messages []*HandIn
	Probe    bool
	SentAt   Time
	fresh    bool
	inFlight bool // its sender may still get an answer
	running  bool
	over     bool // it has left the endpoint, whatever became of it
}

// Bound is what an endpoint takes in calls a second when warm: its capacity or its part of the limit.
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

// WouldAnswer tells, for a policy that may see the truth, whether a call sent now would be answered, and how long it would
// wait there, in tenths of a millisecond. Mine is how many calls of its sender are out there, arrived or not.
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

// Send is the first byte of a call leaving its sender; its last one follows at once.
func (w *World) Send(c *Conn, messages []choice.MessageID, probe bool) *Call {
	call := w.newCall(c, messages, probe)
	w.After(w.oneWayDelay(c.Sender, c.Endpoint, int64(call.No)), func() { w.arrive(call) })
	return call
}

// SendWithDialDelay is Send for an engine whose connections come up at once: the first call on one waits for as long as coming up
// would have taken.
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
	return e.effects.crash || e.effects.shut || e.effects.silent || e.effects.hung || e.effects.cut || e.effects.deaf
}

func (e *Endpoint) accepts(now Time) bool {
	return !e.effects.crash && !e.effects.refuse && now >= e.downUntil
}

// MeanMS is how long a call takes on average where nothing is wrong.
func (w *World) MeanMS(e *Endpoint) float64 { return e.mean / float64(Millisecond) }
