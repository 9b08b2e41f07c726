// Package world is the laboratory's model of everything outside a sender: partner systems and the network to them,
// discovery, the programs that hand messages in, the platform that hears of ends, and the troubles that strike them.
//
// It owns what is true. Both engines drive it: one by its own events in simulated time, one by sockets in real time.
// It tells the engine what reaches a sender through Wire, and everything that truly happens to a Ledger, from which
// the referee judges. It must never look at a clock, open a socket, start a goroutine, log, or take a sender's word
// for anything; chance comes from the seed and the name of what it is drawn for, so that two variants of a run see the
// same world as far as they act alike. Times are tenths of a millisecond from the start of the run.
//
// spec.go and kinds.go hold what a scenario may say, endpoint.go the partners, clients.go the programs, directory.go the
// list, fault.go what goes wrong, events.go the order of events. This file owns the world's two sides, Wire and Ledger.
package world

import (
	"flaxcove/choice"
	"flaxcove/lab/load"
)

// Time is choice.Time, counted from the start of the run.
type Time = choice.Time

// Spans of Time.
const (
	Millisecond = choice.Millisecond
	Second      = choice.Second
)

// Each kind of number is a type of its own. All count from 0.
type (
	SenderNo   int
	PartnerNo  int
	EndpointNo int
	CallNo     int64
	AskNo      int64
)

// ConnEnd is how an attempt ends as its sender sees it.
type ConnEnd int

const (
	SeenAnswer  ConnEnd = iota
	ConnRefused         // the connection did not come up
	ConnReset           // it ended before the answer was whole
	SeenHalf            // an answer began and stopped in its middle
)

// Answer is what an endpoint says to a call.
type Answer struct {
	Status   int
	Wait     Time // Retry-After; 0 for none
	Report   choice.Report
	Spoilt   bool  // nothing can be made of it
	Half     bool  // it stops in its middle
	Close    bool  // the connection ends after it
	Statuses []int // by message, where a bundle's fared apart: a status each
}

// Wire is how the world reaches senders. Its methods are called at the time at which a thing reaches them; they may
// call the world back.
type Wire interface {
	ConnUp(c *Conn)                // the connection stands
	ConnDown(c *Conn, why ConnEnd) // it was refused, or ended by the other side
	Answered(c *Conn, call *Call, a Answer)
	ListUpdate(to SenderNo, list List)     // of the list
	ListFailed(to SenderNo)                // the watch ended, or was silent for too long
	HandIn(h *HandIn)                      // a program hands a message in
	AcceptingChanged(e *Endpoint, on bool) // whether connections come up there
	Datagram(from, to SenderNo, text []byte)
	Act(on SenderNo, what Act) // to its process
}

// Act is what befalls a sender's process or its clients' manners.
type Act int

const (
	Kill Act = iota
	Start
	Term
	Pause
	Continue
	Break   // its configuration becomes unreadable, and SIGHUP comes
	Reload  // its configuration names another discovery, and SIGHUP comes
	HoardOn // clients hold connections that they do not use
	HoardOff
	RubbishOn // clients send what makes no sense
	RubbishOff
)

// Ledger hears all that truly happens, in order of time.
type Ledger interface {
	Asked(a *Ask)
	HandedIn(h *HandIn)
	HandInAnswered(h *HandIn, what HandInAnswer) // what the client was told
	CallSent(c *Call)                            // it left its sender
	InFlightChanged(c *Call, out bool)           // whether it still is out
	Executed(h *HandIn, e *Endpoint, at Time)
	Delivered(h *HandIn, e *Endpoint)
	Ended(h *HandIn, what End)
	StageAnnounced(s SenderNo, e *Endpoint, stage choice.Stage)
	RetryAfterReceived(s SenderNo, e *Endpoint, until Time)
	Outcome(c *Call, status int) // as the endpoint saw it, 0 for none
	Outage(e *Endpoint, down bool)
	Returning(e *Endpoint, load, bound float64)
	PushedOver(e *Endpoint, knowing float64) // knowing: share of the load from senders that saw it fail
	Fault(t *Fault, on bool, parts int)
	Sender(s SenderNo, up bool)
	Unavailable(s SenderNo, away bool) // its process stands still, or it is cut off; these may overlap
}

// World is one run's outside. It belongs to one goroutine.
type World struct {
	Spec   *Spec
	wire   Wire
	ledger Ledger
	seed   uint64
	now    Time
	end    Time
	events events
	eventN uint64
	calls  CallNo
	conns  int64

	Partners     []*Partner
	Endpoints    []*Endpoint
	byID         map[choice.EndpointID]*Endpoint
	senders      []*senderState
	byMessage    map[choice.MessageID]*HandIn // emptied as asks are over and their time is up
	arrivals     load.Source
	active       []*Fault
	affected     []map[*Endpoint]bool // by trouble
	list         listState
	datagramLoss float64
}

// senderState is what the world knows of one sender.
type senderState struct {
	zone         int
	serving      bool // it has said that it is ready
	isolated     bool
	lastUpdateAt Time // when the last news reach it: a watch keeps its order
	updatesHeld  bool // news wait, see old_list
	watching     bool // a watch stands
	patience     Time
	version      int64
}

// New makes a world that has not begun. Trace, where given, takes the place of the spec's load.
func New(spec *Spec, seed uint64, wire Wire, ledger Ledger, trace []load.Arrival) (*World, error) {
	w := &World{Spec: spec, wire: wire, ledger: ledger, seed: seed, end: seconds(spec.Seconds),
		byID: map[choice.EndpointID]*Endpoint{}, byMessage: map[choice.MessageID]*HandIn{}}
	for i := range spec.Senders {
		w.senders = append(w.senders, &senderState{zone: i % spec.Zones, patience: ms(spec.Clients.PatienceMS)})
	}
	w.makePartners()
	if err := w.planLoad(trace); err != nil {
		return nil, err
	}
	w.planFaults()
	w.planChanges()
	return w, nil
}

// Begin lets the programs start; senders that are ready by then are used.
func (w *World) Begin() { w.nextArrival() }

// Now is the world's time.
func (w *World) Now() Time { return w.now }

// End is when the last message may be handed in.
func (w *World) End() Time { return w.end }

// Isolated tells whether a sender is cut off from all others.
func (w *World) Isolated(s SenderNo) bool { return w.senders[s].isolated }

// ClosedAtEndpoint tells whether a connection has ended at its endpoint.
func (w *World) ClosedAtEndpoint(c *Conn) bool { return c.closedAtEndpoint }

// NeverReads tells whether an endpoint reads nothing.
func (w *World) NeverReads(e *Endpoint) bool { return e.effects.deaf }

// Senders is how many there are.
func (w *World) Senders() int { return len(w.senders) }

// Zone is where a sender stands.
func (w *World) Zone(s SenderNo) int { return w.senders[s].zone }

// SetServing tells that a sender's process serves, or that it no longer does.
func (w *World) SetServing(s SenderNo, up bool) {
	if st := w.senders[s]; st.serving != up {
		st.serving = up
		w.ledger.Sender(s, up)
		if !up {
			w.senderGone(s)
		}
	}
}

// Serving tells whether a sender serves.
func (w *World) Serving(s SenderNo) bool { return w.senders[s].serving }

// oneWayDelay is how long one oneWayDelay between a sender and an endpoint takes this time.
func (w *World) oneWayDelay(s SenderNo, e *Endpoint, n int64) Time {
	mean := e.sameMS
	if w.senders[s].zone != e.Zone {
		mean = e.crossMS
	}
	j := w.Spec.Network.Jitter
	return max(1, ms(mean*(1-j+2*j*w.draw("way", int64(s), int64(e.No), n))))
}

// SendDatagram carries a datagram between senders; it may be lost.
func (w *World) SendDatagram(from, to SenderNo, text []byte) {
	w.calls++
	if w.draw("note lost", int64(w.calls)) < w.datagramLoss || w.senders[from].isolated {
		return
	}
	late := ms(w.within(w.Spec.Network.CrossMS, "note", int64(w.calls)))
	w.After(late, func() {
		if !w.senders[to].isolated && w.senders[to].serving {
			w.wire.Datagram(from, to, text)
		}
	})
}
