package plan

import "time"

// Settings configure a Planner. PlanTTL, the return delays and MinShareChange are chosen for these targets: traffic is
// back 15 s after a zone is healthy again, a flapping link changes routes at most three times a minute, and a plan is
// in force 3 s after a failure. SlowStartFrom, SlowStart and OverloadMultiple describe the endpoints, as in package
// choice.
type Settings struct {
	PlanTTL               time.Duration // TTL of a plan: how long it stays in force without renewal
	Steps                 []float64     // near share of each step of a return, ascending; the last is 1
	StepDuration          time.Duration // minimum duration of a step; the next step requires that near does not fail meanwhile
	MinReturnDelay        time.Duration // minimum return delay, and minimum time between two diversions of a route
	MaxOutageDelay        time.Duration // maximum return delay after one diversion; repeated diversions can exceed it
	MaxReturnDelay        time.Duration // maximum return delay
	OutageFraction        float64       // return delay as a fraction of the outage's duration, within the limits above
	DiversionWindow       time.Duration // how long a diversion counts for doubling the return delay
	UnobservedReturnAfter time.Duration // without any observation of near for this long, a return starts or continues anyway
	TrialRate             float64       // calls per second from one zone that go near while near is failing
	MinTrialShare         float64       // minimum share of a zone's calls that go near while near is failing
	MaxTrialShare         float64       // maximum of that share, reached if the zone makes few calls
	MinShareChange        float64       // a smaller change of a near share does not change a route
	MinPlanInterval       time.Duration // minimum time between two plans
	MinSharesOnlyInterval time.Duration // the same if only shares change: no phase, no step, and no receiver that fails
	CapacityFraction      float64       // fraction of a locality's capacity up to which plans fill it
	ObservedMultiple      float64       // assumed capacity of a locality without limit or rate, as a multiple of its best observed rate
	RatingIsRate          bool          // ratings in the endpoint list are calls per second
	SlowStartFrom         float64       // fraction of its capacity that an endpoint has at the beginning of its slow start
	SlowStart             time.Duration // duration of slow start; 0 for none
	OverloadMultiple      float64       // multiple of its capacity at which an endpoint fails
}

// DefaultSettings returns the settings used in production, except RatingIsRate, SlowStart, SlowStartFrom and
// OverloadMultiple, which depend on the service and are set by the caller.
func DefaultSettings() Settings {
	return Settings{PlanTTL: 10 * time.Second, Steps: []float64{0.05, 0.15, 0.4, 1}, StepDuration: 1500 * time.Millisecond,
		MinReturnDelay: 3 * time.Second, MaxOutageDelay: 6 * time.Second, MaxReturnDelay: time.Minute, OutageFraction: 0.25,
		DiversionWindow: 2 * time.Minute, UnobservedReturnAfter: 12 * time.Second, TrialRate: 2, MinTrialShare: 0.01, MaxTrialShare: 0.05,
		MinShareChange: 0.1, MinPlanInterval: time.Second, MinSharesOnlyInterval: 4 * time.Second,
		CapacityFraction: 0.95, ObservedMultiple: 2, SlowStartFrom: 0.2, SlowStart: 10 * time.Second, OverloadMultiple: 2}
}
