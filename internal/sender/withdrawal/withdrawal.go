// Package withdrawal decides what becomes of one message, or of the learned state of one endpoint, under a purge.
//
// It owns which messages a purge names, whether a message was there before the purge, and how each state of a message
// ends under it. The sender asks it message by message and does what it says; the model of a fleet that spreads purges
// (internal/cluster/purge/spread) asks the same code, so that its random runs are about what a sender really does. It
// knows no clock, and nothing of how messages are stored, sent or answered.
package withdrawal

import (
	"strings"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/sender/clusterapi"
)

// Order is a purge as one process applies it: what was accepted after Cut is not touched.
type Order struct {
	clusterapi.Purge
	Cut choice.Time
}

// Since computes the cut from the time at which a purge came and its age.
//
// An age is a lower bound of the true one (the time on the way is not in it), and it is rounded towards a later cut. So all
// that was there at the commit is matched; what came while the purge was on its way may be matched too.
func Since(p clusterapi.Purge, at choice.Time) Order {
	age := max(0, p.Age)
	return Order{Purge: p, Cut: at - config.RoundDown(age.Nanoseconds())}
}

// Matches reports whether an order matches a message with these properties that was accepted at a time, on the clock of the
// cut; 0 stands for long ago. Keys are compared as the client writes them, not as the numbers that they stand for.
func (o *Order) Matches(d choice.DestinationID, class, key string, acceptedAt choice.Time) bool {
	return !o.LearnedState && acceptedAt <= o.Cut && matches(&o.Match, d, class, key)
}

// matches reports whether a match names a message with these properties. Fields that are set must all agree. An empty
// match names nothing: withdrawing everything by an empty form would be a mistake, and no ledger takes one.
func matches(m *clusterapi.Match, d choice.DestinationID, class, key string) bool {
	if *m == (clusterapi.Match{}) {
		return false
	}
	return (m.Destination == nil || *m.Destination == d) &&
		(m.Class == "" || m.Class == class) &&
		(m.Key == "" || m.Key == key) &&
		strings.HasPrefix(key, m.KeyPrefix)
}

// DropsLearned reports whether the learned state of a destination is to be dropped. Learned state depends on endpoints alone, so
// an order that also names a class or a key drops nothing.
func (o *Order) DropsLearned(d choice.DestinationID) bool {
	m := &o.Match
	return o.LearnedState && m.Destination != nil && *m.Destination == d && m.Class == "" && m.Key == "" && m.KeyPrefix == ""
}

// State is the state of a message at its sender.
type State uint8

const (
	Waiting   State = iota // no call of it can have run: never sent, or every call was certainly rejected
	InFlight               // a call is in flight
	MayRun                 // no call is in flight, but one of this process or an earlier one may have run
	Delivered              // ended with its delivery
	Ended                  // ended otherwise, before the purge came
	Withdrawn              // ended by an earlier purge: counted there
	Rejected               // answered so at once: it was never accepted, and nothing is known of it
)

// Fate is what becomes of a message under a purge.
type Fate uint8

const (
	Untouched Fate = iota
	End            // now, with its one final answer: withdrawn, never begun
	Hold           // its call stays in flight and is the last (see Ends); reported as may-have-run
	Close          // now, with its one final answer: may have run; not sent again
	Report         // nothing to do: it had ended
)

// Fate returns what becomes of a message that an order matches.
func (s State) Fate() Fate {
	switch s {
	case Waiting:
		return End
	case InFlight:
		return Hold
	case MayRun:
		return Close
	case Delivered, Ended:
		return Report
	}
	return Untouched
}

// Add counts a fate in what a purge found. A message is withdrawn once: a second purge that matches it finds it Withdrawn.
func (f Fate) Add(found *clusterapi.Found) {
	switch f {
	case End:
		found.NotBegun++
	case Hold, Close:
		found.MayRun++
	case Report:
		found.Delivered++
	}
}

// CallEnd is how a message with the fate Hold ends once its last call has ended.
type CallEnd uint8

const (
	AsAnswered  CallEnd = iota // delivered, or its endpoint wants it no more
	AsWithdrawn                // the call has certainly not run
	AsMayRun                   // it may have run
)

// Ends returns how a message with the fate Hold ends. earlierMayRun says that a call before the last one may have run too:
// then a rejection of the last one proves nothing.
func Ends(last choice.Outcome, earlierMayRun bool) CallEnd {
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
