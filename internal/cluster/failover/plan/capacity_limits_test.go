package plan_test

import (
	"maps"
	"testing"

	"pgregory.net/rapid"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// TestPlansStayWithinCapacity checks plans for random health: no plan sends more to a locality than its limit less the
// demand of its own zone, no fraction is negative, each epoch follows the one before, and nothing is sent to a locality
// that answers no zone.
func TestPlansStayWithinCapacity(t *testing.T) {
	zones := []view.Zone{"a1", "a2", "b1", "b2"}
	regions := map[view.Zone]view.Region{"a1": "A", "a2": "A", "b1": "B", "b2": "B"}
	rapid.Check(t, func(t *rapid.T) {
		settings := plan.DefaultSettings()
		p, now, epoch := plan.New(settings), view.Uptime(0), view.Epoch(0)
		p.SetRegions(regions)
		rate, limit := map[view.Zone]float64{}, map[view.Zone]float64{}
		failing := map[view.Zone]bool{}
		for _, z := range zones {
			rate[z] = float64(rapid.IntRange(1, 80).Draw(t, "rate"))
			limit[z] = rate[z] + float64(rapid.IntRange(0, 80).Draw(t, "spare"))
		}
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			now += view.Uptime(rapid.IntRange(1, 30).Draw(t, "tenths")) * second / 10
			if rapid.IntRange(0, 9).Draw(t, "turn") == 0 {
				z := rapid.SampledFrom(zones).Draw(t, "zone")
				failing[z] = !failing[z]
			}
			p.UpdateHealth(now, healthOf(zones, rate, limit, failing))
			next, found := p.Step(now)
			if !found {
				continue
			}
			if next.Epoch != epoch+1 {
				t.Fatalf("the plan after epoch %d has epoch %d", epoch, next.Epoch)
			}
			if err := next.Check(); err != nil {
				t.Fatal(err)
			}
			if expectWithinCapacity(t, next, rate, limit, failing); rapid.Bool().Draw(t, "applied") {
				epoch++
				p.SetPlanInForce(now, next)
			}
		}
	})
}

// expectWithinCapacity fails the test if a plan diverts calls to a failing zone, or more calls than a zone has capacity
// for. Rates and limits are calls per second by zone.
func expectWithinCapacity(t *rapid.T, next plan.Plan, rate, limit map[view.Zone]float64, failing map[view.Zone]bool) {
	diverted, near := map[view.Zone]float64{}, maps.Clone(rate)
	for _, r := range next.Routes {
		near[r.From] = rate[r.From] * r.NearShare
		for _, s := range r.Shares {
			diverted[s.Zone] += s.Fraction * rate[r.From]
		}
	}
	for z, received := range diverted {
		if failing[z] && received > 0.01 {
			t.Fatalf("%v calls per second are diverted to %v, which is failing: %+v", received, z, next.Routes)
		}
		if received+near[z] > 1.1*limit[z]+0.5 {
			t.Fatalf("%v receives %v diverted calls per second and %v of its own, above its limit of %v: %+v", z, received, near[z], limit[z], next.Routes)
		}
	}
}

// healthOf returns the health of the locality in each zone, as if each zone sent calls to all localities and the first one
// that answers, beginning with its own, did all its calls.
func healthOf(zones []view.Zone, rate, limit map[view.Zone]float64, failing map[view.Zone]bool) (all []assess.LocalityHealth) {
	served := map[view.Zone]view.Zone{}
	for _, from := range zones {
		for _, z := range append([]view.Zone{from}, zones...) {
			if _, done := served[from]; !done && !failing[z] {
				served[from] = z
			}
		}
	}
	for _, z := range zones {
		s := assess.LocalityHealth{Locality: healthreport.Locality{Destination: choice.DestinationID(1), Zone: z}, State: assess.Healthy, SuccessShare: 1,
			Limit: limit[z], Endpoints: 1}
		if failing[z] {
			s.State = assess.Failing
		}
		for _, from := range zones {
			seen := assess.ZoneView{From: from, State: s.State, SuccessShare: 1}
			if served[from] == z {
				seen.Done = rate[from]
			}
			s.Done += seen.Done
			s.ByZone = append(s.ByZone, seen)
		}
		all = append(all, s)
	}
	return all
}
