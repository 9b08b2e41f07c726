// Package assess turns what senders saw of places into what is known of them in common. A place is the endpoints of one
// destination in one zone; a witness is a process that reports on it.
//
// Samples of a zone's processes become one report for each place (zonal.go). Reports of all zones become the health of
// each place (judge.go), given separately for each zone that sends there, since a link may fail where the place does not.
//
// The package is pure: it has no clock and never waits, and its results don't depend on the order of a map. One witness
// alone never moves what others send, a rejected call never counts as an outage, and old reports are not believed. Ages
// are spans; nothing here knows what time it is.
package assess

import (
	"math"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// State is what is known of a place.
type State uint8

const (
	Unknown  State = iota // nobody sent there lately, or too few calls to judge by
	Healthy               // calls are answered
	Degraded              // part of the calls fail
	Failing               // nearly all calls fail
)

// String returns the state as it is printed.
func (s State) String() string { return [...]string{"unknown", "well", "weak", "bad"}[s] }

// Bounds are the tuned values. They come from the table of issue 36 (a plan in force 3 s after a failure, of which
// digests, two tiers of the tree and consensus take about 1.5 s) and were tried on the traces of this package.
type Bounds struct {
	Window         time.Duration // calls that ended within it are summed; older ones only where there are no newer
	MaxAge         time.Duration // older reports say nothing of a place's state
	IdleAge        time.Duration // how long an idle place's endpoints, limit and rating are believed
	SilenceTimeout time.Duration // calls in flight count as failed once nothing at all came back for so long
	FailingAbove   float64       // a place fails if its failed share is surely above this
	DegradedAbove  float64       // likewise for a degraded one
	Deviations     float64       // standard deviations beyond which it is not chance
	MaxNames       int           // failing witnesses listed by name in a report
}

// DefaultBounds returns the values in use.
func DefaultBounds() Bounds {
	return Bounds{Window: 1100 * time.Millisecond, MaxAge: 5 * time.Second, IdleAge: 40 * time.Second,
		SilenceTimeout: 900 * time.Millisecond, FailingAbove: 0.5, DegradedAbove: 0.15, Deviations: 1.96, MaxNames: 3}
}

// Report is what one zone's processes see of a place. Rates are calls a second over all of them; counts are those of
// the window.
type Report struct {
	healthreport.Locality
	From              view.Zone     `json:"from"`
	Kind              choice.KindNo `json:"k,omitempty"`
	Age               time.Duration `json:"age"`
	Processes         int           `json:"n"`              // of the zone, that reported anything lately
	FailingWitnesses  int           `json:"bad,omitempty"`  // most of their calls fail
	HealthyWitnesses  int           `json:"well,omitempty"` // that get answers
	ExcludedWitnesses int           `json:"sick,omitempty"` // at fault themselves: they alone see all their calls fail
	FailingNames      []view.Name   `json:"by,omitempty"`   // of some of FailingWitnesses
	Failures          float64       `json:"f,omitempty"`    // of witnesses that are not excluded; unanswered calls included
	Successes         float64       `json:"o,omitempty"`
	Sent              float64       `json:"s,omitempty"` // calls a second
	Done              float64       `json:"d1,omitempty"`
	Refused           float64       `json:"r,omitempty"`
	Limit             float64       `json:"l,omitempty"`
	Rating            float64       `json:"w,omitempty"`
	Endpoints         int           `json:"e,omitempty"`
}

// Idle reports whether no witness sent anything there.
func (r Report) Idle() bool { return r.FailingWitnesses+r.HealthyWitnesses+r.ExcludedWitnesses == 0 }

// failureLowerBound is the lower bound of Wilson's score interval for the failed share of n calls: with few calls it
// is low, and they prove nothing.
func failureLowerBound(failed, n, deviations float64) float64 { return wilson(failed, n, -deviations) }

// wilson is one bound of Wilson's score interval; a negative z gives the lower one.
func wilson(failed, n, z float64) float64 {
	if n <= 0 {
		return 0
	}
	p := failed / n
	return (p + z*z/(2*n) + z*math.Sqrt(p*(1-p)/n+z*z/(4*n*n))) / (1 + z*z/n)
}

// classify returns the state and the success share that so many failed and answered calls show.
func (b Bounds) classify(failures, successes float64) (State, float64) {
	n := failures + successes
	low := failureLowerBound(failures, n, b.Deviations)
	switch {
	case n == 0:
		return Unknown, 1
	case low > b.FailingAbove:
		return Failing, 0
	case low > b.DegradedAbove && successes == 0:
		return Degraded, assumedSuccessShare // too few calls to say that all fail
	case low > b.DegradedAbove:
		return Degraded, successes / n
	case successes > 0 && failures <= successes:
		return Healthy, 1
	}
	return Unknown, 1
}
