package choice

// Stage is the state of an endpoint in the endpoint list.
type Stage int

const (
	// Ready means that the endpoint takes new calls.
	Ready Stage = iota
	// Draining means that the endpoint finishes its calls in flight and takes no new ones.
	Draining
	// Gone means that the endpoint no longer exists.
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
	LearnedState *LearnedState // learned state of an earlier incarnation, or nil; read only when the endpoint is new
	Unproven     bool          // no incarnation has had a successful call recently; read only when the endpoint is new
	Impairment   *Impairment   // outage that an earlier incarnation knew of, or nil; read only when the endpoint is new
}

// LearnedState is the part of an endpoint's learned state that remains valid in another incarnation of a sender and in
// another fleet. Its field names are part of a stored file format.
type LearnedState struct {
	// Mean and Dev are the recent mean and mean absolute deviation of the call times, and Past is their long-term mean,
	// all in tenths of a millisecond. Seen is the number of measured calls.
	Mean, Dev, Past, Seen float64
	// Limit is the last reported rate limit in calls a second, or 0 for none.
	Limit float64
	// Wait is the remaining time of the route's pause.
	Wait Time
}

// Message is one accepted message.
type Message struct {
	ID          MessageID
	Class       ClassNo
	Account     AccountNo // an index without an entry in Settings.Quotas has no quota
	Key         OrderKey  // NoKey for none
	Deadline    Time      // on the host's clock
	Destination DestinationID
	// AcceptedLifetime is the time that the message had until its deadline when an earlier incarnation accepted it. It
	// is 0 for new messages from a client, which may still be rejected. A restarted sender uses it so as not to shed
	// much of a full backlog, or messages whose time was short from the start.
	AcceptedLifetime Time
	// BulkBytes is the number of bytes that the message adds to the body of a bulk call, its separator included; 0 if
	// the host doesn't know it.
	BulkBytes int32
	// MayRun is set for a message that an earlier incarnation accepted if one of its attempts may have run. RanAt is
	// the time when that attempt was sent, and RanIn is the zone of its endpoint.
	MayRun bool
	RanAt  Time
	RanIn  ZoneNo
}

// Result is how an attempt or a probe ended.
type Result int

const (
	// Done means that the message was processed.
	Done Result = iota
	// Errored means that the answer was an error; the message may have run.
	Errored
	// Rejected means that the endpoint rejected the message before it ran.
	Rejected
	// TimedOut means that no answer came in time; the message may have run or may still be running.
	TimedOut
	// ConnectFailed means that no connection was established; the message did not run.
	ConnectFailed
	// Reset means that the connection broke; the message may have run or may still be running.
	Reset
	// Cancelled means that the host cancelled the call; the message may still be running. A cancelled probe was never
	// sent.
	Cancelled
	// NotRun means that the message did not run or had already ended, for a reason unrelated to the endpoint.
	NotRun
	// Unreadable means that the answer could not be parsed; the message may have run.
	Unreadable
)

// Report is the information about its route's rate limit that an answer carries.
type Report struct {
	Known bool    // false if the answer carries no such information
	Left  float64 // share of the allowance that is left
	Limit float64 // calls a second; 0 for no limit
}

// Outcome is how one attempt ended.
type Outcome struct {
	Message     MessageID
	Attempt     int // number of the attempt, starting at 0
	Endpoint    EndpointID
	Duration    Time
	Final       bool // the message needs no further answer
	Result      Result
	RetryAfter  Time   // Retry-After of the answer, or 0 for none
	NoSlot      bool   // with NotRun: the sender had no free slot
	Report      Report // information about the rate limit
	Reused      bool   // the connection had carried another call before, as far as the host knows
	Closed      bool   // the endpoint closed the connection with the answer, as far as the host knows
	FormRefused bool   // the endpoint can't take the request as it was sent, so it must not be repeated unchanged
}
