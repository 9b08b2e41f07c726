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

// sparseFleet is a fleet in which each destination has few calls: six senders a zone, twelve destinations of 0.5 to 8
// calls a second a zone, one call in a hundred fails at random, no limits are known, digests cover one sliding second.
// A sender that saw two calls fail stops sending near unless the plan makes it, as package choice does.
type sparseFleet struct {
	random      *rand.Rand
	now         view.Uptime
	failing     map[view.Zone]bool
	lastReports map[healthreport.Locality]map[view.Name]healthreport.Sample
	ejected     map[healthreport.Locality]map[view.Name]bool
	reportTable *assess.ReportTable
	planner     *plan.Planner
	plan        plan.Plan
	planChanges []view.Uptime
	nearShare   float64 // share of a1's calls that went near in the last half second
	leftZone    float64 // of all zones' calls, those that left their zone since the start
	totalCalls  float64
}

func (s *sparseFleet) poisson(mean float64) float64 {
	n, p := 0.0, s.random.Float64()
	for limit := math.Exp(-mean); p > limit; p *= s.random.Float64() {
		n++
	}
	return n
}

const sparseSenders = 6 // of a zone

var sparseZones = []view.Zone{"a1", "a2", "b1", "b2"}

// sparseRate is in calls a second of a zone.
func sparseRate(d choice.DestinationID) float64 { return 0.5 * math.Exp2(float64(d)/2.75) }

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
						mean = 0 // a sender does not try what it ejected while others can be used
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
	s.planner.UpdateHealth(s.now, assess.Judge(s.reportTable.Fresh(s.now), assess.DefaultBounds()))
	if next, some := s.planner.Step(s.now); some {
		s.plan = next
		s.planner.PlanInForce(s.now, next)
		s.planChanges = append(s.planChanges, s.now)
	}
}

// sharesOf is where a zone's calls to a destination go; planned if a route of the plan in force says so.
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

// overOneSecond joins a sender's half second to the one before it.
func (s *sparseFleet) overOneSecond(at healthreport.Locality, name view.Name, row healthreport.Sample) healthreport.Sample {
	old, known := s.lastReports[at][name]
	s.lastReports[at][name] = row
	if !known {
		return row
	}
	old.Age += halfSecond
	return sumOf(row, old)
}

// drawCalls is half a second of one sender at one place.
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

func sumOf(a, b healthreport.Sample) healthreport.Sample {
	a.Sent, a.Done, a.Failed, a.Span = a.Sent+b.Sent, a.Done+b.Done, a.Failed+b.Failed, a.Span+b.Span
	return a
}

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
		t.Errorf("all is well: plans at %v, %.4f of calls left their zone", s.planChanges, s.leftZone/s.totalCalls)
	}
	failedAt, n := s.now, len(s.planChanges)
	s.failing["a1"] = true
	for s.nearShare > 0.15 && s.now < failedAt+20*time.Second {
		s.step()
	}
	t.Logf("moved after %v in %d plans", s.now-failedAt, len(s.planChanges)-n)
	if s.now-failedAt > 3*time.Second {
		t.Errorf("moved only after %v", s.now-failedAt)
	}
	run(12 * time.Second)
	n = len(s.planChanges)
	s.failing["a1"] = false
	healthyAt := s.now
	for len(s.plan.Routes) > 0 && s.now < healthyAt+time.Minute {
		s.step()
	}
	t.Logf("back after %v in %d plans", s.now-healthyAt, len(s.planChanges)-n)
	if s.now-healthyAt > 25*time.Second {
		t.Errorf("back only after %v: %+v", s.now-healthyAt, s.plan.Routes)
	}
}
