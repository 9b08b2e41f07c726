// Package effect decides what becomes of one notice, or of one endpoint's learnt figures, when a purge comes by.
//
// It owns which notices a purge names, whether a notice was there before the purge, and how each state of a notice
// ends under it. It must never know how notices are kept, sent or answered: a sender asks it notice by notice and
// does what it says. Pure; it imports nothing of the cluster.
package effect

import (
	"strings"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/sender/together"
)

// Matches tells whether a match names a notice of these. Fields that are set must all agree. An empty match names
// nothing: withdrawing everything by an empty form would be a slip, and no ledger takes one.
func Matches(m together.Match, d choice.DestinationID, workload, key string) bool {
	if m.Destination == nil && m.Workload == "" && m.Key == "" && m.KeyPrefix == "" {
		return false
	}
	return (m.Destination == nil || *m.Destination == d) &&
		(m.Workload == "" || m.Workload == workload) &&
		(m.Key == "" || m.Key == key) &&
		(m.KeyPrefix == "" || strings.HasPrefix(key, m.KeyPrefix))
}

// Forgets tells whether a purge of what was learnt voids an endpoint of this destination. What is learnt hangs on
// endpoints alone, so a match that also names a workload or a key forgets nothing.
func Forgets(m together.Match, d choice.DestinationID) bool {
	return m.Destination != nil && *m.Destination == d && m.Workload == "" && m.Key == "" && m.KeyPrefix == ""
}

// Before tells whether a notice was taken on before a purge of this age was committed. held is for how long the
// sender has had it and must never be under the truth: for one of an earlier life it is the time since this life
// began and the wall's difference over the gap, or any longer span where the wall went back.
//
// An age is a lower bound of the true one (time on the way is not in it). So all that was there at the commit is hit;
// what came while the purge was on its way may be hit too.
func Before(held, age time.Duration) bool { return held >= max(age, 0) }

// State is how a notice stands at its sender.
type State uint8

const (
	Waiting   State = iota // no call of it can have run: never sent, or every call was surely refused
	Out                    // a call is out
	MayRun                 // no call is out, but one of this life or an earlier one may have run
	Delivered              // ended with its delivery
	Ended                  // ended otherwise, before the purge came
	Withdrawn              // ended by an earlier purge: counted there
)

// Fate is what becomes of it.
type Fate uint8

const (
	Untouched Fate = iota
	End            // now, with its one final answer: withdrawn, never begun
	Hold           // its call stays out and is the last (see Back); reported as may-have-run
	Close          // now, with its one final answer: may have run; not sent again
	Report         // nothing to do: it was over
)

// Of is the fate of a matching notice. before is what Before told.
func Of(s State, before bool) Fate {
	if !before {
		return Untouched
	}
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

// Add counts a fate where it belongs. A notice is withdrawn once: a purge that overlaps finds it Withdrawn.
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

// Back is how a notice that was put on Hold ends once its last call is back.
type Back uint8

const (
	AsDelivered Back = iota
	AsWithdrawn      // the call surely did not run
	AsMayRun
)

// Ends tells how a held notice ends. earlier tells that a call before this one may have run too: then a refusal of
// the last proves nothing.
func Ends(r choice.Result, earlier bool) Back {
	switch r {
	case choice.Done:
		return AsDelivered
	case choice.Full, choice.ConnectFailed, choice.Moot:
		if !earlier {
			return AsWithdrawn
		}
	}
	return AsMayRun
}
