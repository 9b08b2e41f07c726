// Package choice decides what a sender does with every message it takes.
// This file holds what the module is told and what it may ask for; it decides nothing.
package choice

// Time is a point on the host's clock or a span, in whole tenths of a millisecond.
type Time int64

// Millisecond and Second convert plain figures to Time.
const (
	Millisecond Time = 10
	Second           = 1000 * Millisecond
)

// Each kind of id is a type of its own, so that none can stand in for another.
type (
	SenderID      string
	MessageID     string
	EndpointID    string
	DestinationID int64
	ClassNo       int
	AccountNo     int
	ZoneNo        int
	KindNo        int
	PeerNo        int
	OrderKey      int64
	TimerID       int64
)

// NoKey stands for a message without an order key.
const NoKey OrderKey = -1

// Repeat says what a class allows to happen twice.
type Repeat int

const (
	Idempotent Repeat = iota
	Keyed
	NonIdempotent
)

// Class is one class's settings.
type Class struct {
	Repeat           Repeat
	ZoneGroup        bool // a keyed repeat is known only to endpoints of one zone
	RepeatWindow     Time
	LatencyObjective Time
	Deadline         Time
	Value            float64
	LateValue        float64 // share of Value left at the deadline
	ByArrival        bool    // messages of one key keep their order
}

// Kind is what the settings tell of one kind of destination.
type Kind struct {
	BundleMax int
	Apart     bool // its endpoints are separate routes
}

// Rating says what Entry.Rating holds.
type Rating int

const (
	RatingNone Rating = iota
	RatingRough
	RatingExact
)

// Settings are handed in once, at start.
type Settings struct {
	Senders        int
	Number         PeerNo
	Zone           ZoneNo
	InFlightLimit  int
	MaxOpen        int
	MaxAttempts    int
	Classes        []Class
	Kinds          []Kind
	Quotas         []float64 // messages a second inside each account's share, all senders together
	OverShareValue float64
	Halving        bool // value halves with each further contract time; else it falls evenly
	Probing        bool
	Notes          bool
	Cancelling     bool
	LongestReturn  Time // the longest time to come back that a shed reply may name; 0 for none
	DialTimeout    Time
	ConnIdle       Time // the host closes idle connections after this long
	TellsFull      bool // who has no place for one more connection answers so (Outcome.Closed) in place of failing it
	Turn           Time // turns come at most this often
	Rating         Rating
	FallMultiple   float64
	Fall           Time
	SlowStartFrom  float64
	SlowStart      Time
	KeyRest        Time
	RouteFees      []float64 // by zone: what a message taken on by a route apart there costs, in messages of mean value
	RefusedPrice   float64
	HandshakePrice float64
}

// Stage is what the list says of an endpoint.
type Stage int

const (
	Ready Stage = iota
	Draining
	Gone
)

// Entry is one endpoint of the list.
type Entry struct {
	Endpoint     EndpointID
	Destination  DestinationID
	Kind         KindNo
	Zone         ZoneNo
	Rating       float64
	Stage        Stage
	LearnedState *LearnedState // of an earlier life, where there is any; read when the endpoint is new
}

// LearnedState is what an earlier life knew of an endpoint and still holds: the times of calls there in tenths of a
// millisecond (mean and spread of late, long mean, how many), the limit last told, and what is left of a wait.
type LearnedState struct {
	Mean, Dev, Past, Seen float64
	Limit                 float64
	Wait                  Time
}

// Message is one message as it was taken.
type Message struct {
	ID          MessageID
	Class       ClassNo
	Account     AccountNo
	Key         OrderKey
	Deadline    Time // on the clock
	Destination DestinationID
	// Span is with how much time an earlier life took it on; 0 for what comes from a client, which can still be refused.
	// Without it a start would hand back much of a full backlog, and what had little time from the first.
	Span Time
	// After a restart: an attempt of an earlier life may have run, when it was sent, and to which zone.
	MayRun bool
	RanAt  Time
	RanIn  ZoneNo
}

// Result is how an attempt or a probe ended.
type Result int

const (
	Done Result = iota
	Errored
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Moot
	Spoilt // answered, but nothing can be made of it: it may have run
)

// Report is what an answer tells of a limit; Known is false where it tells nothing.
type Report struct {
	Known bool
	Left  float64 // share of the allowance left
	Limit float64 // calls a second; 0 where there is none
}

// Outcome is how one attempt ended.
type Outcome struct {
	Message  MessageID
	Attempt  int
	Endpoint EndpointID
	Took     Time
	Final    bool // nothing more is owed for the message
	Result   Result
	Wait     Time // told with Full; 0 when none was
	NoSlot   bool // told with Moot
	Report   Report
	Reused   bool // its connection had carried a call before, where the host can tell
	Closed   bool // its answer ended the connection, likewise
}

// Host is all that the module can do to the world. Calls take effect in the order made.
type Host interface {
	Now() Time
	// Allowed is whether a message may use an endpoint as things stand; it is asked for each one looked at, and must
	// cost nanoseconds.
	Allowed(n MessageID, e EndpointID) bool
	Attempt(n MessageID, to EndpointID, timeOut Time)
	Shed(n MessageID, comeBackIn Time) // 0 names no time
	Fail(n MessageID)
	Probe(e EndpointID)
	CloseIdle(e EndpointID)
	Tell(note []byte) // to all other senders; it may be lost, and is asked for only where Settings.Notes is set
	Timer(in Time, id TimerID)
	Forget(id TimerID) // a timer that need not fire any more; one that fires all the same does no harm
}
