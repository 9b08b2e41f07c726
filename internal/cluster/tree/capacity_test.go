package tree

// Benchmark behind docs/CAPACITY.md: deriving the tree, which each change of the view does, by members.

import (
	"testing"

	"flaxcove/internal/cluster/view"
	"flaxcove/lab/capacity/bench"
)

// BenchmarkCapacityDerive is of 24 zones in 3 regions; most-children is what reports to the busiest process.
func BenchmarkCapacityDerive(b *testing.B) {
	bench.Sizes(b, "members", []int{66, 660, 6_600}, func(b *testing.B, n int) {
		v := view.New("", 1, fleet(n, 24, 3))
		var t *Tree
		heap := bench.Heap(func() any {
			t = Derive(v)
			return t
		})
		for b.Loop() {
			t = Derive(v)
		}
		most := 0
		for _, m := range v.Members {
			most = max(most, len(t.Children(m.Name)))
		}
		b.ReportMetric(heap, "heap-B")
		b.ReportMetric(float64(most), "most-children")
	})
}
