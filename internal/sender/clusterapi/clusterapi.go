// Package clusterapi holds what a sender and the processes around it hand each other. The sender declares it; what stands
// behind it is internal/cluster, or nothing.
//
// All of it is called on the sender's loop and must return at once: no lock that is held over I/O, no wait. What the
// cluster wants of the sender it posts to the loop (Orders). The answer comes by a function that is handed along, called on
// the loop after the append of that turn: what it says is on disk by then.
package clusterapi

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
	Unanswered  uint64               `json:"q,omitempty"` // of these: timed out or not connected
	Rejected    uint64               `json:"r,omitempty"` // rejected by the endpoint
	Endpoints   int                  `json:"e,omitempty"` // listed there
	Limit       float64              `json:"l,omitempty"` // calls a second, of all senders, as last reported there; 0 for none
	Rating      float64              `json:"w,omitempty"` // summed over the endpoints, as the list gives it
	Waiting     int                  `json:"h,omitempty"` // messages waiting for the destination (in one row of it)
}

// Count is how many messages one client host submitted for a destination since the last digest, each message once.
type Count struct {
	Destination choice.DestinationID `json:"d"`
	Client      string               `json:"p"` // the client's host, as the sender tells clients apart
	Messages    uint64               `json:"n"`
}

// Digest is what a sender hands over, twice a second. The receiver owns it.
type Digest struct {
	Rows   []Row
	Counts []Count
	// Longest is the longest deadline of any class and message: what was accepted longer ago has ended.
	Longest time.Duration
}

// Guide is the routing plan that the cluster has decided, as it stands now. It is immutable, and read without a lock at
// each attempt.
type Guide interface {
	// Allowed reports whether a message may go to an endpoint of a destination in a zone. It depends on nothing but its
	// arguments and the plan, and takes nanoseconds.
	Allowed(n choice.MessageID, d choice.DestinationID, zone choice.ZoneNo) bool
}

// Cluster is what a sender knows of the processes around it.
type Cluster interface {
	// Digest takes the sender's next digest.
	Digest(Digest)
	// Guide returns the routing plan; nil for none, which allows all.
	Guide() Guide
	// Woke asks for what the region knows of a destination that this sender has evicted. The answer comes by
	// Orders.Teach, or never.
	Woke(d choice.DestinationID)
}

// Match names messages, or learned state. Empty fields match all; at least one must be set.
type Match struct {
	Destination *choice.DestinationID `json:"destination,omitempty"`
	Class       string                `json:"workload,omitempty"`
	Key         string                `json:"key,omitempty"`
	KeyPrefix   string                `json:"key_prefix,omitempty"`
}

// Found is what a purge met at one process.
type Found struct {
	NotBegun     int `json:"not_begun"` // ended here and now, and answered so
	MayRun       int `json:"may_run"`   // a call is or was in flight: reported so, and not sent again
	Delivered    int `json:"delivered"` // ended before the purge came, as far as is remembered
	LearnedState int `json:"learnt"`    // endpoints whose learned state was dropped
}

// Purge is one order to withdraw messages, or to drop learned state.
type Purge struct {
	Seq          uint64 // of the ledger; a process applies purges in this order, each once
	ID           string
	LearnedState bool `json:"Learnt"` // it is about learned state, not messages
	Match        Match
	// Age is for how long the purge has been in force: what was accepted since is not touched.
	Age time.Duration
}

// LearnedEndpoint is learned state of an endpoint from elsewhere, and how old it is.
type LearnedEndpoint struct {
	Endpoint     choice.EndpointID
	LearnedState choice.LearnedState
	Age          time.Duration
}

// Orders is what a cluster asks of its sender. Each may be called from any goroutine; done is called on the loop.
type Orders interface {
	// Purge applies purges in the order given and makes that durable; one of a Seq that was applied before is answered
	// again as it was. applied is the highest Seq that is on disk.
	Purge(all []Purge, done func(applied uint64, found []Found))
	// Applied returns the highest Seq on disk; it is asked at the start, before the loop runs.
	Applied() uint64
	// Evict makes the sender drop what it holds of destinations, but for those that must stay, which it returns.
	Evict(all []choice.DestinationID, done func(retained []choice.DestinationID))
	// Holding lists the destinations of which something is held, with bytes and what would be lost, for eviction.
	Holding(done func([]Held))
	// Teach hands over learned state from elsewhere, for endpoints of which nothing is known here.
	Teach(lessons []LearnedEndpoint)
	// Know hands out what has been learned of these destinations, of all if none is named.
	Know(of []choice.DestinationID, done func([]LearnedEndpoint))
	// Configure puts a configuration in force in one turn, completely or not at all. done is called on the loop: with nil
	// once it is in force, else with what is wrong, and the settings before stay in force. A version older than the one
	// in force is rejected.
	Configure(c Configuration, done func(error))
}

// Held is one destination at one sender.
type Held struct {
	Destination choice.DestinationID
	Bytes       int
	Calls       float64 // answers that the learned state rests on: what it would cost to learn it again
	InUse       bool    // it must stay: a Retry-After, an outage, a slow start, a drain, an ordered key, or anything open
}
