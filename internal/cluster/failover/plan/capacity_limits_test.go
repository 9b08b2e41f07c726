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

// Whatever is judged, no plan gives a place more than its limit less the demand of its own zone; no fraction is
// negative; epochs follow each other; and nothing is sent to a place that answers nobody.
func TestPlansStayWithinCapacity(t *testing.T) {
	zones := []view.Zone{"a1", "a2", "b1", "b2"}
	regions := map[view.Zone]view.Region{"a1": "A", "a2": "A", "b1": "B", "b2": "B"}
	rapid.Check(t, func(t *rapid.T) {
		set := plan.DefaultSettings()
		p, now, epoch := plan.New(set), view.Uptime(0), view.Epoch(0)
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
			p.UpdateHealth(now, placeHealth(zones, rate, limit, failing))
			next, found := p.Step(now)
			if !found {
				continue
			}
			if next.Epoch != epoch+1 {
				t.Fatalf("epoch %d after %d", next.Epoch, epoch)
			}
			if err := next.Check(); err != nil {
				t.Fatal(err)
			}
			if expectWithinCapacity(t, next, rate, limit, failing); rapid.Bool().Draw(t, "applied") {
				epoch++
				p.PlanInForce(now, next)
			}
		}
	})
}

func expectWithinCapacity(t *rapid.T, next plan.Plan, rate, limit map[view.Zone]float64, failing map[view.Zone]bool) {
	given, near := map[view.Zone]float64{}, maps.Clone(rate)
	for _, r := range next.Routes {
		near[r.From] = rate[r.From] * r.NearShare
		for _, s := range r.Shares {
			given[s.Zone] += s.Fraction * rate[r.From]
		}
	}
	for z, g := range given {
		if failing[z] && g > 0.01 {
			t.Fatalf("%v goes to %v, where nobody is answered: %+v", g, z, next.Routes)
		}
		if g+near[z] > 1.1*limit[z]+0.5 {
			t.Fatalf("%v gets %v beside %v of its own, of %v: %+v", z, g, near[z], limit[z], next.Routes)
		}
	}
}

// placeHealth is as if each zone tried each place each time, and had its messages done at the first that answers.
func placeHealth(zones []view.Zone, rate, limit map[view.Zone]float64, failing map[view.Zone]bool) (all []assess.LocalityHealth) {
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
			pair := assess.ZoneView{From: from, State: s.State, SuccessShare: 1}
			if served[from] == z {
				pair.Done = rate[from]
			}
			s.Done += pair.Done
			s.ByZone = append(s.ByZone, pair)
		}
		all = append(all, s)
	}
	return all
}
