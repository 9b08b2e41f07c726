package digest

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxcove/choice"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/sender/clusterapi"
)

// digestOf returns a digest of these rows.
func digestOf(rows ...clusterapi.DigestRow) clusterapi.Digest { return clusterapi.Digest{Rows: rows} }

// Counts are summed over the span and expire after it. Other values, such as Waiting, are as last reported.
func ExampleWindow() {
	w := NewWindow("anna", "east", time.Second, 2, 0)
	show := func(now time.Duration, d clusterapi.Digest) {
		fmt.Print(now, ":")
		for _, s := range w.Add(now, d) {
			fmt.Printf(" %d/%s over %v: sent %v, failed %v, waiting %d;", s.Destination, s.Zone, s.Span, s.Sent, s.Failed, s.Waiting)
		}
		fmt.Println()
	}
	at := func(tenths int) time.Duration { return time.Duration(tenths) * 100 * time.Millisecond }
	show(at(5), digestOf(clusterapi.DigestRow{Destination: 1, Zone: "e", Sent: 10, Failed: 4, Waiting: 7}))
	show(at(10), digestOf(clusterapi.DigestRow{Destination: 1, Zone: "e", Sent: 10, Waiting: 3},
		clusterapi.DigestRow{Destination: 1, Zone: "b", Sent: 1}))
	show(at(15), digestOf(clusterapi.DigestRow{Destination: 2, Zone: "e", Sent: 1}))
	show(at(45), digestOf()) // the sender was suspended
	show(at(50), digestOf(clusterapi.DigestRow{Destination: 2, Zone: "e", Sent: 2}))
	fmt.Println("dropped:", w.Dropped())
	// Output:
	// 500ms: 1/e over 500ms: sent 10, failed 4, waiting 7;
	// 1s: 1/b over 1s: sent 1, failed 0, waiting 0; 1/e over 1s: sent 20, failed 4, waiting 3;
	// 1.5s: 1/b over 1s: sent 1, failed 0, waiting 0; 1/e over 1s: sent 10, failed 0, waiting 3;
	// 4.5s:
	// 5s: 2/e over 500ms: sent 2, failed 0, waiting 0;
	// dropped: 1
}

// TestCountsAreNeitherLostNorDoubled checks, for digests at random intervals, that each call is counted exactly once in
// the span of a sample, and that the number of buckets is bounded.
func TestCountsAreNeitherLostNorDoubled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span = time.Second
		w := NewWindow("a", "z", span, 10, 0)
		now, previous := time.Duration(0), time.Duration(0)
		type counted struct {
			from, to time.Duration
			sent     uint64
		}
		var all []counted
		for range rapid.IntRange(1, 80).Draw(t, "digests") {
			now += time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond
			n := uint64(rapid.IntRange(0, 9).Draw(t, "sent"))
			all = append(all, counted{previous, now, n})
			previous = now
			half := clusterapi.DigestRow{Destination: 1, Zone: "e", Sent: n / 2, Done: n / 2}
			rest := clusterapi.DigestRow{Destination: 1, Zone: "e", Sent: n - n/2, Done: n - n/2}
			got := w.Add(now, digestOf(half, rest))
			var want float64
			for _, c := range all {
				if c.from >= now-got[0].Span {
					want += float64(c.sent)
				}
			}
			locality := healthreport.Locality{Destination: choice.DestinationID(1), Zone: "e"}
			if len(got) != 1 || got[0].Sent != want || got[0].Done != want || got[0].Locality != locality {
				t.Fatalf("got %+v, want one sample with %v calls", got, want)
			}
			if got[0].Span > span && len(w.buckets) > 1 || len(w.buckets) > 2*maxBuckets+2 {
				t.Fatalf("the sample covers %v in %d buckets, which exceeds the span or the number of buckets", got[0].Span, len(w.buckets))
			}
		}
	})
}
