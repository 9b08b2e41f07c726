package assess

import (
	"cmp"
	"math"
	"slices"
	"time"

	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// witnessCounts sums the samples of one witness of one locality.
type witnessCounts struct {
	witness                      view.Name
	sent, done, failed, rejected float64       // numbers of calls
	span, age                    time.Duration // sum of the samples' spans; age of the newest sample
}

// add adds the counts and the span of a sample.
func (c *witnessCounts) add(s healthreport.Sample) {
	c.sent, c.done, c.failed, c.rejected = c.sent+s.Sent, c.done+s.Done, c.failed+s.Failed, c.rejected+s.Rejected
	c.span += s.Span
}

// countUnansweredAsFailed counts calls in flight as failed if no call was answered during Bounds.UnansweredTimeout. An
// endpoint that hangs answers no call, and the senders' own timeouts may be long.
func (c *witnessCounts) countUnansweredAsFailed(b Bounds) {
	inFlight := c.sent - c.done - c.failed - c.rejected
	if c.done+c.rejected == 0 && c.span >= b.UnansweredTimeout && inFlight > 0 {
		c.failed += inFlight
	}
}

// failing reports whether more calls failed than were answered.
func (c *witnessCounts) failing() bool { return c.failed > 0 && c.failed > c.done+c.rejected }

// healthy reports whether calls were answered, at least as many as failed.
func (c *witnessCounts) healthy() bool { return !c.failing() && c.done+c.rejected > 0 }

// zoneTable holds the counts of one zone's witnesses by locality.
type zoneTable struct {
	localities []healthreport.Locality                    // all localities, sorted
	witnesses  map[healthreport.Locality][]*witnessCounts // sorted by witness
	reports    map[healthreport.Locality]*Report
}

// SummarizeZone combines the samples of the processes of one zone into one report for each locality, sorted by locality.
// Several samples of the same witness and locality must cover different spans, so that no call is counted twice.
//
// Witnesses at fault themselves are excluded: they see at least two localities fail and none answer, while another
// witness of the zone gets answers from one of these. A healthy witness whose newest sample is older than
// healthyReportGrace is left out if another witness sees the locality fail.
func SummarizeZone(from view.Zone, samples []healthreport.Sample, b Bounds) []Report {
	t := newZoneTable(from, samples, b)
	excluded := t.excludedWitnesses()
	reports := make([]Report, 0, len(t.localities))
	for _, locality := range t.localities {
		r := t.reports[locality]
		someFail := slices.ContainsFunc(t.witnesses[locality], func(w *witnessCounts) bool {
			return w.failing() && !excluded[w.witness]
		})
		for _, w := range t.witnesses[locality] {
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

// healthyReportGrace is the maximum age at which the sample of a healthy witness still contradicts failures seen by
// other witnesses. Failures are reported at once, but healthy localities only every two seconds and with calls of the
// two seconds before, so that an older sample may be from before the failure.
const healthyReportGrace = 700 * time.Millisecond

// add adds the counts of a witness that is not excluded.
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
	r.Failures, r.Successes = r.Failures+w.failed, r.Successes+w.done+w.rejected // a rejection is an answer
	r.Sent = roundToTenth(r.Sent + w.sent*perSecond)
	r.Done = roundToTenth(r.Done + w.done*perSecond)
	r.Rejected = roundToTenth(r.Rejected + w.rejected*perSecond)
	if r.FailingWitnesses+r.HealthyWitnesses == 1 || w.age < r.Age {
		r.Age = w.age
	}
}

// newZoneTable returns a table of the valid samples from a zone. It sorts the samples first, so that the reports depend
// neither on their order nor on the iteration order of a map.
func newZoneTable(from view.Zone, samples []healthreport.Sample, b Bounds) *zoneTable {
	samples = slices.DeleteFunc(slices.Clone(samples), func(s healthreport.Sample) bool {
		return s.ReporterZone != from || s.Age < 0 || s.Age > b.IdleMaxAge || !valid(s)
	})
	slices.SortStableFunc(samples, func(x, y healthreport.Sample) int {
		return cmp.Or(CompareLocalities(x.Locality, y.Locality), cmp.Compare(x.Reporter, y.Reporter), cmp.Compare(x.Age, y.Age))
	})
	t := &zoneTable{witnesses: map[healthreport.Locality][]*witnessCounts{}, reports: map[healthreport.Locality]*Report{}}
	active := map[view.Name]bool{}
	for _, s := range samples {
		r := t.reports[s.Locality]
		if r == nil {
			r = &Report{Locality: s.Locality, From: from, Kind: s.Kind, Age: s.Age}
			t.reports[s.Locality], t.localities = r, append(t.localities, s.Locality)
		}
		r.Limit, r.Rating, r.Endpoints = max(r.Limit, s.Limit), max(r.Rating, s.Rating), max(r.Endpoints, s.Endpoints)
		if s.Age > b.MaxAge {
			continue
		}
		active[s.Reporter] = true
		if s.Sent+s.Done+s.Failed+s.Rejected > 0 {
			t.addSample(s, b)
		}
	}
	for _, locality := range t.localities {
		t.reports[locality].Processes = len(active)
		for _, w := range t.witnesses[locality] {
			w.countUnansweredAsFailed(b)
		}
	}
	return t
}

// addSample adds a sample to the counts of its witness. Of a witness's samples, the newest always counts, the others
// only up to the age Bounds.Window. Samples must be added newest first.
func (t *zoneTable) addSample(s healthreport.Sample, b Bounds) {
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

// excludedWitnesses returns the witnesses at fault themselves; see SummarizeZone.
func (t *zoneTable) excludedWitnesses() map[view.Name]bool {
	failing, healthy, othersAnswered := map[view.Name]int{}, map[view.Name]int{}, map[view.Name]bool{}
	for _, locality := range t.localities {
		answered := slices.ContainsFunc(t.witnesses[locality], (*witnessCounts).healthy)
		for _, w := range t.witnesses[locality] {
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

// valid reports whether all values of a sample are finite and not negative.
func valid(s healthreport.Sample) bool {
	for _, v := range [...]float64{s.Sent, s.Done, s.Failed, s.Rejected, s.Limit, s.Rating} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return s.Span >= 0
}

// CompareLocalities orders localities by destination, then by zone.
func CompareLocalities(a, b healthreport.Locality) int {
	return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Zone, b.Zone))
}

func roundToTenth(v float64) float64 { return math.Round(v*10) / 10 }
