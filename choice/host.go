package choice

import "math"

// Time is a point on the host's clock or a duration, in tenths of a millisecond.
type Time int64

// Millisecond and Second are durations.
const (
	Millisecond Time = 10
	Second           = 1000 * Millisecond
)

// forever is the largest Time. It stands for a time that is never reached.
const forever = Time(math.MaxInt64)

// Each identifier and number has its own type, so that one cannot be passed for another.
type (
	// SenderID identifies a sender. Its random draws depend on it.
	SenderID string
	// MessageID identifies a message. It is unique among the open messages.
	MessageID string
	// EndpointID identifies an endpoint. It is unique over all destinations.
	EndpointID string
	// DestinationID identifies a destination.
	DestinationID int64
	// ClassNo is an index of Settings.Classes.
	ClassNo int
	// AccountNo is an index of Settings.Quotas.
	AccountNo int
	// ZoneNo is the number of a zone.
	ZoneNo int
	// KindNo is an index of Settings.Kinds.
	KindNo int
	// PeerNo is the number of a sender among its peers.
	PeerNo int
	// OrderKey identifies messages that are delivered one after another.
	OrderKey int64
	// CallID identifies a call. It is unique over the lifetime of a Sender.
	CallID int64
	// TimerID identifies a timer that a Sender has set.
	TimerID int64
)

// NoKey is the order key of messages without one.
const NoKey OrderKey = -1

// Host carries out the actions of a Sender. A Sender calls its methods in the order in which they must take effect.
type Host interface {
	// Now returns the current time of the host's clock.
	Now() Time
	// Allowed reports whether a message may currently use an endpoint. It is called for every endpoint considered, so
	// it must take no more than nanoseconds.
	Allowed(msg MessageID, ep EndpointID) bool
	// Attempt sends a message to an endpoint in the call with the given id. All attempts with that id are made in one
	// turn and to one endpoint, and the host sends them in one call: the Sender has counted it against every limit of
	// the endpoint. The host passes the outcome to Sender.AttemptEnded, at the latest when the time-out expires.
	Attempt(msg MessageID, to EndpointID, in CallID, timeOut Time)
	// Shed ends a message that certainly never ran. retryIn is the time after which the client may retry, or 0 for no
	// such time.
	Shed(msg MessageID, retryIn Time)
	// Fail ends a message that was not delivered and may have run.
	Fail(msg MessageID)
	// Probe sends a health probe. The host passes the result to Sender.ProbeEnded.
	Probe(ep EndpointID)
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(ep EndpointID)
	// BroadcastNote broadcasts a note to all other senders, whose hosts pass it to Sender.ReceiveNote. Notes may be
	// lost. It is called only if Settings.Notes is set.
	BroadcastNote(note []byte)
	// EndpointChanged reports that the health of an endpoint has changed, for logs and metrics. After it, Sender.Impairments has
	// changed as well, except after ConnectionTableFull.
	EndpointChanged(ep EndpointID, event HealthEvent, reason HealthReason)
	// SetTimer makes the host call Sender.TimerFired with the id after the given time.
	SetTimer(in Time, id TimerID)
	// CancelTimer cancels a timer. If the timer fires nevertheless, the Sender ignores it.
	CancelTimer(id TimerID)
}
