package plan_test

import (
	"fmt"
	"testing"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/failover/weigh"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// large is 12 zones in 4 regions, each of which sends to its own place of so many destinations.
func large(destinations int, dead view.Zone) (map[view.Zone]view.Region, []weigh.Report) {
	regions := map[view.Zone]view.Region{}
	var all []weigh.Report
	for i := range 12 {
		z := view.Zone(fmt.Sprintf("z%02d", i))
		regions[z] = view.Region(fmt.Sprint("r", i/3))
		for d := range destinations {
			r := weigh.Report{Locality: healthreport.Locality{Destination: choice.DestinationID(d), Zone: z}, From: z, Processes: 80,
				Well: 9, Successes: 20, Sent: 20, Done: 20, Limit: 40, Endpoints: 3}
			if z == dead {
				r.Well, r.Bad, r.Successes, r.Failures, r.Done = 0, 9, 0, 20, 0
			}
			all = append(all, r)
		}
	}
	return regions, all
}

// What the council cannot take is cut to what it can, and the largest stay.
func TestAPlanIsSmallEnough(t *testing.T) {
	regions, reports := large(1900, "")
	p := plan.New(plan.Usual())
	p.Members(regions)
	p.Judged(0, weigh.Judge(reports, weigh.Usual()))
	first, _ := p.Step(0)
	p.Applied(0, first)
	_, reports = large(1900, "z00")
	p.Judged(2*second, weigh.Judge(reports, weigh.Usual()))
	next, some := p.Step(2 * second)
	if !some || len(next.Routes) < 1000 || next.Bytes() > 256<<10 || next.Check() != nil {
		t.Errorf("%d routes in %d bytes, %v", len(next.Routes), next.Bytes(), next.Check())
	}
	t.Logf("%d routes in %d bytes", len(next.Routes), next.Bytes())
}

func BenchmarkTurn(b *testing.B) {
	regions, well := large(1000, "")
	_, bad := large(1000, "z00")
	p := plan.New(plan.Usual())
	p.Members(regions)
	now := view.Now(0)
	for i := 0; b.Loop(); i++ {
		reports := well
		if i%40 > 20 {
			reports = bad
		}
		now += second / 2
		p.Judged(now, weigh.Judge(reports, weigh.Usual()))
		if next, some := p.Step(now); some {
			p.Applied(now, next)
		}
	}
}
