package size

// This file computes the figures of a run. The measurement must not influence the run.

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
	calmShare      = 0.02 // largest share of calls that may go away from home without a fault
	warmUp         = 4    // seconds at the start that are not measured: there is no plan and no learned state yet
	windowSeconds  = 2    // seconds over which the share of calls away from home is averaged to find their return
	overloadFactor = 1.1  // load divided by capacity above which a receiver counts as overloaded
	minJudgedRate  = 50.0 // lowest capacity, in calls a second, of a locality that is measured: below it, chance alone exceeds overloadFactor
)

// Figures holds the figures of a run. A call goes away from home if isHome is false for its endpoint. Times are in seconds.
type Figures struct {
	*referee.Verdict
	Value                             float64   // delivered value of the messages that were submitted between the start of the first fault and the end of the last
	AwayBefore, AwayDuring, AwayAfter float64   // share of calls away from home before and during the faults, and in the last five seconds
	ReturnedAfter                     float64   // time from the end of the faults until the share of calls away from home stays as low as before them; -1 for never
	ZoneOverload                      Overload  // of the endpoints of a zone together, while calls from elsewhere arrive there
	LocalityOverload                  Overload  // of the endpoints of a locality with a capacity of at least minJudgedRate, likewise
	Plans                             int       // number of plans after the first, which diverts nothing
	PlansAMinute                      int       // largest number of plans within a minute
	InForceAfter                      float64   // time from the first fault until a plan with diversions is in force at 95% of the processes; -1 for never
	MessagesPerSecond, BytesPerSecond float64   // messages and bytes that a process sent per second, on average
	MaxMessagesPerSecond              float64   // messages that the busiest process sent and received per second
	Hash                              uint64    // of all decided plans and the times of their decisions
	AwayBySecond                      []float64 // share of calls away from home, by second

	valueBySecond []float64
	epochs        []epoch
}

// Overload measures how far and for how long the load of receivers exceeded their capacity.
type Overload struct {
	Peak    float64 // highest load divided by capacity
	Seconds int     // largest number of consecutive seconds above overloadFactor
}

// valueTally sums the delivered value by the second in which a message was submitted.
type valueTally struct{ bySecond []float64 }

func (g *valueTally) delivered(asked choice.Time, value float64) {
	addAt(&g.bySecond, asked, value)
}

// addAt adds v to the element for the second of at, and extends the slice as needed.
func addAt(to *[]float64, at choice.Time, v float64) {
	second := int(max(0, at) / choice.Second)
	for len(*to) <= second {
		*to = append(*to, 0)
	}
	(*to)[second] += v
}

// valueAt returns an element, or 0 outside the slice.
func valueAt(of []float64, second int) float64 {
	if second < 0 || second >= len(of) {
		return 0
	}
	return of[second]
}

// locality identifies the endpoints of a partner in a zone.
type locality struct {
	partner world.PartnerNo
	zone    int
}

// measure collects the measurements of one run.
type measure struct {
	options    *Options
	world      *world.World
	value      valueTally
	calls      []float64
	away       []float64
	zones      map[int]*received
	localities map[locality]*received
}

// received counts the calls that a receiver ended, by second: all, and those away from home.
type received struct{ all, away []float64 }

func newMeasure(o *Options) *measure {
	return &measure{options: o, zones: map[int]*received{}, localities: map[locality]*received{}}
}

// recordCall counts a call that an endpoint has ended. Health probes are not counted.
func (m *measure) recordCall(now choice.Time, c *world.Call, _ int) {
	e := c.Conn.Endpoint
	if c.Probe {
		return
	}
	from := m.world.Zone(c.Conn.Sender)
	moved := 0.0
	if !m.isHome(from, e) {
		moved = 1
	}
	addAt(&m.calls, now, 1)
	addAt(&m.away, now, moved)
	k := locality{e.Partner.No, e.Zone}
	if m.zones[e.Zone] == nil {
		m.zones[e.Zone] = &received{}
	}
	if m.localities[k] == nil {
		m.localities[k] = &received{}
	}
	for _, r := range []*received{m.zones[e.Zone], m.localities[k]} {
		addAt(&r.all, now, 1)
		addAt(&r.away, now, moved)
	}
}

// isHome reports whether an endpoint is at home for the messages of a zone, that is, where they go without faults: in the same
// zone if the partner has an endpoint there, or else in the same region, or else anywhere.
func (m *measure) isHome(from int, e *world.Endpoint) bool {
	near, region := false, false
	for _, other := range e.Partner.Endpoints {
		near = near || other.Zone == from
		region = region || m.options.Region(other.Zone) == m.options.Region(from)
	}
	switch {
	case near:
		return e.Zone == from
	case region:
		return m.options.Region(e.Zone) == m.options.Region(from)
	}
	return true
}

// awayShare returns the share of calls away from home in the seconds from from to before to.
func (m *measure) awayShare(from, to int) float64 {
	calls, away := 0.0, 0.0
	for s := from; s < to; s++ {
		calls, away = calls+valueAt(m.calls, s), away+valueAt(m.away, s)
	}
	if calls == 0 {
		return 0
	}
	return away / calls
}

// figures computes the figures of a run that has ended.
func (m *measure) figures(v *referee.Verdict, f *fleet) *Figures {
	from, to, end := int(m.options.From), int(m.options.To), int(m.options.Spec.Seconds)
	out := &Figures{Verdict: v, AwayBefore: m.awayShare(warmUp, from), AwayDuring: m.awayShare(from, to), AwayAfter: m.awayShare(end-5, end), ReturnedAfter: -1,
		InForceAfter: -1, Hash: f.hash, epochs: f.epochs, valueBySecond: m.value.bySecond}
	for s := from; s < to; s++ {
		out.Value += valueAt(m.value.bySecond, s)
	}
	for s := range end {
		out.AwayBySecond = append(out.AwayBySecond, m.awayShare(s, s+1))
	}
	most := max(out.AwayBefore, calmShare)
	for s := end - windowSeconds; s >= to && m.awayShare(s, s+windowSeconds) <= most; s-- {
		out.ReturnedAfter = float64(s) - m.options.To
	}
	for z, r := range m.zones {
		out.ZoneOverload.add(r, m.capacity(func(e *world.Endpoint) bool { return e.Zone == z }), end)
	}
	for k, r := range m.localities {
		bound := m.capacity(func(e *world.Endpoint) bool { return e.Zone == k.zone && e.Partner.No == k.partner })
		if bound >= minJudgedRate {
			out.LocalityOverload.add(r, bound, end)
		}
	}
	m.addPlans(out, f)
	m.addTraffic(out, f)
	return out
}

// capacity returns the total capacity of the endpoints that match, in calls a second, without faults and after slow start.
func (m *measure) capacity(of func(*world.Endpoint) bool) (sum float64) {
	for _, e := range m.world.Endpoints {
		if of(e) {
			sum += e.Bound()
		}
	}
	return sum
}

// add includes the load of a receiver. It counts only seconds in which at least a tenth of the calls were away from home: all
// other load comes from the receiver's own zone, and no plan causes it.
func (o *Overload) add(r *received, bound float64, end int) {
	run := 0
	for s := range end {
		over := valueAt(r.all, s) / bound
		if valueAt(r.away, s) < 0.1*valueAt(r.all, s) {
			run = 0
			continue
		}
		o.Peak = math.Max(o.Peak, over)
		if run++; over <= overloadFactor {
			run = 0
		}
		o.Seconds = max(o.Seconds, run)
	}
}

// addPlans sets the figures on plans.
func (m *measure) addPlans(out *Figures, f *fleet) {
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
		if fell := view.Uptime(m.options.From * float64(time.Second)); e.at < fell || !moves {
			continue
		} else if need := int(math.Ceil(0.95 * float64(len(f.order)))); len(e.inForceAt) >= need {
			var all []view.Uptime
			for _, when := range e.inForceAt {
				all = append(all, when)
			}
			slices.Sort(all)
			out.InForceAfter = (all[need-1] - fell).Seconds()
			return
		}
	}
}

// addTraffic sets the figures on messages between processes.
func (m *measure) addTraffic(out *Figures, f *fleet) {
	long := m.options.Spec.Seconds
	sum := Traffic{}
	for _, p := range f.order {
		t := f.traffic[p.name]
		sum.Out, sum.In, sum.Bytes = sum.Out+t.Out, sum.In+t.In, sum.Bytes+t.Bytes
		out.MaxMessagesPerSecond = max(out.MaxMessagesPerSecond, float64(t.Out+t.In)/long)
	}
	n := max(1, len(f.order))
	out.MessagesPerSecond, out.BytesPerSecond = float64(sum.Out)/long/float64(n), float64(sum.Bytes)/long/float64(n)
}

// print writes the plans with their times, and the share of calls away from home by second.
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
	for s, v := range f.AwayBySecond {
		fmt.Fprintf(to, "%d:%.1f%% ", s, 100*v)
	}
	fmt.Fprintln(to)
}
