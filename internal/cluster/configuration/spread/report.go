package spread

// This file is reports to the parent: when one is due, and what is in it.

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"flaxcove/internal/cluster/view"
)

// failuresUntilUnreachable is after how many failed reports in a row the parent counts as unreachable.
const failuresUntilUnreachable = 3

// uplink is the state of the reports to the current parent.
type uplink struct {
	reportNo       uint64
	reported       bool // the parent has lastReport
	lastReport     Report
	sentAt         view.Uptime
	changed        bool // since lastReport
	inFlight       bool
	failures       int
	retryAt        view.Uptime
	pendingAnswers int // answers to updates that wait for the processes below
	// answeredNo is the newest update that was answered. An answer counts as reported, so each update is answered only
	// once: of two answers the parent might receive either.
	answeredNo uint64
}

// markChanged records that there is something new to report.
func (s *State) markChanged() { s.uplink.changed = true }

// HandleUpdate takes in an update of a parent, with its content.
func (s *State) HandleUpdate(d Update, now view.Uptime) { s.takeContent(d.Held, d.Content, now) }

// BeginAnswer records that an answer to an update waits until Settled, for MaxAnswerDelay at most; Answer ends that.
func (s *State) BeginAnswer() { s.uplink.pendingAnswers++ }

// Answer is the answer to an update; false for one that was answered before.
func (s *State) Answer(to Update, now view.Uptime) (Report, bool) {
	u := &s.uplink
	u.pendingAnswers = max(u.pendingAnswers-1, 0)
	if to.From != s.parent.Life || to.FromLeader != s.parent.IsLeader {
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

// DueReport is the report that is due, if one is. It must be followed by ReportAnswered or ReportFailed.
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

// markOwnLag makes a report due once the newest version has not been in force here for a while.
func (s *State) markOwnLag(now view.Uptime) {
	if lag, lagging := s.ownLag(now); lagging && lag.Reason == Behind && !s.lagReported {
		s.lagReported = true
		s.markChanged()
	}
}

// sameReport reports whether two reports have the same content.
func sameReport(a, b Report) bool {
	return a.Held == b.Held && a.InForce == b.InForce && a.NeedsFull == b.NeedsFull && a.Settled == b.Settled && sameSummary(a.Summary, b.Summary)
}

// reportDueAt is when the next report is due.
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

// phase spreads the idle reports of a coordinator's children over time, by a hash of the process's name.
func (s *State) phase() time.Duration {
	return time.Duration(xxhash.Sum64String(string(s.self.Name)) % uint64(RefreshInterval/4))
}

// ReportAnswered takes in a parent's answer to a report.
func (s *State) ReportAnswered(to Parent, a ReportAnswer, now view.Uptime) {
	s.takeContent(a.Held, a.Content, now)
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

// ReportFailed records that a report, or its answer, was lost.
func (s *State) ReportFailed(to Parent, now view.Uptime) {
	if to != s.parent {
		return
	}
	u := &s.uplink
	u.inFlight, u.reported = false, false
	u.retryAt = now + backoff(u.failures)
	u.failures++
}

// ParentUnreachable reports whether the parent has not been reached for a while, so that another process has to be asked for
// newer versions.
func (s *State) ParentUnreachable() bool { return s.uplink.failures >= failuresUntilUnreachable }

// Parent is the process to which this one reports; the zero value for none.
func (s *State) Parent() Parent { return s.parent }

// makeReport is the state of this process and all below it.
func (s *State) makeReport(top bool, now view.Uptime) Report {
	s.uplink.reportNo++
	return Report{From: s.self, ToLeader: top, ReportNo: s.uplink.reportNo, Held: s.digest(), InForce: s.inForce, NeedsFull: s.needsFull, Settled: s.Settled(),
		Summary: s.Summary(now)}
}
