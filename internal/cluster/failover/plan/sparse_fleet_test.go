package plan_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// sparseFleet simulates a fleet in which each destination has few calls. Each zone has six senders and sends 0.5 to 8
// calls per second to each of twelve destinations. One call in a hundred fails at random. No limits are known, and a
// sample covers the last second. A step is half a second.
//
// As with package choice, a sender ejects its near locality after two failed calls, and then does not send there unless
// a route of the plan says so.
type sparseFleet struct {
	random      *rand.Rand
	now         view.Uptime
	failing     map[view.Zone]bool                                          // zones in which all calls fail
	lastReports map[healthreport.Locality]map[view.Name]healthreport.Sample // samples of the last half second
	ejected     map[healthreport.Locality]map[view.Name]bool                // by sender
	reportTable *assess.ReportTable
	planner     *plan.Planner
	plan        plan.Plan     // in force
	planChanges []view.Uptime // times of all plans
	nearShare   float64       // share of a1's calls that went near in the last half second
	leftZone    float64       // calls of all zones since the start that left their zone
	totalCalls  float64       // calls of all zones since the start
}

// poisson draws a Poisson-distributed number.
func (s *sparseFleet) poisson(mean float64) float64 {
	n, p := 0.0, s.random.Float64()
	for limit := math.Exp(-mean); p > limit; p *= s.random.Float64() {
		n++
	}
	return n
}

const sparseSenders = 6 // per zone

var sparseZones = []view.Zone{"a1", "a2", "b1", "b2"}

// sparseRate returns the calls per second from each zone to a destination.
func sparseRate(d choice.DestinationID) float64 { return 0.5 * math.Exp2(float64(d)/2.75) }

// step simulates half a second.
func (s *sparseFleet) step() {
	s.now += halfSecond
	near, all := 0.0, 0.0
	for _, from := range sparseZones {
		var rows []healthreport.Sample
		for d := range choice.DestinationID(12) {
			shares, planned := s.sharesOf(d, from)
			for w := range sparseSenders {
				name := view.Name(fmt.Sprint(from, w))
				for _, to := range sparseZones {
					at := healthreport.Locality{Destination: d, Zone: to}
					mean := sparseRate(d) / sparseSenders * halfSecond.Seconds() * shares[to]
					if to == from && s.ejected[at][name] && !planned {
						mean = 0 // a sender does not use an ejected locality while it can use others
					}
					row := s.drawCalls(at, name, from, mean)
					if all += row.Sent; to == from {
						near += row.Sent
					}
					rows = append(rows, s.overOneSecond(at, name, row))
				}
			}
		}
		s.reportTable.Put(s.now, assess.SummarizeZone(from, rows, assess.DefaultBounds()))
		if from == "a1" {
			s.nearShare = near / max(1, all)
		}
	}
	s.leftZone, s.totalCalls = s.leftZone+all-near, s.totalCalls+all
	s.planner.UpdateHealth(s.now, assess.CombineReports(s.reportTable.Fresh(s.now), assess.DefaultBounds()))
	if next, found := s.planner.Step(s.now); found {
		s.plan = next
		s.planner.SetPlanInForce(s.now, next)
		s.planChanges = append(s.planChanges, s.now)
	}
}

// sharesOf returns the share of a zone's calls to a destination that goes to each zone. planned says whether the plan in
// force has a route for these calls.
func (s *sparseFleet) sharesOf(d choice.DestinationID, from view.Zone) (shares map[view.Zone]float64, planned bool) {
	shares = map[view.Zone]float64{from: 1}
	r, found := s.plan.Find(d, from)
	if found && r.Phase != plan.Unrestricted {
		shares[from] = r.NearShare
		for _, share := range r.Shares {
			shares[share.Zone] = share.Fraction
		}
	}
	return shares, found
}

// overOneSecond stores a sender's sample of this half second and returns its sum with the sample of the half second
// before.
func (s *sparseFleet) overOneSecond(at healthreport.Locality, name view.Name, row healthreport.Sample) healthreport.Sample {
	old, known := s.lastReports[at][name]
	s.lastReports[at][name] = row
	if !known {
		return row
	}
	old.Age += halfSecond
	return sumOf(row, old)
}

// drawCalls draws the calls of one sender to one locality in half a second, updates whether the sender ejects the
// locality, and returns the sample.
func (s *sparseFleet) drawCalls(at healthreport.Locality, name view.Name, from view.Zone, mean float64) healthreport.Sample {
	if s.lastReports[at] == nil {
		s.lastReports[at], s.ejected[at] = map[view.Name]healthreport.Sample{}, map[view.Name]bool{}
	}
	row := healthreport.Sample{Locality: at, Reporter: name, ReporterZone: from, Span: halfSecond, Endpoints: 2, Sent: s.poisson(mean)}
	for range int(row.Sent) {
		if s.failing[at.Zone] || s.random.Float64() < 0.01 {
			row.Failed++
		} else {
			row.Done++
		}
	}
	switch {
	case row.Done > 0:
		s.ejected[at][name] = false
	case row.Failed >= 2:
		s.ejected[at][name] = true
	}
	return row
}

// sumOf returns a with the counts and the span of b added.
func sumOf(a, b healthreport.Sample) healthreport.Sample {
	a.Sent, a.Done, a.Failed, a.Span = a.Sent+b.Sent, a.Done+b.Done, a.Failed+b.Failed, a.Span+b.Span
	return a
}

// TestFewCallsAndRandomFailures checks that random failures of single calls cause no diversion, that a zone that fails is
// diverted within 3 seconds, and that it returns within 25 seconds, although each destination has few calls.
func TestFewCallsAndRandomFailures(t *testing.T) {
	s := &sparseFleet{random: rand.New(rand.NewPCG(1, 2)), failing: map[view.Zone]bool{}, reportTable: assess.NewReportTable(assess.DefaultBounds()),
		lastReports: map[healthreport.Locality]map[view.Name]healthreport.Sample{}, ejected: map[healthreport.Locality]map[view.Name]bool{},
		planner: plan.New(plan.DefaultSettings())}
	s.planner.SetRegions(map[view.Zone]view.Region{"a1": "A", "a2": "A", "b1": "B", "b2": "B"})
	run := func(span time.Duration) {
		for end := s.now + span; s.now < end; {
			s.step()
		}
	}
	run(time.Minute)
	if len(s.planChanges) > 1 || s.leftZone > 0.02*s.totalCalls {
		t.Errorf("without a failure there are plans at %v, and a share of %.4f of the calls left its zone", s.planChanges, s.leftZone/s.totalCalls)
	}
	failedAt, n := s.now, len(s.planChanges)
	s.failing["a1"] = true
	for s.nearShare > 0.15 && s.now < failedAt+20*time.Second {
		s.step()
	}
	t.Logf("diverted after %v in %d plans", s.now-failedAt, len(s.planChanges)-n)
	if s.now-failedAt > 3*time.Second {
		t.Errorf("diverted only after %v, want at most 3s", s.now-failedAt)
	}
	run(12 * time.Second)
	n = len(s.planChanges)
	s.failing["a1"] = false
	healthyAt := s.now
	for len(s.plan.Routes) > 0 && s.now < healthyAt+time.Minute {
		s.step()
	}
	t.Logf("returned after %v in %d plans", s.now-healthyAt, len(s.planChanges)-n)
	if s.now-healthyAt > 25*time.Second {
		t.Errorf("returned only after %v, want at most 25s: %+v", s.now-healthyAt, s.plan.Routes)
	}
}
