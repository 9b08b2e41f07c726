package plan_test

import (
	"fmt"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/failover/weigh"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// fleet is a small model: processes in zones send an even rate to one place a zone, which do so much or nothing. It
// plays half seconds: what was seen is weighed, planned and in force at the next.
type fleet struct {
	t         *testing.T
	now       view.Now
	regions   map[view.Zone]view.Region
	zones     []view.Zone
	dests     []choice.DestinationID
	rate, can map[view.Zone]float64 // calls a second of one destination: handed in; done
	part      map[view.Zone]float64 // of can that is left, 1 if missing
	cut       map[[2]view.Zone]bool // from, to
	mute      map[view.Zone]bool    // its reports do not arrive
	told      bool                  // limits are told
	seen      map[view.Zone][]healthreport.Sample
	board     *weigh.Board
	planner   *plan.Planner
	inForce   plan.InForce
	changes   []view.Now
	over      map[healthreport.Locality]time.Duration // for how long over 1.1 of what it can do, by what was moved
	far, all  float64                                 // calls of the last half second
	deadPlan  bool                                    // nothing is decided
}

const tick = 500 * time.Millisecond

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, regions: map[view.Zone]view.Region{"a1": "A", "a2": "A", "b1": "B", "b2": "B"},
		zones: []view.Zone{"a1", "a2", "b1", "b2"}, dests: []choice.DestinationID{1, 2, 3}, told: true,
		rate: map[view.Zone]float64{}, can: map[view.Zone]float64{}, part: map[view.Zone]float64{},
		cut: map[[2]view.Zone]bool{}, mute: map[view.Zone]bool{}, seen: map[view.Zone][]healthreport.Sample{},
		over: map[healthreport.Locality]time.Duration{}, board: weigh.NewBoard(weigh.Usual()), planner: plan.New(plan.Usual())}
	for _, z := range f.zones {
		f.rate[z], f.can[z] = 60, 100
	}
	return f
}

func (f *fleet) left(z view.Zone) float64 {
	if p, set := f.part[z]; set {
		return p
	}
	return 1
}

// goes is how a zone's calls to a destination are spread.
func (f *fleet) goes(d choice.DestinationID, from view.Zone) map[view.Zone]float64 {
	p := f.inForce.Plan()
	r, found := p.Find(d, from)
	switch {
	case !found:
		return map[view.Zone]float64{from: 1}
	case r.Phase == plan.Free:
		return map[view.Zone]float64{from: 0.5, "a2": 0.25, "b1": 0.25}
	}
	to := map[view.Zone]float64{from: r.Near}
	for _, s := range r.Shares {
		to[s.Zone] += s.Part
	}
	return to
}

func (f *fleet) step() {
	f.now += tick
	f.far, f.all = 0, 0
	load, moved := map[healthreport.Locality]float64{}, map[healthreport.Locality]float64{}
	for _, d := range f.dests {
		for _, from := range f.zones {
			for to, part := range f.goes(d, from) {
				at := healthreport.Locality{Destination: d, Zone: to}
				load[at] += f.rate[from] * part
				f.all += f.rate[from] * part
				if to != from {
					moved[at] += f.rate[from] * part
					f.far += f.rate[from] * part
				}
			}
		}
	}
	for at, m := range moved {
		if can := f.can[at.Zone] * f.left(at.Zone); m > 0.01 && load[at] > 1.1*can && can > 0 {
			f.over[at] += tick
		}
	}
	for _, from := range f.zones {
		f.sights(from, load)
		if reports := weigh.Zonal(from, f.seen[from], weigh.Usual()); !f.mute[from] {
			f.board.Put(f.now, reports)
		}
	}
	if f.deadPlan {
		return
	}
	f.planner.Members(f.regions)
	f.planner.Judged(f.now, weigh.Judge(f.board.Fresh(f.now), weigh.Usual()))
	if next, some := f.planner.Step(f.now); some {
		f.decide(next)
	}
}

func (f *fleet) decide(next plan.Plan) {
	body := must(jsonOf(next))
	if _, err := f.inForce.Apply(1, f.now, plan.Kind, body); err != nil {
		f.t.Fatal(err)
	}
	f.planner.Applied(f.now, f.inForce.Plan())
	if next.Epoch > 1 {
		f.changes = append(f.changes, f.now)
	}
}

// sights makes the sightings of the last second, of two processes a zone.
func (f *fleet) sights(from view.Zone, load map[healthreport.Locality]float64) {
	var all []healthreport.Sample
	for _, s := range f.seen[from] {
		if s.Age += tick; s.Age <= tick {
			all = append(all, s)
		}
	}
	for _, d := range f.dests {
		to := f.goes(d, from)
		for _, z := range f.zones {
			at := healthreport.Locality{Destination: d, Zone: z}
			for w := range 2 {
				s := healthreport.Sample{Locality: at, Witness: view.Name(fmt.Sprint(from, "-", w)), From: from, Span: tick, Endpoints: 2}
				if f.told {
					s.Limit = f.can[z]
				}
				s.Sent = f.rate[from] * to[z] * tick.Seconds() / 2
				can := f.can[z] * f.left(z)
				if can == 0 || f.cut[[2]view.Zone{from, z}] {
					s.Failed, s.Silent = s.Sent, s.Sent
				} else {
					s.Done = s.Sent * min(1, can/max(1e-9, load[at]))
					s.Refused = s.Sent - s.Done
				}
				all = append(all, s)
			}
		}
	}
	f.seen[from] = all
}

func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; {
		f.step()
	}
}

func (f *fleet) until(what string, within time.Duration, done func() bool) {
	f.t.Helper()
	begun := f.now
	for !done() {
		if f.now-begun > within {
			f.t.Fatalf("%s: not within %v; plan %+v", what, within, f.inForce.Plan().Routes)
		}
		f.step()
	}
	f.t.Logf("%s: after %v", what, f.now-begun)
}

// away tells whether hardly anything of a zone still goes near.
func (f *fleet) away(from view.Zone) func() bool {
	return func() bool {
		for _, d := range f.dests {
			if f.goes(d, from)[from] > 0.1 {
				return false
			}
		}
		return true
	}
}

func (f *fleet) near() bool { return f.far == 0 }

func (f *fleet) fits() {
	f.t.Helper()
	for at, span := range f.over {
		if span > time.Second {
			f.t.Errorf("%v was over 1.1 of what it can do for %v", at, span)
		}
	}
}

// to is what a zone sends to another, as a part, at the most over destinations.
func (f *fleet) to(from, z view.Zone) (most float64) {
	for _, d := range f.dests {
		most = max(most, f.goes(d, from)[z])
	}
	return most
}
