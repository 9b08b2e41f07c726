package spread

// This file handles reports to the parent: when one is due, and what it contains.

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"flaxcove/internal/cluster/view"
)

// failuresUntilUnreachable is the number of failed reports in a row after which the parent counts as unreachable.
const failuresUntilUnreachable = 3

// uplink is the state of the reports to the current parent. SetTree resets it when the parent changes.
type uplink struct {
	reportNo       uint64 // number of the latest report; not reset
	reported       bool   // the parent has received lastReport
	lastReport     Report
	sentAt         view.Uptime // when the parent confirmed lastReport, or when it was sent as an answer
	changed        bool        // there is something new since lastReport
	inFlight       bool        // a report is in flight
	failures       int         // number of reports in a row that failed
	retryAt        view.Uptime // no report before this time
	pendingAnswers int         // number of updates whose answer still waits for the processes below
	// answeredNo is the number of the newest update that was answered. Each update is answered only once, because an
	// answer counts as reported and the parent might receive either of two answers.
	answeredNo uint64
}

// markChanged records that there is something new to report.
func (s *State) markChanged() { s.uplink.changed = true }

// HandleUpdate handles an update from a parent. The caller must answer the update with BeginAnswer and Answer.
func (s *State) HandleUpdate(u Update, now view.Uptime) { s.receiveContent(u.Held, u.Content, now) }

// BeginAnswer records that the answer to an update waits until Settled returns true, for MaxAnswerDelay at most. No
// report is due until Answer is called.
func (s *State) BeginAnswer() { s.uplink.pendingAnswers++ }

// Answer returns the answer to an update. It returns false if the update was already answered.
func (s *State) Answer(to Update, now view.Uptime) (Report, bool) {
	u := &s.uplink
	u.pendingAnswers = max(u.pendingAnswers-1, 0)
	if to.From != s.parent.Instance || to.FromLeader != s.parent.IsLeader {
		return s.makeReport(to.FromLeader, now), true
	}
	if to.UpdateNo <= u.answeredNo {
		return Report{}, false
	}
	u.answeredNo = to.UpdateNo
	u.reported, u.sentAt, u.changed = true, now, false
	u.lastReport = s.makeReport(to.FromLeader, now)
	return u.lastReport, true
}

// DueReport returns the report to the parent that is due, and reports whether there is one. The caller must then call
// ReportAnswered or ReportFailed.
func (s *State) DueReport(now view.Uptime) (Report, bool) {
	u := &s.uplink
	if s.parent.Name == "" || u.inFlight || u.pendingAnswers > 0 || now < u.retryAt {
		return Report{}, false
	}
	s.markOwnLag(now)
	if now < s.reportDueAt() {
		return Report{}, false
	}
	r := s.makeReport(s.parent.IsLeader, now)
	if u.reported && u.changed && sameReport(r, u.lastReport) {
		u.changed = false
		return Report{}, false
	}
	u.inFlight, u.changed, u.lastReport = true, false, r
	return r, true
}

// markOwnLag makes a report due once the newest version has not been in force here for LaggardAfter.
func (s *State) markOwnLag(now view.Uptime) {
	if lag, lagging := s.ownLag(now); lagging && lag.Reason == Behind && !s.lagReported {
		s.lagReported = true
		s.markChanged()
	}
}

// sameReport reports whether two reports have the same content, except for durations.
func sameReport(a, b Report) bool {
	return a.Held == b.Held && a.InForce == b.InForce && a.NeedsFull == b.NeedsFull && a.Settled == b.Settled && sameSummary(a.Summary, b.Summary)
}

// reportDueAt returns when the next report is due.
func (s *State) reportDueAt() view.Uptime {
	switch {
	case !s.uplink.reported:
		return 0
	case !s.uplink.changed:
		return s.uplink.sentAt + RefreshInterval + s.phase()
	case s.Settled():
		return s.uplink.sentAt + MinReportInterval
	}
	return s.uplink.sentAt + ReportInterval
}

// phase returns a delay of up to a quarter of RefreshInterval, by a hash of the process's name. It spreads the reports
// of a coordinator's children over time while nothing changes.
func (s *State) phase() time.Duration {
	return time.Duration(xxhash.Sum64String(string(s.self.Name)) % uint64(RefreshInterval/4))
}

// ReportAnswered handles a parent's answer to a report.
func (s *State) ReportAnswered(to Parent, a ReportAnswer, now view.Uptime) {
	s.receiveContent(a.Held, a.Content, now)
	if to != s.parent {
		return
	}
	u := &s.uplink
	u.inFlight = false
	if a.Retry {
		u.reported, u.retryAt = false, now+backoff(u.failures)
		u.failures++
		return
	}
	u.reported, u.sentAt, u.failures = true, now, 0
}

// ReportFailed records that a report or its answer was lost.
func (s *State) ReportFailed(to Parent, now view.Uptime) {
	if to != s.parent {
		return
	}
	u := &s.uplink
	u.inFlight, u.reported = false, false
	u.retryAt = now + backoff(u.failures)
	u.failures++
}

// ParentUnreachable reports whether several reports in a row have failed. The caller should then fetch newer versions
// from other processes.
func (s *State) ParentUnreachable() bool { return s.uplink.failures >= failuresUntilUnreachable }

// Parent returns the process that this one reports to, or the zero value if there is none.
func (s *State) Parent() Parent { return s.parent }

// makeReport returns a new report with the state of this process and all processes below it.
func (s *State) makeReport(toLeader bool, now view.Uptime) Report {
	s.uplink.reportNo++
	return Report{From: s.self, ToLeader: toLeader, ReportNo: s.uplink.reportNo, Held: s.digest(), InForce: s.inForce, NeedsFull: s.needsFull, Settled: s.Settled(),
		Summary: s.Summary(now)}
}
