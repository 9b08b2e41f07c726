// Package load generates the arrivals of a run: when a client hands in which message, for whom.
//
// The load is open-loop: the time of an arrival does not depend on what became of earlier ones. Arrivals are drawn, or read
// from a recorded trace. The package must not read a clock, wait, or depend on the order of a map: one seed gives the same
// arrivals on every machine. Times are tenths of a millisecond from the start of the run.
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

// Spec describes a load. Rate is in messages a second of all clients together.
type Spec struct {
	Rate       float64 `toml:"rate"`
	Shape      string  `toml:"shape"`       // poisson (the default), steady or bursts
	Swing      float64 `toml:"swing"`       // share by which the rate swings around its mean
	SwingS     float64 `toml:"swing_s"`     // length of one swing, in seconds
	BurstS     float64 `toml:"burst_s"`     // length of a burst and the pause behind it, together
	BurstShare float64 `toml:"burst_share"` // share of that time in which all of it comes
	Zipf       float64 `toml:"zipf"`        // skew of destinations: weight of the nth is 1/n^zipf; 0 for even
	SenderSkew float64 `toml:"sender_skew"` // the same for senders
	ClumpShare float64 `toml:"clump_share"` // share of messages that come in clumps for one destination
	ClumpSize  int     `toml:"clump_size"`
	Keys       int     `toml:"keys"` // order keys in use for each destination
	BodyBytes  int     `toml:"body_bytes"`
	Trace      string  `toml:"trace"` // a recorded trace in place of all this, see ReadTrace
}

// Defaults fills in the fields that were left out.
func (s *Spec) Defaults() {
	s.Shape = cmp.Or(s.Shape, "poisson")
	s.SwingS = cmp.Or(s.SwingS, 20)
	s.BurstS = cmp.Or(s.BurstS, 2)
	s.BurstShare = cmp.Or(s.BurstShare, 0.25)
	s.ClumpSize = cmp.Or(s.ClumpSize, 10)
	s.Keys = cmp.Or(s.Keys, 8)
	s.BodyBytes = cmp.Or(s.BodyBytes, 200)
}

// Check returns the first field with an invalid value, and why; "" and nil if there is none.
func (s *Spec) Check() (field string, err error) {
	for _, f := range []struct {
		name     string
		v, least float64
		most     float64
	}{
		{"rate", s.Rate, 0.001, 1e6}, {"swing", s.Swing, 0, 0.95}, {"swing_s", s.SwingS, 0.1, 1e5},
		{"burst_s", s.BurstS, 0.01, 1e4}, {"burst_share", s.BurstShare, 0.01, 1}, {"zipf", s.Zipf, 0, 4},
		{"sender_skew", s.SenderSkew, 0, 4}, {"clump_share", s.ClumpShare, 0, 0.95},
		{"clump_size", float64(s.ClumpSize), 1, 1000}, {"keys", float64(s.Keys), 1, 1e6},
		{"body_bytes", float64(s.BodyBytes), 1, 60000},
	} {
		if !(f.v >= f.least && f.v <= f.most) {
			return f.name, fmt.Errorf("%g is not within %g and %g", f.v, f.least, f.most)
		}
	}
	if !slices.Contains([]string{"poisson", "steady", "bursts"}, s.Shape) {
		return "shape", fmt.Errorf("%q is none of poisson, steady, bursts", s.Shape)
	}
	return "", nil
}

// Arrival is one message that a client wants delivered.
type Arrival struct {
	At      choice.Time
	Number  int64 // counts from 1; a repeated hand-in of the same message keeps it
	Class   int
	Partner int
	Sender  int
	Key     int
	Body    int // bytes
}

// Change is a change of the load for a time: a surge, or a share of it that goes to one destination.
type Change struct {
	From, To choice.Time
	Factor   float64 // of the rate; 1 for unchanged
	Sender   int     // whose clients it concerns; -1 for all
	Partner  int     // to which Share of the messages go; -1 for none
	Share    float64
}

// Source yields arrivals in order of time; ok is false once there are no more.
type Source interface{ Next() (a Arrival, ok bool) }

// Plan draws arrivals. Weights of classes, partners and senders need not add up to 1.
type Plan struct {
	spec              Spec
	until             choice.Time
	classes           picker
	partners, senders picker
	changes           []Change
	rng               *rand.Rand
	now               float64 // seconds
	lastNumber        int64
	batch             []Arrival // the rest of a clump, to come at once
	peakRate          float64   // highest rate that may be due, in starts a second
	senderTotal       float64
	senderWeights     []float64
}

// New creates a plan that ends at until.
func New(s Spec, seed uint64, until choice.Time, classes, partners, senders []float64, bends []Change) *Plan {
	p := &Plan{spec: s, until: until, changes: bends, rng: rand.New(rand.NewPCG(seed, 0x10ad)),
		classes: newPicker(classes), partners: newPicker(partners), senders: newPicker(senders), senderWeights: senders}
	for _, w := range senders {
		p.senderTotal += w
	}
	most := 1.0
	for _, b := range bends {
		most *= max(1, b.Factor)
	}
	p.peakRate = s.Rate / p.meanBatchSize() * (1 + s.Swing) * most
	if s.Shape == "bursts" {
		p.peakRate /= s.BurstShare
	}
	return p
}

// meanBatchSize is the mean number of messages of one start. All messages of a clump are one start.
func (p *Plan) meanBatchSize() float64 {
	// Of all messages ClumpShare come in clumps of ClumpSize, so starts are rarer than messages.
	return 1 / (1 - p.spec.ClumpShare + p.spec.ClumpShare/float64(p.spec.ClumpSize))
}

// rate is the rate at a time, in starts a second.
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

func (p *Plan) factor(at float64) float64 {
	f, now := 1.0, choice.Time(at*float64(choice.Second))
	for _, b := range p.changes {
		if now < b.From || now >= b.To {
			continue
		}
		part := 1.0
		if b.Sender >= 0 {
			part = p.senderWeights[b.Sender] / p.senderTotal
		}
		f *= 1 + (b.Factor-1)*part
	}
	return f
}

// Next draws the next arrival.
func (p *Plan) Next() (Arrival, bool) {
	if len(p.batch) > 0 {
		a := p.batch[0]
		p.batch = p.batch[1:]
		return p.number(a), true
	}
	at, ok := p.nextBatch()
	if !ok {
		return Arrival{}, false
	}
	a := p.draw(at)
	p.drawBatch(a)
	return p.number(a), true
}

// nextBatch is the time of the next message, or of the next clump. It is false at the end of the plan.
func (p *Plan) nextBatch() (choice.Time, bool) {
	for {
		if p.spec.Shape == "steady" {
			p.now += 1 / max(p.rate(p.now), 1e-9)
		} else {
			// Thinning: candidates come at the highest rate, and are accepted with the probability of the current rate.
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

// drawBatch decides by chance whether an arrival begins a clump, and draws the rest of the clump.
func (p *Plan) drawBatch(first Arrival) {
	starts := p.spec.ClumpShare / float64(p.spec.ClumpSize)
	if p.rng.Float64() >= starts/(starts+1-p.spec.ClumpShare) {
		return
	}
	for range p.spec.ClumpSize - 1 {
		more := p.draw(first.At)
		more.Partner, more.Sender = first.Partner, first.Sender
		p.batch = append(p.batch, more)
	}
}

// number gives an arrival the next number.
func (p *Plan) number(a Arrival) Arrival {
	p.lastNumber++
	a.Number = p.lastNumber
	return a
}

func (p *Plan) draw(at choice.Time) Arrival {
	a := Arrival{At: at, Class: p.classes.pick(p.rng.Float64()), Partner: p.partners.pick(p.rng.Float64()),
		Sender: p.senders.pick(p.rng.Float64()), Key: p.rng.IntN(p.spec.Keys), Body: p.spec.BodyBytes}
	fix, who := p.rng.Float64(), p.rng.Float64()
	for _, b := range p.changes {
		if at < b.From || at >= b.To {
			continue
		}
		if b.Partner >= 0 && (b.Sender < 0 || b.Sender == a.Sender) && fix < b.Share {
			a.Partner = b.Partner
		}
		if b.Sender >= 0 && b.Factor > 1 {
			// All that a surge adds goes to its sender.
			part := p.senderWeights[b.Sender] / p.senderTotal
			if extra := (b.Factor - 1) * part; who < extra/(1+extra) {
				a.Sender = b.Sender
			}
		}
	}
	return a
}

// picker draws an index by weight.
type picker struct{ sums []float64 }

func newPicker(weights []float64) picker {
	var p picker
	sum := 0.0
	for _, w := range weights {
		sum += w
		p.sums = append(p.sums, sum)
	}
	return p
}

func (p picker) pick(u float64) int {
	i, _ := slices.BinarySearchFunc(p.sums, u*p.sums[len(p.sums)-1], func(s, t float64) int {
		if s <= t {
			return -1
		}
		return 1
	})
	return min(i, len(p.sums)-1)
}

// ZipfWeights are n weights with that skew.
func ZipfWeights(n int, skew float64) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = math.Pow(float64(i+1), -skew)
	}
	return w
}

// Replay plays recorded arrivals.
type Replay struct {
	arrivals []Arrival
	next     int
}

var errEmptyTrace = errors.New("a trace holds no arrivals")

// NewReplay sorts the arrivals by time and numbers them.
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

// Next returns the next recorded arrival.
func (r *Replay) Next() (Arrival, bool) {
	if r.next >= len(r.arrivals) {
		return Arrival{}, false
	}
	r.next++
	return r.arrivals[r.next-1], true
}
