package evidence

// Benchmarks whose results are in docs/CAPACITY.md: the tables of a zone's coordinator, by number of rows (localities)
// and by number of witnesses.

import (
	"fmt"
	"testing"
	"time"

	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
	"flaxcove/lab/capacity/bench"
)

// capacityFilled returns an Evidence with so many rows of so many witnesses each.
func capacityFilled(rows, witnesses int) *Evidence {
	e := Start(Options{Rows: 20 * rows, Witnesses: 32})
	for w := range witnesses {
		name := view.Name(fmt.Sprintf("sender-%04d", w))
		for d := range rows {
			s := sample(d, view.Zone(fmt.Sprintf("zone-%d", d%8)), name, 0, 1)
			e.apply(time.Second, &s)
		}
	}
	return e
}

var capacityRows = []int{400, 4_000, 40_000, 122_000}

// BenchmarkCapacityRows adds a sample to tables with one witness in each row, and measures their memory.
func BenchmarkCapacityRows(b *testing.B) {
	bench.Sizes(b, "rows", capacityRows, func(b *testing.B, n int) {
		var e *Evidence
		heap := bench.Heap(func() any {
			e = capacityFilled(n, 1)
			return e
		})
		defer e.Close()
		batch := make([]healthreport.Sample, n)
		for d := range batch {
			batch[d] = sample(d, view.Zone(fmt.Sprintf("zone-%d", d%8)), "sender-0000", 0, 1)
		}
		i := 0
		for b.Loop() {
			i++
			e.apply(time.Second+view.Uptime(i)*time.Microsecond, &batch[i%n])
		}
		b.ReportMetric(heap, "heap-B")
	})
}

// BenchmarkCapacityWitnesses reads tables of a thousand rows by number of witnesses, of which at most 32 are retained,
// and measures their memory.
func BenchmarkCapacityWitnesses(b *testing.B) {
	bench.Sizes(b, "witnesses", []int{1, 10, 28}, func(b *testing.B, n int) {
		var e *Evidence
		heap := bench.Heap(func() any {
			e = capacityFilled(1000, n)
			return e
		})
		defer e.Close()
		for b.Loop() {
			e.Read(2 * time.Second)
		}
		b.ReportMetric(heap, "heap-B")
	})
}

// BenchmarkCapacityRead reads all samples, with which each of a coordinator's assessments begins.
func BenchmarkCapacityRead(b *testing.B) {
	bench.Sizes(b, "rows", capacityRows, func(b *testing.B, n int) {
		e := capacityFilled(n, 1)
		defer e.Close()
		for b.Loop() {
			e.Read(2 * time.Second)
		}
	})
}
