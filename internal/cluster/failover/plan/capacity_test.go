package plan_test

// Benchmarks behind docs/CAPACITY.md: judging what zones report and planning, by places reported (a report for each zone
// and place), and a plan's size by routes.

import (
	"encoding/json"
	"fmt"
	"testing"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/failover/weigh"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
	"flaxcove/lab/capacity/bench"
)

// capacityReports are those of 8 zones in 3 regions, each of which sends to its own place of so many destinations; all
// calls to places in zone dead fail.
func capacityReports(destinations int, dead view.Zone) (map[view.Zone]view.Region, []weigh.Report) {
	const zones = 8
	regions := map[view.Zone]view.Region{}
	var all []weigh.Report
	for i := range zones {
		z := view.Zone(fmt.Sprintf("zone-%d", i))
		regions[z] = view.Region(fmt.Sprint("region-", i%3))
		for d := range destinations {
			r := weigh.Report{Locality: healthreport.Locality{Destination: choice.DestinationID(d), Zone: z}, From: z, Processes: 27,
				Well: 9, Successes: 20, Sent: 20, Done: 20, Limit: 40, Endpoints: 1}
			if z == dead {
				r.Well, r.Bad, r.Successes, r.Failures, r.Done = 0, 9, 0, 20, 0
			}
			all = append(all, r)
		}
	}
	return regions, all
}

// BenchmarkCapacityTurn is a judgement and a step with one of eight zones lost; the metrics are of the plan that
// follows: its routes, its bytes, and what it keeps of what fell.
func BenchmarkCapacityTurn(b *testing.B) {
	bench.Sizes(b, "destinations", []int{61, 610, 6_100}, func(b *testing.B, n int) {
		regions, well := capacityReports(n, "")
		_, bad := capacityReports(n, "zone-0")
		var routes, size int
		for b.Loop() {
			p := plan.New(plan.Usual())
			p.Members(regions)
			p.Judged(0, weigh.Judge(well, weigh.Usual()))
			first, _ := p.Step(0)
			p.Applied(0, first)
			p.Judged(2*second, weigh.Judge(bad, weigh.Usual()))
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

// BenchmarkCapacityBoard is a coordinator's board: reports put in and those fresh read, as at each judgement. It holds
// 24,000 at most.
func BenchmarkCapacityBoard(b *testing.B) {
	bench.Sizes(b, "reports", []int{240, 2_400, 24_000}, func(b *testing.B, n int) {
		_, reports := capacityReports(n/8, "")
		var board *weigh.Board
		heap := bench.Heap(func() any {
			board = weigh.NewBoard(weigh.Usual())
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
