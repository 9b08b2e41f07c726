package plan_test

import (
	"fmt"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// fleet simulates zones whose processes send calls at a constant rate to the localities of three destinations. The
// locality of a destination in a zone has a fixed capacity, or fails. A step is half a second; the plan made from the
// reports of one step is in force in the next.
type fleet struct {
	t                    *testing.T
	now                  view.Uptime
	regions              map[view.Zone]view.Region
	zones                []view.Zone
	destinations         []choice.DestinationID
	rate, capacity       map[view.Zone]float64               // calls per second to each destination: demand of a zone, capacity of its locality
	working              map[view.Zone]float64               // fraction of the capacity that is left; 1 if missing
	brokenLinks          map[[2]view.Zone]bool               // links whose calls fail, from the first zone to the second
	unreportedZones      map[view.Zone]bool                  // zones whose reports do not arrive
	limitsKnown          bool                                // whether endpoints report their limit
	reports              map[view.Zone][]healthreport.Sample // samples of the last second, by reporting zone
	reportTable          *assess.ReportTable                 // at the leader
	planner              *plan.Planner                       // at the leader
	inForce              plan.InForce
	planChanges          []view.Uptime                           // times of all plans after the first
	overloadedFor        map[healthreport.Locality]time.Duration // for how long a locality with diverted calls was loaded above 1.1 of its capacity
	leftZone, totalCalls float64                                 // calls per second of the last step: those that left their zone, and all
	planningDisabled     bool                                    // step makes no plan
}

const halfSecond = 500 * time.Millisecond // duration of a step

// newFleet returns a fleet of four zones in two regions. Each zone sends 60 calls per second to each destination, and each
// locality has capacity for 100.
func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, regions: map[view.Zone]view.Region{"a1": "A", "a2": "A", "b1": "B", "b2": "B"},
		zones: []view.Zone{"a1", "a2", "b1", "b2"}, destinations: []choice.DestinationID{1, 2, 3}, limitsKnown: true,
		rate: map[view.Zone]float64{}, capacity: map[view.Zone]float64{}, working: map[view.Zone]float64{},
		brokenLinks: map[[2]view.Zone]bool{}, unreportedZones: map[view.Zone]bool{}, reports: map[view.Zone][]healthreport.Sample{},
		overloadedFor: map[healthreport.Locality]time.Duration{}, reportTable: assess.NewReportTable(assess.DefaultBounds()), planner: plan.New(plan.DefaultSettings())}
	for _, z := range f.zones {
		f.rate[z], f.capacity[z] = 60, 100
	}
	return f
}

// workingFraction returns the fraction of its capacity that a zone has left.
func (f *fleet) workingFraction(z view.Zone) float64 {
	if p, set := f.working[z]; set {
		return p
	}
	return 1
}

// distribution returns the share of a zone's calls to a destination that goes to each zone.
func (f *fleet) distribution(d choice.DestinationID, from view.Zone) map[view.Zone]float64 {
	p := f.inForce.Plan()
	r, found := p.Find(d, from)
	switch {
	case !found:
		return map[view.Zone]float64{from: 1}
	case r.Phase == plan.Unrestricted:
		return map[view.Zone]float64{from: 0.5, "a2": 0.25, "b1": 0.25}
	}
	to := map[view.Zone]float64{from: r.NearShare}
	for _, s := range r.Shares {
		to[s.Zone] += s.Fraction
	}
	return to
}

// step simulates half a second, with the plan made by the step before.
func (f *fleet) step() {
	f.now += halfSecond
	f.leftZone, f.totalCalls = 0, 0
	load, diverted := f.routeCalls()
	f.countOverloads(load, diverted)
	for _, from := range f.zones {
		f.updateReports(from, load)
		if reports := assess.SummarizeZone(from, f.reports[from], assess.DefaultBounds()); !f.unreportedZones[from] {
			f.reportTable.Put(f.now, reports)
		}
	}
	if f.planningDisabled {
		return
	}
	f.planner.SetRegions(f.regions)
	f.planner.UpdateHealth(f.now, assess.CombineReports(f.reportTable.Fresh(f.now), assess.DefaultBounds()))
	if next, found := f.planner.Step(f.now); found {
		f.decide(next)
	}
}

// routeCalls distributes the calls of a step according to the plan in force. It returns the calls per second that each
// locality receives, and those of them that come from other zones.
func (f *fleet) routeCalls() (load, diverted map[healthreport.Locality]float64) {
	load, diverted = map[healthreport.Locality]float64{}, map[healthreport.Locality]float64{}
	for _, d := range f.destinations {
		for _, from := range f.zones {
			for to, share := range f.distribution(d, from) {
				at, rate := healthreport.Locality{Destination: d, Zone: to}, f.rate[from]*share
				load[at] += rate
				f.totalCalls += rate
				if to != from {
					diverted[at] += rate
					f.leftZone += rate
				}
			}
		}
	}
	return load, diverted
}

// countOverloads adds a step to overloadedFor for each locality that receives diverted calls and is overloaded.
func (f *fleet) countOverloads(load, diverted map[healthreport.Locality]float64) {
	for at, rate := range diverted {
		capacity := f.capacity[at.Zone] * f.workingFraction(at.Zone)
		if rate > 0.01 && load[at] > 1.1*capacity && capacity > 0 {
			f.overloadedFor[at] += halfSecond
		}
	}
}

// decide puts a plan in force.
func (f *fleet) decide(next plan.Plan) {
	body := must(encode(next))
	if _, err := f.inForce.Apply(1, f.now, plan.Kind, body); err != nil {
		f.t.Fatal(err)
	}
	f.planner.SetPlanInForce(f.now, f.inForce.Plan())
	if next.Epoch > 1 {
		f.planChanges = append(f.planChanges, f.now)
	}
}

// updateReports adds the samples of this step, from two processes of a zone, and drops those older than the step before.
func (f *fleet) updateReports(from view.Zone, load map[healthreport.Locality]float64) {
	var samples []healthreport.Sample
	for _, s := range f.reports[from] {
		if s.Age += halfSecond; s.Age <= halfSecond {
			samples = append(samples, s)
		}
	}
	for _, d := range f.destinations {
		to := f.distribution(d, from)
		for _, z := range f.zones {
			at := healthreport.Locality{Destination: d, Zone: z}
			for w := range 2 {
				s := healthreport.Sample{Locality: at, Reporter: view.Name(fmt.Sprint(from, "-", w)), ReporterZone: from, Span: halfSecond, Endpoints: 2}
				if f.limitsKnown {
					s.Limit = f.capacity[z]
				}
				s.Sent = f.rate[from] * to[z] * halfSecond.Seconds() / 2
				capacity := f.capacity[z] * f.workingFraction(z)
				if capacity == 0 || f.brokenLinks[[2]view.Zone{from, z}] {
					s.Failed, s.Unanswered = s.Sent, s.Sent
				} else {
					s.Done = s.Sent * min(1, capacity/max(1e-9, load[at]))
					s.Rejected = s.Sent - s.Done
				}
				samples = append(samples, s)
			}
		}
	}
	f.reports[from] = samples
}

// run simulates a time span.
func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; {
		f.step()
	}
}

// until simulates until done returns true, and fails the test if that takes longer than within.
func (f *fleet) until(what string, within time.Duration, done func() bool) {
	f.t.Helper()
	started := f.now
	for !done() {
		if f.now-started > within {
			f.t.Fatalf("%s: not within %v; routes in force are %+v", what, within, f.inForce.Plan().Routes)
		}
		f.step()
	}
	f.t.Logf("%s: after %v", what, f.now-started)
}

// awayFrom returns a function that reports whether at most a tenth of a zone's calls to any destination goes near.
func (f *fleet) awayFrom(from view.Zone) func() bool {
	return func() bool {
		for _, d := range f.destinations {
			if f.distribution(d, from)[from] > 0.1 {
				return false
			}
		}
		return true
	}
}

// allNear reports whether no call left its zone in the last step.
func (f *fleet) allNear() bool { return f.leftZone == 0 }

// expectNoOverload reports an error for each locality that diverted calls overloaded for more than a second.
func (f *fleet) expectNoOverload() {
	f.t.Helper()
	for at, span := range f.overloadedFor {
		if span > time.Second {
			f.t.Errorf("%v was loaded above 1.1 of its capacity for %v", at, span)
		}
	}
}

// maxShare returns the largest share of a zone's calls to any destination that goes to zone z.
func (f *fleet) maxShare(from, z view.Zone) (largest float64) {
	for _, d := range f.destinations {
		largest = max(largest, f.distribution(d, from)[z])
	}
	return largest
}
