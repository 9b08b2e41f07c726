package choice

import "math"

// Repeatability is the effect of running a message twice at its destination. It decides whether the message may be
// retried after an attempt that may have run.
type Repeatability int

const (
	// Idempotent messages may be repeated at any time.
	Idempotent Repeatability = iota
	// Keyed messages carry an idempotency key. A repeat has no effect while the destination remembers the key.
	Keyed
	// NonIdempotent messages must not be sent again after an attempt that may have run.
	NonIdempotent
)

// Class holds the settings of one class of messages.
type Class struct {
	Repeat           Repeatability
	ZoneGroup        bool    // an idempotency key is known only to the endpoints of the zone it was used in
	RepeatWindow     Time    // how long a destination remembers an idempotency key, counted from when the attempt was sent
	LatencyObjective Time    // time from acceptance within which an answer has the full Value
	Deadline         Time    // time from acceptance until which the message must have ended
	Value            float64 // value of a delivery within LatencyObjective
	LateValue        float64 // share of Value left at the deadline
	Ordered          bool    // messages with the same order key are delivered in the order accepted
}

// Kind holds the settings of one kind of destination.
type Kind struct {
	BulkMax        int  // most messages of one bulk call
	SeparateRoutes bool // each endpoint is a route of its own, with its own limits and pauses
}

// Rating is how reliable the values of Entry.Rating are.
type Rating int

const (
	// RatingNone means that Entry.Rating is not set.
	RatingNone Rating = iota
	// RatingRough means that Entry.Rating may be up to half too high.
	RatingRough
	// RatingExact means that Entry.Rating is the capacity.
	RatingExact
)

// Settings configure a Sender. They are passed to NewSender, and to Sender.Configure when they change. Rates are in
// messages or calls a second and, unless noted otherwise, apply to all senders together.
type Settings struct {
	// The fleet, and this sender's place in it.

	Senders int    // number of senders that share the capacity of the endpoints
	Number  PeerNo // this sender's number among its peers; used by the host only
	Zone    ZoneNo // the zone this sender runs in

	// Limits of one sender.

	InFlightLimit int // most calls in flight
	MaxOpen       int // most open messages; shedding starts somewhat below
	MaxAttempts   int // most attempts of one message

	// Messages and destinations.

	Classes        []Class   // by ClassNo
	Kinds          []Kind    // by KindNo
	Quotas         []float64 // by AccountNo: quota in messages a second
	OverQuotaValue float64   // share of its value that a message beyond its account's quota keeps
	Halving        bool      // value halves with each further latency objective after the first; otherwise it falls linearly
	KeyPause       Time      // pause of an order key after an attempt that may still be running

	// Features of the host and the protocol.

	Probing              bool // health probes may be sent
	Notes                bool // the host can broadcast notes to the other senders
	Cancelling           bool // the host can cancel calls; used by the host only
	MaxRetryAfter        Time // longest retry time that the answer to a shed message may name; 0 for none
	DialTimeout          Time // longest time to establish a connection; used by the host only
	ConnIdle             Time // the host closes connections that have been idle for this long
	AnswersWhenTableFull bool // an endpoint with a full connection table rejects and closes (Outcome.Closed); otherwise connecting fails
	TurnInterval         Time // shortest time between two turns
	MaxBulkBytes         int  // most bytes that the messages of a bulk call add to its body together; 0 for no limit

	// Capacity of endpoints, and slow start after an outage.

	Rating           Rating  // how reliable Entry.Rating is
	OverloadMultiple float64 // load that overloads an endpoint, as a multiple of its present capacity
	OverloadWindow   Time    // window in which that load is counted
	SlowStartFrom    float64 // share of its capacity that an endpoint has at the beginning of slow start
	SlowStart        Time    // length of slow start, over which the capacity grows linearly to the whole

	// Prices, in messages of mean value.

	RouteFees      []float64 // by zone: price of a message sent to the zone over a separate route (Kind.SeparateRoutes)
	RejectedPrice  float64   // price of a rejected call; used by the host only
	HandshakePrice float64   // price of a new connection; used by the host only
}

// routeFee returns the fee of a separate route to a zone, or 0 if none is set.
func (set *Settings) routeFee(zone ZoneNo) float64 {
	z := int(zone)
	if z < 0 || z >= len(set.RouteFees) {
		return 0
	}
	return set.RouteFees[z]
}

// shortestObjective returns the shortest latency objective of all classes, at least 1.
func shortestObjective(classes []Class) Time {
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

// ValueShare returns the share of the class's value that is left if the answer comes the given time after acceptance.
// With halving, the value halves with each further latency objective after the first; otherwise it falls linearly up to
// the deadline.
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
