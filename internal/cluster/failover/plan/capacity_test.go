package plan_test

// Benchmarks whose results are in docs/CAPACITY.md: assessment and planning by number of destinations, with one report for
// each destination and zone, and the size of the plan.

import (
	"encoding/json"
	"fmt"
	"testing"

	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/view"
	"flaxcove/lab/capacity/bench"
)

// plannedFleet has 8 zones in 3 regions.
var plannedFleet = fleetShape{zones: 8, processes: 27, endpoints: 1, zoneName: "zone-%d",
	region: func(zone int) view.Region { return view.Region(fmt.Sprint("region-", zone%3)) }}

// BenchmarkCapacityTurn measures the assessments and steps of a planner that loses one of eight zones. The metrics are the
// number of routes and the encoded size of the resulting plan.
func BenchmarkCapacityTurn(b *testing.B) {
	bench.Sizes(b, "destinations", []int{61, 610, 6_100}, func(b *testing.B, n int) {
		regions, healthy := plannedFleet.reports(n, "")
		_, failing := plannedFleet.reports(n, "zone-0")
		var routes, size int
		for b.Loop() {
			p := plan.New(plan.DefaultSettings())
			p.SetRegions(regions)
			p.UpdateHealth(0, assess.CombineReports(healthy, assess.DefaultBounds()))
			first, _ := p.Step(0)
			p.SetPlanInForce(0, first)
			p.UpdateHealth(2*second, assess.CombineReports(failing, assess.DefaultBounds()))
			next, found := p.Step(2 * second)
			if !found {
				b.Fatal("no plan after a zone failed")
			}
			text, err := json.Marshal(next)
			if err != nil {
				b.Fatal(err)
			}
			routes, size = len(next.Routes), len(text)
		}
		b.ReportMetric(float64(routes), "routes")
		b.ReportMetric(float64(size), "wire-B")
	})
}

// BenchmarkCapacityBoard stores reports in a coordinator's ReportTable and reads them, as each assessment does. The table
// holds at most 24,000 reports.
func BenchmarkCapacityBoard(b *testing.B) {
	bench.Sizes(b, "reports", []int{240, 2_400, 24_000}, func(b *testing.B, n int) {
		_, reports := plannedFleet.reports(n/8, "")
		var table *assess.ReportTable
		heap := bench.Heap(func() any {
			table = assess.NewReportTable(assess.DefaultBounds())
			table.Put(0, reports)
			return table
		})
		text, err := json.Marshal(reports)
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			table.Put(0, reports)
			table.Fresh(0)
		}
		b.ReportMetric(heap, "heap-B")
		b.ReportMetric(float64(len(text)), "wire-B")
	})
}
