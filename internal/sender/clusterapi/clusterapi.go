// Package clusterapi defines the interfaces between a sender and its cluster, and the types that they exchange. Package
// internal/cluster implements Cluster; a sender that belongs to no cluster runs without it.
//
// The sender calls the methods of Cluster and RoutingPlan on its loop, so they must return at once: they must not
// block, and must not take a lock that is held during I/O. The cluster calls the methods of Orders, which post an order
// to the sender's loop. The answer to an order comes through its done function, which is called on the loop after the
// append of that turn, so its content is on disk by then.
package clusterapi

import (
	"time"

	"flaxcove/choice"
)

// DigestRow counts what one sender observed at a destination's endpoints in one zone since its last digest.
type DigestRow struct {
	Destination choice.DestinationID `json:"d"`
	Kind        choice.KindNo        `json:"k,omitempty"`
	Zone        string               `json:"z"`
	Sent        uint64               `json:"s,omitempty"` // calls sent
	Done        uint64               `json:"o,omitempty"` // calls with the result choice.Done
	Failed      uint64               `json:"f,omitempty"` // calls that errored, timed out, were reset or could not connect
	Unanswered  uint64               `json:"q,omitempty"` // part of Failed: calls that timed out or could not connect
	Rejected    uint64               `json:"r,omitempty"` // calls rejected by the endpoint
	Endpoints   int                  `json:"e,omitempty"` // endpoints in the endpoint list
	Limit       float64              `json:"l,omitempty"` // calls per second of all senders, as last reported there; 0 if there is no limit
	Rating      float64              `json:"w,omitempty"` // sum of the endpoints' ratings in the endpoint list
	Waiting     int                  `json:"h,omitempty"` // messages waiting for the destination; set in only one of its rows
}

// ClientCount is the number of messages that one client host submitted for a destination since the last digest. Each
// message is counted once.
type ClientCount struct {
	Destination choice.DestinationID `json:"d"`
	Client      string               `json:"p"` // the client's host, by which the sender tells clients apart
	Messages    uint64               `json:"n"`
}

// Digest is a sender's summary of its traffic since its previous digest. A sender passes one to Cluster.ReportDigest
// twice a second, and the receiver owns it.
type Digest struct {
	Rows   []DigestRow
	Counts []ClientCount
	// Longest is the longest time to the deadline of any class and message. Messages accepted longer ago have ended.
	Longest time.Duration
}

// RoutingPlan is a routing plan that the cluster has decided. It is immutable and is read without a lock at each
// attempt.
type RoutingPlan interface {
	// Allowed reports whether message n may be sent to an endpoint of destination d in a zone. The result depends only on
	// the arguments and the plan. The call takes nanoseconds.
	Allowed(n choice.MessageID, d choice.DestinationID, zone choice.ZoneNo) bool
}

// Cluster is the cluster that a sender has joined, as the sender uses it.
type Cluster interface {
	// ReportDigest takes the sender's next digest.
	ReportDigest(Digest)
	// RoutingPlan returns the current routing plan, or nil if there is none; then every endpoint is allowed.
	RoutingPlan() RoutingPlan
	// RequestLearnedState asks for the region's learned state of a destination that this sender has evicted. The answer
	// comes through Orders.AdoptLearnedState, or never.
	RequestLearnedState(d choice.DestinationID)
}

// Match selects messages or learned state. A message must match all fields that are set; an empty field matches everything.
// At least one field must be set.
type Match struct {
	Destination *choice.DestinationID `json:"destination,omitempty"`
	Class       string                `json:"workload,omitempty"`
	Key         string                `json:"key,omitempty"`
	KeyPrefix   string                `json:"key_prefix,omitempty"`
}

// PurgeResult counts the messages or endpoints that a purge matched at one process.
type PurgeResult struct {
	NotBegun     int `json:"not_begun"` // messages that had not run: ended by the purge, and reported as failed
	MayRun       int `json:"may_run"`   // messages whose call is or was in flight: they may have run, and are not sent again
	Delivered    int `json:"delivered"` // messages that ended before the purge, as far as they are remembered
	LearnedState int `json:"learnt"`    // endpoints whose learned state was dropped
}

// Purge is an order to withdraw messages or to drop learned state.
type Purge struct {
	Seq          uint64 // sequence number in the purge ledger; a process applies purges in this order, each once
	ID           string
	LearnedState bool `json:"Learnt"` // the purge drops learned state and does not withdraw messages
	Match        Match
	// Age is the time since the purge was put in force. Messages accepted since then are not withdrawn.
	Age time.Duration
}

// LearnedEndpoint is the learned state of an endpoint at another process, and the age of that state.
type LearnedEndpoint struct {
	Endpoint     choice.EndpointID
	LearnedState choice.LearnedState
	Age          time.Duration
}

// Orders are the orders that a cluster gives to its sender. The methods may be called from any goroutine; done is called on
// the sender's loop.
type Orders interface {
	// Purge applies purges in the order given and records them on disk. A purge whose Seq was applied before is not applied
	// again, and is answered as it was the first time. applied is the highest Seq on disk.
	Purge(all []Purge, done func(applied uint64, found []PurgeResult))
	// LastAppliedSeq returns the highest Seq on disk. It may be called before the loop runs.
	LastAppliedSeq() uint64
	// Evict makes the sender drop its state of the given destinations. Destinations that are in use stay, and are passed to
	// done.
	Evict(all []choice.DestinationID, done func(retained []choice.DestinationID))
	// ListHeldState lists the destinations of which the sender holds state, for the choice of destinations to evict.
	ListHeldState(done func([]HeldState))
	// AdoptLearnedState passes learned state from other processes, for endpoints of which this sender has learned
	// nothing.
	AdoptLearnedState(learned []LearnedEndpoint)
	// GetLearnedState passes to done what this sender has learned of the given destinations, or of all destinations if
	// none is given.
	GetLearnedState(of []choice.DestinationID, done func([]LearnedEndpoint))
	// Configure puts a configuration in force in one turn, completely or not at all. done gets nil once the configuration is
	// in force; otherwise it gets the error, and the previous settings stay in force. A version older than the one in force
	// is rejected.
	Configure(c Configuration, done func(error))
}

// HeldState is the state that one sender holds of a destination.
type HeldState struct {
	Destination choice.DestinationID
	Bytes       int     // estimated size in memory
	Calls       float64 // number of answers that the learned state is based on, so the cost of learning it again
	InUse       bool    // must not be evicted: a Retry-After, an outage, a slow start, a drain, an ordered key, pending messages or busy links
}
