// Package load generates the arrivals of a run: the times at which clients submit messages, with the destination and the
// sender of each message.
//
// The load is open-loop: the time of an arrival does not depend on the outcome of earlier ones. Arrivals are drawn at random,
// or read from a recorded trace. The package must not read a clock, wait, or depend on the iteration order of a map: a seed
// gives the same arrivals on every machine. Times are choice.Time from the start of the run, in tenths of a millisecond.
package load

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"flaxcove/choice"
)

// Spec describes a load. Messages may arrive in clumps: several messages for one destination at the same time.
type Spec struct {
	Rate       float64 `toml:"rate"`        // messages per second of all clients together
	Shape      string  `toml:"shape"`       // poisson (the default), steady or bursts
	Swing      float64 `toml:"swing"`       // amplitude of a sine wave of the rate, as a share of Rate
	SwingS     float64 `toml:"swing_s"`     // period of that wave, in seconds
	BurstS     float64 `toml:"burst_s"`     // length of a burst and the pause after it, in seconds
	BurstShare float64 `toml:"burst_share"` // share of BurstS in which all messages arrive
	Zipf       float64 `toml:"zipf"`        // skew of destinations: the weight of the nth is 1/n^zipf; 0 for equal weights
	SenderSkew float64 `toml:"sender_skew"` // skew of senders, likewise
	ClumpShare float64 `toml:"clump_share"` // share of messages that arrive in clumps
	ClumpSize  int     `toml:"clump_size"`  // messages in a clump
	Keys       int     `toml:"keys"`        // number of ordering keys in use for each destination
	BodyBytes  int     `toml:"body_bytes"`
	Trace      string  `toml:"trace"` // path of a recorded trace that replaces the drawn arrivals, see ReadTrace; "" for none
}

// Defaults sets the fields that are zero and have a default.
func (s *Spec) Defaults() {
	s.Shape = cmp.Or(s.Shape, "poisson")
	s.SwingS = cmp.Or(s.SwingS, 20)
	s.BurstS = cmp.Or(s.BurstS, 2)
	s.BurstShare = cmp.Or(s.BurstShare, 0.25)
	s.ClumpSize = cmp.Or(s.ClumpSize, 10)
	s.Keys = cmp.Or(s.Keys, 8)
	s.BodyBytes = cmp.Or(s.BodyBytes, 200)
}

// Check returns the name of the first invalid field and an error that describes its value, or "" and nil if all fields are
// valid.
func (s *Spec) Check() (field string, err error) {
	for _, f := range []struct {
		name   string
		v, min float64
		max    float64
	}{
		{"rate", s.Rate, 0.001, 1e6}, {"swing", s.Swing, 0, 0.95}, {"swing_s", s.SwingS, 0.1, 1e5},
		{"burst_s", s.BurstS, 0.01, 1e4}, {"burst_share", s.BurstShare, 0.01, 1}, {"zipf", s.Zipf, 0, 4},
		{"sender_skew", s.SenderSkew, 0, 4}, {"clump_share", s.ClumpShare, 0, 0.95},
		{"clump_size", float64(s.ClumpSize), 1, 1000}, {"keys", float64(s.Keys), 1, 1e6},
		{"body_bytes", float64(s.BodyBytes), 1, 60000},
	} {
		if !(f.v >= f.min && f.v <= f.max) {
			return f.name, fmt.Errorf("%g is not within %g and %g", f.v, f.min, f.max)
		}
	}
	if !slices.Contains([]string{"poisson", "steady", "bursts"}, s.Shape) {
		return "shape", fmt.Errorf("%q is not one of poisson, steady and bursts", s.Shape)
	}
	return "", nil
}

// Arrival is one message that a client submits. Class, Destination, Sender and Key are numbers that count from 0.
type Arrival struct {
	At          choice.Time
	Number      int64 // counts from 1; a message that a client submits again keeps its number
	Class       int
	Destination int
	Sender      int
	Key         int
	Body        int // size of the body in bytes
}

// LoadChange is a temporary change of the load: of the rate, of the share that goes to one destination, or of both.
type LoadChange struct {
	From, To    choice.Time
	Factor      float64 // factor on the rate; 1 for no change
	Sender      int     // the sender whose load changes; -1 for all senders
	Destination int     // the destination that gets Share of the messages; -1 for none
	Share       float64
}

// Source provides arrivals in order of time. Ok is false once there are no more.
type Source interface{ Next() (a Arrival, ok bool) }

// Plan is a Source that draws arrivals at random. They come in batches, each of which is either a single message or a clump.
type Plan struct {
	spec                  Spec
	until                 choice.Time
	classes               picker
	destinations, senders picker
	changes               []LoadChange
	rng                   *rand.Rand
	now                   float64 // time of the last drawn batch, in seconds
	lastNumber            int64
	batch                 []Arrival // the messages of the current batch that Next has not returned yet
	peakRate              float64   // upper bound on the rate at any time, in batches per second
	senderTotal           float64   // sum of senderWeights
	senderWeights         []float64
}

// NewPlan returns a plan that ends at until. Classes, destinations and senders hold the weights with which each is
// drawn; the weights need not add up to 1.
func NewPlan(s Spec, seed uint64, until choice.Time, classes, destinations, senders []float64, changes []LoadChange) *Plan {
	p := &Plan{spec: s, until: until, changes: changes, rng: rand.New(rand.NewPCG(seed, 0x10ad)),
		classes: newPicker(classes), destinations: newPicker(destinations), senders: newPicker(senders), senderWeights: senders}
	for _, w := range senders {
		p.senderTotal += w
	}
	maxFactor := 1.0
	for _, c := range changes {
		maxFactor *= max(1, c.Factor)
	}
	p.peakRate = s.Rate / p.meanBatchSize() * (1 + s.Swing) * maxFactor
	if s.Shape == "bursts" {
		p.peakRate /= s.BurstShare
	}
	return p
}

// meanBatchSize returns the mean number of messages in a batch.
func (p *Plan) meanBatchSize() float64 {
	// The denominator is the number of batches per message: ClumpShare of the messages come in batches of ClumpSize, the others
	// alone.
	return 1 / (1 - p.spec.ClumpShare + p.spec.ClumpShare/float64(p.spec.ClumpSize))
}

// rate returns the rate at a time, in batches per second. At is in seconds.
func (p *Plan) rate(at float64) float64 {
	r := p.spec.Rate / p.meanBatchSize()
	r *= 1 + p.spec.Swing*math.Sin(2*math.Pi*at/p.spec.SwingS)
	if p.spec.Shape == "bursts" {
		if math.Mod(at, p.spec.BurstS) < p.spec.BurstS*p.spec.BurstShare {
			r /= p.spec.BurstShare
		} else {
			r = 0
		}
	}
	return r * p.factor(at)
}

// factor returns the factor on the rate at a time in seconds: the product of all changes in effect. A change of one sender
// counts with the sender's share of the load.
func (p *Plan) factor(at float64) float64 {
	f, now := 1.0, choice.Time(at*float64(choice.Second))
	for _, c := range p.changes {
		if now < c.From || now >= c.To {
			continue
		}
		share := 1.0
		if c.Sender >= 0 {
			share = p.senderWeights[c.Sender] / p.senderTotal
		}
		f *= 1 + (c.Factor-1)*share
	}
	return f
}

// Next draws the next arrival. It returns false at the end of the plan.
func (p *Plan) Next() (Arrival, bool) {
	if len(p.batch) > 0 {
		a := p.batch[0]
		p.batch = p.batch[1:]
		return p.assignNumber(a), true
	}
	at, ok := p.nextBatch()
	if !ok {
		return Arrival{}, false
	}
	a := p.draw(at)
	p.drawBatch(a)
	return p.assignNumber(a), true
}

// nextBatch returns the time of the next batch, or false at the end of the plan.
func (p *Plan) nextBatch() (choice.Time, bool) {
	for {
		if p.spec.Shape == "steady" {
			p.now += 1 / max(p.rate(p.now), 1e-9)
		} else {
			// Thinning: candidates are drawn at the peak rate, and each is accepted with the probability rate / peakRate.
			p.now += p.rng.ExpFloat64() / p.peakRate
		}
		at := choice.Time(p.now * float64(choice.Second))
		if at >= p.until {
			return 0, false
		}
		if p.spec.Shape == "steady" || p.rng.Float64()*p.peakRate <= p.rate(p.now) {
			return at, true
		}
	}
}

// drawBatch decides at random whether an arrival is the first of a clump, and if so draws the other messages of the clump.
func (p *Plan) drawBatch(first Arrival) {
	clumps := p.spec.ClumpShare / float64(p.spec.ClumpSize) // clumps per message; 1 - ClumpShare is single messages per message
	if p.rng.Float64() >= clumps/(clumps+1-p.spec.ClumpShare) {
		return
	}
	for range p.spec.ClumpSize - 1 {
		a := p.draw(first.At)
		a.Destination, a.Sender = first.Destination, first.Sender
		p.batch = append(p.batch, a)
	}
}

// assignNumber assigns the next number to an arrival.
func (p *Plan) assignNumber(a Arrival) Arrival {
	p.lastNumber++
	a.Number = p.lastNumber
	return a
}

// draw draws an arrival at a time, without a number.
func (p *Plan) draw(at choice.Time) Arrival {
	a := Arrival{At: at, Class: p.classes.pick(p.rng.Float64()), Destination: p.destinations.pick(p.rng.Float64()),
		Sender: p.senders.pick(p.rng.Float64()), Key: p.rng.IntN(p.spec.Keys), Body: p.spec.BodyBytes}
	partnerDraw, senderDraw := p.rng.Float64(), p.rng.Float64()
	for _, c := range p.changes {
		if at < c.From || at >= c.To {
			continue
		}
		if c.Destination >= 0 && (c.Sender < 0 || c.Sender == a.Sender) && partnerDraw < c.Share {
			a.Destination = c.Destination
		}
		if c.Sender >= 0 && c.Factor > 1 {
			// All messages that the change adds to the load go to its sender.
			share := p.senderWeights[c.Sender] / p.senderTotal
			if extra := (c.Factor - 1) * share; senderDraw < extra/(1+extra) {
				a.Sender = c.Sender
			}
		}
	}
	return a
}

// picker picks an index with a probability in proportion to its weight.
type picker struct{ sums []float64 } // sums[i] is the sum of the weights up to and including i

func newPicker(weights []float64) picker {
	var p picker
	sum := 0.0
	for _, w := range weights {
		sum += w
		p.sums = append(p.sums, sum)
	}
	return p
}

// pick returns the index for u, which is drawn uniformly from [0, 1).
func (p picker) pick(u float64) int {
	i, _ := slices.BinarySearchFunc(p.sums, u*p.sums[len(p.sums)-1], func(s, t float64) int {
		if s <= t {
			return -1
		}
		return 1
	})
	return min(i, len(p.sums)-1)
}

// ZipfWeights returns n weights that follow Zipf's law: the weight of the kth is 1/k^skew.
func ZipfWeights(n int, skew float64) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = math.Pow(float64(i+1), -skew)
	}
	return w
}

// Replay is a Source that returns recorded arrivals.
type Replay struct {
	arrivals []Arrival
	next     int // index of the next arrival
}

var errEmptyTrace = errors.New("the recorded trace contains no arrivals")

// NewReplay returns a Replay of the arrivals, which it sorts by time and numbers from 1, in place. It returns an error if
// there are none.
func NewReplay(arrivals []Arrival) (*Replay, error) {
	if len(arrivals) == 0 {
		return nil, errEmptyTrace
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range arrivals {
		arrivals[i].Number = int64(i + 1)
	}
	return &Replay{arrivals: arrivals}, nil
}

// Next returns the next recorded arrival, or false if there are no more.
func (r *Replay) Next() (Arrival, bool) {
	if r.next >= len(r.arrivals) {
		return Arrival{}, false
	}
	r.next++
	return r.arrivals[r.next-1], true
}
