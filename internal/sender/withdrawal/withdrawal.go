// Package withdrawal decides the effect of a purge on one message, or on the learned state of one destination.
//
// It decides which messages a purge matches, whether a message was accepted before the purge, and how a message ends under
// the purge, depending on its state. The sender calls it for each message and carries out the decision. The model of a fleet
// that spreads purges (internal/cluster/purge/spread) calls the same code, so that its random runs test the decisions of a
// real sender. The package uses no clock, and does not depend on how messages are stored, sent or answered.
package withdrawal

import (
	"strings"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/sender/clusterapi"
)

// Order is a purge as one process applies it. Messages accepted after Cut are not withdrawn.
type Order struct {
	clusterapi.Purge
	Cut choice.Time
}

// NewOrder returns the order for a purge. at is the time at which the purge arrived; Cut is that time less the purge's age.
//
// The age is a lower bound of the time since the purge was committed, because it does not include the time for its transfer,
// and the cut is rounded up. So every message accepted before the commit is matched, and a message accepted during the
// transfer may be matched too.
func NewOrder(p clusterapi.Purge, at choice.Time) Order {
	age := max(0, p.Age)
	return Order{Purge: p, Cut: at - config.RoundDown(age.Nanoseconds())}
}

// Matches reports whether the order matches a message with these properties. acceptedAt is on the same clock as Cut; 0 means
// that the time is unknown and counts as before the cut. Keys are compared as the text that the client wrote, not as parsed
// numbers.
func (o *Order) Matches(d choice.DestinationID, class, key string, acceptedAt choice.Time) bool {
	return !o.LearnedState && acceptedAt <= o.Cut && matches(&o.Match, d, class, key)
}

// matches reports whether m matches a message with these properties. All fields that are set must agree. An empty match
// matches nothing, because withdrawing everything by an empty form would be a mistake; the ledger rejects an empty match.
func matches(m *clusterapi.Match, d choice.DestinationID, class, key string) bool {
	if *m == (clusterapi.Match{}) {
		return false
	}
	return (m.Destination == nil || *m.Destination == d) &&
		(m.Class == "" || m.Class == class) &&
		(m.Key == "" || m.Key == key) &&
		strings.HasPrefix(key, m.KeyPrefix)
}

// DropsLearned reports whether the order drops the learned state of a destination. Learned state depends on endpoints alone,
// so an order that also names a class or a key drops nothing.
func (o *Order) DropsLearned(d choice.DestinationID) bool {
	m := &o.Match
	return o.LearnedState && m.Destination != nil && *m.Destination == d && m.Class == "" && m.Key == "" && m.KeyPrefix == ""
}

// State is the state of a message at its sender.
type State uint8

const (
	Waiting   State = iota // no call can have run: none was sent, or each was certainly rejected
	InFlight               // a call is in flight
	MayRun                 // no call is in flight, but a call of this process or an earlier one may have run
	Delivered              // ended with its delivery
	Ended                  // ended in another way before the purge arrived
	Withdrawn              // withdrawn by an earlier purge, which has counted it
	Rejected               // rejected at once in the answer to its client, so never accepted
)

// Fate is the effect of a purge on a message.
type Fate uint8

const (
	Untouched     Fate = iota // no effect, and not counted
	EndNotRun                 // the message ends now with its one final answer; it has not run
	AwaitCallEnd              // the call in flight is the last one, and the message ends with it (see EndOfHeld); it may have run
	EndMayHaveRun             // the message ends now with its one final answer and is not sent again; it may have run
	AlreadyEnded              // the message had ended before the purge; it is only counted
)

// Fate returns the effect of a purge on a message in state s that the purge's order matches.
func (s State) Fate() Fate {
	switch s {
	case Waiting:
		return EndNotRun
	case InFlight:
		return AwaitCallEnd
	case MayRun:
		return EndMayHaveRun
	case Delivered, Ended:
		return AlreadyEnded
	}
	return Untouched
}

// Add counts a message with this fate in found. A message is counted as withdrawn only once, because a second purge that
// matches it finds it in the state Withdrawn.
func (f Fate) Add(found *clusterapi.PurgeResult) {
	switch f {
	case EndNotRun:
		found.NotBegun++
	case AwaitCallEnd, EndMayHaveRun:
		found.MayRun++
	case AlreadyEnded:
		found.Delivered++
	}
}

// HeldEnd says how a message with the fate AwaitCallEnd ends after its last call has ended.
type HeldEnd uint8

const (
	AsAnswered  HeldEnd = iota // as the final answer says: delivered, or no longer wanted by its endpoint
	AsWithdrawn                // withdrawn: no call has run
	AsMayRun                   // withdrawn, but a call may have run
)

// EndOfHeld returns how a message with the fate AwaitCallEnd ends. last is the outcome of its last call. earlierMayRun
// says that an earlier call may have run; then a rejection of the last call does not prove that the message has not
// run.
func EndOfHeld(last choice.Outcome, earlierMayRun bool) HeldEnd {
	if last.Final {
		return AsAnswered
	}
	switch last.Result {
	case choice.Rejected, choice.ConnectFailed, choice.NotRun:
		if !earlierMayRun {
			return AsWithdrawn
		}
	}
	return AsMayRun
}
