// Package digest turns a sender's digests, which are counts since the last, into sightings over a sliding span.
//
// A sender tells twice a second; half a second holds too few calls for a share of failures, and a rate over it
// jumps. A sighting is the sum of the digests that began within the span, and says over how long that truly was.
// Pure. It must never take a count for longer or shorter than it was counted: after a sender stood still, the span
// is longer.
package digest

import (
	"slices"
	"time"

	"flaxcove/internal/cluster/evidence/table"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

const (
	// Span is what is summed over if nothing else is told: some four digests. Shorter shows a fall sooner, of which
	// three seconds may pass until a plan is in force; longer has more calls to tell a fall from bad luck by.
	Span = 2 * time.Second
	// most digests are told apart in a span; of those that come closer the later is put to the one before it.
	most = 16
)

// Window is one sender's.
type Window struct {
	witness view.Name
	from    view.Zone
	span    time.Duration
	places  int
	told    view.Now // when counting for the next digest began
	parts   []part   // oldest first
	sums    map[healthreport.Locality]*sum
	left    uint64
}

// part is a digest, or several that came close together.
type part struct {
	from view.Now
	rows map[healthreport.Locality]together.Row
}

// sum is over all parts: counts are added as a row comes and taken away as its part leaves; the rest is as last told,
// which may be a span ago.
type sum struct {
	parts int // that hold its place
	row   together.Row
}

// Make begins counting at now. At most so many places are held, over the span; those that come beyond are left out
// until others have been silent for as long.
func Make(witness view.Name, from view.Zone, span time.Duration, places int, now view.Now) *Window {
	if span <= 0 {
		span = Span
	}
	return &Window{witness: witness, from: from, span: span, places: max(places, 1), told: now,
		sums: map[healthreport.Locality]*sum{}}
}

// Take adds a digest and tells all that was seen over the span up to now, by place.
func (w *Window) Take(now view.Now, d together.Digest) []healthreport.Sample {
	w.add(now, d.Rows)
	// The newest stays, however long it was counted.
	for len(w.parts) > 1 && w.parts[0].from < now-w.span {
		w.drop(w.parts[0].rows)
		w.parts = slices.Delete(w.parts, 0, 1)
	}
	over := now - w.parts[0].from
	all := make([]healthreport.Sample, 0, len(w.sums))
	for place, s := range w.sums {
		r, over := &s.row, over
		if row, from, all := w.silentSince(place); all {
			r, over = &row, now-from
		}
		all = append(all, healthreport.Sample{Locality: place, Witness: w.witness, From: w.from, Kind: r.Kind, Span: max(over, 1),
			Sent: float64(r.Sent), Done: float64(r.Done), Failed: float64(r.Failed),
			Silent: float64(r.Silent), Refused: float64(r.Refused), Limit: r.Limit, Rating: r.Rating,
			Endpoints: r.Endpoints, Held: r.Held})
	}
	slices.SortFunc(all, func(a, b healthreport.Sample) int { return table.Order(&a, &b) })
	return all
}

// silentSince sums the newest parts in which a place answered nothing, where something failed in them: a place that has
// fallen is not well for what it did a moment before.
func (w *Window) silentSince(at healthreport.Locality) (row together.Row, from view.Now, all bool) {
	some := false
	for i := len(w.parts) - 1; i >= 0; i-- {
		r, held := w.parts[i].rows[at]
		if r.Done+r.Refused > 0 {
			break
		}
		switch from = w.parts[i].from; {
		case held && some:
			row = plus(r, row)
		case held:
			row, some = r, true
		}
	}
	return row, from, row.Failed > 0
}

// Left is how many rows were left out, as there were too many places.
func (w *Window) Left() uint64 { return w.left }

func (w *Window) add(now view.Now, rows []together.Row) {
	now = max(now, w.told)
	if n := len(w.parts); n == 0 || now-w.parts[n-1].from >= w.span/most {
		w.parts = append(w.parts, part{w.told, make(map[healthreport.Locality]together.Row, len(rows))})
	}
	w.told = now
	into := w.parts[len(w.parts)-1].rows
	for _, r := range rows {
		place := healthreport.Locality{Destination: r.Destination, Zone: view.Zone(r.Zone)}
		s := w.sums[place]
		if s == nil {
			if len(w.sums) >= w.places {
				w.left++
				continue
			}
			s = &sum{}
			w.sums[place] = s
		}
		was, held := into[place]
		if !held {
			s.parts++
		}
		into[place] = plus(was, r)
		s.row = plus(s.row, r)
	}
}

// plus is a later row with the counts of an earlier one added.
func plus(was, r together.Row) together.Row {
	r.Sent += was.Sent
	r.Done += was.Done
	r.Failed += was.Failed
	r.Silent += was.Silent
	r.Refused += was.Refused
	return r
}

func (w *Window) drop(rows map[healthreport.Locality]together.Row) {
	for place, r := range rows {
		s := w.sums[place]
		if s.parts--; s.parts == 0 {
			delete(w.sums, place)
			continue
		}
		s.row.Sent -= r.Sent
		s.row.Done -= r.Done
		s.row.Failed -= r.Failed
		s.row.Silent -= r.Silent
		s.row.Refused -= r.Refused
	}
}
