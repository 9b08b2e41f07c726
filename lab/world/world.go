// Package world is the laboratory's model of everything outside a sender: partner systems and the network to them,
// discovery, the clients that hand messages in, the platform that receives outcome callbacks, and faults in all of them.
//
// The model holds the true state of a run. Two engines drive it: package sim by events in simulated time, package live by
// sockets in real time. It reaches senders through a Wire and reports every event to a Ledger, which the referee
// implements. The package must not read a clock, open a socket, start a goroutine, log, or rely on a sender's own reports.
// Random numbers depend only on the seed and on the name of the draw, so that two variants of a run see the same world
// for as long as they act alike. Times are tenths of a millisecond from the start of the run.
//
// spec.go and kinds.go declare the parts of a scenario. endpoint.go holds the partners, clients.go the clients,
// directory.go discovery, fault.go the faults, and events.go the event queue. This file holds the interfaces Wire and
// Ledger.
package world

import (
	"flaxcove/choice"
	"flaxcove/lab/load"
)

// Time is choice.Time, counted from the start of the run.
type Time = choice.Time

// Units of Time.
const (
	Millisecond = choice.Millisecond
	Second      = choice.Second
)

// Identifying numbers, each with a type of its own. Senders, partners and endpoints count from 0.
type (
	SenderNo   int
	PartnerNo  int
	EndpointNo int
	CallNo     int64
	RequestNo  int64
)

// ConnEnd is the way in which a connection ended, as its sender sees it.
type ConnEnd int

const (
	ConnRefused ConnEnd = iota + 1 // the connection was not established
	ConnReset                      // the connection was closed before the answer was complete
)

// Answer is an endpoint's answer to a call.
type Answer struct {
	Status     int
	RetryAfter Time // value of Retry-After; 0 if the answer has none
	Report     choice.Report
	Malformed  bool  // the answer is not valid HTTP
	Incomplete bool  // the answer breaks off in the middle
	Close      bool  // the endpoint closes the connection after the answer
	Statuses   []int // status of each message of a bulk call; nil if Status holds for all
}

// Wire delivers the world's events to senders; each engine implements it. The world calls a method at the time when the
// event reaches the sender. A method may call the world back.
type Wire interface {
	ConnUp(c *Conn)                // the connection is established
	ConnDown(c *Conn, why ConnEnd) // the connection was refused, or closed by the endpoint
	Answered(c *Conn, call *Call, a Answer)
	AnsweredAgain(c *Conn, call *Call, a Answer) // a second copy of an answer arrives
	ListUpdate(to SenderNo, list List)           // an update of the endpoint list arrives
	ListFailed(to SenderNo)                      // the watch ended, or was silent for too long
	HandIn(h *HandIn)                            // a client hands a message in
	AcceptingChanged(e *Endpoint, on bool)       // the endpoint begins or ceases to accept connections
	Datagram(from, to SenderNo, text []byte)
	Act(on SenderNo, what Action) // a fault acts on the sender's process or on its clients
}

// Action is an action of a fault on a sender's process, or on the behaviour of its clients.
type Action int

const (
	Kill Action = iota
	Start
	Term
	Pause
	Continue
	BreakConfig       // the configuration file becomes unreadable, and the process gets SIGHUP
	ReloadConfig      // the configuration file names another discovery address, and the process gets SIGHUP
	IdleConnectionsOn // clients hold connections open without using them
	IdleConnectionsOff
	MalformedCommandsOn // clients send malformed commands
	MalformedCommandsOff
)

// Ledger receives every event of the world, in order of time.
type Ledger interface {
	Requested(a *Request)
	HandedIn(h *HandIn)
	HandInAnswered(h *HandIn, what HandInAnswer) // as the client sees it
	CallSent(c *Call)                            // the call left its sender
	InFlightChanged(c *Call, inFlight bool)      // inFlight: the sender may still get an answer
	Executed(h *HandIn, e *Endpoint, at Time)
	Delivered(h *HandIn, e *Endpoint)
	Ended(h *HandIn, what End)
	StageAnnounced(s SenderNo, e *Endpoint, stage choice.Stage)
	RetryAfterReceived(s SenderNo, e *Endpoint, until Time)
	Outcome(c *Call, status int) // the status that the endpoint answered, or 0 for no answer
	Outage(e *Endpoint, down bool)
	LoadInSlowStart(e *Endpoint, load, bound float64)
	OverloadedInSlowStart(e *Endpoint, knowing float64) // knowing: share of the load from senders that saw the endpoint fail
	Fault(t *Fault, on bool, parts int)
	Sender(s SenderNo, up bool)
	Unavailable(s SenderNo, on bool) // the sender's process is paused or isolated; such periods may overlap
}

// World is the state of everything outside the senders in one run. It must be used by one goroutine only.
type World struct {
	Spec         *Spec
	wire         Wire
	ledger       Ledger
	seed         uint64
	now          Time
	end          Time
	events       events
	lastEventSeq uint64
	calls        CallNo
	conns        int64

	Partners     []*Partner
	Endpoints    []*Endpoint
	byID         map[choice.EndpointID]*Endpoint
	senders      []*senderState
	byMessage    map[choice.MessageID]*HandIn // forget removes each hand-in some time after its deadline
	arrivals     load.Source
	active       []*Fault
	affected     []map[*Endpoint]bool // endpoints of each fault, by the fault's index in the spec
	list         listState
	datagramLoss float64
}

// senderState is the world's state of one sender.
type senderState struct {
	zone            int
	serving         bool // the sender accepts hand-ins
	isolated        bool
	lastUpdateAt    Time  // when the last scheduled update reaches the sender; later updates do not arrive before it
	updatesWithheld bool  // a fault of the kind old_list withholds updates
	watching        bool  // the sender has a watch on the endpoint list
	patience        Time  // how long the sender's clients wait for the answer to a hand-in
	version         int64 // version of the endpoint list that was last sent to the sender
}

// New creates a world; Begin starts it. If trace is not nil, its arrivals replace the spec's load. New fails if the trace
// cannot be replayed.
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

// Begin schedules the clients' first arrival. Senders should be serving by then.
func (w *World) Begin() { w.nextArrival() }

// Now returns the current time of the world.
func (w *World) Now() Time { return w.now }

// End returns the time after which clients request no new messages. Messages requested before may still be handed in again.
func (w *World) End() Time { return w.end }

// Isolated reports whether a fault has cut a sender off from the network.
func (w *World) Isolated(s SenderNo) bool { return w.senders[s].isolated }

// ClosedAtEndpoint reports whether a connection is closed at its endpoint.
func (w *World) ClosedAtEndpoint(c *Conn) bool { return c.closedAtEndpoint }

// NeverReads reports whether a fault keeps an endpoint from reading its connections.
func (w *World) NeverReads(e *Endpoint) bool { return e.effects.neverReads }

// Senders returns the number of senders.
func (w *World) Senders() int { return len(w.senders) }

// Zone returns the zone of a sender, from 0.
func (w *World) Zone(s SenderNo) int { return w.senders[s].zone }

// SetServing records whether a sender's process accepts hand-ins. When it stops, the clients of open hand-ins see their
// connections break.
func (w *World) SetServing(s SenderNo, up bool) {
	if st := w.senders[s]; st.serving != up {
		st.serving = up
		w.ledger.Sender(s, up)
		if !up {
			w.failOpenHandIns(s)
		}
	}
}

// Serving reports whether a sender accepts hand-ins.
func (w *World) Serving(s SenderNo) bool { return w.senders[s].serving }

// oneWayDelay draws the network delay between a sender and an endpoint; n identifies the draw.
func (w *World) oneWayDelay(s SenderNo, e *Endpoint, n int64) Time {
	mean := e.sameMS
	if w.senders[s].zone != e.Zone {
		mean = e.crossMS
	}
	j := w.Spec.Network.Jitter
	return max(1, ms(mean*(1-j+2*j*w.draw("way", int64(s), int64(e.No), n))))
}

// SendDatagram carries a datagram from one sender to another. It is lost if either is isolated, if the receiver does not
// serve, or by chance under a fault of the kind notes_lost.
func (w *World) SendDatagram(from, to SenderNo, text []byte) {
	w.calls++
	if w.draw("note lost", int64(w.calls)) < w.datagramLoss || w.senders[from].isolated {
		return
	}
	late := ms(w.drawWithin(w.Spec.Network.CrossMS, "note", int64(w.calls)))
	w.After(late, func() {
		if !w.senders[to].isolated && w.senders[to].serving {
			w.wire.Datagram(from, to, text)
		}
	})
}
