package weigh

import (
	"cmp"
	"math"
	"slices"
	"time"

	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// tally is what one witness saw of one place.
type tally struct {
	witness                     view.Name
	sent, done, failed, refused float64
	span, age                   time.Duration
}

// end settles calls that are still out: once nothing came back for a while they count as failed, since a place that
// hangs answers none and time-outs may be long.
func (t *tally) end(b Bounds) {
	out := t.sent - t.done - t.failed - t.refused
	if t.done+t.refused == 0 && t.span >= b.Silence && out > 0 {
		t.failed += out
	}
}

func (t *tally) bad() bool  { return t.failed > 0 && t.failed > t.done+t.refused }
func (t *tally) well() bool { return !t.bad() && t.done+t.refused > 0 }

type table struct {
	order  []healthreport.Locality
	places map[healthreport.Locality][]*tally
	facts  map[healthreport.Locality]*Report
}

// Zonal sums what the processes of one zone saw to a report a place, sorted. Several sightings of one witness and
// place are spans that follow each other; the same one twice must not be handed in. A witness that sees all fail that
// it tries, where others of its zone are answered, is ill itself and does not count.
func Zonal(from view.Zone, all []healthreport.Sample, b Bounds) []Report {
	t := gather(from, all, b)
	sick := t.sick()
	reports := make([]Report, 0, len(t.order))
	for _, place := range t.order {
		r := t.facts[place]
		fails := slices.ContainsFunc(t.places[place], func(w *tally) bool { return w.bad() && !sick[w.witness] })
		for _, w := range t.places[place] {
			if fails && w.well() && w.age > calmFor {
				continue
			}
			if sick[w.witness] {
				r.Sick++
				continue
			}
			r.add(w, b)
		}
		reports = append(reports, *r)
	}
	return reports
}

// calmFor is for how long the word of a witness that is answered counts against others that see a place fail now: it
// tells of what is well once in two seconds, and then of calls of the two before, and of what fails at once.
const calmFor = 700 * time.Millisecond

func (r *Report) add(w *tally, b Bounds) {
	switch {
	case w.bad():
		r.Bad++
		if len(r.By) < b.Named {
			r.By = append(r.By, w.witness)
		}
	case w.well():
		r.Well++
	default:
		return
	}
	per := 1 / max(0.1, w.span.Seconds())
	r.Failures, r.Successes = r.Failures+w.failed, r.Successes+w.done+w.refused // a refusal is an answer
	r.Sent, r.Done, r.Refused = tenth(r.Sent+w.sent*per), tenth(r.Done+w.done*per), tenth(r.Refused+w.refused*per)
	if r.Bad+r.Well == 1 || w.age < r.Age {
		r.Age = w.age
	}
}

// gather sorts first, so that neither the order of rows nor of a map shows in what is told.
func gather(from view.Zone, all []healthreport.Sample, b Bounds) *table {
	all = slices.DeleteFunc(slices.Clone(all), func(s healthreport.Sample) bool {
		return s.From != from || s.Age < 0 || s.Age > b.IdleAge || !sound(s)
	})
	slices.SortStableFunc(all, func(x, y healthreport.Sample) int {
		return cmp.Or(Order(x.Locality, y.Locality), cmp.Compare(x.Witness, y.Witness), cmp.Compare(x.Age, y.Age))
	})
	t := &table{places: map[healthreport.Locality][]*tally{}, facts: map[healthreport.Locality]*Report{}}
	here := map[view.Name]bool{}
	for _, s := range all {
		r := t.facts[s.Locality]
		if r == nil {
			r = &Report{Locality: s.Locality, From: from, Kind: s.Kind, Age: s.Age}
			t.facts[s.Locality], t.order = r, append(t.order, s.Locality)
		}
		r.Limit, r.Rating, r.Endpoints = max(r.Limit, s.Limit), max(r.Rating, s.Rating), max(r.Endpoints, s.Endpoints)
		if s.Age > b.MaxAge {
			continue
		}
		here[s.Witness] = true
		if s.Sent+s.Done+s.Failed+s.Refused > 0 {
			t.count(s, b)
		}
	}
	for _, place := range t.order {
		t.facts[place].Processes = len(here)
		for _, w := range t.places[place] {
			w.end(b)
		}
	}
	return t
}

// count adds a row to its witness's tally: rows of the window, or the youngest where all are older.
func (t *table) count(s healthreport.Sample, b Bounds) {
	of := t.places[s.Locality]
	if len(of) == 0 || of[len(of)-1].witness != s.Witness {
		of = append(of, &tally{witness: s.Witness, age: s.Age})
		t.places[s.Locality] = of
	} else if s.Age > b.Window {
		return
	}
	w := of[len(of)-1]
	w.sent, w.done, w.failed, w.refused = w.sent+s.Sent, w.done+s.Done, w.failed+s.Failed, w.refused+s.Refused
	w.span += s.Span
}

// sick finds witnesses that see two places or more fail and none answer, while another of the zone is answered at one
// of these.
func (t *table) sick() map[view.Name]bool {
	bad, well, alone := map[view.Name]int{}, map[view.Name]int{}, map[view.Name]bool{}
	for _, place := range t.order {
		answered := slices.ContainsFunc(t.places[place], (*tally).well)
		for _, w := range t.places[place] {
			if w.well() {
				well[w.witness]++
			}
			if w.bad() {
				bad[w.witness]++
				alone[w.witness] = alone[w.witness] || answered
			}
		}
	}
	sick := map[view.Name]bool{}
	for name, n := range bad {
		if n >= 2 && well[name] == 0 && alone[name] {
			sick[name] = true
		}
	}
	return sick
}

func sound(s healthreport.Sample) bool {
	for _, v := range [...]float64{s.Sent, s.Done, s.Failed, s.Refused, s.Limit, s.Rating} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return s.Span >= 0
}

// Order sorts places.
func Order(a, b healthreport.Locality) int {
	return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Zone, b.Zone))
}

func tenth(v float64) float64 { return math.Round(v*10) / 10 }
