package choice

import "math"

// Repeat says what it does when a message runs twice at its destination, which decides whether it may be retried once
// an attempt may have run.
type Repeat int

const (
	// Idempotent messages may be repeated at any time.
	Idempotent Repeat = iota
	// Keyed messages carry an idempotency key: a repeat has no effect while the destination remembers the key.
	Keyed
	// NonIdempotent messages must not be sent again once an attempt may have run.
	NonIdempotent
)

// Class holds the settings of one class of messages.
type Class struct {
	Repeat           Repeat
	ZoneGroup        bool    // an idempotency key is known only to the endpoints of the zone it was used in
	RepeatWindow     Time    // how long a destination remembers an idempotency key, from the send of the attempt
	LatencyObjective Time    // latency objective: until then an answer has its full Value
	Deadline         Time    // from acceptance until the message must have its end
	Value            float64 // what a delivery within LatencyObjective is worth
	LateValue        float64 // share of Value left at the deadline
	Ordered          bool    // messages with the same order key are delivered in the order accepted
}

// Kind holds the settings of one kind of destination.
type Kind struct {
	BulkMax        int  // most messages of one bulk call
	SeparateRoutes bool // each endpoint is a route of its own, with its own limits and waits
}

// Rating says how far Entry.Rating can be relied on.
type Rating int

const (
	// RatingNone: Entry.Rating holds nothing.
	RatingNone Rating = iota
	// RatingRough: Entry.Rating may be up to half too high.
	RatingRough
	// RatingExact: Entry.Rating is the capacity.
	RatingExact
)

// Settings configure a Sender. They are given to Start, and to Sender.Configure when they change. Rates are in
// messages or calls a second and, unless noted otherwise, are those of all senders together.
type Settings struct {
	// The fleet, and this sender's place in it.

	Senders int    // how many senders share the endpoints' capacity
	Number  PeerNo // this sender's number among its peers; for the host
	Zone    ZoneNo // the zone this sender runs in

	// Limits of one sender.

	InFlightLimit int // calls in flight at once
	MaxOpen       int // messages accepted and not yet ended; shedding starts somewhat below
	MaxAttempts   int // attempts of one message

	// Messages and destinations.

	Classes        []Class   // by ClassNo
	Kinds          []Kind    // by KindNo
	Quotas         []float64 // by AccountNo: messages a second within the account's quota
	OverQuotaValue float64   // share of its value that a message beyond its account's quota keeps
	Halving        bool      // value halves with each contract time past the first; otherwise it falls linearly
	KeyPause       Time      // pause of an order key after an attempt that may still be running

	// What the host and the protocol offer.

	Probing              bool // health probes may be sent
	Notes                bool // the host can broadcast notes to the other senders
	Cancelling           bool // the host can cancel calls; for the host
	MaxRetryAfter        Time // longest time to come back that a shed reply may name; 0 for none
	DialTimeout          Time // bound of connecting; for the host
	ConnIdle             Time // the host closes connections that have been idle for this long
	AnswersWhenTableFull bool // an endpoint whose connection table is full answers so (Outcome.Closed); otherwise connecting fails
	TurnInterval         Time // shortest time between two turns

	// Capacity of endpoints, and slow start after an outage.

	Rating           Rating  // how far Entry.Rating can be relied on
	OverloadMultiple float64 // load that overloads an endpoint, in multiples of its present capacity
	OverloadWindow   Time    // window over which that load is counted
	SlowStartFrom    float64 // share of its capacity that an endpoint has at the beginning of slow start
	SlowStart        Time    // length of slow start, over which capacity grows linearly to the whole

	// Prices, in messages of mean value.

	RouteFees      []float64 // by zone: what a message sent over a separate route (Kind.SeparateRoutes) to it costs
	RejectedPrice  float64   // what a rejected call costs; for the host
	HandshakePrice float64   // what a new connection costs; for the host
}

// routeFee returns the fee of a separate route to a zone, or 0 where none is set.
func (set *Settings) routeFee(zone ZoneNo) float64 {
	z := int(zone)
	if z < 0 || z >= len(set.RouteFees) {
		return 0
	}
	return set.RouteFees[z]
}

// shortestContract returns the shortest contract time of all classes, at least 1.
func shortestContract(classes []Class) Time {
	shortest := forever
	for _, class := range classes {
		shortest = min(shortest, max(1, class.LatencyObjective))
	}
	return shortest
}

// highestValue returns the highest value of all classes.
func highestValue(classes []Class) float64 {
	highest := 0.0
	for _, class := range classes {
		highest = max(highest, class.Value)
	}
	return highest
}

// ValueShare returns the share of the class's value that is left when the answer comes the given time after acceptance.
// With halving, value halves with each contract time past the first; otherwise it falls linearly up to the deadline.
func (c *Class) ValueShare(after Time, halving bool) float64 {
	late := float64(after - c.LatencyObjective)
	if late <= 0 {
		return 1
	}
	if halving {
		return max(c.LateValue, math.Exp2(-late/float64(max(1, c.LatencyObjective))))
	}
	return max(0, 1-(1-c.LateValue)*late/float64(max(1, c.Deadline-c.LatencyObjective)))
}
