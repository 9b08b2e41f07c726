package world

// This file declares the part of a scenario that describes the world without faults, and its load; kinds.go declares the
// faults. A spec must not hold state that a run changes.

import (
	"flaxcove/lab/load"
)

// Spec describes a world and what happens in it. lab/scenario reads one from a file, with the field names of the tags.
// Fields that end in _ms are milliseconds, in _s or seconds seconds; shares lie within 0 and 1. A Pair is a range from
// which each endpoint or partner draws its own value.
type Spec struct {
	Name      string      `toml:"name"`
	About     string      `toml:"about"`
	Seconds   float64     `toml:"seconds"`
	Senders   int         `toml:"senders"`
	Zones     int         `toml:"zones"`
	Halving   bool        `toml:"halving"` // value halves with each further latency objective; else it falls linearly
	Load      load.Spec   `toml:"load"`
	Network   Network     `toml:"network"`
	Discovery Discovery   `toml:"discovery"`
	Sender    SenderSpec  `toml:"sender"`
	Clients   Clients     `toml:"clients"`
	Rules     Rules       `toml:"rules"`
	Prices    Prices      `toml:"prices"`
	Classes   []Class     `toml:"workload"`
	Partners  []Kind      `toml:"partner"`
	Faults    []Fault     `toml:"trouble"`
	Changes   []ListEvent `toml:"change"`
}

// Pair is a range: the lowest and the highest value.
type Pair [2]float64

// Network is the one-way delay between senders and endpoints.
type Network struct {
	SameMS  Pair    `toml:"same_ms"`  // inside a zone
	CrossMS Pair    `toml:"cross_ms"` // between zones
	Jitter  float64 `toml:"jitter"`   // share of the delay, drawn for each use
}

// Discovery describes how changes of the endpoint list reach senders.
type Discovery struct {
	DelayMS Pair `toml:"delay_ms"` // from a change until its update reaches a sender
}

// SenderSpec holds the senders' settings. The in-flight limit (slots) and max_open are derived from the load if they are 0.
type SenderSpec struct {
	InFlightLimit       int     `toml:"slots"`
	MaxOpen             int     `toml:"max_open"`
	MaxAttempts         int     `toml:"max_dispatches"`
	TickMS              float64 `toml:"turn_ms"`
	Probing             bool    `toml:"probing"`
	NoRetryAfter        bool    `toml:"no_return"` // answers that shed load name no time to come back
	LongestRetryAfterMS float64 `toml:"longest_return_ms"`
	DialMS              float64 `toml:"dial_ms"`
	Rating              string  `toml:"rating"` // how exact the weights in the endpoint list are: off, rough or nominal
	MemoryMB            int64   `toml:"memory_mb"`
	Sockets             int     `toml:"sockets"`
	DiskMB              float64 `toml:"disk_mb"`
}

// Clients describes how the programs behave that hand messages in.
type Clients struct {
	Retries          int     `toml:"retries"` // times that a shed message is handed in again
	HonourRetryAfter float64 `toml:"honour"`  // share of clients that wait as long as the sender asks for
	BackoffMS        Pair    `toml:"backoff_ms"`
	RetryMS          Pair    `toml:"again_ms"`    // after a sender that died or did not answer
	PatienceMS       float64 `toml:"patience_ms"` // for the answer to a hand-in
	OwnSender        bool    `toml:"own"`         // each client has a sender of its own and goes to no other
}

// Rules holds the parameters of the referee's rules.
type Rules struct {
	DrainGraceMS float64 `toml:"drain_grace_ms"`
	FallMultiple float64 `toml:"fall_multiple"`
	FallS        float64 `toml:"fall_s"`
	KeyRestMS    float64 `toml:"key_rest_ms"`
	LateMS       float64 `toml:"late_ms"` // by how much an end may come after the deadline
}

// Prices holds the deductions from a run's figure for the load it puts on others.
type Prices struct {
	Refused float64 `toml:"refused"` // per refused call for each message asked for
	Wasted  float64 `toml:"wasted"`  // per useless execution for each message asked for
}

// Whether a message may be sent again after an attempt that may have been executed, in the words of scenario files.
const (
	Idempotent    = "replayable" // yes: its effect is the same
	Keyed         = "tokened"    // within a window, in which its endpoint knows its idempotency key
	NonIdempotent = "single-use" // no: its effect would come twice
)

// Class is one class of messages.
type Class struct {
	Name               string  `toml:"name"`
	Repeat             string  `toml:"repeat"` // Idempotent, Keyed or NonIdempotent
	ZoneGroup          bool    `toml:"zone_group"`
	WindowS            float64 `toml:"window_s"` // for which a partner knows an idempotency key
	Share              float64 `toml:"share"`
	LatencyObjectiveMS float64 `toml:"contract_ms"`
	DeadlineMS         float64 `toml:"hard_stop_ms"`
	Value              float64 `toml:"gain"`
	LateValue          float64 `toml:"late_gain"`
	Ordered            bool    `toml:"ordered"`
}

// Kind is one kind of partner.
type Kind struct {
	Name            string  `toml:"name"`
	Count           int     `toml:"count"`
	Endpoints       Pair    `toml:"endpoints"`   // of each, one to four
	MeanMS          Pair    `toml:"mean_ms"`     // that a call takes, by endpoint
	Sigma           float64 `toml:"sigma"`       // of the logarithm of a call's duration
	Headroom        Pair    `toml:"headroom"`    // capacity as a multiple of the partner's part of the load
	LeastRate       float64 `toml:"least_rate"`  // lowest capacity, in calls a second
	Queue           float64 `toml:"queue"`       // calls that may wait, as a multiple of the slots
	Limit           string  `toml:"limit"`       // none, rate or span
	LimitTimes      Pair    `toml:"limit_times"` // the limit as a multiple of the partner's part of the load
	LimitAbove      bool    `toml:"limit_above"` // the limit may lie above the capacity; else the capacity is a quarter more
	SpanS           float64 `toml:"span_s"`
	CountRefused    bool    `toml:"count_refused"` // refused calls count towards the limit too
	RetryAfterShare float64 `toml:"told_waits"`    // share of refusals that name a Retry-After
	Reports         bool    `toml:"reports"`
	ReportMS        float64 `toml:"report_ms"` // age that a report may have
	Bundle          int     `toml:"bundle"`
	SeparateRoutes  bool    `toml:"apart"`       // each endpoint is a route with a limit of its own
	MaxConnections  int     `toml:"connections"` // of an endpoint; 0 for any number
	HandshakeMS     float64 `toml:"handshake_ms"`
	IdleS           float64 `toml:"idle_s"`
	SlowStartS      float64 `toml:"cold_s"`
	SlowStartFrom   float64 `toml:"cold_from"`
	DownS           float64 `toml:"down_s"` // how long an endpoint that was overloaded in slow start stays down
	ErrorShare      float64 `toml:"errors"`
}
