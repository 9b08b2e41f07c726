// Package together holds what a sender and the processes around it hand each other. The sender declares it; what
// stands behind it is internal/cluster, or nothing.
//
// All of it is called on the sender's loop and must return at once: no lock that is held over I/O, no wait. What the
// cluster wants of the sender it posts on the loop (Orders), and the answer comes by a function that it handed along,
// called on the loop after the append of that turn: what it tells is on disk by then.
package together

import (
	"time"

	"flaxcove/choice"
)

// Row is what one sender saw of a destination's endpoints in one zone since its last digest.
type Row struct {
	Destination choice.DestinationID `json:"d"`
	Kind        choice.KindNo        `json:"k,omitempty"`
	Zone        string               `json:"z"`
	Sent        uint64               `json:"s,omitempty"` // calls
	Done        uint64               `json:"o,omitempty"`
	Failed      uint64               `json:"f,omitempty"` // errored, timed out, not connected, reset
	Silent      uint64               `json:"q,omitempty"` // of these: timed out or not connected
	Refused     uint64               `json:"r,omitempty"`
	Endpoints   int                  `json:"e,omitempty"` // listed there
	Limit       float64              `json:"l,omitempty"` // calls a second last told there, of all senders; 0 for none
	Rating      float64              `json:"w,omitempty"` // summed over the endpoints, as the list tells it
	Held        int                  `json:"h,omitempty"` // messages waiting for the destination (told in one row of it)
}

// Count is how many messages programs handed in for a destination since the last digest, each message once.
type Count struct {
	Destination choice.DestinationID `json:"d"`
	Program     string               `json:"p"` // who handed in, as the sender tells programs apart
	Messages    uint64               `json:"n"`
}

// Digest is what a sender hands over, twice a second. The receiver owns it.
type Digest struct {
	Rows   []Row
	Counts []Count
	// Longest is the longest deadline of any class: what was taken on before so long is over.
	Longest time.Duration
}

// Guide is what is decided in common, as it stands now. Immutable; read without a lock, at each attempt.
type Guide interface {
	// Allowed tells whether a message may go to an endpoint of a destination in a zone. It hangs on nothing but its
	// arguments and the guide, and takes nanoseconds.
	Allowed(n choice.MessageID, d choice.DestinationID, zone choice.ZoneNo) bool
}

// Cluster is what a sender knows of the processes around it.
type Cluster interface {
	Digest(Digest)
	Guide() Guide // nil for none: then all is allowed
	// Woke asks for what the region knows of a destination that this sender holds nothing of. The answer comes by
	// Orders.Teach, or never.
	Woke(d choice.DestinationID)
}

// Match names messages, or what was learnt. Empty fields match all; at least one must be set.
type Match struct {
	Destination *choice.DestinationID `json:"destination,omitempty"`
	Class       string                `json:"workload,omitempty"`
	Key         string                `json:"key,omitempty"`
	KeyPrefix   string                `json:"key_prefix,omitempty"`
}

// Found is what a purge met at one process.
type Found struct {
	NotBegun     int `json:"not_begun"` // ended here and now, and answered so
	MayRun       int `json:"may_run"`   // a call is or was out: reported so, and not sent again
	Delivered    int `json:"delivered"` // ended before the purge came, as far as is remembered
	LearnedState int `json:"learnt"`    // endpoints of which what was learnt is void
}

// Purge is one order to withdraw.
type Purge struct {
	Seq          uint64 // of the ledger; a process applies them in this order, each once
	ID           string
	LearnedState bool `json:"Learnt"` // the subject: learned state, not messages; the name in JSON is that of older versions
	Match        Match
	// Age is for how long the purge has been in force: what was taken on since is not touched.
	Age time.Duration
}

// Lesson is what is known of an endpoint elsewhere, and how old it is.
type Lesson struct {
	Endpoint     choice.EndpointID
	LearnedState choice.LearnedState
	Age          time.Duration
}

// Orders is what a cluster asks of its sender. Each may be called from any goroutine; done is called on the loop.
type Orders interface {
	// Purge applies purges in the order given and makes that last; one of a Seq applied before is answered again as
	// it was. applied is the highest Seq that is on disk.
	Purge(all []Purge, done func(applied uint64, found []Found))
	// Applied is the highest Seq on disk; asked at the start, before the loop runs.
	Applied() uint64
	// Evict has the sender let go of what it holds of destinations, but for what must never go; kept are those.
	Evict(all []choice.DestinationID, done func(kept []choice.DestinationID))
	// Holding tells of what destinations something is held, with bytes and what would be lost, for eviction.
	Holding(done func([]Held))
	Teach(lessons []Lesson)
	// Know hands over what has been learnt of these destinations, all if none is named.
	Know(of []choice.DestinationID, done func([]Lesson))
	// Configure puts a configuration in force in one turn, whole or not at all. done is called on the loop: with nil once it
	// is in force, else with what is wrong, and the settings before stay in force. An older version than the one in force is refused.
	Configure(c Configuration, done func(error))
}

// Held is one destination at one sender.
type Held struct {
	Destination choice.DestinationID
	Bytes       int
	Calls       float64 // answers seen that what is learnt rests on: what it would cost to learn again
	InUse       bool    // a told wait, an outage, a cold budget, a drain, order in a key, or anything open
}
