package tree

// This file holds the benchmark for docs/CAPACITY.md of deriving the tree, which happens at each change of the view.

import (
	"testing"

	"flaxcove/internal/cluster/view"
	"flaxcove/lab/capacity/bench"
)

// BenchmarkCapacityDerive measures Derive, by the number of members, with 24 zones in 3 regions. The metric
// most-children is the number of processes that report to the process with most children.
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
