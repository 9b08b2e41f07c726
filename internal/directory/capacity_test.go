package directory

// This file holds the benchmarks for docs/CAPACITY.md: the size of a full list and of a change, and the time to read
// them.

import (
	"encoding/json"
	"fmt"
	"testing"

	"flaxcove/choice"
	"flaxcove/lab/capacity/bench"
)

// capacityList returns a list with two endpoints for each destination.
func capacityList(destinations int, full bool) List {
	l := List{Version: 1000, Full: full}
	for d := range destinations {
		for e := range 2 {
			l.Entries = append(l.Entries, Entry{ID: fmt.Sprintf("endpoint-%06d-%d", d, e), Addr: fmt.Sprintf("10.%d.%d.%d:8080", e, d/250, d%250),
				Zone: fmt.Sprintf("zone-%d", (d+e)%8), Kind: "partner", Destination: float64(d), State: "up", Weight: 100})
		}
	}
	return l
}

// capacityRead decodes and converts the list once per iteration and reports its size.
func capacityRead(b *testing.B, l List) {
	text, err := json.Marshal(l)
	if err != nil {
		b.Fatal(err)
	}
	names := NameNumbers{Zones: map[string]choice.ZoneNo{}, Kinds: map[string]choice.KindNo{"partner": 0}}
	for z := range 8 {
		names.Zones[fmt.Sprintf("zone-%d", z)] = choice.ZoneNo(z)
	}
	for b.Loop() {
		var read List
		if err := json.Unmarshal(text, &read); err != nil {
			b.Fatal(err)
		}
		if entries, unread := names.Entries(read); unread > 0 || len(entries) != len(l.Entries) {
			b.Fatal(len(entries), unread)
		}
	}
	b.ReportMetric(float64(len(text)), "wire-B")
}

// BenchmarkCapacityWhole reads full lists of different sizes.
func BenchmarkCapacityWhole(b *testing.B) {
	bench.Sizes(b, "destinations", []int{610, 6_100, 61_000, 610_000}, func(b *testing.B, n int) { capacityRead(b, capacityList(n, true)) })
}

// BenchmarkCapacityChanges reads changes of different sizes.
func BenchmarkCapacityChanges(b *testing.B) {
	bench.Sizes(b, "destinations", []int{1, 10, 100}, func(b *testing.B, n int) { capacityRead(b, capacityList(n, false)) })
}
