package cluster

// Benchmark behind docs/CAPACITY.md: what one sender reports to its zone's coordinator, in simulated time.

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/evidence/digest"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
	"flaxcove/lab/capacity/bench"
)

const (
	capacityRate      = 864 // messages a second of one sender
	capacityPlaces    = 8192
	capacityEach      = 500 * time.Millisecond
	capacitySpan      = 30 * time.Second
	capacityFullRound = 10 // digests in which each place is reported once
	capacityDown      = 0.027
)

// capacityDigest returns a sender's digest as internal/sender makes it: a row for each place that was called, and a tenth
// of the places that it lists, 8,192 of them at most.
func capacityDigest(chance *rand.Rand, destinations, no int) clusterapi.Digest {
	rows := map[int]*clusterapi.Row{}
	row := func(d int) *clusterapi.Row {
		if rows[d] == nil {
			rows[d] = &clusterapi.Row{Destination: choice.DestinationID(d), Zone: fmt.Sprintf("zone-%d", d%8), Endpoints: 1, Rating: 100}
		}
		return rows[d]
	}
	for range int(capacityRate * capacityEach.Seconds()) {
		d := chance.IntN(destinations)
		r := row(d)
		r.Sent++
		if float64(d) < capacityDown*float64(destinations) {
			r.Failed++
		} else {
			r.Done++
		}
	}
	for d := no % capacityFullRound; d < min(destinations, capacityPlaces); d += capacityFullRound {
		row(d)
	}
	var d clusterapi.Digest
	for _, r := range rows {
		d.Rows = append(d.Rows, *r)
	}
	return d
}

// BenchmarkCapacityReported simulates half a minute of one sender's digests, with calls spread evenly over so many destinations
// of one place each, of which 2.7% fail all calls: rows and bytes a second that go to the coordinator, without HTTP's
// own.
func BenchmarkCapacityReported(b *testing.B) {
	bench.Sizes(b, "destinations", []int{61, 610, 6_100, 61_000}, func(b *testing.B, n int) {
		var rows, bytes, messages int
		for b.Loop() {
			rows, bytes, messages = 0, 0, 0
			chance := rand.New(rand.NewPCG(1, 2))
			feed := &digestFeed{
				zoneNumbers: map[view.Zone]choice.ZoneNo{}, listedAt: map[healthreport.Locality]view.Uptime{},
				reported: map[healthreport.Locality]lastReport{},
				window:   digest.NewWindow("sender-0123", "zone-3", sampleSpan, 40_000, 0),
			}
			for now, no := capacityEach, 0; now <= capacitySpan; now, no = now+capacityEach, no+1 {
				d := capacityDigest(chance, n, no)
				feed.updateListing(now, d.Rows, "zone-3")
				due := feed.dueSamples(now, feed.window.Take(now, d))
				if len(due) == 0 {
					continue
				}
				text, err := json.Marshal(due)
				if err != nil {
					b.Fatal(err)
				}
				messages, rows, bytes = messages+1, rows+len(due), bytes+len(text)
			}
		}
		b.ReportMetric(float64(b.Elapsed())/float64(b.N)/float64(capacitySpan/capacityEach), "ns/digest")
		b.ReportMetric(float64(rows)/capacitySpan.Seconds(), "rows/s")
		b.ReportMetric(float64(bytes)/capacitySpan.Seconds(), "wire-B/s")
		b.ReportMetric(float64(messages)/capacitySpan.Seconds(), "messages/s")
	})
}
