// Package limits measures how senders handle refusals: noise, which does not depend on the load, and rate limits that many
// senders share and that are not announced.
//
// It plays two grids of runs in simulated time and computes their figures, all from the world's ledger. They depend on
// nothing but the seed.
package limits

import (
	"fmt"
	"math"

	"flaxcove/choice"
	"flaxcove/lab/referee"
	"flaxcove/lab/sim"
	"flaxcove/lab/world"
)

// Mode is a kind of noise: how calls fail independently of the load.
type Mode string

// The kinds of noise. With a bad machine, one endpoint of four carries all of it; the others are well.
const (
	Chance Mode = "chance" // each call is refused by chance
	Bursts Mode = "bursts" // all calls are refused for a share of each three seconds
	Errors Mode = "errors" // calls fail in place of being refused
	Resets Mode = "resets" // reused connections are reset
	Bad    Mode = "bad machine"
)

// Modes are all kinds of noise.
var Modes = []Mode{Chance, Bursts, Errors, Resets, Bad}

// NoisePoint is one run with noise: one sender, one destination with capacity for four times the load.
type NoisePoint struct {
	Mode  Mode    `json:"mode"`
	Rate  float64 `json:"rate"`  // messages a second that clients want delivered
	Share float64 `json:"share"` // of calls that fail independently of the load, over all endpoints

	Asked       int     `json:"asked"`
	Delivered   float64 `json:"delivered"`    // share of the messages requested
	InTime      float64 `json:"in_time"`      // share delivered within the latency objective
	OfIdeal     float64 `json:"of_ideal"`     // delivered / (requested x (1 - share)), 1 at most
	Calls       float64 `json:"calls"`        // for each message requested
	CallsMost   float64 `json:"calls_most"`   // 1.1 / (1 - share)
	Single      float64 `json:"single"`       // share of single-use messages delivered
	BrokenRules int     `json:"broken_rules"` // of all
}

// Passed reports whether a point is as required: at least nine tenths of the ideal with noise up to 6%, and never more calls
// than the noise explains.
func (p *NoisePoint) Passed() bool {
	return p.BrokenRules == 0 && p.Calls <= p.CallsMost && (p.Share > 0.06 || p.OfIdeal >= 0.9)
}

// Options are the inputs of both grids.
type Options struct {
	Seed    uint64
	Seconds float64
	Policy  sim.NewPolicy // nil for the project's own decisions
}

func base(name string, seconds float64) world.Spec {
	s := world.Base()
	s.Name, s.Seconds = name, seconds
	s.Prices = world.Prices{}
	s.Classes = []world.Class{
		{Name: "status", Repeat: world.Idempotent, Share: 1, LatencyObjectiveMS: 1000, DeadlineMS: 6000, Value: 1, LateValue: 0.1},
		{Name: "order", Repeat: world.NonIdempotent, Share: 1, LatencyObjectiveMS: 2000, DeadlineMS: 8000, Value: 2, LateValue: 0.5}}
	s.Clients.Retries = 0 // a message that is shed is not handed in again
	return s
}

// NoiseSpec is the scenario of one point.
func NoiseSpec(mode Mode, rate, share, seconds float64) (*world.Spec, error) {
	s := base(fmt.Sprintf("%s %g at %g", mode, share, rate), seconds)
	s.Senders = 1
	s.Load.Rate = rate
	s.Sender.InFlightLimit = max(8, int(rate/10))
	s.Sender.MaxOpen = max(64, int(8*rate))
	s.Partners = []world.Kind{{Name: "noisy", Count: 1, Endpoints: world.Pair{1, 1}, MeanMS: world.Pair{20, 20}, Sigma: 0.5,
		Headroom: world.Pair{4, 4}, LeastRate: 100, Queue: 4, SlowStartS: 8, SlowStartFrom: 0.2, IdleS: 10}}
	t := world.Fault{Seconds: seconds, Amount: share}
	switch mode {
	case Chance:
		t.Kind = "refusing"
	case Bursts:
		t.Kind, t.Every = "refusing_bursts", 3
	case Errors:
		t.Kind = "failing"
	case Resets:
		t.Kind = "resets"
	case Bad:
		// Of four endpoints; with equal load on all, this is the share of all calls.
		t.Kind, t.Amount = "refusing", min(1, 4*share)
		t.Selector.Endpoint = 1
		s.Partners[0].Endpoints = world.Pair{4, 4}
	default:
		return nil, fmt.Errorf("no noise is called %q", mode)
	}
	if share > 0 {
		s.Faults = []world.Fault{t}
	}
	s.Defaults()
	if p := s.Check(); len(p) > 0 {
		return nil, p[0]
	}
	return &s, nil
}

// Noise plays a run with noise.
func Noise(o Options, mode Mode, rate, share float64) (*NoisePoint, error) {
	spec, err := NoiseSpec(mode, rate, share, o.Seconds)
	if err != nil {
		return nil, err
	}
	v, err := sim.Run(sim.Options{Spec: spec, Seed: o.Seed, Policy: o.Policy})
	if err != nil {
		return nil, err
	}
	asked := float64(max(1, v.Asked))
	p := &NoisePoint{Mode: mode, Rate: rate, Share: share, Asked: v.Asked, Delivered: float64(v.Delivered) / asked,
		InTime: float64(v.InTime) / asked, Calls: float64(v.Calls) / asked, CallsMost: 1.1 / (1 - share), BrokenRules: broken(v)}
	p.OfIdeal = min(1, p.Delivered/(1-share))
	if w := v.Classes[1]; w.Asked > 0 {
		p.Single = float64(w.Delivered) / float64(w.Asked)
	}
	return p, nil
}

func broken(v *referee.Verdict) (n int) {
	for _, rule := range referee.Rules {
		n += v.Rules[rule]
	}
	return n
}

// SharePoint is one run of many senders at one destination with a limit that is not announced, under a load a third above
// it. The limit falls to a third after a third of the run and is back after two thirds; one sender, which was down, joins in
// the middle of the first part.
type SharePoint struct {
	Senders  int     `json:"senders"`
	Span     float64 `json:"span_s"`        // span that the limit counts calls in; 0 for a rate limit
	CountAll bool    `json:"count_refused"` // refused calls count towards the limit too
	Limit    float64 `json:"limit"`         // calls a second

	Phases      []Phase `json:"phases"`
	Jain        float64 `json:"jain"`      // Jain's index of the senders' successful calls over the end of the first part
	JainLuck    float64 `json:"jain_luck"` // the index that chance alone would give with equal shares
	Joiner      float64 `json:"joiner"`    // successful calls of the sender that joined, as a multiple of the mean
	BrokenRules int     `json:"broken_rules"`
}

// Phase is one part of such a run, with its own limit.
type Phase struct {
	Limit     float64 `json:"limit"`
	Done      float64 `json:"done"`      // successful calls over the limit, once settled
	Refused   float64 `json:"refused"`   // share of calls, once settled
	Settled   float64 `json:"settled_s"` // seconds until successful calls were near the limit and calls not far above; -1 for never
	Overshoot float64 `json:"overshoot"` // most calls in a second after that, over the limit
	Waves     float64 `json:"waves"`     // standard deviation of successful calls a second over their mean, once settled
}

const (
	settledDone  = 0.75 // of the limit, over three seconds
	settledCalls = 1.4
)

// ShareSpec is the scenario of one point. Each sender's part of the limit is perSender calls a second.
func ShareSpec(senders int, perSender, span float64, countAll bool, seconds float64) (*world.Spec, error) {
	s := base(fmt.Sprintf("%d senders share a limit", senders), seconds)
	s.Senders = senders
	s.Load.Rate = perSender * float64(senders) / 0.75
	s.Sender.InFlightLimit = max(8, int(perSender))
	s.Clients.OwnSender = true
	kind := world.Kind{Name: "shared", Count: 1, Endpoints: world.Pair{2, 2}, MeanMS: world.Pair{20, 20}, Sigma: 0.5, Limit: "rate",
		LimitTimes: world.Pair{0.75, 0.75}, LeastRate: 1, Headroom: world.Pair{4, 4}, Queue: 4, SlowStartS: 8, SlowStartFrom: 0.2, IdleS: 10,
		CountRefused: countAll}
	if span > 0 {
		kind.Limit, kind.SpanS = "span", span
	}
	s.Partners = []world.Kind{kind}
	third := seconds / 3
	s.Faults = []world.Fault{{Kind: "throttled", At: third, Seconds: third, Amount: 1. / 3},
		{Kind: "sender_kill", At: 0.01, Seconds: third / 2, Selector: world.Selector{Senders: []int{senders - 1}}}}
	s.Defaults()
	if p := s.Check(); len(p) > 0 {
		return nil, p[0]
	}
	return &s, nil
}

// Share plays a run with a shared limit.
func Share(o Options, senders int, perSender, span float64, countAll bool) (*SharePoint, error) {
	spec, err := ShareSpec(senders, perSender, span, countAll, o.Seconds)
	if err != nil {
		return nil, err
	}
	seconds := int(o.Seconds)
	done, refused, got := make([]float64, seconds+1), make([]float64, seconds+1), make([]float64, senders)
	third := o.Seconds / 3
	v, err := sim.Run(sim.Options{Spec: spec, Seed: o.Seed, Policy: o.Policy, Outcome: func(now choice.Time, c *world.Call, status int) {
		at := float64(now) / float64(choice.Second)
		if int(at) >= seconds || c.Probe {
			return
		}
		switch status {
		case 200:
			done[int(at)]++
			if at >= third*0.6 && at < third {
				got[c.Conn.Sender]++
			}
		case 429, 503:
			refused[int(at)]++
		}
	}})
	if err != nil {
		return nil, err
	}
	limit := perSender * float64(senders)
	p := &SharePoint{Senders: senders, Span: span, CountAll: countAll, Limit: limit, BrokenRules: broken(v)}
	for i, times := range []float64{1, 1. / 3, 1} {
		from, to := int(float64(i)*third), int(float64(i+1)*third)
		p.Phases = append(p.Phases, phase(limit*times, done[from:to], refused[from:to]))
	}
	p.Jain, p.JainLuck, p.Joiner = fairness(got)
	return p, nil
}

// phase computes the figures of one part from its seconds.
func phase(limit float64, done, refused []float64) Phase {
	p := Phase{Limit: limit, Settled: -1}
	for i := 2; i < len(done); i++ {
		d, c := 0.0, 0.0
		for j := i - 2; j <= i; j++ {
			d += done[j] / 3
			c += (done[j] + refused[j]) / 3
		}
		if d >= settledDone*limit && c <= settledCalls*limit {
			p.Settled = float64(i - 2)
			break
		}
	}
	from := max(0, int(p.Settled))
	if p.Settled < 0 {
		from = len(done) / 2
	}
	sum, all, square, n := 0.0, 0.0, 0.0, float64(len(done)-from)
	for j := from; j < len(done); j++ {
		calls := done[j] + refused[j]
		sum += done[j]
		all += calls
		square += done[j] * done[j]
		p.Overshoot = max(p.Overshoot, calls/limit)
	}
	if all > 0 {
		p.Refused = 1 - sum/all
	}
	mean := sum / n
	p.Done = mean / limit
	if mean > 0 {
		p.Waves = math.Sqrt(max(0, square/n-mean*mean)) / mean
	}
	return p
}

// fairness returns Jain's index of what senders got, the index that chance alone gives if each call falls to any sender with
// the same probability, and what the last sender got as a multiple of the mean.
func fairness(got []float64) (jain, luck, last float64) {
	sum, square := 0.0, 0.0
	for _, g := range got {
		sum += g
		square += g * g
	}
	if sum == 0 {
		return 0, 0, 0
	}
	n := float64(len(got))
	mean := sum / n
	return sum * sum / (n * square), mean / (mean + 1), got[len(got)-1] / mean
}
