package config

// This file holds the benchmarks for docs/CAPACITY.md: the time to load a configuration file and its size, by the number
// of accounts and by the number of destinations in the known list.

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"flaxcove/internal/directory"
	"flaxcove/lab/capacity/bench"
)

// capacityLoad loads a configuration file with the given text once per iteration.
func capacityLoad(b *testing.B, text string) {
	path := filepath.Join(b.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	env := func(name string) string {
		if name == "EDGE_CONFIG" {
			return path
		}
		return ""
	}
	for b.Loop() {
		if _, err := Load(env); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(text)), "file-B")
}

// BenchmarkCapacityAccounts reads and checks files with different numbers of accounts.
func BenchmarkCapacityAccounts(b *testing.B) {
	bench.Sizes(b, "accounts", []int{10, 100, 1_000, 10_000}, func(b *testing.B, n int) {
		var all []string
		for i := range n {
			all = append(all, fmt.Sprintf(`{"name":"account-%05d","quotaRps":%d}`, i, 1+i))
		}
		capacityLoad(b, strings.Replace(validConfig, `"settings":{`, `"settings":{"accounts":[`+strings.Join(all, ",")+`],`, 1))
	})
}

// BenchmarkCapacityKnown reads and checks files with different numbers of destinations in the known list. Each
// destination has two endpoints.
func BenchmarkCapacityKnown(b *testing.B) {
	bench.Sizes(b, "destinations", []int{610, 6_100, 61_000}, func(b *testing.B, n int) {
		l := directory.List{Version: 1, Full: true}
		for d := range 2 * n {
			l.Entries = append(l.Entries, directory.Entry{ID: fmt.Sprintf("endpoint-%07d", d), Addr: "10.0.0.1:8080", Zone: "z",
				Kind: "one", Destination: float64(d / 2), State: "up", Weight: 100})
		}
		known, err := json.Marshal(l)
		if err != nil {
			b.Fatal(err)
		}
		capacityLoad(b, strings.Replace(validConfig, `"settings":{`, `"known":`+string(known)+`,"settings":{`, 1))
	})
}
