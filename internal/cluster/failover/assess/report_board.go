package assess

import (
	"cmp"
	"slices"
	"time"

	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// maxReports bounds a ReportTable: each of 12 zones reports on 2,000 localities. The target is a cluster of 1,000
// processes in 12 zones.
const maxReports = 24000

// reportKey identifies a report by its locality and the zone of its witnesses.
type reportKey struct {
	locality healthreport.Locality
	from     view.Zone
}

// storedReport is the newest report of a key.
type storedReport struct {
	report     Report
	receivedAt view.Uptime
	sentAt     view.Uptime // when TakeDue last returned it
	changed    bool        // its state changed since sentAt
}

// ReportTable stores the newest report of each zone on each locality. It holds at most maxReports reports: those older
// than Bounds.IdleMaxAge are deleted, and new keys beyond the limit are dropped. It is not safe for concurrent use.
type ReportTable struct {
	bounds  Bounds
	reports map[reportKey]*storedReport
}

// NewReportTable returns an empty table.
func NewReportTable(b Bounds) *ReportTable {
	return &ReportTable{bounds: b, reports: map[reportKey]*storedReport{}}
}

// Put stores reports, whose ages are as of now. A report that is older than the stored one is dropped, since reports
// arrive by more than one path while the tree changes. Put returns true if any report has more failing witnesses than
// the one it replaces.
func (t *ReportTable) Put(now view.Uptime, reports []Report) (worsened bool) {
	for _, r := range reports {
		key := reportKey{r.Locality, r.From}
		stored := t.reports[key]
		if stored == nil {
			if len(t.reports) >= maxReports {
				continue
			}
			t.reports[key] = &storedReport{report: r, receivedAt: now, sentAt: -t.bounds.IdleMaxAge, changed: true}
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

// Fresh returns all reports with their ages as of now, sorted by locality and zone. It first deletes those older than
// Bounds.IdleMaxAge.
func (t *ReportTable) Fresh(now view.Uptime) []Report {
	all := make([]Report, 0, len(t.reports))
	for key, stored := range t.reports {
		r := stored.report
		if r.Age += now - stored.receivedAt; r.Age > t.bounds.IdleMaxAge {
			delete(t.reports, key)
			continue
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(x, y Report) int {
		return cmp.Or(CompareLocalities(x.Locality, y.Locality), cmp.Compare(x.From, y.From))
	})
	return all
}

// Intervals at which an unchanged report is sent again. That of healthy localities is short enough for their reports
// not to exceed Bounds.MaxAge.
const (
	failingInterval = 450 * time.Millisecond
	healthyInterval = 2 * time.Second
	idleInterval    = 12 * time.Second
)

// TakeDue returns the reports to send to the parent now, at most limit of them, and records them as sent. Changed
// reports with failures are due at once, other changed reports and those with many failures after failingInterval, idle
// ones after idleInterval, and all others after healthyInterval.
func (t *ReportTable) TakeDue(now view.Uptime, limit int) []Report {
	n := 0
	fresh := t.Fresh(now)
	return slices.DeleteFunc(fresh, func(r Report) bool {
		stored := t.reports[reportKey{r.Locality, r.From}]
		interval := healthyInterval
		switch {
		case stored.changed && r.FailingWitnesses > 0:
			interval = 0
		case stored.changed || r.FailingWitnesses > 0 || r.Failures > r.Successes/5:
			interval = failingInterval
		case r.Idle():
			interval = idleInterval
		}
		if n >= limit || now-stored.sentAt < interval {
			return true
		}
		n++
		stored.sentAt, stored.changed = now, false
		return false
	})
}

// MarkAllUnsent makes all reports due. It is called when the receiver changes, as the new one has none of them.
func (t *ReportTable) MarkAllUnsent() {
	for _, stored := range t.reports {
		stored.changed = true
		stored.sentAt = -t.bounds.IdleMaxAge
	}
}

// stateChanged reports whether two reports differ enough for the new one to be sent soon.
func stateChanged(a, b Report) bool {
	return (a.FailingWitnesses > 0) != (b.FailingWitnesses > 0) ||
		a.Idle() != b.Idle() ||
		a.Endpoints != b.Endpoints ||
		a.Limit != b.Limit ||
		a.Sent > 2*b.Sent+1 || b.Sent > 2*a.Sent+1 ||
		(a.Rejected > a.Sent/10) != (b.Rejected > b.Sent/10)
}

// SeesFailure reports whether a single process sees a locality fail, judging by its own samples up to the age
// Bounds.Window. Until the plan reflects the failure, package choice alone decides where the process sends.
func SeesFailure(samples []healthreport.Sample, b Bounds) bool {
	var counts witnessCounts
	for _, s := range samples {
		if s.Age <= b.Window {
			counts.add(s)
		}
	}
	counts.countUnansweredAsFailed(b)
	return counts.failed >= 2 && counts.failed > 3*(counts.done+counts.rejected)
}
