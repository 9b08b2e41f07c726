// Package recovery plays the outage and the return of one endpoint with a fleet of real sender processes on loopback, and
// measures the calls that reach the endpoint while it is in slow start.
//
// A Plan describes a run: the fleet, its load, how the endpoint fails, and which senders are killed near its return. Run plays
// it in real time. Five other destinations of the fleet stay healthy, so that the senders are busy as usual. The package judges
// by what the endpoint received, never by what a sender says of itself.
package recovery

import (
	"math/rand/v2"
	"time"
)

// Outage is how an endpoint behaves while it is out.
type Outage string

// The kinds of outage.
const (
	RefuseAndClose   Outage = "refuse_and_close"    // 503 with "Connection: close"
	RefuseAndHangUp  Outage = "refuse_and_hang_up"  // 503, then the connection is closed without an announcement
	Refuse           Outage = "refuse"              // 503 on a connection that stays open
	RetryAtReturn    Outage = "retry_at_return"     // 429 whose Retry-After ends when the endpoint returns
	RetryInOneSecond Outage = "retry_in_one_second" // 503 with a Retry-After of one second
	Silent           Outage = "silent"              // no answer
	Unreachable      Outage = "unreachable"         // connections are refused
	Unanswered       Outage = "unanswered"          // the connection is closed in place of an answer
	Failing          Outage = "failing"             // 500
)

// allOutages holds the kinds of outage that Draw chooses from.
var allOutages = []Outage{RefuseAndClose, RefuseAndHangUp, Refuse, RetryAtReturn, RetryInOneSecond, Silent, Unreachable, Unanswered, Failing}

// The course of a run.
const (
	warmUp         = 5 * time.Second        // before the outage
	outageTime     = 10 * time.Second       // length of the outage
	slowStartTime  = 13 * time.Second       // length of slow start after it
	settleTime     = time.Second            // from the end of slow start to the end of the run
	slowStartFrom  = 0.14                   // share of its capacity with which the endpoint returns
	restartDelay   = 600 * time.Millisecond // from the kill of a sender to its next start
	overloadFactor = 2.5                    // load that overloads the endpoint, as a multiple of its present capacity
	overloadWindow = 1500 * time.Millisecond
)

// Plan describes one run.
type Plan struct {
	Senders     int      // number of sender processes
	Rating      float64  // capacity of the endpoint after slow start, in calls a second
	Rate        float64  // messages a second that the clients hand in for the endpoint, at all senders together
	Skew        float64  // exponent of the differences in load between senders; 0 for equal loads
	RoughRating bool     // the endpoint list names a rating that is half too high
	Reports     bool     // answers carry a load report
	UsedUp      bool     // the reports of the outage say that a rate limit is used up
	Probing     bool     // senders may send health probes
	Outages     []Outage // how the endpoint fails: one after the other, for equal parts of the outage
	// KilledShare is the share of senders that are killed once; their state folders are kept. The kills are drawn over
	// KillSpread from KillBefore before the return on, which is after the return if KillBefore is negative.
	KilledShare float64
	KillBefore  time.Duration
	KillSpread  time.Duration
	Seed        uint64
}

// Draw returns a plan drawn from a seed.
func Draw(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, 72))
	between := func(low, high float64) float64 { return low + (high-low)*random.Float64() }
	chance := func(share float64) bool { return random.Float64() < share }
	plan := Plan{
		Senders: []int{3, 12, 24, 36, 48, 48, 60}[random.IntN(7)],
		Rating:  []float64{4, 8, 8, 16, 20}[random.IntN(5)],
		Rate:    between(8, 45), Seed: seed,
		RoughRating: chance(0.3), Reports: chance(0.3), UsedUp: chance(0.5), Probing: chance(0.2),
		Outages: []Outage{allOutages[random.IntN(len(allOutages))]},
	}
	if chance(0.3) {
		plan.Skew = 0.6
	}
	if chance(0.25) {
		plan.Outages = append(plan.Outages, allOutages[random.IntN(len(allOutages))])
	}
	if chance(0.8) {
		plan.KilledShare = []float64{0.33, 0.7, 1}[random.IntN(3)]
		plan.KillBefore = time.Duration(between(-2, 6) * float64(time.Second))
		plan.KillSpread = time.Duration(between(0.1, 1) * float64(time.Second))
	}
	return plan
}
