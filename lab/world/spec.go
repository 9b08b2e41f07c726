package world

// This file owns what a scenario may say of the world at rest and of its load; kinds.go owns what goes wrong in it. It must
// never hold what a run changes.

import (
	"flaxcove/lab/load"
)

// Spec describes a world and what happens in it. lab/scenario reads one from a file; every field there has the name
// in its tag. Fields that end in _ms are milliseconds, in _s or seconds seconds; shares lie within 0 and 1. A pair is
// a range from which each thing draws its own value by the seed.
type Spec struct {
	Name      string      `toml:"name"`
	About     string      `toml:"about"`
	Seconds   float64     `toml:"seconds"`
	Senders   int         `toml:"senders"`
	Zones     int         `toml:"zones"`
	Halving   bool        `toml:"halving"` // value halves with each further contract time; else it falls evenly
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

// Pair is a range.
type Pair [2]float64

// Network is the time that one way takes.
type Network struct {
	SameMS  Pair    `toml:"same_ms"`  // inside a zone
	CrossMS Pair    `toml:"cross_ms"` // between zones
	Jitter  float64 `toml:"jitter"`   // share of it, anew for each way
}

// Discovery tells of changes of the list.
type Discovery struct {
	DelayMS Pair `toml:"delay_ms"` // from a change until a sender is told
}

// SenderSpec is what the senders' settings say. 0 for slots (the limit of calls in flight) or max_open derives them from the load.
type SenderSpec struct {
	InFlightLimit       int     `toml:"slots"`
	MaxOpen             int     `toml:"max_open"`
	MaxAttempts         int     `toml:"max_dispatches"`
	TickMS              float64 `toml:"turn_ms"`
	Probing             bool    `toml:"probing"`
	NoRetryAfter        bool    `toml:"no_return"` // shed replies name no time to come back
	LongestRetryAfterMS float64 `toml:"longest_return_ms"`
	DialMS              float64 `toml:"dial_ms"`
	Rating              string  `toml:"rating"` // what the list tells of rates: off, rough or nominal
	MemoryMB            int64   `toml:"memory_mb"`
	Sockets             int     `toml:"sockets"`
	DiskMB              float64 `toml:"disk_mb"`
}

// Clients are the programs that hand messages in.
type Clients struct {
	Retries          int     `toml:"retries"` // times that a shed message is handed in again
	HonourRetryAfter float64 `toml:"honour"`  // share that waits as long as it was told
	BackoffMS        Pair    `toml:"backoff_ms"`
	RetryMS          Pair    `toml:"again_ms"`    // after a sender that died or did not answer
	PatienceMS       float64 `toml:"patience_ms"` // for the answer to a hand-in
	OwnSender        bool    `toml:"own"`         // each client has a sender of its own and goes to no other
}

// Rules are the figures of the rules that the referee judges by.
type Rules struct {
	DrainGraceMS float64 `toml:"drain_grace_ms"`
	FallMultiple float64 `toml:"fall_multiple"`
	FallS        float64 `toml:"fall_s"`
	KeyRestMS    float64 `toml:"key_rest_ms"`
	LateMS       float64 `toml:"late_ms"` // by how much an end may come after the deadline
}

// Prices are taken off the figure for what a run costs others.
type Prices struct {
	Refused float64 `toml:"refused"` // if there were one refused call for each message asked for
	Wasted  float64 `toml:"wasted"`  // if there were one run of no use for each
}

// What may be done with a message that may have had its effect, in the words of scenario files.
const (
	Idempotent    = "replayable" // send it again: its effect is the same
	Keyed         = "tokened"    // send it again within a window: its endpoint knows its idempotency key
	NonIdempotent = "single-use" // nothing: its effect would come twice
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
	Sigma           float64 `toml:"sigma"`       // of its logarithm; each call draws its own
	Headroom        Pair    `toml:"headroom"`    // capacity in times of the partner's part of the load
	LeastRate       float64 `toml:"least_rate"`  // capacity at least, in calls a second
	Queue           float64 `toml:"queue"`       // calls that may wait, in times of the slots
	Limit           string  `toml:"limit"`       // none, rate or span
	LimitTimes      Pair    `toml:"limit_times"` // the limit in times of the partner's part of the load
	LimitAbove      bool    `toml:"limit_above"` // the limit may lie above what it can do; else it can do a quarter more
	SpanS           float64 `toml:"span_s"`
	CountRefused    bool    `toml:"count_refused"` // refused calls use the limit up too
	RetryAfterShare float64 `toml:"told_waits"`    // share of refusals that name a Retry-After
	Reports         bool    `toml:"reports"`
	ReportMS        float64 `toml:"report_ms"` // age that a report may have
	Bundle          int     `toml:"bundle"`
	SeparateRoutes  bool    `toml:"apart"`       // its endpoints are separate routes
	MaxConnections  int     `toml:"connections"` // an endpoint holds at most so many; 0 for any number
	HandshakeMS     float64 `toml:"handshake_ms"`
	IdleS           float64 `toml:"idle_s"`
	SlowStartS      float64 `toml:"cold_s"`
	SlowStartFrom   float64 `toml:"cold_from"`
	DownS           float64 `toml:"down_s"` // for which one that was pushed over stays down
	ErrorShare      float64 `toml:"errors"`
}
