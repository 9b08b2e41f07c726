package plan_test

// Benchmarks behind docs/CAPACITY.md: judging what zones report and planning, by places reported (a report for each zone
// and place), and a plan's size by routes.

import (
	"encoding/json"
	"fmt"
	"testing"

	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/view"
	"flaxcove/lab/capacity/bench"
)

// plannedFleet is 8 zones in 3 regions.
var plannedFleet = fleetShape{zones: 8, processes: 27, endpoints: 1, zoneName: "zone-%d",
	region: func(zone int) view.Region { return view.Region(fmt.Sprint("region-", zone%3)) }}

// BenchmarkCapacityTurn is a judgement and a step with one of eight zones lost; the metrics are of the plan that
// follows: its routes and its bytes.
func BenchmarkCapacityTurn(b *testing.B) {
	bench.Sizes(b, "destinations", []int{61, 610, 6_100}, func(b *testing.B, n int) {
		regions, well := plannedFleet.reports(n, "")
		_, bad := plannedFleet.reports(n, "zone-0")
		var routes, size int
		for b.Loop() {
			p := plan.New(plan.DefaultSettings())
			p.SetRegions(regions)
			p.UpdateHealth(0, assess.Judge(well, assess.DefaultBounds()))
			first, _ := p.Step(0)
			p.PlanInForce(0, first)
			p.UpdateHealth(2*second, assess.Judge(bad, assess.DefaultBounds()))
			next, some := p.Step(2 * second)
			if !some {
				b.Fatal("no plan")
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

// BenchmarkCapacityBoard is a coordinator's board: reports stored and the fresh ones read, as at each judgement. It
// holds 24,000 at most.
func BenchmarkCapacityBoard(b *testing.B) {
	bench.Sizes(b, "reports", []int{240, 2_400, 24_000}, func(b *testing.B, n int) {
		_, reports := plannedFleet.reports(n/8, "")
		var board *assess.ReportTable
		heap := bench.Heap(func() any {
			board = assess.NewReportTable(assess.DefaultBounds())
			board.Put(0, reports)
			return board
		})
		text, err := json.Marshal(reports)
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			board.Put(0, reports)
			board.Fresh(0)
		}
		b.ReportMetric(heap, "heap-B")
		b.ReportMetric(float64(len(text)), "wire-B")
	})
}
