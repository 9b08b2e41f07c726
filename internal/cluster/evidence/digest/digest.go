// Package digest turns the digests of a sender into health samples over a sliding window. A digest holds the counts of
// calls since the previous digest.
//
// A sender delivers a digest twice a second, and the calls of half a second are too few for a failure rate. A sample
// sums the digests that began within the window's span. Its Span is the time that these digests cover, which is longer
// than the window's span after a sender was suspended.
//
// The package is pure: it reads no clock and starts no goroutine.
package digest

import (
	"slices"
	"time"

	"flaxcove/internal/cluster/evidence/table"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

const (
	// Span is the default span of a window, about four digests. A shorter span reveals an outage sooner, after which a
	// plan must be in force within three seconds. A longer span holds more calls, which better distinguish an outage
	// from random failures.
	Span = 2 * time.Second
	// maxBuckets bounds the number of buckets of a span. A digest that arrives less than span/maxBuckets after the start
	// of the newest bucket is added to that bucket.
	maxBuckets = 16
)

// Window is the sliding window over one sender's digests. It is not safe for concurrent use.
type Window struct {
	witness       view.Name // the sender's process, the Reporter of all samples
	witnessZone   view.Zone // zone of witness
	span          time.Duration
	maxLocalities int
	lastDigestAt  view.Uptime // arrival of the last digest; the counts of the next one start here
	buckets       []bucket    // oldest first
	aggregates    map[healthreport.Locality]*aggregate
	dropped       uint64 // rows dropped because of maxLocalities
}

// bucket holds the counts of one digest, or of several that arrived close together.
type bucket struct {
	startedAt view.Uptime
	rows      map[healthreport.Locality]clusterapi.DigestRow
}

// aggregate is the sum of a locality's rows in all buckets. Counts are added with a row and subtracted when its bucket
// expires. All other fields are as last reported, which may be as long ago as the span.
type aggregate struct {
	buckets int // number of buckets that hold the locality
	row     clusterapi.DigestRow
}

// NewWindow returns a window for the digests of the process witness in a zone; the first digest counts from now on. A
// span of 0 or below selects the default Span. The window holds at most maxLocalities localities; rows of further ones
// are dropped until others have expired.
func NewWindow(witness view.Name, witnessZone view.Zone, span time.Duration, maxLocalities int, now view.Uptime) *Window {
	if span <= 0 {
		span = Span
	}
	return &Window{witness: witness, witnessZone: witnessZone, span: span, maxLocalities: max(maxLocalities, 1), lastDigestAt: now,
		aggregates: map[healthreport.Locality]*aggregate{}}
}

// Add adds a digest and returns one sample for each locality, sorted by locality.
func (w *Window) Add(now view.Uptime, d clusterapi.Digest) []healthreport.Sample {
	w.addDigest(now, d.Rows)
	// The newest bucket stays even if it covers more than the span.
	for len(w.buckets) > 1 && w.buckets[0].startedAt < now-w.span {
		w.removeBucket(w.buckets[0].rows)
		w.buckets = slices.Delete(w.buckets, 0, 1)
	}
	windowSpan := now - w.buckets[0].startedAt
	samples := make([]healthreport.Sample, 0, len(w.aggregates))
	for locality, total := range w.aggregates {
		row, span := total.row, windowSpan
		if unanswered, since, failing := w.unansweredSince(locality); failing {
			row, span = unanswered, now-since
		}
		samples = append(samples, w.sample(locality, row, span))
	}
	slices.SortFunc(samples, func(a, b healthreport.Sample) int { return table.Compare(&a, &b) })
	return samples
}

// sample converts the counts of a locality over a span to a health sample.
func (w *Window) sample(locality healthreport.Locality, row clusterapi.DigestRow, span time.Duration) healthreport.Sample {
	return healthreport.Sample{
		Locality: locality, Reporter: w.witness, ReporterZone: w.witnessZone, Kind: row.Kind, Span: max(span, 1),
		Sent: float64(row.Sent), Done: float64(row.Done), Failed: float64(row.Failed), Unanswered: float64(row.Unanswered),
		Rejected: float64(row.Rejected), Limit: row.Limit, Rating: row.Rating, Endpoints: row.Endpoints, Waiting: row.Waiting,
	}
}

// unansweredSince sums the newest consecutive buckets in which a locality answered no call. It returns when the oldest
// of them started, and whether any call failed in them. Without it, a locality that just went down would look healthy
// because of earlier successes in the window.
func (w *Window) unansweredSince(locality healthreport.Locality) (row clusterapi.DigestRow, since view.Uptime, failing bool) {
	found := false
	for i := len(w.buckets) - 1; i >= 0; i-- {
		r, present := w.buckets[i].rows[locality]
		if r.Done+r.Rejected > 0 {
			break
		}
		switch since = w.buckets[i].startedAt; {
		case present && found:
			row = addCounts(r, row)
		case present:
			row, found = r, true
		}
	}
	return row, since, row.Failed > 0
}

// Dropped returns the number of rows dropped because the window already held its maximum number of localities.
func (w *Window) Dropped() uint64 { return w.dropped }

// addDigest adds the rows of a digest to the newest bucket or to a new one, and to the aggregates.
func (w *Window) addDigest(now view.Uptime, rows []clusterapi.DigestRow) {
	now = max(now, w.lastDigestAt)
	if n := len(w.buckets); n == 0 || now-w.buckets[n-1].startedAt >= w.span/maxBuckets {
		w.buckets = append(w.buckets, bucket{w.lastDigestAt, make(map[healthreport.Locality]clusterapi.DigestRow, len(rows))})
	}
	w.lastDigestAt = now
	current := w.buckets[len(w.buckets)-1].rows
	for _, r := range rows {
		locality := healthreport.Locality{Destination: r.Destination, Zone: view.Zone(r.Zone)}
		total := w.aggregates[locality]
		if total == nil {
			if len(w.aggregates) >= w.maxLocalities {
				w.dropped++
				continue
			}
			total = &aggregate{}
			w.aggregates[locality] = total
		}
		previous, present := current[locality]
		if !present {
			total.buckets++
		}
		current[locality] = addCounts(previous, r)
		total.row = addCounts(total.row, r)
	}
}

// addCounts returns the later row with the counts of the earlier row added.
func addCounts(earlier, later clusterapi.DigestRow) clusterapi.DigestRow {
	later.Sent += earlier.Sent
	later.Done += earlier.Done
	later.Failed += earlier.Failed
	later.Unanswered += earlier.Unanswered
	later.Rejected += earlier.Rejected
	return later
}

// removeBucket subtracts the rows of an expired bucket from the aggregates.
func (w *Window) removeBucket(rows map[healthreport.Locality]clusterapi.DigestRow) {
	for locality, r := range rows {
		total := w.aggregates[locality]
		if total.buckets--; total.buckets == 0 {
			delete(w.aggregates, locality)
			continue
		}
		total.row.Sent -= r.Sent
		total.row.Done -= r.Done
		total.row.Failed -= r.Failed
		total.row.Unanswered -= r.Unanswered
		total.row.Rejected -= r.Rejected
	}
}
