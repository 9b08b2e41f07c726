package assess

import (
	"cmp"
	"slices"
	"time"

	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// maxReports bounds a board: 12 zones that each report on 2,000 places (issue 36 names 1,000 processes in 12 zones).
const maxReports = 24000

// reportKey names one report: the place it is about and the zone that made it.
type reportKey struct {
	place healthreport.Locality
	from  view.Zone
}

// storedReport is the newest report of its key.
type storedReport struct {
	report     Report
	receivedAt view.Uptime
	sentAt     view.Uptime // when it was last passed on
	changed    bool        // since then
}

// ReportTable stores the newest report of each zone about each place, with the time it was received. It never holds more
// than maxReports: reports that are too old are deleted, and new keys beyond the limit are dropped. A board belongs to
// one goroutine.
type ReportTable struct {
	bounds  Bounds
	reports map[reportKey]*storedReport
}

// NewReportTable returns an empty board.
func NewReportTable(b Bounds) *ReportTable {
	return &ReportTable{bounds: b, reports: map[reportKey]*storedReport{}}
}

// Put stores reports, each as old as its Age says. A report older than the stored one is dropped: while the tree
// changes, reports arrive by more than one path. worsened is true if any report has more failing witnesses than the
// one before it.
func (b *ReportTable) Put(now view.Uptime, reports []Report) (worsened bool) {
	for _, r := range reports {
		key := reportKey{r.Locality, r.From}
		stored := b.reports[key]
		if stored == nil {
			if len(b.reports) >= maxReports {
				continue
			}
			b.reports[key] = &storedReport{report: r, receivedAt: now, sentAt: -b.bounds.IdleAge, changed: true}
			worsened = worsened || r.FailingWitnesses > 0
			continue
		}
		if r.Age > stored.report.Age+now-stored.receivedAt {
			continue
		}
		worsened = worsened || r.FailingWitnesses > stored.report.FailingWitnesses
		stored.changed = stored.changed || stateChanged(stored.report, r)
		stored.report, stored.receivedAt = r, now
	}
	return worsened
}

// Fresh returns all reports that are still believed, with their ages as of now, sorted; it deletes those that are too
// old.
func (b *ReportTable) Fresh(now view.Uptime) []Report {
	all := make([]Report, 0, len(b.reports))
	for key, row := range b.reports {
		r := row.report
		if r.Age += now - row.receivedAt; r.Age > b.bounds.IdleAge {
			delete(b.reports, key)
			continue
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(x, y Report) int {
		return cmp.Or(ComparePlaces(x.Locality, y.Locality), cmp.Compare(x.From, y.From))
	})
	return all
}

// Intervals at which a report is sent again: short for places that fail, short enough not to age out for healthy
// ones, long for idle ones.
const (
	failingInterval = 450 * time.Millisecond
	healthyInterval = 2 * time.Second
	idleInterval    = 12 * time.Second
)

// TakeDue returns the reports to send to the parent now, at most limit: changed ones at once, those with failures often,
// the rest at longer intervals.
func (b *ReportTable) TakeDue(now view.Uptime, limit int) []Report {
	n := 0
	fresh := b.Fresh(now)
	return slices.DeleteFunc(fresh, func(r Report) bool {
		row := b.reports[reportKey{r.Locality, r.From}]
		interval := healthyInterval
		switch {
		case row.changed && r.FailingWitnesses > 0:
			interval = 0
		case row.changed || r.FailingWitnesses > 0 || r.Failures > r.Successes/5:
			interval = failingInterval
		case r.Idle():
			interval = idleInterval
		}
		if n >= limit || now-row.sentAt < interval {
			return true
		}
		n++
		row.sentAt, row.changed = now, false
		return false
	})
}

// MarkAllUnsent marks all reports as unsent, since there is a new receiver.
func (b *ReportTable) MarkAllUnsent() {
	for _, row := range b.reports {
		row.changed = true
		row.sentAt = -b.bounds.IdleAge
	}
}

// stateChanged reports whether two reports differ in more than their figures.
func stateChanged(a, b Report) bool {
	return (a.FailingWitnesses > 0) != (b.FailingWitnesses > 0) ||
		a.Idle() != b.Idle() ||
		a.Endpoints != b.Endpoints ||
		a.Limit != b.Limit ||
		a.Sent > 2*b.Sent+1 || b.Sent > 2*a.Sent+1 ||
		(a.Refused > a.Sent/10) != (b.Refused > b.Sent/10)
}

// SeesFailure reports whether one process by itself sees a place fail, by its own rows of the last window. Its own traffic may
// then go wherever package choice sends it until the plan takes account of the failure.
func SeesFailure(rows []healthreport.Sample, b Bounds) bool {
	var t witnessCounts
	for _, s := range rows {
		if s.Age <= b.Window {
			t.add(s)
		}
	}
	t.countSilenceAsFailures(b)
	return t.failed >= 2 && t.failed > 3*(t.done+t.refused)
}
