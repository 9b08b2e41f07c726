package world

// This file declares the part of a scenario that describes the load and the world without faults; kinds.go declares the
// faults. A run must not change its spec.

import (
	"flaxcove/lab/load"
)

// Spec describes a world and the events in it. lab/scenario reads it from a TOML file, whose keys are in the tags. Values
// of keys that end in _ms are milliseconds, those of keys that end in _s, and of the key seconds, are seconds. Shares lie
// between 0 and 1. A Pair is a range from which each endpoint or partner draws its own value.
type Spec struct {
	Name      string        `toml:"name"`
	About     string        `toml:"about"`
	Seconds   float64       `toml:"seconds"`
	Senders   int           `toml:"senders"`
	Zones     int           `toml:"zones"`
	Halving   bool          `toml:"halving"` // value halves with each latency objective of delay; else it falls linearly
	Load      load.Spec     `toml:"load"`
	Network   Network       `toml:"network"`
	Discovery Discovery     `toml:"discovery"`
	Sender    SenderSpec    `toml:"sender"`
	Clients   Clients       `toml:"clients"`
	Rules     Rules         `toml:"rules"`
	Prices    Prices        `toml:"prices"`
	Classes   []Class       `toml:"workload"`
	Partners  []PartnerKind `toml:"partner"`
	Faults    []Fault       `toml:"trouble"`
	Changes   []ListEvent   `toml:"change"`
}

// Pair is a range: its lowest and its highest value.
type Pair [2]float64

// Network describes the one-way delay between senders and endpoints.
type Network struct {
	SameMS  Pair    `toml:"same_ms"`  // inside a zone
	CrossMS Pair    `toml:"cross_ms"` // between zones
	Jitter  float64 `toml:"jitter"`   // largest deviation as a share of the delay, drawn for each use
}

// Discovery describes how changes of the endpoint list reach senders.
type Discovery struct {
	DelayMS Pair `toml:"delay_ms"` // time from a change until its update reaches a sender
}

// SenderSpec holds the senders' settings. The in-flight limit and the maximum of open messages are derived from the load
// if they are 0.
type SenderSpec struct {
	InFlightLimit       int     `toml:"slots"`
	MaxOpen             int     `toml:"max_open"`
	MaxAttempts         int     `toml:"max_dispatches"`
	TickMS              float64 `toml:"turn_ms"`
	Probing             bool    `toml:"probing"`
	NoRetryAfter        bool    `toml:"no_return"` // a sender that sheds a message names no time for the next try
	LongestRetryAfterMS float64 `toml:"longest_return_ms"`
	DialMS              float64 `toml:"dial_ms"`
	Rating              string  `toml:"rating"` // weights in the endpoint list: off (none), rough or nominal (exact)
	MemoryMB            int64   `toml:"memory_mb"`
	Sockets             int     `toml:"sockets"`
	DiskMB              float64 `toml:"disk_mb"`
}

// Clients describes the behaviour of the programs that hand messages in.
type Clients struct {
	Retries          int     `toml:"retries"`     // most hand-ins of a message after it was shed
	HonourRetryAfter float64 `toml:"honour"`      // share of clients that wait as long as the sender asks for
	BackoffMS        Pair    `toml:"backoff_ms"`  // wait before the next hand-in to a sender that shed the message
	RetryMS          Pair    `toml:"again_ms"`    // wait before the next hand-in after a sender died or did not answer
	PatienceMS       float64 `toml:"patience_ms"` // longest wait for the answer to a hand-in
	OwnSender        bool    `toml:"own"`         // each client has a sender of its own and uses no other
}

// Rules holds the parameters of the referee's rules.
type Rules struct {
	DrainGraceMS float64 `toml:"drain_grace_ms"` // calls to an endpoint that drains may leave this long after its announcement
	FallMultiple float64 `toml:"fall_multiple"`  // load that takes an endpoint in slow start down, as a multiple of its capacity
	FallS        float64 `toml:"fall_s"`         // period over which that load is measured
	// FallWithSpread adds to that load what independent calls exceed it by through chance, as the standing test does.
	FallWithSpread bool    `toml:"fall_with_spread"`
	KeyRestMS      float64 `toml:"key_rest_ms"` // pause of an ordering key after a call without an answer
	LateMS         float64 `toml:"late_ms"`     // a message's end may come this long after its deadline
}

// Prices holds the deductions from a run's figure for load that the senders put on others. A price is multiplied by the
// ratio of such calls or executions to requested messages.
type Prices struct {
	Refused float64 `toml:"refused"` // for calls that an endpoint refused
	Wasted  float64 `toml:"wasted"`  // for executions that delivered nothing
}

// Values of Class.Repeat. They say whether a message may be sent again after an attempt that may have been executed.
const (
	Idempotent    = "replayable" // always: a second execution has no further effect
	Keyed         = "tokened"    // for as long as its endpoint remembers the idempotency key
	NonIdempotent = "single-use" // never: a second execution would repeat the effect
)

// Class is one class of messages.
type Class struct {
	Name               string  `toml:"name"`
	Repeat             string  `toml:"repeat"`     // Idempotent, Keyed or NonIdempotent
	ZoneGroup          bool    `toml:"zone_group"` // only endpoints of one zone share the idempotency keys that they remember
	WindowS            float64 `toml:"window_s"`   // how long a partner remembers an idempotency key
	Share              float64 `toml:"share"`      // weight of the class in the load
	LatencyObjectiveMS float64 `toml:"contract_ms"`
	DeadlineMS         float64 `toml:"hard_stop_ms"`
	Value              float64 `toml:"gain"`      // value of a delivery within the latency objective
	LateValue          float64 `toml:"late_gain"` // lowest value of a delivery before the deadline, as a share of Value
	Ordered            bool    `toml:"ordered"`   // messages with the same ordering key are delivered one after another
}

// PartnerKind describes one kind of partner. Pairs are drawn for each partner, except that MeanMS is drawn for each
// endpoint.
type PartnerKind struct {
	Name            string  `toml:"name"`
	Count           int     `toml:"count"`
	Endpoints       Pair    `toml:"endpoints"`     // number of endpoints of each partner, from one to four
	MeanMS          Pair    `toml:"mean_ms"`       // mean duration of a call
	Sigma           float64 `toml:"sigma"`         // standard deviation of the logarithm of a call's duration
	Headroom        Pair    `toml:"headroom"`      // capacity as a multiple of the partner's part of the load
	LeastRate       float64 `toml:"least_rate"`    // lowest capacity, in calls a second
	Queue           float64 `toml:"queue"`         // calls that an endpoint queues, as a multiple of its slots
	Limit           string  `toml:"limit"`         // rate limit: none, rate (a token bucket) or span (calls in each span_s)
	LimitTimes      Pair    `toml:"limit_times"`   // rate limit as a multiple of the partner's part of the load
	LimitAbove      bool    `toml:"limit_above"`   // the limit may exceed the capacity; else limitHeadroom applies
	SpanS           float64 `toml:"span_s"`        // length of the period that a limit of the form span counts
	CountRefused    bool    `toml:"count_refused"` // refused calls count towards the limit too
	RetryAfterShare float64 `toml:"told_waits"`    // share of refusals that carry a Retry-After
	Reports         bool    `toml:"reports"`       // answers carry a load report
	ReportMS        float64 `toml:"report_ms"`     // highest age of a load report
	Bundle          int     `toml:"bundle"`        // most messages in a bulk call
	SeparateRoutes  bool    `toml:"apart"`         // each endpoint is a route with a limit of its own
	MaxConnections  int     `toml:"connections"`   // most connections to an endpoint; 0 for no limit
	HandshakeMS     float64 `toml:"handshake_ms"`  // additional duration of the first call on a connection
	IdleS           float64 `toml:"idle_s"`        // an endpoint closes a connection that is idle for this long
	SlowStartS      float64 `toml:"cold_s"`        // length of slow start after an outage
	SlowStartFrom   float64 `toml:"cold_from"`     // share of the capacity at the beginning of slow start
	DownS           float64 `toml:"down_s"`        // how long an endpoint that was overloaded in slow start stays down
	ErrorShare      float64 `toml:"errors"`        // share of calls that fail without any fault
}
