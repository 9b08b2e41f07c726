package assess

import (
	"cmp"
	"math"
	"slices"
	"time"

	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// witnessCounts is what one witness saw of one place.
type witnessCounts struct {
	witness                     view.Name
	sent, done, failed, refused float64
	span, age                   time.Duration
}

func (t *witnessCounts) add(s healthreport.Sample) {
	t.sent, t.done, t.failed, t.refused = t.sent+s.Sent, t.done+s.Done, t.failed+s.Failed, t.refused+s.Rejected
	t.span += s.Span
}

// countSilenceAsFailures counts unanswered calls as failed once nothing at all came back for SilenceTimeout: an
// endpoint that hangs answers nothing, and timeouts may be long.
func (t *witnessCounts) countSilenceAsFailures(b Bounds) {
	out := t.sent - t.done - t.failed - t.refused
	if t.done+t.refused == 0 && t.span >= b.SilenceTimeout && out > 0 {
		t.failed += out
	}
}

func (t *witnessCounts) failing() bool { return t.failed > 0 && t.failed > t.done+t.refused }
func (t *witnessCounts) healthy() bool { return !t.failing() && t.done+t.refused > 0 }

// zoneTable holds the rows of one zone's witnesses by place, in a fixed order.
type zoneTable struct {
	order     []healthreport.Locality
	witnesses map[healthreport.Locality][]*witnessCounts
	reports   map[healthreport.Locality]*Report
}

// SummarizeZone sums what the processes of one zone saw into one report for each place, sorted. Several sightings of one
// witness and place are consecutive spans; the same sighting must not be passed in twice. Witnesses that are at fault
// themselves are excluded.
func SummarizeZone(from view.Zone, rows []healthreport.Sample, b Bounds) []Report {
	t := tabulate(from, rows, b)
	excluded := t.excludedWitnesses()
	reports := make([]Report, 0, len(t.order))
	for _, place := range t.order {
		r := t.reports[place]
		someFail := slices.ContainsFunc(t.witnesses[place], func(w *witnessCounts) bool {
			return w.failing() && !excluded[w.witness]
		})
		for _, w := range t.witnesses[place] {
			if someFail && w.healthy() && w.age > healthyReportGrace {
				continue
			}
			if excluded[w.witness] {
				r.ExcludedWitnesses++
				continue
			}
			r.add(w, b)
		}
		reports = append(reports, *r)
	}
	return reports
}

// healthyReportGrace is for how long a witness that gets answers contradicts others that see a place fail now. Healthy
// places are reported every two seconds, and with calls of the two seconds before; failures are reported at once.
const healthyReportGrace = 700 * time.Millisecond

// add adds one witness's counts.
func (r *Report) add(w *witnessCounts, b Bounds) {
	switch {
	case w.failing():
		r.FailingWitnesses++
		if len(r.FailingNames) < b.MaxNames {
			r.FailingNames = append(r.FailingNames, w.witness)
		}
	case w.healthy():
		r.HealthyWitnesses++
	default:
		return
	}
	perSecond := 1 / max(0.1, w.span.Seconds())
	r.Failures, r.Successes = r.Failures+w.failed, r.Successes+w.done+w.refused // a rejection is an answer
	r.Sent = roundToTenth(r.Sent + w.sent*perSecond)
	r.Done = roundToTenth(r.Done + w.done*perSecond)
	r.Refused = roundToTenth(r.Refused + w.refused*perSecond)
	if r.FailingWitnesses+r.HealthyWitnesses == 1 || w.age < r.Age {
		r.Age = w.age
	}
}

// tabulate sorts the rows first, so that neither their order nor that of a map shows in the reports.
func tabulate(from view.Zone, rows []healthreport.Sample, b Bounds) *zoneTable {
	rows = slices.DeleteFunc(slices.Clone(rows), func(s healthreport.Sample) bool {
		return s.ReporterZone != from || s.Age < 0 || s.Age > b.IdleAge || !valid(s)
	})
	slices.SortStableFunc(rows, func(x, y healthreport.Sample) int {
		return cmp.Or(ComparePlaces(x.Locality, y.Locality), cmp.Compare(x.Reporter, y.Reporter), cmp.Compare(x.Age, y.Age))
	})
	t := &zoneTable{witnesses: map[healthreport.Locality][]*witnessCounts{}, reports: map[healthreport.Locality]*Report{}}
	active := map[view.Name]bool{}
	for _, s := range rows {
		r := t.reports[s.Locality]
		if r == nil {
			r = &Report{Locality: s.Locality, From: from, Kind: s.Kind, Age: s.Age}
			t.reports[s.Locality], t.order = r, append(t.order, s.Locality)
		}
		r.Limit, r.Rating, r.Endpoints = max(r.Limit, s.Limit), max(r.Rating, s.Rating), max(r.Endpoints, s.Endpoints)
		if s.Age > b.MaxAge {
			continue
		}
		active[s.Reporter] = true
		if s.Sent+s.Done+s.Failed+s.Rejected > 0 {
			t.addRow(s, b)
		}
	}
	for _, place := range t.order {
		t.reports[place].Processes = len(active)
		for _, w := range t.witnesses[place] {
			w.countSilenceAsFailures(b)
		}
	}
	return t
}

// addRow adds a row to its witness's counts: rows within the window, or the newest row where all are older.
func (t *zoneTable) addRow(s healthreport.Sample, b Bounds) {
	witnesses := t.witnesses[s.Locality]
	if len(witnesses) == 0 || witnesses[len(witnesses)-1].witness != s.Reporter {
		witnesses = append(witnesses, &witnessCounts{witness: s.Reporter, age: s.Age})
		t.witnesses[s.Locality] = witnesses
	} else if s.Age > b.Window {
		return
	}
	w := witnesses[len(witnesses)-1]
	w.add(s)
}

// excludedWitnesses returns the witnesses that are at fault themselves: they see two places or more fail and none
// answer, while another witness of the zone gets answers from one of these.
func (t *zoneTable) excludedWitnesses() map[view.Name]bool {
	failing, healthy, othersAnswered := map[view.Name]int{}, map[view.Name]int{}, map[view.Name]bool{}
	for _, place := range t.order {
		answered := slices.ContainsFunc(t.witnesses[place], (*witnessCounts).healthy)
		for _, w := range t.witnesses[place] {
			if w.healthy() {
				healthy[w.witness]++
			}
			if w.failing() {
				failing[w.witness]++
				othersAnswered[w.witness] = othersAnswered[w.witness] || answered
			}
		}
	}
	excluded := map[view.Name]bool{}
	for name, n := range failing {
		if n >= 2 && healthy[name] == 0 && othersAnswered[name] {
			excluded[name] = true
		}
	}
	return excluded
}

// valid reports whether all figures of a row are finite and not negative.
func valid(s healthreport.Sample) bool {
	for _, v := range [...]float64{s.Sent, s.Done, s.Failed, s.Rejected, s.Limit, s.Rating} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return s.Span >= 0
}

// ComparePlaces orders places by destination, then zone.
func ComparePlaces(a, b healthreport.Locality) int {
	return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Zone, b.Zone))
}

func roundToTenth(v float64) float64 { return math.Round(v*10) / 10 }
