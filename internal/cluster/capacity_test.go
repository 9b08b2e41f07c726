package cluster

// This file holds the benchmark for docs/CAPACITY.md of the health reports that one sender sends to its zone's
// coordinator.

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
	capacityRate           = 864  // messages per second of one sender
	capacityMaxListed      = 8192 // listed localities that a sender reports at most
	capacityDigestInterval = 500 * time.Millisecond
	capacityDuration       = 30 * time.Second // simulated time
	capacityListingDigests = 10               // number of digests that together report each listed locality once
	capacityFailingShare   = 0.027            // share of the destinations that fail all calls
)

// capacityDigest returns digest number no of a sender, as internal/sender makes it: a row for each locality that was
// called, and one for a tenth of the localities that the sender lists, of which it reports 8,192 at most.
func capacityDigest(chance *rand.Rand, destinations, no int) clusterapi.Digest {
	rows := map[int]*clusterapi.DigestRow{}
	row := func(d int) *clusterapi.DigestRow {
		if rows[d] == nil {
			rows[d] = &clusterapi.DigestRow{Destination: choice.DestinationID(d), Zone: fmt.Sprintf("zone-%d", d%8), Endpoints: 1, Rating: 100}
		}
		return rows[d]
	}
	for range int(capacityRate * capacityDigestInterval.Seconds()) {
		d := chance.IntN(destinations)
		r := row(d)
		r.Sent++
		if float64(d) < capacityFailingShare*float64(destinations) {
			r.Failed++
		} else {
			r.Done++
		}
	}
	for d := no % capacityListingDigests; d < min(destinations, capacityMaxListed); d += capacityListingDigests {
		row(d)
	}
	var d clusterapi.Digest
	for _, r := range rows {
		d.Rows = append(d.Rows, *r)
	}
	return d
}

// BenchmarkCapacityReported measures the samples and bytes per second that one sender reports to its zone's
// coordinator, without the bytes of HTTP's headers. It simulates half a minute of digests. Calls are spread evenly over
// the destinations, each of which has endpoints in one zone; 2.7% of the destinations fail all calls.
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
			for now, no := capacityDigestInterval, 0; now <= capacityDuration; now, no = now+capacityDigestInterval, no+1 {
				d := capacityDigest(chance, n, no)
				feed.updateListing(now, d.Rows, "zone-3")
				due := feed.dueSamples(now, feed.window.Add(now, d))
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
		b.ReportMetric(float64(b.Elapsed())/float64(b.N)/float64(capacityDuration/capacityDigestInterval), "ns/digest")
		b.ReportMetric(float64(rows)/capacityDuration.Seconds(), "rows/s")
		b.ReportMetric(float64(bytes)/capacityDuration.Seconds(), "wire-B/s")
		b.ReportMetric(float64(messages)/capacityDuration.Seconds(), "messages/s")
	})
}
