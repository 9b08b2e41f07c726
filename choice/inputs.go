package choice

// Stage is the state of an endpoint in the endpoint list.
type Stage int

const (
	// Ready endpoints take new calls.
	Ready Stage = iota
	// Draining endpoints finish what they have and take nothing new.
	Draining
	// Gone endpoints are no longer there.
	Gone
)

// Entry is one endpoint of the endpoint list, as service discovery reports it.
type Entry struct {
	Endpoint     EndpointID
	Destination  DestinationID
	Kind         KindNo
	Zone         ZoneNo
	Rating       float64 // capacity of the route in calls a second; see Settings.Rating
	Stage        Stage
	LearnedState *LearnedState // state of an earlier incarnation, nil for none; read only when the endpoint is new
}

// LearnedState is the learned state of an endpoint that stays valid in another incarnation of a sender or another fleet.
type LearnedState struct {
	// Call times in tenths of a millisecond: recent mean, recent mean deviation, long-term mean, number of samples.
	Mean, Dev, Past, Seen float64
	// Limit is the last reported rate limit in calls a second, 0 for none.
	Limit float64
	// Wait is what is left of the route's present pause.
	Wait Time
}

// Message is one accepted message.
type Message struct {
	ID          MessageID
	Class       ClassNo
	Account     AccountNo // no quota applies where there is none of that number
	Key         OrderKey  // NoKey for none
	Deadline    Time      // absolute, on the host's clock
	Destination DestinationID
	// Span is the time to its deadline with which an earlier incarnation accepted the message; 0 for messages new from
	// a client, which may still be rejected. It keeps a restart from handing back much of a full backlog, and messages
	// whose time was short from the beginning.
	Span Time
	// MayRun is set after a restart where an attempt of an earlier incarnation may have run; RanAt is when that attempt
	// was sent, and RanIn to which zone.
	MayRun bool
	RanAt  Time
	RanIn  ZoneNo
}

// Result is how an attempt or a probe ended.
type Result int

const (
	// Done: the message was processed.
	Done Result = iota
	// Errored: the answer was an error, and the message may have run.
	Errored
	// Rejected: rejected before anything ran.
	Rejected
	// TimedOut: no answer came in time; the message may have run or still be running.
	TimedOut
	// ConnectFailed: no connection came up, so that nothing ran.
	ConnectFailed
	// Reset: the connection broke; the message may have run or still be running.
	Reset
	// Cancelled: the host cancelled the call; the message may still be running. A cancelled probe was never sent.
	Cancelled
	// NotRun: the message did not run or is over, and the reason says nothing about the endpoint.
	NotRun
	// Unreadable: the answer could not be understood, and the message may have run.
	Unreadable
)

// Report is what an answer says of the rate limit of its route.
type Report struct {
	Known bool    // false where the answer says nothing
	Left  float64 // share of the allowance that is left
	Limit float64 // limit in calls a second; 0 where there is none
}

// Outcome is how one attempt ended.
type Outcome struct {
	Message    MessageID
	Attempt    int // number of the attempt, the first being 0
	Endpoint   EndpointID
	Took       Time
	Final      bool // the message needs no further answer
	Result     Result
	RetryAfter Time   // Retry-After that came with Full; 0 for none
	NoSlot     bool   // with Moot: the sender had no free slot
	Report     Report // rate limit report of the answer
	Reused     bool   // the connection had carried a call before, as far as the host can tell
	Closed     bool   // the answer ended the connection, as far as the host can tell
}
