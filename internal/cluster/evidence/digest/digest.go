// Package digest turns a sender's digests, which are counts since the previous one, into health samples over a sliding
// window.
//
// A sender hands over a digest twice a second; half a second has too few calls for a failure rate. A sample is the sum
// of the digests that began within the window's span, with the span that they actually cover: it is longer after a
// sender was suspended. Pure.
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
	// Span is the default span, some four digests. A shorter one reveals an outage sooner, for which a plan must be in
	// force within three seconds; a longer one has more calls to distinguish an outage from chance by.
	Span = 2 * time.Second
	// maxBuckets bounds the buckets of a span; a digest that follows too soon is added to the bucket before it.
	maxBuckets = 16
)

// Window is the sliding window over one sender's digests.
type Window struct {
	witness    view.Name
	from       view.Zone
	span       time.Duration
	maxPlaces  int
	lastTaken  view.Uptime // when the sender began to count for the next digest
	buckets    []bucket    // oldest first
	aggregates map[healthreport.Locality]*aggregate
	dropped    uint64 // rows beyond maxPlaces
}

// bucket holds one digest, or several that came close together.
type bucket struct {
	startedAt view.Uptime
	rows      map[healthreport.Locality]clusterapi.Row
}

// aggregate is a place's sum over all buckets: counts are added with a row and subtracted when its bucket expires; all
// else is as last reported, which may be a span ago.
type aggregate struct {
	buckets int // how many buckets hold the place
	row     clusterapi.Row
}

// NewWindow returns a window that counts from now on. It holds at most so many places; rows of further places are dropped
// until others have expired.
func NewWindow(witness view.Name, from view.Zone, span time.Duration, places int, now view.Uptime) *Window {
	if span <= 0 {
		span = Span
	}
	return &Window{witness: witness, from: from, span: span, maxPlaces: max(places, 1), lastTaken: now,
		aggregates: map[healthreport.Locality]*aggregate{}}
}

// Take adds a digest and returns the samples over the span up to now, by place.
func (w *Window) Take(now view.Uptime, d clusterapi.Digest) []healthreport.Sample {
	w.addDigest(now, d.Rows)
	// The newest bucket stays, however long a time it covers.
	for len(w.buckets) > 1 && w.buckets[0].startedAt < now-w.span {
		w.removeBucket(w.buckets[0].rows)
		w.buckets = slices.Delete(w.buckets, 0, 1)
	}
	windowSpan := now - w.buckets[0].startedAt
	samples := make([]healthreport.Sample, 0, len(w.aggregates))
	for place, total := range w.aggregates {
		row, span := total.row, windowSpan
		if unanswered, since, failing := w.unansweredSince(place); failing {
			row, span = unanswered, now-since
		}
		samples = append(samples, w.sample(place, row, span))
	}
	slices.SortFunc(samples, func(a, b healthreport.Sample) int { return table.Order(&a, &b) })
	return samples
}

// sample returns a place's counts over a span in the form in which they are sent.
func (w *Window) sample(place healthreport.Locality, row clusterapi.Row, span time.Duration) healthreport.Sample {
	return healthreport.Sample{
		Locality: place, Reporter: w.witness, ReporterZone: w.from, Kind: row.Kind, Span: max(span, 1),
		Sent: float64(row.Sent), Done: float64(row.Done), Failed: float64(row.Failed), Unanswered: float64(row.Unanswered),
		Rejected: float64(row.Rejected), Limit: row.Limit, Rating: row.Rating, Endpoints: row.Endpoints, Waiting: row.Waiting,
	}
}

// unansweredSince sums the newest buckets in which a place answered nothing, and reports since when, and whether
// anything failed in them: a place that just went down must not look healthy because of earlier successes.
func (w *Window) unansweredSince(place healthreport.Locality) (row clusterapi.Row, since view.Uptime, failing bool) {
	found := false
	for i := len(w.buckets) - 1; i >= 0; i-- {
		r, present := w.buckets[i].rows[place]
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

// Dropped returns how many rows were dropped because there were too many places.
func (w *Window) Dropped() uint64 { return w.dropped }

// addDigest adds rows to the newest bucket, or to a new one, and to the aggregates.
func (w *Window) addDigest(now view.Uptime, rows []clusterapi.Row) {
	now = max(now, w.lastTaken)
	if n := len(w.buckets); n == 0 || now-w.buckets[n-1].startedAt >= w.span/maxBuckets {
		w.buckets = append(w.buckets, bucket{w.lastTaken, make(map[healthreport.Locality]clusterapi.Row, len(rows))})
	}
	w.lastTaken = now
	current := w.buckets[len(w.buckets)-1].rows
	for _, r := range rows {
		place := healthreport.Locality{Destination: r.Destination, Zone: view.Zone(r.Zone)}
		total := w.aggregates[place]
		if total == nil {
			if len(w.aggregates) >= w.maxPlaces {
				w.dropped++
				continue
			}
			total = &aggregate{}
			w.aggregates[place] = total
		}
		previous, present := current[place]
		if !present {
			total.buckets++
		}
		current[place] = addCounts(previous, r)
		total.row = addCounts(total.row, r)
	}
}

// addCounts returns a later row with the counts of an earlier one added.
func addCounts(earlier, later clusterapi.Row) clusterapi.Row {
	later.Sent += earlier.Sent
	later.Done += earlier.Done
	later.Failed += earlier.Failed
	later.Unanswered += earlier.Unanswered
	later.Rejected += earlier.Rejected
	return later
}

// removeBucket subtracts an expired bucket's rows from the aggregates.
func (w *Window) removeBucket(rows map[healthreport.Locality]clusterapi.Row) {
	for place, r := range rows {
		total := w.aggregates[place]
		if total.buckets--; total.buckets == 0 {
			delete(w.aggregates, place)
			continue
		}
		total.row.Sent -= r.Sent
		total.row.Done -= r.Done
		total.row.Failed -= r.Failed
		total.row.Unanswered -= r.Unanswered
		total.row.Rejected -= r.Rejected
	}
}
