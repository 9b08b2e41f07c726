package healthreport

// Benchmarks whose results are in docs/CAPACITY.md: the size of a health report on the wire, and its decoding.

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/view"
	"flaxcove/lab/capacity/bench"
)

// capacitySamples returns samples of n localities, with values like those of a sender in the planned fleet.
func capacitySamples(n int) (samples []Sample) {
	for d := range n {
		samples = append(samples, Sample{Locality: Locality{choice.DestinationID(d), view.Zone(fmt.Sprintf("zone-%d", d%8))},
			Reporter: "sender-0123", ReporterZone: "zone-3", Kind: 1, Age: 131 * time.Millisecond, Span: 1003 * time.Millisecond,
			Sent: 1, Done: 1, Limit: 40, Rating: 200, Endpoints: 1})
	}
	return samples
}

// BenchmarkCapacityMessage encodes the samples that a sender reports to its zone's coordinator.
func BenchmarkCapacityMessage(b *testing.B) {
	bench.Sizes(b, "places", []int{10, 100, 1_000, 10_000}, func(b *testing.B, n int) {
		samples := capacitySamples(n)
		var body []byte
		for b.Loop() {
			var err error
			if body, err = json.Marshal(samples); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(body)), "wire-B")
	})
}

// BenchmarkCapacityDecode decodes the same samples, as the zone's coordinator does.
func BenchmarkCapacityDecode(b *testing.B) {
	bench.Sizes(b, "places", []int{10, 100, 1_000, 10_000}, func(b *testing.B, n int) {
		body, err := json.Marshal(capacitySamples(n))
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			var samples []Sample
			if err := json.Unmarshal(body, &samples); err != nil || len(samples) != n {
				b.Fatalf("decoded %d samples of %d: %v", len(samples), n, err)
			}
		}
	})
}
