// Package withdrawal decides what becomes of one message, or of one endpoint's learnt figures, when a purge comes by.
//
// It owns which messages a purge names, whether a message was there before the purge, and how each state of a message
// ends under it. The sender asks it message by message and does what it says; the model of a fleet that spreads purges
// (internal/cluster/purge/spread) asks the same code, so that its drawn runs are about what a sender really does. It
// must never know how messages are kept, sent or answered, and knows no clock.
package withdrawal

import (
	"strings"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/sender/together"
)

// Order is a purge as one process applies it: what was taken on after Cut is not touched.
type Order struct {
	together.Purge
	Cut choice.Time
}

// Since works out the cut from the time at which a purge came and its age.
//
// An age is a lower bound of the true one (time on the way is not in it), and spans are rounded towards a later cut. So
// all that was there at the commit is hit; what came while the purge was on its way may be hit too.
func Since(p together.Purge, at choice.Time) Order {
	age := max(0, p.Age)
	return Order{Purge: p, Cut: at - config.Down(age.Nanoseconds())}
}

// Takes tells whether an order means a message of these that was taken on at a time, on the clock of the cut; 0 stands
// for long ago. Keys are compared as the program writes them, not as the numbers that they stand for.
func (o *Order) Takes(d choice.DestinationID, class, key string, takenAt choice.Time) bool {
	return !o.LearnedState && takenAt <= o.Cut && names(&o.Match, d, class, key)
}

// names tells whether a match names a message of these. Fields that are set must all agree. An empty match names nothing:
// withdrawing everything by an empty form would be a slip, and no ledger takes one.
func names(m *together.Match, d choice.DestinationID, class, key string) bool {
	if *m == (together.Match{}) {
		return false
	}
	return (m.Destination == nil || *m.Destination == d) &&
		(m.Class == "" || m.Class == class) &&
		(m.Key == "" || m.Key == key) &&
		strings.HasPrefix(key, m.KeyPrefix)
}

// Forgets tells whether what was learnt of a destination is void. What is learnt hangs on endpoints alone, so an order
// that also names a class or a key forgets nothing.
func (o *Order) Forgets(d choice.DestinationID) bool {
	m := &o.Match
	return o.LearnedState && m.Destination != nil && *m.Destination == d && m.Class == "" && m.Key == "" && m.KeyPrefix == ""
}

// State is how a message stands at its sender.
type State uint8

const (
	Waiting   State = iota // no call of it can have run: never sent, or every call was surely refused
	Out                    // a call is out
	MayRun                 // no call is out, but one of this life or an earlier one may have run
	Delivered              // ended with its delivery
	Ended                  // ended otherwise, before the purge came
	Withdrawn              // ended by an earlier purge: counted there
	Refused                // told so at once: it was never taken on, and nothing is known of it
)

// Fate is what becomes of it.
type Fate uint8

const (
	Untouched Fate = iota
	End            // now, with its one final answer: withdrawn, never begun
	Hold           // its call stays out and is the last (see Ends); reported as may-have-run
	Close          // now, with its one final answer: may have run; not sent again
	Report         // nothing to do: it was over
)

// Fate is what becomes of a message that an order takes.
func (s State) Fate() Fate {
	switch s {
	case Waiting:
		return End
	case Out:
		return Hold
	case MayRun:
		return Close
	case Delivered, Ended:
		return Report
	}
	return Untouched
}

// Add counts a fate where it belongs. A message is withdrawn once: a purge that overlaps finds it Withdrawn.
func (f Fate) Add(found *together.Found) {
	switch f {
	case End:
		found.NotBegun++
	case Hold, Close:
		found.MayRun++
	case Report:
		found.Delivered++
	}
}

// Back is how a message that was put on Hold ends once its last call is back.
type Back uint8

const (
	AsAnswered  Back = iota // delivered, or its endpoint wants it no more
	AsWithdrawn             // the call surely did not run
	AsMayRun
)

// Ends tells how a held message ends. earlier tells that a call before this one may have run too: then a refusal of
// the last proves nothing.
func Ends(last choice.Outcome, earlier bool) Back {
	if last.Final {
		return AsAnswered
	}
	switch last.Result {
	case choice.Full, choice.ConnectFailed, choice.Moot:
		if !earlier {
			return AsWithdrawn
		}
	}
	return AsMayRun
}
