// Package table stores health samples in a table of bounded size. A row holds the samples of one locality (the
// endpoints of a destination in one zone), at most one of each witness (a process that reports on the locality).
//
// The package is pure: it reads no clock, starts no goroutine, and draws no conclusion from a sample. Times are spans
// since the process started, and a sample was observed at the present time less its age.
//
// A row retains the newest samples, and the table retains the rows with the newest samples. The content therefore does
// not depend on the order in which samples arrive, with one exception: a row that was evicted and is added again has
// lost the earlier samples of its other witnesses.
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

// Bounds limit the content of a table.
type Bounds struct {
	Rows      int           // number of localities; when exceeded, the row whose newest sample is oldest is evicted
	Witnesses int           // number of samples in a row; when exceeded, the oldest one is evicted
	MaxAge    time.Duration // maximum age and maximum Span of a sample
}

// Outcome tells how Add treated a sample.
type Outcome uint8

// Outcomes of Add.
const (
	New       Outcome = iota // stored; the row had no sample of this witness
	Newer                    // stored in place of an earlier sample of the same witness
	Duplicate                // dropped, equal to the stored sample
	Outdated                 // dropped, older than the witness's stored sample, than all that a full row or table holds, or than MaxAge
	Forgotten                // dropped, its span began before Forget was called for its destination
	Invalid                  // dropped, a value is impossible
)

// Table is a bounded store of samples. It is not safe for concurrent use.
type Table struct {
	bounds Bounds
	rows   map[healthreport.Locality]*row
	byAge  ageHeap // the same rows
	// forgottenAt holds the time of the last Forget of a destination; samples whose span began before are rejected. An
	// entry expires after twice MaxAge: by then samples from before it exceed MaxAge in their age or their span.
	forgottenAt map[choice.DestinationID]view.Uptime
}

// row holds the samples of one locality.
type row struct {
	locality     healthreport.Locality
	observations []observation // sorted by witness
	newestAt     view.Uptime   // time of the newest observation
	heapIndex    int           // in Table.byAge
}

// observation is a sample with the time at which it was observed. The sample's Age is 0.
type observation struct {
	at     view.Uptime
	sample healthreport.Sample
}

// compareAge orders observations of one locality by time, then by witness, so that the choice among equally old ones
// is deterministic.
func compareAge(a, b *observation) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sample.Reporter, b.sample.Reporter))
}

// NewTable returns an empty table. Bounds below one row, one witness and one nanosecond are raised to these values.
func NewTable(b Bounds) *Table {
	b = Bounds{max(b.Rows, 1), max(b.Witnesses, 1), max(b.MaxAge, 1)}
	return &Table{bounds: b, rows: map[healthreport.Locality]*row{}, forgottenAt: map[choice.DestinationID]view.Uptime{}}
}

// Add stores a sample, whose age is as of now, unless the returned outcome says that it was dropped.
func (t *Table) Add(now view.Uptime, s healthreport.Sample) Outcome {
	if !valid(&s) {
		return Invalid
	}
	observed := observation{now - s.Age, s}
	observed.sample.Age = 0
	if s.Age > t.bounds.MaxAge || s.Span > t.bounds.MaxAge {
		return Outdated
	}
	// A span that began before Forget includes calls that are to be forgotten.
	if when, forgotten := t.forgottenAt[s.Destination]; forgotten && observed.at-s.Span < when {
		return Forgotten
	}
	target := t.rows[s.Locality]
	if target == nil {
		target = &row{locality: s.Locality, newestAt: observed.at}
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

// remove deletes a row.
func (t *Table) remove(r *row) {
	delete(t.rows, r.locality)
	heap.Remove(&t.byAge, r.heapIndex)
}

// insert adds an observation, or replaces the earlier one of the same witness. If the row already holds limit
// observations of other witnesses, the oldest one is evicted, or next is dropped if it is older than all of them.
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

// replace overwrites observation i, which is of the same witness, with next, unless the existing one is equal or newer.
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

// Read returns all samples with their ages as of now, sorted by Compare. It first deletes those older than MaxAge from
// the table.
func (t *Table) Read(now view.Uptime) (samples []healthreport.Sample) {
	for len(t.byAge) > 0 && now-t.byAge[0].newestAt > t.bounds.MaxAge {
		t.remove(t.byAge[0])
	}
	// Rows are sorted instead of samples, because a sample is large to move.
	rows := slices.SortedFunc(maps.Values(t.rows), func(a, b *row) int { return compareLocality(&a.locality, &b.locality) })
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

// Forget deletes all samples of a destination. Samples that arrive later are rejected if their span began before now.
func (t *Table) Forget(now view.Uptime, d choice.DestinationID) {
	for locality, r := range t.rows {
		if locality.Destination == d {
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

// evictForgotten deletes the oldest entry of forgottenAt, the one of the lowest destination if several are equally old.
// It is called when forgottenAt has as many entries as the table may have rows.
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

// expireForgotten deletes the entries of forgottenAt that are older than twice MaxAge.
func (t *Table) expireForgotten(now view.Uptime) {
	for d, when := range t.forgottenAt {
		if now-when > 2*t.bounds.MaxAge {
			delete(t.forgottenAt, d)
		}
	}
}

// Rows returns the number of localities stored.
func (t *Table) Rows() int { return len(t.rows) }

// valid reports whether a sample's values are possible. Samples come from other processes, and a span of 0 would yield
// an infinite rate.
func valid(s *healthreport.Sample) bool {
	for _, v := range [...]float64{s.Sent, s.Done, s.Failed, s.Unanswered, s.Rejected, s.Limit, s.Rating} {
		if !(v >= 0) || math.IsInf(v, 1) {
			return false
		}
	}
	return s.Reporter != "" && s.Age >= 0 && s.Span > 0 && s.Endpoints >= 0 && s.Waiting >= 0
}

// Compare compares samples in the order of Read: by destination, zone and witness.
func Compare(a, b *healthreport.Sample) int {
	if c := compareLocality(&a.Locality, &b.Locality); c != 0 {
		return c
	}
	return cmp.Compare(a.Reporter, b.Reporter)
}

func compareLocality(a, b *healthreport.Locality) int {
	if c := cmp.Compare(a.Destination, b.Destination); c != 0 {
		return c
	}
	return cmp.Compare(a.Zone, b.Zone)
}

// compareSamples decides which of two samples of the same witness, locality and time is retained: the larger one. Any
// rule that is independent of the order of arrival would do. Counts only grow, so the larger sample is the later one.
func compareSamples(a, b *healthreport.Sample) int {
	return cmp.Or(cmp.Compare(a.Span, b.Span), cmp.Compare(a.Sent, b.Sent), cmp.Compare(a.Done, b.Done),
		cmp.Compare(a.Failed, b.Failed), cmp.Compare(a.Unanswered, b.Unanswered), cmp.Compare(a.Rejected, b.Rejected),
		cmp.Compare(a.Limit, b.Limit), cmp.Compare(a.Rating, b.Rating), cmp.Compare(a.Endpoints, b.Endpoints),
		cmp.Compare(a.Waiting, b.Waiting), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ReporterZone, b.ReporterZone))
}
