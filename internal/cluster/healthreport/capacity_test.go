package healthreport

// Benchmark behind docs/CAPACITY.md: the size of a health report on the wire.

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/view"
	"flaxcove/lab/capacity/bench"
)

// capacitySamples returns samples of so many places, as a sender of the planned fleet reports them.
func capacitySamples(n int) (all []Sample) {
	for d := range n {
		all = append(all, Sample{Locality: Locality{choice.DestinationID(d), view.Zone(fmt.Sprintf("zone-%d", d%8))},
			Reporter: "sender-0123", ReporterZone: "zone-3", Kind: 1, Age: 131 * time.Millisecond, Span: 1003 * time.Millisecond,
			Sent: 1, Done: 1, Limit: 40, Rating: 200, Endpoints: 1})
	}
	return all
}

// BenchmarkCapacityMessage encodes the samples of so many places that a sender reports to its zone's coordinator.
func BenchmarkCapacityMessage(b *testing.B) {
	bench.Sizes(b, "places", []int{10, 100, 1_000, 10_000}, func(b *testing.B, n int) {
		all := capacitySamples(n)
		var body []byte
		for b.Loop() {
			var err error
			if body, err = json.Marshal(all); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(body)), "wire-B")
	})
}

// BenchmarkCapacityDecode decodes such a report, as its zone's coordinator does.
func BenchmarkCapacityDecode(b *testing.B) {
	bench.Sizes(b, "places", []int{10, 100, 1_000, 10_000}, func(b *testing.B, n int) {
		body, err := json.Marshal(capacitySamples(n))
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			var all []Sample
			if err := json.Unmarshal(body, &all); err != nil || len(all) != n {
				b.Fatal(len(all), err)
			}
		}
	})
}
