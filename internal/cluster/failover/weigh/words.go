// Package weigh turns what senders saw of places into what is known of them in common.
//
// It owns the judgement: a zone's sightings become one report a place (zonal.go), reports of all zones become one
// standing a place (judge.go), told for each zone that looks at it, since a link may be ill where a place is not.
// Pure: no clock, no wait, no order of a map in what it tells. It must never let one witness move what others send,
// take a refusal for an outage, or trust what is old. Ages are spans; none of it knows what time it is.
package weigh

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
	Unknown State = iota // nobody sent there lately, or too few to tell
	Well
	Weak // part of what it could do
	Bad
)

func (s State) String() string { return [...]string{"unknown", "well", "weak", "bad"}[s] }

// Bounds are the tuned values. Source of all: the table of issue 36 (a plan in force 3 s after a fall, of which
// digests, two tiers of the tree and the council take about 1.5 s), tried on the traces of this package.
type Bounds struct {
	Window   time.Duration // what ended in it is summed; older only where nothing is younger
	MaxAge   time.Duration // what is older is not known
	IdleAge  time.Duration // how long an idle place's endpoints, limit and rating are believed
	Silence  time.Duration // calls out count as failed once so long nothing at all came back
	BadFrom  float64       // share failed that is surely exceeded at a bad place
	WeakFrom float64       // likewise at a weak one
	Luck     float64       // deviations beyond which it is not luck
	Named    int           // witnesses told by name
}

// Usual are the values in use.
func Usual() Bounds {
	return Bounds{Window: 1100 * time.Millisecond, MaxAge: 5 * time.Second, IdleAge: 40 * time.Second,
		Silence: 900 * time.Millisecond, BadFrom: 0.5, WeakFrom: 0.15, Luck: 1.96, Named: 3}
}

// Report is what one zone's processes see of a place. Rates are calls a second over all of them, counts are those of
// the window.
type Report struct {
	healthreport.Locality
	From      view.Zone     `json:"from"`
	Kind      choice.KindNo `json:"k,omitempty"`
	Age       time.Duration `json:"age"`
	Processes int           `json:"n"`              // of the zone, that told of anything lately
	Bad       int           `json:"bad,omitempty"`  // witnesses: most of their calls fail
	Well      int           `json:"well,omitempty"` // witnesses that were answered
	Sick      int           `json:"sick,omitempty"` // left out: they alone see all they try fail
	By        []view.Name   `json:"by,omitempty"`   // some of Bad, by name
	Failures  float64       `json:"f,omitempty"`    // of witnesses that count; silence included
	Successes float64       `json:"o,omitempty"`
	Sent      float64       `json:"s,omitempty"` // calls a second
	Done      float64       `json:"d1,omitempty"`
	Refused   float64       `json:"r,omitempty"`
	Limit     float64       `json:"l,omitempty"`
	Rating    float64       `json:"w,omitempty"`
	Endpoints int           `json:"e,omitempty"`
}

// Idle tells that nothing was sent there.
func (r Report) Idle() bool { return r.Bad+r.Well+r.Sick == 0 }

// least bounds the share failed of n calls from below by Wilson's interval of a binomial share: with few calls it is
// low, and nothing is told.
func least(failed, n, deviations float64) float64 { return wilson(failed, n, -deviations) }

func wilson(failed, n, z float64) float64 {
	if n <= 0 {
		return 0
	}
	p := failed / n
	return (p + z*z/(2*n) + z*math.Sqrt(p*(1-p)/n+z*z/(4*n*n))) / (1 + z*z/n)
}

func (b Bounds) state(failures, successes float64) (State, float64) {
	n := failures + successes
	low := least(failures, n, b.Luck)
	switch {
	case n == 0:
		return Unknown, 1
	case low > b.BadFrom:
		return Bad, 0
	case low > b.WeakFrom && successes == 0:
		return Weak, half // too few to say that all fail
	case low > b.WeakFrom:
		return Weak, successes / n
	case successes > 0 && failures <= successes:
		return Well, 1
	}
	return Unknown, 1
}
