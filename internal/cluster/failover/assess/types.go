// Package assess derives the health of localities from the health samples of all senders. A locality is the endpoints
// of one destination in one zone; a witness is a process that reports on it.
//
// SummarizeZone combines the samples of one zone's processes into one report for each locality (zonal.go). ReportTable
// stores the newest reports of all zones (report_board.go). CombineReports combines them into the health of each
// locality, both overall and as seen from each zone that sends there, since a link between zones may fail while the
// locality works (judge.go).
//
// The package is pure: it reads no clock, never blocks, and its results don't depend on the iteration order of a map.
// Times are passed in, and ages are durations. The following always holds:
//
//   - A single witness never changes where other processes send.
//   - A rejected call never counts as an outage, since a rejection is an answer.
//   - Reports that are too old are ignored.
package assess

import (
	"math"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// State is the health of a locality.
type State uint8

const (
	Unknown  State = iota // no recent calls, or too few of them to tell
	Healthy               // calls are answered
	Degraded              // some calls fail
	Failing               // nearly all calls fail
)

// String returns the name of the state in lower case.
func (s State) String() string { return [...]string{"unknown", "healthy", "degraded", "failing"}[s] }

// Bounds are the thresholds of the assessment. They are chosen so that a plan is in force 3 s after a failure; of this
// time digests, two tiers of the tree and consensus take about 1.5 s.
type Bounds struct {
	Window            time.Duration // samples up to this age are summed; if a witness has only older ones, its newest counts
	MaxAge            time.Duration // older reports are ignored when the state is determined
	IdleMaxAge        time.Duration // endpoints, limit and rating are used up to this age; long, as idle localities are seldom reported
	UnansweredTimeout time.Duration // calls in flight count as failed once no call was answered for this long
	FailingAbove      float64       // a locality is failing if the lower confidence bound of its failed share is above this
	DegradedAbove     float64       // the same for degraded
	ZScore            float64       // number of standard deviations from the failed share to its lower confidence bound
	MaxNames          int           // maximum number of names in Report.FailingNames
}

// DefaultBounds returns the bounds used in production.
func DefaultBounds() Bounds {
	return Bounds{Window: 1100 * time.Millisecond, MaxAge: 5 * time.Second, IdleMaxAge: 40 * time.Second,
		UnansweredTimeout: 900 * time.Millisecond, FailingAbove: 0.5, DegradedAbove: 0.15, ZScore: 1.96, MaxNames: 3}
}

// Report is what the processes of one zone, the witnesses, observe of a locality. Age is that of the newest sample in
// it. Failures and Successes are numbers of calls within Bounds.Window; Sent, Done and Rejected are rates in calls per
// second. All five are sums over the witnesses that are not excluded.
type Report struct {
	healthreport.Locality
	From              view.Zone     `json:"from"` // zone of the witnesses
	Kind              choice.KindNo `json:"k,omitempty"`
	Age               time.Duration `json:"age"`
	Processes         int           `json:"n"`              // processes of zone From that recently reported on any locality
	FailingWitnesses  int           `json:"bad,omitempty"`  // witnesses most of whose calls fail
	HealthyWitnesses  int           `json:"well,omitempty"` // witnesses whose calls are answered
	ExcludedWitnesses int           `json:"sick,omitempty"` // witnesses at fault themselves; see SummarizeZone
	FailingNames      []view.Name   `json:"by,omitempty"`   // names of the first Bounds.MaxNames of FailingWitnesses
	Failures          float64       `json:"f,omitempty"`    // includes unanswered calls
	Successes         float64       `json:"o,omitempty"`    // includes rejected calls
	Sent              float64       `json:"s,omitempty"`
	Done              float64       `json:"d1,omitempty"`
	Rejected          float64       `json:"r,omitempty"`
	Limit             float64       `json:"l,omitempty"` // calls per second from all senders; 0 if none is known
	Rating            float64       `json:"w,omitempty"` // sum of the endpoints' ratings
	Endpoints         int           `json:"e,omitempty"`
}

// Idle reports whether no witness sent calls to the locality.
func (r Report) Idle() bool { return r.FailingWitnesses+r.HealthyWitnesses+r.ExcludedWitnesses == 0 }

// failureLowerBound returns the lower bound of the Wilson score interval for the failed share of n calls. It is low if
// n is small, so that a few failed calls prove nothing.
func failureLowerBound(failed, n, z float64) float64 { return wilson(failed, n, -z) }

// wilson returns one bound of the Wilson score interval for a share of failed among n calls: the lower bound if z is
// negative, the upper one otherwise.
func wilson(failed, n, z float64) float64 {
	if n <= 0 {
		return 0
	}
	p := failed / n
	return (p + z*z/(2*n) + z*math.Sqrt(p*(1-p)/n+z*z/(4*n*n))) / (1 + z*z/n)
}

// classify returns the state and the success share that follow from the numbers of failed and answered calls.
func (b Bounds) classify(failures, successes float64) (State, float64) {
	n := failures + successes
	low := failureLowerBound(failures, n, b.ZScore)
	switch {
	case n == 0:
		return Unknown, 1
	case low > b.FailingAbove:
		return Failing, 0
	case low > b.DegradedAbove && successes == 0:
		return Degraded, assumedSuccessShare // too few calls to conclude that all fail
	case low > b.DegradedAbove:
		return Degraded, successes / n
	case successes > 0 && failures <= successes:
		return Healthy, 1
	}
	return Unknown, 1
}
