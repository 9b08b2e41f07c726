package choice

import "math"

// Time is a point on the host's clock or a span, in whole tenths of a millisecond.
type Time int64

// Millisecond and Second convert plain numbers to Time.
const (
	Millisecond Time = 10
	Second           = 1000 * Millisecond
)

// forever is the point in time that never comes.
const forever = Time(math.MaxInt64)

// Identifiers and numbers, each a type of its own so that none can stand in for another.
type (
	// SenderID names a sender; it seeds its random draws.
	SenderID string
	// MessageID names a message, unique among those that are open.
	MessageID string
	// EndpointID names an endpoint, unique over all destinations.
	EndpointID string
	// DestinationID names a destination.
	DestinationID int64
	// ClassNo is an index of Settings.Classes.
	ClassNo int
	// AccountNo is an index of Settings.Quotas.
	AccountNo int
	// ZoneNo numbers a zone.
	ZoneNo int
	// KindNo is an index of Settings.Kinds.
	KindNo int
	// PeerNo numbers a sender among its peers.
	PeerNo int
	// OrderKey groups messages that are delivered one after another.
	OrderKey int64
	// TimerID names a timer that a Sender has set.
	TimerID int64
)

// NoKey stands for a message without an order key.
const NoKey OrderKey = -1

// Host is all that a Sender can do to the outside world. Calls take effect in the order made.
type Host interface {
	// Now returns the host's clock.
	Now() Time
	// Allowed reports whether a message may use an endpoint as things stand. It is asked for each endpoint looked at,
	// and must take no more than nanoseconds.
	Allowed(msg MessageID, ep EndpointID) bool
	// Attempt sends a message to an endpoint. Attempts of one turn to the same endpoint share a bulk call. The outcome
	// comes back by Sender.Ended, at the latest when the time-out is over.
	Attempt(msg MessageID, to EndpointID, timeOut Time)
	// Shed ends a message of which it is certain that it never ran. comeBackIn is when the client may try again; 0
	// names no time.
	Shed(msg MessageID, comeBackIn Time)
	// Fail ends a message that was not delivered and may have run.
	Fail(msg MessageID)
	// Probe sends a health probe; its result comes back by Sender.Probed.
	Probe(ep EndpointID)
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(ep EndpointID)
	// Tell broadcasts a note to all other senders, which hand it to Sender.Heard. It may be lost. It is called only
	// where Settings.Notes is set.
	Tell(note []byte)
	// Timer calls Sender.TimerDue with the id after the given time.
	Timer(in Time, id TimerID)
	// Forget drops a timer that need not fire any more. One that fires all the same does no harm.
	Forget(id TimerID)
}
