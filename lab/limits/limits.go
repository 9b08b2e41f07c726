// Package limits measures how senders handle rejected calls: noise, which is independent of the load, and rate limits that
// many senders share and that are not announced.
//
// It runs the points of two grids in simulated time and computes their figures from the verdict and from the outcomes of the
// calls. The figures of a point depend only on its parameters and the seed.
package limits

import (
	"fmt"
	"math"

	"flaxcove/choice"
	"flaxcove/lab/referee"
	"flaxcove/lab/sim"
	"flaxcove/lab/world"
)

// Mode is a kind of noise: the way in which calls fail independently of the load.
type Mode string

// The kinds of noise.
const (
	Chance     Mode = "chance"      // each call is rejected at random with the same probability
	Bursts     Mode = "bursts"      // all calls are rejected during a share of each three seconds
	Errors     Mode = "errors"      // calls fail at random with the same probability
	Resets     Mode = "resets"      // reused connections are reset
	BadMachine Mode = "bad machine" // one endpoint of four rejects calls; the other three work
)

// Modes lists all kinds of noise.
var Modes = []Mode{Chance, Bursts, Errors, Resets, BadMachine}

// NoisePoint is one run with noise: one sender, and one destination with capacity for four times the load.
type NoisePoint struct {
	Mode  Mode    `json:"mode"`
	Rate  float64 `json:"rate"`  // messages per second that clients submit
	Share float64 `json:"share"` // share of calls that fail because of the noise, over all endpoints

	Asked         int     `json:"asked"`        // messages requested
	Delivered     float64 `json:"delivered"`    // share of the messages requested that were delivered
	InTime        float64 `json:"in_time"`      // share of the messages requested that were delivered within the latency objective
	IdealRatio    float64 `json:"of_ideal"`     // Delivered / (1 - Share), at most 1: the ideal sends each message once
	Calls         float64 `json:"calls"`        // calls per message requested
	MaxCalls      float64 `json:"calls_most"`   // 1.1 / (1 - Share), the most calls per message requested that pass
	NonIdempotent float64 `json:"single"`       // share of the non-idempotent messages that were delivered
	BrokenRules   int     `json:"broken_rules"` // number of violations of any rule
}

// Passed reports whether a point meets the requirements: no rule is broken, there are at most MaxCalls calls, and with noise
// up to 6% the IdealRatio is at least 0.9.
func (p *NoisePoint) Passed() bool {
	return p.BrokenRules == 0 && p.Calls <= p.MaxCalls && (p.Share > 0.06 || p.IdealRatio >= 0.9)
}

// Options are the inputs of both grids.
type Options struct {
	Seed    uint64
	Seconds float64       // simulated duration of a run
	Policy  sim.NewPolicy // nil for the project's own decisions
}

// baseSpec returns the part of the scenario that all points of both grids share.
func baseSpec(name string, seconds float64) world.Spec {
	s := world.DefaultSpec()
	s.Name, s.Seconds = name, seconds
	s.Prices = world.Prices{}
	s.Classes = []world.Class{
		{Name: "status", Repeat: world.Idempotent, Share: 1, LatencyObjectiveMS: 1000, DeadlineMS: 6000, Value: 1, LateValue: 0.1},
		{Name: "order", Repeat: world.NonIdempotent, Share: 1, LatencyObjectiveMS: 2000, DeadlineMS: 8000, Value: 2, LateValue: 0.5}}
	s.Clients.Retries = 0 // clients do not submit a shed message again
	return s
}

// NoiseSpec returns the scenario of one point of the noise grid.
func NoiseSpec(mode Mode, rate, share, seconds float64) (*world.Spec, error) {
	s := baseSpec(fmt.Sprintf("%s %g at %g", mode, share, rate), seconds)
	s.Senders = 1
	s.Load.Rate = rate
	s.Sender.InFlightLimit = max(8, int(rate/10))
	s.Sender.MaxOpen = max(64, int(8*rate))
	s.Partners = []world.PartnerKind{{Name: "noisy", Count: 1, Endpoints: world.Pair{1, 1}, MeanMS: world.Pair{20, 20}, Sigma: 0.5,
		Headroom: world.Pair{4, 4}, LeastRate: 100, Queue: 4, SlowStartS: 8, SlowStartFrom: 0.2, IdleS: 10}}
	fault := world.Fault{Seconds: seconds, Amount: share}
	switch mode {
	case Chance:
		fault.Kind = "refusing"
	case Bursts:
		fault.Kind, fault.Every = "refusing_bursts", 3
	case Errors:
		fault.Kind = "failing"
	case Resets:
		fault.Kind = "resets"
	case BadMachine:
		// The fault affects one endpoint of four, so with equal load on all endpoints the share of all calls is right.
		fault.Kind, fault.Amount = "refusing", min(1, 4*share)
		fault.Selector.Endpoint = 1
		s.Partners[0].Endpoints = world.Pair{4, 4}
	default:
		return nil, fmt.Errorf("unknown mode of noise %q", mode)
	}
	if share > 0 {
		s.Faults = []world.Fault{fault}
	}
	s.Defaults()
	if problems := s.Check(); len(problems) > 0 {
		return nil, problems[0]
	}
	return &s, nil
}

// RunNoise runs one point of the noise grid. Rate is in messages per second; share is the share of calls that fail.
func RunNoise(o Options, mode Mode, rate, share float64) (*NoisePoint, error) {
	spec, err := NoiseSpec(mode, rate, share, o.Seconds)
	if err != nil {
		return nil, err
	}
	v, err := sim.Run(sim.Options{Spec: spec, Seed: o.Seed, Policy: o.Policy})
	if err != nil {
		return nil, err
	}
	requested := float64(max(1, v.Asked))
	p := &NoisePoint{Mode: mode, Rate: rate, Share: share, Asked: v.Asked, Delivered: float64(v.Delivered) / requested,
		InTime: float64(v.InTime) / requested, Calls: float64(v.Calls) / requested, MaxCalls: 1.1 / (1 - share), BrokenRules: brokenRules(v)}
	p.IdealRatio = min(1, p.Delivered/(1-share))
	if class := v.Classes[1]; class.Asked > 0 {
		p.NonIdempotent = float64(class.Delivered) / float64(class.Asked)
	}
	return p, nil
}

// brokenRules returns the number of violations of all rules.
func brokenRules(v *referee.Verdict) (n int) {
	for _, rule := range referee.Rules {
		n += v.Rules[rule]
	}
	return n
}

// SharingPoint is one run of many senders at one destination with a limit that is not announced. The load is a third above
// the limit. The run has three phases of equal length: the limit falls to a third in the second and returns to its first value
// in the third. The last sender is down at the start and joins in the middle of the first phase.
type SharingPoint struct {
	Senders  int     `json:"senders"`
	Span     float64 `json:"span_s"`        // length in seconds of the window in which the limit counts calls; 0 for a rate limit
	CountAll bool    `json:"count_refused"` // rejected calls count towards the limit, too
	Limit    float64 `json:"limit"`         // calls per second

	Phases       []Phase `json:"phases"`
	Jain         float64 `json:"jain"`      // Jain's fairness index of the senders' successful calls in the last 40% of the first phase
	JainByChance float64 `json:"jain_luck"` // Jain's index if each call goes to a random sender with equal probabilities
	Joiner       float64 `json:"joiner"`    // successful calls of the sender that joined late, in the same time, as a multiple of the mean
	BrokenRules  int     `json:"broken_rules"`
}

// Phase holds the figures of one phase of a sharing run, in which the limit is constant. All figures but Limit and Settled
// cover the time after the phase has settled, or its second half if it has not.
type Phase struct {
	Limit       float64 `json:"limit"`     // calls per second
	Utilization float64 `json:"done"`      // successful calls, as a multiple of the limit
	Refused     float64 `json:"refused"`   // share of calls that were rejected
	Settled     float64 `json:"settled_s"` // seconds until the rate of calls was near the limit, see minSettledUtilization; -1 for never
	Overshoot   float64 `json:"overshoot"` // highest number of calls in a second, as a multiple of the limit
	Variation   float64 `json:"waves"`     // coefficient of variation of the successful calls per second
}

// A phase has settled as soon as, on average over three seconds, there are at least minSettledUtilization times the limit of
// successful calls, and at most maxSettledCalls times the limit of calls in all.
const (
	minSettledUtilization = 0.75
	maxSettledCalls       = 1.4
)

// SharingSpec returns the scenario of one point of the sharing grid. Each sender's part of the limit is perSender calls per
// second; span is the window of the limit in seconds, 0 for a rate limit; countAll makes rejected calls count, too.
func SharingSpec(senders int, perSender, span float64, countAll bool, seconds float64) (*world.Spec, error) {
	s := baseSpec(fmt.Sprintf("%d senders share a limit", senders), seconds)
	s.Senders = senders
	s.Load.Rate = perSender * float64(senders) / 0.75
	s.Sender.InFlightLimit = max(8, int(perSender))
	s.Clients.OwnSender = true
	kind := world.PartnerKind{Name: "shared", Count: 1, Endpoints: world.Pair{2, 2}, MeanMS: world.Pair{20, 20}, Sigma: 0.5, Limit: "rate",
		LimitTimes: world.Pair{0.75, 0.75}, LeastRate: 1, Headroom: world.Pair{4, 4}, Queue: 4, SlowStartS: 8, SlowStartFrom: 0.2, IdleS: 10,
		CountRefused: countAll}
	if span > 0 {
		kind.Limit, kind.SpanS = "span", span
	}
	s.Partners = []world.PartnerKind{kind}
	third := seconds / 3
	s.Faults = []world.Fault{{Kind: "throttled", At: third, Seconds: third, Amount: 1. / 3},
		{Kind: "sender_kill", At: 0.01, Seconds: third / 2, Selector: world.Selector{Senders: []int{senders - 1}}}}
	s.Defaults()
	if problems := s.Check(); len(problems) > 0 {
		return nil, problems[0]
	}
	return &s, nil
}

// RunSharing runs one point of the sharing grid. The parameters are those of SharingSpec.
func RunSharing(o Options, senders int, perSender, span float64, countAll bool) (*SharingPoint, error) {
	spec, err := SharingSpec(senders, perSender, span, countAll, o.Seconds)
	if err != nil {
		return nil, err
	}
	seconds := int(o.Seconds)
	// Calls by second, and successful calls by sender in the last 40% of the first phase.
	succeeded, rejected, bySender := make([]float64, seconds+1), make([]float64, seconds+1), make([]float64, senders)
	third := o.Seconds / 3
	v, err := sim.Run(sim.Options{Spec: spec, Seed: o.Seed, Policy: o.Policy, Outcome: func(now choice.Time, c *world.Call, status int) {
		at := float64(now) / float64(choice.Second)
		if int(at) >= seconds || c.Probe {
			return
		}
		switch status {
		case 200:
			succeeded[int(at)]++
			if at >= third*0.6 && at < third {
				bySender[c.Conn.Sender]++
			}
		case 429, 503:
			rejected[int(at)]++
		}
	}})
	if err != nil {
		return nil, err
	}
	limit := perSender * float64(senders)
	p := &SharingPoint{Senders: senders, Span: span, CountAll: countAll, Limit: limit, BrokenRules: brokenRules(v)}
	for i, factor := range []float64{1, 1. / 3, 1} {
		from, to := int(float64(i)*third), int(float64(i+1)*third)
		p.Phases = append(p.Phases, phase(limit*factor, succeeded[from:to], rejected[from:to]))
	}
	p.Jain, p.JainByChance, p.Joiner = fairness(bySender)
	return p, nil
}

// phase computes the figures of one phase from the numbers of successful and rejected calls in each of its seconds. Limit is
// in calls per second.
func phase(limit float64, succeeded, rejected []float64) Phase {
	p := Phase{Limit: limit, Settled: -1}
	for i := 2; i < len(succeeded); i++ {
		meanSucceeded, meanCalls := 0.0, 0.0 // over the three seconds up to second i
		for j := i - 2; j <= i; j++ {
			meanSucceeded += succeeded[j] / 3
			meanCalls += (succeeded[j] + rejected[j]) / 3
		}
		if meanSucceeded >= minSettledUtilization*limit && meanCalls <= maxSettledCalls*limit {
			p.Settled = float64(i - 2)
			break
		}
	}
	from := max(0, int(p.Settled))
	if p.Settled < 0 {
		from = len(succeeded) / 2
	}
	sum, sumCalls, sumSquares, n := 0.0, 0.0, 0.0, float64(len(succeeded)-from)
	for j := from; j < len(succeeded); j++ {
		calls := succeeded[j] + rejected[j]
		sum += succeeded[j]
		sumCalls += calls
		sumSquares += succeeded[j] * succeeded[j]
		p.Overshoot = max(p.Overshoot, calls/limit)
	}
	if sumCalls > 0 {
		p.Refused = 1 - sum/sumCalls
	}
	mean := sum / n
	p.Utilization = mean / limit
	if mean > 0 {
		p.Variation = math.Sqrt(max(0, sumSquares/n-mean*mean)) / mean
	}
	return p
}

// fairness returns Jain's fairness index of the senders' numbers of successful calls, the index to expect if each call goes to
// a random sender with equal probabilities, and the last sender's number as a multiple of the mean. All are 0 without calls.
func fairness(calls []float64) (jain, byChance, last float64) {
	sum, sumSquares := 0.0, 0.0
	for _, c := range calls {
		sum += c
		sumSquares += c * c
	}
	if sum == 0 {
		return 0, 0, 0
	}
	n := float64(len(calls))
	mean := sum / n
	return sum * sum / (n * sumSquares), mean / (mean + 1), calls[len(calls)-1] / mean
}
