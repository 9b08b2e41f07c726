// Package world is the laboratory's model of everything outside a sender: partner systems and the network to them,
// discovery, the clients that hand messages in, the platform that receives outcome callbacks, and faults in all of them.
//
// Its state is the truth of a run. Two engines drive it: package sim by events in simulated time, package live by sockets
// in real time. It sends what reaches a sender through Wire, and reports everything that happens to a Ledger, from which
// the referee judges. It must not read a clock, open a socket, start a goroutine, log, or rely on what a sender says.
// Random numbers depend on the seed and on the name of what is drawn, so that two variants of a run see the same world as
// far as they act alike. Times are tenths of a millisecond from the start of the run.
//
// spec.go and kinds.go declare what a scenario may say. endpoint.go holds the partners, clients.go the clients,
// directory.go discovery, fault.go the faults, events.go the event queue. This file has the interfaces Wire and Ledger.
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

// Numbers of senders, partners and so on, each with a type of its own. All count from 0.
type (
	SenderNo   int
	PartnerNo  int
	EndpointNo int
	CallNo     int64
	RequestNo  int64
)

// ConnEnd is how a connection ends as its sender sees it.
type ConnEnd int

const (
	ConnRefused ConnEnd = iota + 1 // the connection did not come up
	ConnReset                      // it was closed before the answer was complete
)

// Answer is an endpoint's answer to a call.
type Answer struct {
	Status   int
	Wait     Time // Retry-After; 0 for none
	Report   choice.Report
	Spoilt   bool  // it is not valid HTTP
	Half     bool  // it is cut off in the middle
	Close    bool  // the endpoint closes the connection after it
	Statuses []int // of each message of a bulk call, if they differ
}

// Wire is how the world reaches senders. Its methods are called when something reaches them, and may call the world back.
type Wire interface {
	ConnUp(c *Conn)                // the connection is established
	ConnDown(c *Conn, why ConnEnd) // it was refused, or closed by the endpoint
	Answered(c *Conn, call *Call, a Answer)
	ListUpdate(to SenderNo, list List)     // an update of the endpoint list
	ListFailed(to SenderNo)                // the watch ended, or was silent for too long
	HandIn(h *HandIn)                      // a client hands a message in
	AcceptingChanged(e *Endpoint, on bool) // whether the endpoint accepts connections
	Datagram(from, to SenderNo, text []byte)
	Act(on SenderNo, what Act) // an action on its process or its clients
}

// Act is an action of a fault on a sender's process, or on the behaviour of its clients.
type Act int

const (
	Kill Act = iota
	Start
	Term
	Pause
	Continue
	Break   // its configuration file becomes unreadable, and it gets SIGHUP
	Reload  // its configuration file names another discovery address, and it gets SIGHUP
	HoardOn // clients hold connections open without using them
	HoardOff
	RubbishOn // clients send malformed commands
	RubbishOff
)

// Ledger receives everything that happens in the world, in order of time.
type Ledger interface {
	Requested(a *Request)
	HandedIn(h *HandIn)
	HandInAnswered(h *HandIn, what HandInAnswer) // as the client sees it
	CallSent(c *Call)                            // the call left its sender
	InFlightChanged(c *Call, inFlight bool)      // whether the sender may still get an answer
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
	Unavailable(s SenderNo, on bool) // its process is paused or isolated; these may overlap
}

// World is everything outside the senders in one run. It belongs to one goroutine.
type World struct {
	Spec    *Spec
	wire    Wire
	ledger  Ledger
	seed    uint64
	now     Time
	end     Time
	events  events
	eventNo uint64
	calls   CallNo
	conns   int64

	Partners     []*Partner
	Endpoints    []*Endpoint
	byID         map[choice.EndpointID]*Endpoint
	senders      []*senderState
	byMessage    map[choice.MessageID]*HandIn // forget removes each some time after its deadline
	arrivals     load.Source
	active       []*Fault
	affected     []map[*Endpoint]bool // by the fault's number in the spec
	list         listState
	datagramLoss float64
}

// senderState is what the world knows of one sender.
type senderState struct {
	zone         int
	serving      bool // it accepts hand-ins
	isolated     bool
	lastUpdateAt Time // when the last scheduled update reaches it: a watch keeps its order
	updatesHeld  bool // updates are withheld by the fault old_list
	watching     bool // it has a watch on the list
	patience     Time
	version      int64
}

// New creates a world; Begin starts it. A trace that is not nil replaces the spec's load.
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

// Begin starts the clients. Senders should be serving by then.
func (w *World) Begin() { w.nextArrival() }

// Now is the current time of the world.
func (w *World) Now() Time { return w.now }

// End is when the last message is handed in for the first time.
func (w *World) End() Time { return w.end }

// Isolated reports whether a sender is cut off from everything else.
func (w *World) Isolated(s SenderNo) bool { return w.senders[s].isolated }

// ClosedAtEndpoint reports whether a connection is closed at its endpoint.
func (w *World) ClosedAtEndpoint(c *Conn) bool { return c.closedAtEndpoint }

// NeverReads reports whether a fault has an endpoint read nothing.
func (w *World) NeverReads(e *Endpoint) bool { return e.effects.neverReads }

// Senders is the number of senders.
func (w *World) Senders() int { return len(w.senders) }

// Zone is the zone of a sender.
func (w *World) Zone(s SenderNo) int { return w.senders[s].zone }

// SetServing records whether a sender's process accepts hand-ins. The open ones of a process that ended get no answer.
func (w *World) SetServing(s SenderNo, up bool) {
	if st := w.senders[s]; st.serving != up {
		st.serving = up
		w.ledger.Sender(s, up)
		if !up {
			w.senderGone(s)
		}
	}
}

// Serving reports whether a sender accepts hand-ins.
func (w *World) Serving(s SenderNo) bool { return w.senders[s].serving }

// oneWayDelay draws the network delay between a sender and an endpoint for the use numbered n.
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
