package weigh

import (
	"cmp"
	"slices"
	"time"

	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// mostReports bounds a board: 12 zones that look at 2,000 places each (issue 36 names 1,000 processes in 12 zones).
const mostReports = 24000

type pairKey struct {
	place healthreport.Locality
	from  view.Zone
}

type posted struct {
	report Report
	at     view.Now // when it came
	passed view.Now // when it was last passed on
	news   bool
}

// Board holds the newest report for each zone and place, with when it came. It never holds more than mostReports: what
// is too old goes first, then what comes beyond is left out. It belongs to one goroutine.
type Board struct {
	bounds Bounds
	rows   map[pairKey]*posted
}

// NewBoard makes an empty one.
func NewBoard(b Bounds) *Board { return &Board{bounds: b, rows: map[pairKey]*posted{}} }

// Put takes reports in, each as old as it says. One that is older than what stands is left out: reports come by more
// than one way while the tree changes. It tells whether any of them says that something fails that did not before.
func (b *Board) Put(now view.Now, reports []Report) (news bool) {
	for _, r := range reports {
		key := pairKey{r.Locality, r.From}
		old := b.rows[key]
		if old == nil {
			if len(b.rows) >= mostReports {
				continue
			}
			b.rows[key] = &posted{report: r, at: now, passed: -b.bounds.IdleAge, news: true}
			news = news || r.Bad > 0
			continue
		}
		if r.Age > old.report.Age+now-old.at {
			continue
		}
		news = news || r.Bad > old.report.Bad
		old.news = old.news || differs(old.report, r)
		old.report, old.at = r, now
	}
	return news
}

// Fresh is all that is believed still, with ages as of now, sorted; what is too old goes.
func (b *Board) Fresh(now view.Now) []Report {
	all := make([]Report, 0, len(b.rows))
	for key, row := range b.rows {
		r := row.report
		if r.Age += now - row.at; r.Age > b.bounds.IdleAge {
			delete(b.rows, key)
			continue
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(x, y Report) int {
		return cmp.Or(Order(x.Locality, y.Locality), cmp.Compare(x.From, y.From))
	})
	return all
}

// Pauses between passing on what has not changed: what fails is followed closely, what is well often enough not to
// age out, what is idle rarely.
const (
	failingEach = 450 * time.Millisecond
	wellEach    = 2 * time.Second
	idleEach    = 12 * time.Second
)

// Up is what to pass up now, at most so many: what changed, what fails, and the rest now and then.
func (b *Board) Up(now view.Now, most int) []Report {
	n := 0
	all := b.Fresh(now)
	return slices.DeleteFunc(all, func(r Report) bool {
		row := b.rows[pairKey{r.Locality, r.From}]
		each := wellEach
		switch {
		case row.news && r.Bad > 0:
			each = 0
		case row.news || r.Bad > 0 || r.Failures > r.Successes/5:
			each = failingEach
		case r.Idle():
			each = idleEach
		}
		if n >= most || now-row.passed < each {
			return true
		}
		n++
		row.passed, row.news = now, false
		return false
	})
}

// Again has all be passed up anew: there is another who gets it.
func (b *Board) Again() {
	for _, row := range b.rows {
		row.news = true
		row.passed = -b.bounds.IdleAge
	}
}

// differs tells whether a report says something else than the one before, and not only other figures.
func differs(a, b Report) bool {
	return (a.Bad > 0) != (b.Bad > 0) || a.Idle() != b.Idle() || a.Endpoints != b.Endpoints || a.Limit != b.Limit ||
		a.Sent > 2*b.Sent+1 || b.Sent > 2*a.Sent+1 || (a.Refused > a.Sent/10) != (b.Refused > b.Sent/10)
}

// Ill tells whether one process by itself sees a place fail, from its own rows of the last second: its own traffic may
// then go where package choice likes until the plan has heard.
func Ill(rows []healthreport.Sample, b Bounds) bool {
	var t tally
	for _, s := range rows {
		if s.Age <= b.Window {
			t.sent, t.done, t.failed, t.refused = t.sent+s.Sent, t.done+s.Done, t.failed+s.Failed, t.refused+s.Refused
			t.span += s.Span
		}
	}
	t.end(b)
	return t.failed >= 2 && t.failed > 3*(t.done+t.refused)
}
