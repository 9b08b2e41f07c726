package size

// This file computes the figures of a run. The run must not depend on them.

import (
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/view"
	"flaxcove/lab/referee"
	"flaxcove/lab/world"
)

const (
	calmShare      = 0.02 // share of calls that may leave their home without a fault, from issue 36
	warmUp         = 4    // first seconds that do not count: there is no plan and no learned state yet
	windowSeconds  = 2    // over which the share of calls that leave is averaged to find their return
	overloadFactor = 1.1  // load over capacity that counts as overload, from issue 36
	minJudgedRate  = 50.0 // capacity of a locality that is judged by itself: below it, chance alone exceeds overloadFactor
)

// Figures are the figures of a run. Times are seconds.
type Figures struct {
	*referee.Verdict
	Value                 float64   // delivered of what was asked while something was wrong
	Before, During, After float64   // share of calls that leave their home; After: of the last five seconds
	Back                  float64   // from the end of the fault until no more leave than before; -1 for never
	ZoneOver              Overload  // of all endpoints of a zone together, while calls are moved there
	PlaceOver             Overload  // the same for the endpoints of one destination in a zone, of those with many calls
	Plans                 int       // after the first, which moves nothing
	PlansAMinute          int       // in the busiest minute
	InForce               float64   // from the fall until a plan that moves something is in force at 95%; -1 for never
	Messages, BytesS      float64   // sent by a process a second, on average
	MostMessages          float64   // sent and received by the busiest process a second
	Hash                  uint64    // of all that was decided, and when
	Leaves                []float64 // share of calls that left their home, by second

	values []float64
	epochs []epoch
}

// Overload is how far and for how long the load of a receiver was above its capacity.
type Overload struct {
	Most    float64 // highest load over capacity
	Seconds int     // longest run of seconds above overloadFactor
}

type values struct{ bySecond []float64 }

func (g *values) delivered(asked choice.Time, value float64) {
	add(&g.bySecond, asked, value)
}

func add(to *[]float64, at choice.Time, v float64) {
	second := int(max(0, at) / choice.Second)
	for len(*to) <= second {
		*to = append(*to, 0)
	}
	(*to)[second] += v
}

func at(of []float64, second int) float64 {
	if second < 0 || second >= len(of) {
		return 0
	}
	return of[second]
}

type locality struct {
	partner world.PartnerNo
	zone    int
}

type measure struct {
	o      *Options
	w      *world.World
	values values
	calls  []float64
	away   []float64
	zones  map[int]*received
	place  map[locality]*received
}

type received struct{ all, moved []float64 }

func newMeasure(o *Options) *measure {
	return &measure{o: o, zones: map[int]*received{}, place: map[locality]*received{}}
}

// outcome counts a call when its endpoint ends it.
func (m *measure) outcome(now choice.Time, c *world.Call, _ int) {
	e := c.Conn.Endpoint
	if c.Probe {
		return
	}
	from := m.w.Zone(c.Conn.Sender)
	moved := 0.0
	if !m.home(from, e) {
		moved = 1
	}
	add(&m.calls, now, 1)
	add(&m.away, now, moved)
	k := locality{e.Partner.No, e.Zone}
	if m.zones[e.Zone] == nil {
		m.zones[e.Zone] = &received{}
	}
	if m.place[k] == nil {
		m.place[k] = &received{}
	}
	for _, r := range []*received{m.zones[e.Zone], m.place[k]} {
		add(&r.all, now, 1)
		add(&r.moved, now, moved)
	}
}

// home reports whether an endpoint is where a zone's messages go without faults: in the zone if there is one, or else in its
// region, or else anywhere.
func (m *measure) home(from int, e *world.Endpoint) bool {
	near, region := false, false
	for _, other := range e.Partner.Endpoints {
		near = near || other.Zone == from
		region = region || m.o.Region(other.Zone) == m.o.Region(from)
	}
	switch {
	case near:
		return e.Zone == from
	case region:
		return m.o.Region(e.Zone) == m.o.Region(from)
	}
	return true
}

func (m *measure) share(from, to int) float64 {
	calls, away := 0.0, 0.0
	for s := from; s < to; s++ {
		calls, away = calls+at(m.calls, s), away+at(m.away, s)
	}
	if calls == 0 {
		return 0
	}
	return away / calls
}

func (m *measure) figures(v *referee.Verdict, f *fleet) *Figures {
	from, to, end := int(m.o.From), int(m.o.To), int(m.o.Spec.Seconds)
	out := &Figures{Verdict: v, Before: m.share(warmUp, from), During: m.share(from, to), After: m.share(end-5, end), Back: -1,
		InForce: -1, Hash: f.hash, epochs: f.epochs, values: m.values.bySecond}
	for s := from; s < to; s++ {
		out.Value += at(m.values.bySecond, s)
	}
	for s := range end {
		out.Leaves = append(out.Leaves, m.share(s, s+1))
	}
	most := max(out.Before, calmShare)
	for s := end - windowSeconds; s >= to && m.share(s, s+windowSeconds) <= most; s-- {
		out.Back = float64(s) - m.o.To
	}
	for z, r := range m.zones {
		out.ZoneOver.add(r, m.bound(func(e *world.Endpoint) bool { return e.Zone == z }), end)
	}
	for k, r := range m.place {
		bound := m.bound(func(e *world.Endpoint) bool { return e.Zone == k.zone && e.Partner.No == k.partner })
		if bound >= minJudgedRate {
			out.PlaceOver.add(r, bound, end)
		}
	}
	m.plans(out, f)
	m.traffic(out, f)
	return out
}

// bound is the capacity of endpoints in calls a second, after slow start and without faults.
func (m *measure) bound(of func(*world.Endpoint) bool) (sum float64) {
	for _, e := range m.w.Endpoints {
		if of(e) {
			sum += e.Bound()
		}
	}
	return sum
}

// add adds a receiver's seconds. Only seconds in which at least a tenth of the load was moved there count: the rest comes
// from its own zone, which no plan causes.
func (o *Overload) add(r *received, bound float64, end int) {
	run := 0
	for s := range end {
		over := at(r.all, s) / bound
		if at(r.moved, s) < 0.1*at(r.all, s) {
			run = 0
			continue
		}
		o.Most = math.Max(o.Most, over)
		if run++; over <= overloadFactor {
			run = 0
		}
		o.Seconds = max(o.Seconds, run)
	}
}

func (m *measure) plans(out *Figures, f *fleet) {
	out.Plans = max(0, len(f.epochs)-1)
	for i := range f.epochs {
		n := 0
		for _, e := range f.epochs[max(1, i):] {
			if e.at-f.epochs[i].at < time.Minute {
				n++
			}
		}
		out.PlansAMinute = max(out.PlansAMinute, n)
	}
	for _, e := range f.epochs {
		moves := slices.ContainsFunc(e.plan.Routes, func(r plan.Route) bool { return r.Phase == plan.Diverted })
		if fell := view.Uptime(m.o.From * float64(time.Second)); e.at < fell || !moves {
			continue
		} else if need := int(math.Ceil(0.95 * float64(len(f.order)))); len(e.reached) >= need {
			var all []view.Uptime
			for _, when := range e.reached {
				all = append(all, when)
			}
			slices.Sort(all)
			out.InForce = (all[need-1] - fell).Seconds()
			return
		}
	}
}

func (m *measure) traffic(out *Figures, f *fleet) {
	long := m.o.Spec.Seconds
	sum := Traffic{}
	for _, p := range f.order {
		t := f.traffic[p.name]
		sum.Out, sum.In, sum.Bytes = sum.Out+t.Out, sum.In+t.In, sum.Bytes+t.Bytes
		out.MostMessages = max(out.MostMessages, float64(t.Out+t.In)/long)
	}
	n := max(1, len(f.order))
	out.Messages, out.BytesS = float64(sum.Out)/long/float64(n), float64(sum.Bytes)/long/float64(n)
}

// print writes the plans with their times, and the share of calls that left their home by second.
func (f *Figures) print(to io.Writer) {
	for _, e := range f.epochs {
		by := map[plan.Phase]int{}
		moved := map[view.Zone]float64{}
		for _, r := range e.plan.Routes {
			by[r.Phase]++
			moved[r.From] += 1 - r.NearShare
		}
		fmt.Fprintf(to, "%6.2f epoch %d %v %v\n", e.at.Seconds(), e.plan.Epoch, by, moved)
	}
	for s, v := range f.Leaves {
		fmt.Fprintf(to, "%d:%.1f%% ", s, 100*v)
	}
	fmt.Fprintln(to)
}
