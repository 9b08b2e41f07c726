package plan_test

import (
	"fmt"
	"testing"

	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/view"
)

// largeFleet has 12 zones in 4 regions.
var largeFleet = fleetShape{zones: 12, processes: 80, endpoints: 3, zoneName: "z%02d",
	region: func(zone int) view.Region { return view.Region(fmt.Sprint("r", zone/3)) }}

// TestLargePlanIsTrimmed checks that a plan is trimmed to the size of a command that the consensus group accepts, 256 KB,
// and still has at least a thousand routes.
func TestLargePlanIsTrimmed(t *testing.T) {
	regions, reports := largeFleet.reports(1900, "")
	p := plan.New(plan.DefaultSettings())
	p.SetRegions(regions)
	p.UpdateHealth(0, assess.CombineReports(reports, assess.DefaultBounds()))
	first, _ := p.Step(0)
	p.SetPlanInForce(0, first)
	_, reports = largeFleet.reports(1900, "z00")
	p.UpdateHealth(2*second, assess.CombineReports(reports, assess.DefaultBounds()))
	next, found := p.Step(2 * second)
	if !found || len(next.Routes) < 1000 || next.EncodedSize() > 256<<10 || next.Check() != nil {
		t.Errorf("the plan has %d routes in %d bytes: %v", len(next.Routes), next.EncodedSize(), next.Check())
	}
	t.Logf("%d routes in %d bytes", len(next.Routes), next.EncodedSize())
}

// BenchmarkTurn measures one assessment and step of a planner, with one zone failing half of the time.
func BenchmarkTurn(b *testing.B) {
	regions, healthy := largeFleet.reports(1000, "")
	_, failing := largeFleet.reports(1000, "z00")
	p := plan.New(plan.DefaultSettings())
	p.SetRegions(regions)
	now := view.Uptime(0)
	for i := 0; b.Loop(); i++ {
		reports := healthy
		if i%40 > 20 {
			reports = failing
		}
		now += second / 2
		p.UpdateHealth(now, assess.CombineReports(reports, assess.DefaultBounds()))
		if next, found := p.Step(now); found {
			p.SetPlanInForce(now, next)
		}
	}
}
