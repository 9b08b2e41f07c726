// Package table stores health samples of places, each with its age and its witness, in bounded rows.
//
// A row is a place (a destination in one zone); it holds one sample of each witness. Pure: time comes in as a span since
// the process began, and the time of a sample is now less its age. What is stored does not depend on the order in which
// samples of different witnesses arrive: a row keeps the newest samples, the table the rows most recently observed. (A
// row that was evicted and returns has lost what other witnesses reported before, which is all that order can change.)
// It must never decide what a sample means.
package table

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// Bounds limit what a table holds.
type Bounds struct {
	Rows      int           // when exceeded, the row whose newest sample is oldest is evicted
	Witnesses int           // of a row; when exceeded, the oldest sample is evicted
	MaxAge    time.Duration // the highest age of a sample, and the longest span that is accepted
}

// Outcome is what became of a sample that was handed to Take.
type Outcome uint8

// Outcomes of Take.
const (
	New       Outcome = iota // the first of its witness for this place
	Newer                    // replaced its witness's earlier one
	Duplicate                // nothing changed
	Outdated                 // older than its witness's last, than what a full row or table holds, or than Keep
	Forgotten                // observed before its destination was forgotten
	Invalid                  // impossible counts
)

// Table is a bounded store of samples. It is not safe for concurrent use.
type Table struct {
	bounds Bounds
	rows   map[healthreport.Locality]*row
	byAge  ageHeap // the same rows
	// forgottenAt is when destinations were forgotten: samples from before are rejected. An entry expires after twice
	// Keep, as older samples, and spans that reach back so far, are rejected anyway.
	forgottenAt map[choice.DestinationID]view.Uptime
}

// row holds the samples of one place.
type row struct {
	place        healthreport.Locality
	observations []observation // by witness
	newestAt     view.Uptime   // of the newest observation
	heapIndex    int           // in Table.byAge
}

// observation is a sample and the time that it was observed at; the sample's Age is 0.
type observation struct {
	at     view.Uptime
	sample healthreport.Sample
}

// compareAge orders observations of one place by time, then by witness, so that among equally old ones always the same
// is evicted.
func compareAge(a, b *observation) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sample.Reporter, b.sample.Reporter))
}

// NewTable returns an empty table. Bounds below one row, witness and nanosecond are raised to that.
func NewTable(b Bounds) *Table {
	b = Bounds{max(b.Rows, 1), max(b.Witnesses, 1), max(b.MaxAge, 1)}
	return &Table{bounds: b, rows: map[healthreport.Locality]*row{}, forgottenAt: map[choice.DestinationID]view.Uptime{}}
}

// Add adds a sample whose age is as of now.
func (t *Table) Add(now view.Uptime, s healthreport.Sample) Outcome {
	if !valid(&s) {
		return Invalid
	}
	observed := observation{now - s.Age, s}
	observed.sample.Age = 0
	if s.Age > t.bounds.MaxAge || s.Span > t.bounds.MaxAge {
		return Outdated
	}
	// A span that began before the destination was forgotten contains what is to be forgotten.
	if when, forgotten := t.forgottenAt[s.Destination]; forgotten && observed.at-s.Span < when {
		return Forgotten
	}
	target := t.rows[s.Locality]
	if target == nil {
		target = &row{place: s.Locality, newestAt: observed.at}
		if len(t.rows) >= t.bounds.Rows {
			if target.olderThan(t.byAge[0]) {
				return Outdated
			}
			t.remove(t.byAge[0])
		}
		t.rows[s.Locality] = target
		heap.Push(&t.byAge, target)
	}
	outcome := target.insert(observed, t.bounds.Witnesses)
	if observed.at > target.newestAt {
		target.newestAt = observed.at
		heap.Fix(&t.byAge, target.heapIndex)
	}
	return outcome
}

// remove drops a row.
func (t *Table) remove(r *row) {
	delete(t.rows, r.place)
	heap.Remove(&t.byAge, r.heapIndex)
}

// insert adds an observation, or replaces an earlier one of its witness. Of more than limit the oldest is evicted.
func (r *row) insert(next observation, limit int) Outcome {
	i, known := slices.BinarySearchFunc(r.observations, next.sample.Reporter,
		func(o observation, w view.Name) int { return cmp.Compare(o.sample.Reporter, w) })
	switch {
	case known:
		return r.replace(i, next)
	case len(r.observations) < limit:
		r.observations = slices.Insert(r.observations, i, next)
		return New
	}
	oldest := r.oldest()
	if compareAge(&next, &r.observations[oldest]) < 0 {
		return Outdated
	}
	r.observations = slices.Delete(r.observations, oldest, oldest+1)
	if oldest < i {
		i--
	}
	r.observations = slices.Insert(r.observations, i, next)
	return New
}

// replace puts next in the place of observation i, which is of the same witness, unless that is the same or newer.
func (r *row) replace(i int, next observation) Outcome {
	previous := &r.observations[i]
	if *previous == next {
		return Duplicate
	}
	if next.at < previous.at || next.at == previous.at && compareSamples(&next.sample, &previous.sample) < 0 {
		return Outdated
	}
	*previous = next
	return Newer
}

// oldest returns the index of the oldest observation.
func (r *row) oldest() int {
	oldest := 0
	for i := range r.observations {
		if compareAge(&r.observations[i], &r.observations[oldest]) < 0 {
			oldest = i
		}
	}
	return oldest
}

// Read returns all samples, with their ages as of now, by Order; those older than Keep are dropped from the table.
func (t *Table) Read(now view.Uptime) (samples []healthreport.Sample) {
	for len(t.byAge) > 0 && now-t.byAge[0].newestAt > t.bounds.MaxAge {
		t.remove(t.byAge[0])
	}
	// Rows are sorted, not samples, as a sample is large to move.
	rows := slices.SortedFunc(maps.Values(t.rows), func(a, b *row) int { return comparePlace(&a.place, &b.place) })
	for _, r := range rows {
		r.observations = slices.DeleteFunc(r.observations, func(o observation) bool { return now-o.at > t.bounds.MaxAge })
		for i := range r.observations {
			s := r.observations[i].sample
			s.Age = max(0, now-r.observations[i].at)
			samples = append(samples, s)
		}
	}
	t.expireForgotten(now)
	return samples
}

// Forget drops all samples of a destination, and rejects those observed up to now that arrive later.
func (t *Table) Forget(now view.Uptime, d choice.DestinationID) {
	for place, r := range t.rows {
		if place.Destination == d {
			t.remove(r)
		}
	}
	t.expireForgotten(now)
	previous, known := t.forgottenAt[d]
	if !known && len(t.forgottenAt) >= t.bounds.Rows {
		t.evictForgotten()
	}
	t.forgottenAt[d] = max(now, previous)
}

// evictForgotten drops the destination that was forgotten longest ago, of several the lowest, where more of them than
// rows were forgotten within Keep.
func (t *Table) evictForgotten() {
	first := true
	var oldest choice.DestinationID
	for other, at := range t.forgottenAt {
		if first || at < t.forgottenAt[oldest] || at == t.forgottenAt[oldest] && other < oldest {
			first, oldest = false, other
		}
	}
	delete(t.forgottenAt, oldest)
}

// expireForgotten drops the destinations that were forgotten too long ago to matter.
func (t *Table) expireForgotten(now view.Uptime) {
	for d, when := range t.forgottenAt {
		if now-when > 2*t.bounds.MaxAge {
			delete(t.forgottenAt, d)
		}
	}
}

// Rows returns the number of places stored.
func (t *Table) Rows() int { return len(t.rows) }

// valid reports whether a sample's values are possible: they come from other processes, and an empty span would be read
// as an infinite rate.
func valid(s *healthreport.Sample) bool {
	for _, v := range [...]float64{s.Sent, s.Done, s.Failed, s.Unanswered, s.Rejected, s.Limit, s.Rating} {
		if !(v >= 0) || math.IsInf(v, 1) {
			return false
		}
	}
	return s.Reporter != "" && s.Age >= 0 && s.Span > 0 && s.Endpoints >= 0 && s.Waiting >= 0
}

// Order compares samples as Read orders them: by destination, zone, witness.
func Order(a, b *healthreport.Sample) int {
	if c := comparePlace(&a.Locality, &b.Locality); c != 0 {
		return c
	}
	return cmp.Compare(a.Reporter, b.Reporter)
}

func comparePlace(a, b *healthreport.Locality) int {
	if c := cmp.Compare(a.Destination, b.Destination); c != 0 {
		return c
	}
	return cmp.Compare(a.Zone, b.Zone)
}

// compareSamples decides which of two samples of one witness, place and time is retained. Any rule that does not depend
// on the order of arrival will do; of one moment's counts the later is the larger.
func compareSamples(a, b *healthreport.Sample) int {
	return cmp.Or(cmp.Compare(a.Span, b.Span), cmp.Compare(a.Sent, b.Sent), cmp.Compare(a.Done, b.Done),
		cmp.Compare(a.Failed, b.Failed), cmp.Compare(a.Unanswered, b.Unanswered), cmp.Compare(a.Rejected, b.Rejected),
		cmp.Compare(a.Limit, b.Limit), cmp.Compare(a.Rating, b.Rating), cmp.Compare(a.Endpoints, b.Endpoints),
		cmp.Compare(a.Waiting, b.Waiting), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ReporterZone, b.ReporterZone))
}
