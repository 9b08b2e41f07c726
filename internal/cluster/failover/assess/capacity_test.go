package assess

// Benchmark whose results are in docs/CAPACITY.md: a zone's coordinator combines the samples of its zone into reports.

import (
	"fmt"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
	"flaxcove/lab/capacity/bench"
)

// BenchmarkCapacityZonal combines samples of 27 witnesses of one zone.
func BenchmarkCapacityZonal(b *testing.B) {
	bench.Sizes(b, "sightings", []int{1_000, 10_000, 100_000, 1_000_000}, func(b *testing.B, n int) {
		const witnesses = 27
		var samples []healthreport.Sample
		for i := range n {
			d := i / witnesses
			samples = append(samples, healthreport.Sample{Locality: healthreport.Locality{Destination: choice.DestinationID(d), Zone: view.Zone(fmt.Sprintf("zone-%d", d%8))},
				Reporter: view.Name(fmt.Sprintf("sender-%04d", i%witnesses)), ReporterZone: "zone-0", Span: time.Second, Sent: 1, Done: 1, Endpoints: 1})
		}
		for b.Loop() {
			SummarizeZone("zone-0", samples, DefaultBounds())
		}
	})
}
