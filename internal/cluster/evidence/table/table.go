// Package table keeps what was seen of places, each sighting with its age and its witness, and bounded in both ways.
//
// A row is a place (a destination in one zone); it holds one sighting of each witness. Pure: time comes in as a span
// since the process began, and a sighting's own time is Now less its age. What is kept does not hang on the order in
// which sightings of different witnesses come: of a row, the newest; of the table, the rows last seen. (A row that
// had to leave and comes back has lost what other witnesses told before, which is all that order can change.) It
// must never decide what a sighting means.
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

// Bounds are what a table holds at most.
type Bounds struct {
	Rows      int           // the one whose newest sighting is oldest leaves
	Witnesses int           // a row; the oldest leaves
	Keep      time.Duration // older sightings are dropped, and those over a longer span not taken
}

// Taken is what became of a sighting.
type Taken uint8

const (
	New     Taken = iota // of a witness not heard of this place
	Newer                // in the place of its earlier one
	Same                 // nothing changed
	Older                // than what its witness told, what a full row or table keeps, or Keep
	Void                 // seen before the destination was forgotten
	Unsound              // counts that cannot be
)

// Table is for one goroutine at a time.
type Table struct {
	b      Bounds
	rows   map[healthreport.Locality]*row
	oldest ages // the same rows
	// void are destinations forgotten, and when: what was seen before and comes later is not taken. Each leaves after
	// twice Keep, as what is so old, or over a span that reaches back so far, is dropped anyway.
	void map[choice.DestinationID]view.Now
}

type row struct {
	place healthreport.Locality
	seen  []seen   // by witness
	last  view.Now // of the newest of seen
	no    int      // in ages
}

// seen is a sighting and when that was; its Age is not kept.
type seen struct {
	at view.Now
	s  healthreport.Sample
}

// newer orders sightings of one place: by time, then by witness, so that of two that are as old always the same
// leaves.
func newer(a, b *seen) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.s.Witness, b.s.Witness))
}

// Make takes bounds of at least one row, witness and nanosecond.
func Make(b Bounds) *Table {
	b = Bounds{max(b.Rows, 1), max(b.Witnesses, 1), max(b.Keep, 1)}
	return &Table{b: b, rows: map[healthreport.Locality]*row{}, void: map[choice.DestinationID]view.Now{}}
}

// Take adds a sighting whose age is of now.
func (t *Table) Take(now view.Now, s healthreport.Sample) Taken {
	if !sound(&s) {
		return Unsound
	}
	n := seen{now - s.Age, s}
	n.s.Age = 0
	if s.Age > t.b.Keep || s.Span > t.b.Keep {
		return Older
	}
	// A span that began before holds what is to be forgotten.
	if when, forgotten := t.void[s.Destination]; forgotten && n.at-s.Span < when {
		return Void
	}
	r := t.rows[s.Locality]
	if r == nil {
		r = &row{place: s.Locality, last: n.at}
		if len(t.rows) >= t.b.Rows {
			if r.before(t.oldest[0]) {
				return Older
			}
			t.leave(t.oldest[0])
		}
		t.rows[s.Locality] = r
		heap.Push(&t.oldest, r)
	}
	taken := r.take(n, t.b.Witnesses)
	if n.at > r.last {
		r.last = n.at
		heap.Fix(&t.oldest, r.no)
	}
	return taken
}

func (t *Table) leave(r *row) {
	delete(t.rows, r.place)
	heap.Remove(&t.oldest, r.no)
}

func (r *row) take(n seen, most int) Taken {
	i, known := slices.BinarySearchFunc(r.seen, n.s.Witness,
		func(h seen, w view.Name) int { return cmp.Compare(h.s.Witness, w) })
	switch {
	case known && r.seen[i] == n:
		return Same
	case known && (n.at < r.seen[i].at || n.at == r.seen[i].at && compare(&n.s, &r.seen[i].s) < 0):
		return Older
	case known:
		r.seen[i] = n
		return Newer
	case len(r.seen) < most:
		r.seen = slices.Insert(r.seen, i, n)
		return New
	}
	oldest := 0
	for j := range r.seen {
		if newer(&r.seen[j], &r.seen[oldest]) < 0 {
			oldest = j
		}
	}
	if newer(&n, &r.seen[oldest]) < 0 {
		return Older
	}
	r.seen = slices.Delete(r.seen, oldest, oldest+1)
	if oldest < i {
		i--
	}
	r.seen = slices.Insert(r.seen, i, n)
	return New
}

// Read is all sightings, with their ages as of now, by Order; those older than Keep leave the table.
func (t *Table) Read(now view.Now) (to []healthreport.Sample) {
	for len(t.oldest) > 0 && now-t.oldest[0].last > t.b.Keep {
		t.leave(t.oldest[0])
	}
	// Rows are put in order, and not what they hold: a sighting is long to move.
	rows := slices.SortedFunc(maps.Values(t.rows), func(a, b *row) int { return comparePlace(&a.place, &b.place) })
	for _, r := range rows {
		r.seen = slices.DeleteFunc(r.seen, func(h seen) bool { return now-h.at > t.b.Keep })
		for i := range r.seen {
			s := r.seen[i].s
			s.Age = max(0, now-r.seen[i].at)
			to = append(to, s)
		}
	}
	t.lapse(now)
	return to
}

// Forget drops all of a destination, and what was seen of it up to now and comes later.
func (t *Table) Forget(now view.Now, d choice.DestinationID) {
	for place, r := range t.rows {
		if place.Destination == d {
			t.leave(r)
		}
	}
	t.lapse(now)
	when, known := t.void[d]
	if !known && len(t.void) >= t.b.Rows {
		// More destinations than rows forgotten within Keep: the one longest ago leaves, the lower of two.
		first := true
		var least choice.DestinationID
		for other, at := range t.void {
			if first || at < t.void[least] || at == t.void[least] && other < least {
				first, least = false, other
			}
		}
		delete(t.void, least)
	}
	t.void[d] = max(now, when)
}

func (t *Table) lapse(now view.Now) {
	for d, when := range t.void {
		if now-when > 2*t.b.Keep {
			delete(t.void, d)
		}
	}
}

// Rows is how many places are held.
func (t *Table) Rows() int { return len(t.rows) }

// sound tells whether a sighting's counts can be: others' programs write them, and one of a span of nothing would be
// read as an endless rate.
func sound(s *healthreport.Sample) bool {
	for _, v := range [...]float64{s.Sent, s.Done, s.Failed, s.Silent, s.Refused, s.Limit, s.Rating} {
		if !(v >= 0) || math.IsInf(v, 1) {
			return false
		}
	}
	return s.Witness != "" && s.Age >= 0 && s.Span > 0 && s.Endpoints >= 0 && s.Held >= 0
}

// Order is that of Read's users: by destination, zone, witness.
func Order(a, b *healthreport.Sample) int {
	if c := comparePlace(&a.Locality, &b.Locality); c != 0 {
		return c
	}
	return cmp.Compare(a.Witness, b.Witness)
}

func comparePlace(a, b *healthreport.Locality) int {
	if c := cmp.Compare(a.Destination, b.Destination); c != 0 {
		return c
	}
	return cmp.Compare(a.Zone, b.Zone)
}

// compare settles which of two sightings stays that one witness told of one place and time: any rule will do that
// does not hang on which came first. The later count of one moment is the larger.
func compare(a, b *healthreport.Sample) int {
	return cmp.Or(cmp.Compare(a.Span, b.Span), cmp.Compare(a.Sent, b.Sent), cmp.Compare(a.Done, b.Done),
		cmp.Compare(a.Failed, b.Failed), cmp.Compare(a.Silent, b.Silent), cmp.Compare(a.Refused, b.Refused),
		cmp.Compare(a.Limit, b.Limit), cmp.Compare(a.Rating, b.Rating), cmp.Compare(a.Endpoints, b.Endpoints),
		cmp.Compare(a.Held, b.Held), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.From, b.From))
}
