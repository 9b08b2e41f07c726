package plan

import "time"

// Settings are the tuned values. Hold, the returns and MinShareChange are from the table of issue 36 (back 15 s after a
// zone is healthy, three changes in a minute of a flapping link, a plan in force after 3 s) and were tried on the traces
// of this package; SlowStartFrom, SlowStart and FallMultiple are the service's, as package choice has them.
type Settings struct {
	Hold                  time.Duration // how long a plan stays in force without renewal
	Steps                 []float64     // of a return: the share that goes near
	StepDuration          time.Duration // of each step at least, all of it without failure
	MinReturnDelay        time.Duration // the shortest delay of a return, and between two diversions of a route
	MaxOutageDelay        time.Duration // the longest delay due to one outage; only repeated diversions make it longer
	MaxReturnDelay        time.Duration
	OutageFraction        float64       // of the outage's length: how long near must be healthy before a return
	DiversionMemory       time.Duration // how long a diversion doubles the delay of later returns
	UnseenReturnAfter     time.Duration // a return that is due is tried without evidence if none came for so long
	TrialRate             float64       // calls a second of one zone that keep trying near while it is failing
	MinTrialShare         float64       // of the zone's calls
	MaxTrialShare         float64       // likewise, where few calls are made
	MinShareChange        float64       // shares that differ by less are not worth a plan
	MinPlanInterval       time.Duration // between two plans
	MinSharesOnlyInterval time.Duration // before a plan that only changes shares: no phase, no step, no receiver that fails
	CapacityFraction      float64       // of a place's capacity: how far it is filled
	ObservedMultiple      float64       // capacity of a place that rejected nothing, in multiples of the best rate seen
	RatingIsRate          bool          // the list's ratings are calls a second
	SlowStartFrom         float64       // slow start: the fraction of its capacity that an endpoint has at first
	SlowStart             time.Duration // slow start: until it has all of it
	OverloadMultiple      float64       // multiple of its capacity that makes an endpoint fail
}

// DefaultSettings returns the values in use; those of the service (slow start, FallMultiple, RatingIsRate) are for the caller to
// set.
func DefaultSettings() Settings {
	return Settings{Hold: 10 * time.Second, Steps: []float64{0.05, 0.15, 0.4, 1}, StepDuration: 1500 * time.Millisecond,
		MinReturnDelay: 3 * time.Second, MaxOutageDelay: 6 * time.Second, MaxReturnDelay: time.Minute, OutageFraction: 0.25,
		DiversionMemory: 2 * time.Minute, UnseenReturnAfter: 12 * time.Second, TrialRate: 2, MinTrialShare: 0.01, MaxTrialShare: 0.05,
		MinShareChange: 0.1, MinPlanInterval: time.Second, MinSharesOnlyInterval: 4 * time.Second,
		CapacityFraction: 0.95, ObservedMultiple: 2, SlowStartFrom: 0.2, SlowStart: 10 * time.Second, OverloadMultiple: 2}
}
