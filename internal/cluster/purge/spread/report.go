package spread

// This file is reports to the parent: when one is due, and what is in it.

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"slices"

	"flaxcove/internal/cluster/view"
)

// uplink is the state of the reports to the parent.
type uplink struct {
	messageNo       uint64
	prevMessageNo   uint64 // the newest report that the parent has; 0 when a complete one is to be sent
	membersChecksum uint32 // of the members that the parent knows
	changed         bool   // something is not reported yet
	changedAt       view.Uptime
	sentAt          view.Uptime
	everSent        bool // sentAt is set
	inFlight        bool
	failures        int
	retryAt         view.Uptime
	pendingAnswers  int // answers to updates that wait for the processes below; they will carry the report
}

// markChanged records that there is something to report.
func (s *State) markChanged(now view.Uptime) {
	if !s.uplink.changed {
		s.uplink.changed, s.uplink.changedAt = true, now
	}
}

// resendAll makes the next report a complete one: the parent is another, or lost a report.
func (s *State) resendAll(now view.Uptime) {
	s.uplink.membersChecksum, s.uplink.prevMessageNo = 0, 0
	for _, r := range s.findings {
		r.reported = false
	}
	s.markChanged(now)
}

// allProgress is the progress of this process and all below it, by name, with the newest incarnation of each.
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

// Settled reports whether this process and all below it have applied all purges that this process has.
func (s *State) Settled() bool {
	if !s.isLeader && s.appliedSeq < s.hasSeq {
		return false
	}
	for _, name := range s.childNames {
		c := s.children[name]
		if !c.reported {
			return false
		}
		for _, progress := range c.progress {
			if progress.AppliedSeq < s.hasSeq {
				return false
			}
		}
	}
	return true
}

// BeginAnswer records that an answer to an update waits until Settled, for MaxAnswerDelay at most; Answer ends that.
func (s *State) BeginAnswer() { s.uplink.pendingAnswers++ }

// Answer is the answer to an update.
func (s *State) Answer(to Update, now view.Uptime) Report {
	s.uplink.pendingAnswers = max(s.uplink.pendingAnswers-1, 0)
	return s.makeReport(to.sender() == s.parent, now)
}

// DueReport is the report that is due, if one is. It must be followed by ReportAnswered or ReportFailed.
func (s *State) DueReport(now view.Uptime) (Report, bool) {
	u := &s.uplink
	if s.parent.Name == "" || s.hasSeq == 0 || !u.changed || u.inFlight || u.pendingAnswers > 0 || now < u.retryAt {
		return Report{}, false
	}
	due := u.changedAt + ReportInterval
	if s.Settled() {
		due = u.changedAt
	}
	if u.everSent {
		due = max(due, u.sentAt+MinReportInterval)
	}
	if now < due {
		return Report{}, false
	}
	u.inFlight = true
	return s.makeReport(true, now), true
}

// ReportAnswered takes in a parent's answer to a report.
func (s *State) ReportAnswered(to Parent, a ReportAnswer, now view.Uptime) {
	if to != s.parent {
		return
	}
	s.uplink.inFlight, s.uplink.failures = false, 0
	if a.Resend {
		s.resendAll(now)
		s.uplink.retryAt = now + minBackoff
	}
}

// ReportFailed records that a report, or its answer, was lost.
func (s *State) ReportFailed(to Parent, now view.Uptime) {
	if to != s.parent {
		return
	}
	s.uplink.inFlight = false
	s.resendAll(now)
	s.uplink.retryAt = now + backoff(s.uplink.failures)
	s.uplink.failures++
}

// makeReport is the progress of this process and all below it. Where record is true it builds on the last one and counts
// as sent to the parent; otherwise it is complete.
func (s *State) makeReport(record bool, now view.Uptime) Report {
	progress := s.allProgress()
	s.uplink.messageNo++
	report := Report{From: s.self, MessageNo: s.uplink.messageNo, HasSeq: s.hasSeq, MembersChecksum: membersChecksum(progress)}
	if record {
		report.PrevMessageNo = s.uplink.prevMessageNo
	}
	if report.PrevMessageNo == 0 || s.uplink.membersChecksum != report.MembersChecksum {
		report.Members = make([]view.Life, len(progress))
		for i, one := range progress {
			report.Members[i] = one.Life
		}
	}
	keys := s.findingsToReport(record)
	incomplete := len(keys) > MaxFindingsPerMessage
	maxSeq := ^uint64(0)
	if incomplete {
		// That a process has applied a purge is reported with what it found, or later: never before.
		maxSeq = keys[MaxFindingsPerMessage].seq - 1
		keys = keys[:MaxFindingsPerMessage]
	}
	for _, k := range keys {
		f := s.findings[k]
		report.Findings = append(report.Findings, Finding{Life: view.Life{Name: k.name, Incarnation: f.incarnation},
			Folder: k.folder, Seq: k.seq, Found: f.found})
		f.reported = f.reported || record
	}
	report.setProgress(progress, maxSeq)
	if record {
		s.recordSent(report, incomplete, now)
	}
	return report
}

// findingsToReport lists the findings that the parent does not have, or all, in their order.
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

// setProgress sets Base to the highest progress, up to maxSeq, and Behind to the members below it.
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

// recordSent records that a report is on its way to the parent. The rest of an incomplete one is due at once.
func (s *State) recordSent(report Report, incomplete bool, now view.Uptime) {
	u := &s.uplink
	u.prevMessageNo, u.membersChecksum = report.MessageNo, report.MembersChecksum
	u.sentAt, u.everSent = now, true
	u.changed = incomplete
	if incomplete {
		u.changedAt = now - ReportInterval
	}
}

// membersChecksum is the checksum of a list of members.
func membersChecksum(progress []Progress) uint32 {
	var text []byte
	for _, one := range progress {
		text = append(append(text, one.Name...), 0)
		text = binary.LittleEndian.AppendUint64(text, uint64(one.Incarnation))
	}
	return crc32.ChecksumIEEE(text)
}

// Parent is the process to which this one reports; the zero value for none.
func (s *State) Parent() Parent { return s.parent }
