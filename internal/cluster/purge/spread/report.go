package spread

// This file implements the reports to the parent: their content, and when one is due.

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"slices"

	"flaxcove/internal/cluster/view"
)

// reportState is the state of the reports to the parent.
type reportState struct {
	messageNo       uint64      // of the newest report
	prevMessageNo   uint64      // of the newest report sent to the parent; 0 if the next one must be complete
	membersChecksum uint32      // of the newest list of members sent to the parent; 0 for none
	changed         bool        // there are changes that are not reported yet
	changedAt       view.Uptime // time of the first of these changes
	sentAt          view.Uptime // time of the newest report to the parent; valid if everSent
	everSent        bool        // a report was sent to any parent
	inFlight        bool        // a report is in flight
	failures        int         // reports that failed one after the other
	retryAt         view.Uptime // no report is sent before this time
	pendingAnswers  int         // answers that wait for the processes below; no report is sent, as they will carry it
}

// markChanged records that a change has to be reported.
func (s *State) markChanged(now view.Uptime) {
	if !s.reporting.changed {
		s.reporting.changed, s.reporting.changedAt = true, now
	}
}

// resendAll makes the next report a complete one, because the parent has changed or has not received a report.
func (s *State) resendAll(now view.Uptime) {
	s.reporting.membersChecksum, s.reporting.prevMessageNo = 0, 0
	for _, f := range s.findings {
		f.reported = false
	}
	s.markChanged(now)
}

// allProgress returns the progress of this process and all processes below it, sorted by name. Of each process it returns only
// the newest incarnation.
func (s *State) allProgress() (all []Progress) {
	if !s.isLeader {
		all = append(all, Progress{s.self, s.appliedSeq})
	}
	for _, name := range s.childNames {
		all = append(all, s.children[name].progress...)
	}
	slices.SortFunc(all, func(a, b Progress) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(b.Incarnation, a.Incarnation), cmp.Compare(b.AppliedSeq, a.AppliedSeq))
	})
	return slices.CompactFunc(all, func(a, b Progress) bool { return a.Name == b.Name })
}

// SubtreeApplied reports whether this process and all processes below it have applied all purges that this process has
// received. It is false while a child has not reported.
func (s *State) SubtreeApplied() bool {
	if !s.isLeader && s.appliedSeq < s.receivedSeq {
		return false
	}
	for _, name := range s.childNames {
		c := s.children[name]
		if !c.reported {
			return false
		}
		for _, progress := range c.progress {
			if progress.AppliedSeq < s.receivedSeq {
				return false
			}
		}
	}
	return true
}

// BeginAnswer records that the answer to an update is delayed until SubtreeApplied is true, or for MaxAnswerDelay. No reports
// are due until Answer is called.
func (s *State) BeginAnswer() { s.reporting.pendingAnswers++ }

// Answer returns the answer to an update. It counts as a report if the update was sent by the parent.
func (s *State) Answer(to Update, now view.Uptime) Report {
	s.reporting.pendingAnswers = max(s.reporting.pendingAnswers-1, 0)
	return s.makeReport(to.sender() == s.parent, now)
}

// DueReport returns the report that must be sent to the parent now, and whether there is one. It must be followed by
// ReportAnswered or ReportFailed.
func (s *State) DueReport(now view.Uptime) (Report, bool) {
	reporting := &s.reporting
	if s.parent.Name == "" || s.receivedSeq == 0 || !reporting.changed || reporting.inFlight ||
		reporting.pendingAnswers > 0 || now < reporting.retryAt {
		return Report{}, false
	}
	due := reporting.changedAt + ReportInterval
	if s.SubtreeApplied() {
		due = reporting.changedAt
	}
	if reporting.everSent {
		due = max(due, reporting.sentAt+MinReportInterval)
	}
	if now < due {
		return Report{}, false
	}
	reporting.inFlight = true
	return s.makeReport(true, now), true
}

// ReportAnswered processes the answer of a parent to a report. It is ignored if the parent has changed.
func (s *State) ReportAnswered(to Parent, answer ReportAnswer, now view.Uptime) {
	if to != s.parent {
		return
	}
	s.reporting.inFlight, s.reporting.failures = false, 0
	if answer.Resend {
		s.resendAll(now)
		s.reporting.retryAt = now + minBackoff
	}
}

// ReportFailed records that the call with a report failed; the parent may still have received it.
func (s *State) ReportFailed(to Parent, now view.Uptime) {
	if to != s.parent {
		return
	}
	s.reporting.inFlight = false
	s.resendAll(now)
	s.reporting.retryAt = now + backoff(s.reporting.failures)
	s.reporting.failures++
}

// makeReport returns a report of the progress of this process and all processes below it. If record is true, the report is the
// difference to the previous one and is recorded as sent to the parent; otherwise it is complete.
func (s *State) makeReport(record bool, now view.Uptime) Report {
	progress := s.allProgress()
	s.reporting.messageNo++
	report := Report{From: s.self, MessageNo: s.reporting.messageNo, ReceivedSeq: s.receivedSeq, MembersChecksum: membersChecksum(progress)}
	if record {
		report.PrevMessageNo = s.reporting.prevMessageNo
	}
	if report.PrevMessageNo == 0 || s.reporting.membersChecksum != report.MembersChecksum {
		report.Members = make([]view.Instance, len(progress))
		for i, p := range progress {
			report.Members[i] = p.Instance
		}
	}
	keys := s.findingsToReport(record)
	incomplete := len(keys) > MaxFindingsPerMessage
	maxSeq := ^uint64(0)
	if incomplete {
		// A purge may be reported as applied only together with its findings or after them. So the progress in this report
		// ends before the first purge whose findings do not fit.
		maxSeq = keys[MaxFindingsPerMessage].seq - 1
		keys = keys[:MaxFindingsPerMessage]
	}
	for _, k := range keys {
		f := s.findings[k]
		report.Findings = append(report.Findings, Finding{Instance: view.Instance{Name: k.name, Incarnation: f.incarnation},
			Folder: k.folder, Seq: k.seq, Found: f.found})
		f.reported = f.reported || record
	}
	report.setProgress(progress, maxSeq)
	if record {
		s.recordSent(report, incomplete, now)
	}
	return report
}

// findingsToReport returns the findings, sorted by Seq, name and folder. If unreportedOnly is true, it omits those that were
// sent to the parent.
func (s *State) findingsToReport(unreportedOnly bool) []findingKey {
	keys := make([]findingKey, 0, 16)
	for k, f := range s.findings {
		if !unreportedOnly || !f.reported {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b findingKey) int {
		return cmp.Or(cmp.Compare(a.seq, b.seq), cmp.Compare(a.name, b.name), cmp.Compare(a.folder, b.folder))
	})
	return keys
}

// setProgress sets Base to the highest progress of any member, and Behind to the members with lower progress. All progress is
// reported as maxSeq at most.
func (r *Report) setProgress(progress []Progress, maxSeq uint64) {
	for _, p := range progress {
		r.Base = max(r.Base, min(p.AppliedSeq, maxSeq))
	}
	for _, p := range progress {
		if p.AppliedSeq = min(p.AppliedSeq, maxSeq); p.AppliedSeq < r.Base {
			r.Behind = append(r.Behind, p)
		}
	}
}

// recordSent records that a report was sent to the parent. If it is incomplete, the next report is due without further delay.
func (s *State) recordSent(report Report, incomplete bool, now view.Uptime) {
	reporting := &s.reporting
	reporting.prevMessageNo, reporting.membersChecksum = report.MessageNo, report.MembersChecksum
	reporting.sentAt, reporting.everSent = now, true
	reporting.changed = incomplete
	if incomplete {
		reporting.changedAt = now - ReportInterval
	}
}

// membersChecksum returns the checksum of the names and incarnations in a list.
func membersChecksum(progress []Progress) uint32 {
	var text []byte
	for _, p := range progress {
		text = append(append(text, p.Name...), 0)
		text = binary.LittleEndian.AppendUint64(text, uint64(p.Incarnation))
	}
	return crc32.ChecksumIEEE(text)
}

// Parent returns the process to which this one reports, or the zero Parent if there is none.
func (s *State) Parent() Parent { return s.parent }
