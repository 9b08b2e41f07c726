package spread

// This file is the children: what each has and has reported, and the updates to it. One call to a child is in flight at
// a time.

import (
	"time"

	"flaxcove/internal/cluster/view"
)

// child is what is known of one child.
type child struct {
	life            view.Life
	reported        bool // it has reported
	hasSeq          uint64
	messageNo       uint64 // of its newest report
	membersChecksum uint32
	members         []view.Life
	progress        []Progress // of itself and all below it, in the order of members
	resend          bool       // it has to send a complete report

	inFlight bool
	failures int
	retryAt  view.Uptime
}

// DueUpdates are the updates that are due. Each must be followed by HandleAnswer or UpdateFailed.
func (s *State) DueUpdates(now view.Uptime) (all []Outgoing) {
	if s.hasSeq == 0 {
		return nil // there never was a purge
	}
	for _, name := range s.childNames {
		c := s.children[name]
		if c.inFlight || now < c.retryAt || c.reported && c.hasSeq >= s.hasSeq && !c.resend {
			continue
		}
		since := s.oldestOpen - 1 // one that has not reported usually lacks open purges only
		if c.reported {
			since = c.hasSeq
		}
		update := s.PurgesSince(since, now)
		update.Resend = c.resend || !c.reported
		c.inFlight, c.resend = true, false
		all = append(all, Outgoing{Child: c.life, Update: update})
	}
	return all
}

// HandleAnswer takes in the answer to an update.
func (s *State) HandleAnswer(life view.Life, report Report, now view.Uptime) {
	c := s.children[life.Name]
	if c == nil || c.life != life {
		return
	}
	c.inFlight, c.failures, c.retryAt = false, 0, 0
	had := c.hasSeq
	if s.HandleReport(report, now).Resend {
		c.resend = true
	}
	if c.hasSeq <= had && c.hasSeq < s.hasSeq {
		c.retryAt = now + minBackoff // the update did not help: no hurry
	}
}

// UpdateFailed records that an update, or its answer, was lost.
func (s *State) UpdateFailed(life view.Life, now view.Uptime) {
	c := s.children[life.Name]
	if c == nil || c.life != life {
		return
	}
	c.inFlight, c.resend = false, true
	c.retryAt = now + backoff(c.failures)
	c.failures++
}

// backoff is the wait before the next attempt.
func backoff(fails int) time.Duration { return min(minBackoff<<min(fails, 8), maxBackoff) }

// HandleReport takes in a child's report of itself and all below it.
func (s *State) HandleReport(report Report, now view.Uptime) ReportAnswer {
	c := s.children[report.From.Name]
	if c == nil || report.From.Incarnation < c.life.Incarnation {
		return ReportAnswer{Resend: true} // not a child by this process's view: the report would be lost
	}
	if report.From.Incarnation > c.life.Incarnation {
		*c = child{life: report.From}
	}
	newFindings := false
	for _, r := range report.Findings {
		if s.addFinding(findingKey{r.Seq, r.Name, r.Folder}, r.Incarnation, r.Found) {
			newFindings = true
		}
	}
	if newFindings {
		s.markChanged(now)
	}
	if report.MessageNo <= c.messageNo {
		return ReportAnswer{} // overtaken
	}
	lostPrevious := report.PrevMessageNo != 0 && report.PrevMessageNo != c.messageNo
	unknownMembers := report.Members == nil && report.MembersChecksum != c.membersChecksum
	if lostPrevious || unknownMembers {
		return ReportAnswer{Resend: true}
	}
	c.messageNo = report.MessageNo
	c.hasSeq = report.HasSeq
	if c.mergeProgress(report) {
		s.markChanged(now)
	}
	return ReportAnswer{}
}

// mergeProgress takes in the progress of the child and all below it, which never goes back. It returns whether anything
// has changed.
func (c *child) mergeProgress(report Report) (changed bool) {
	before := seqByLife(c.progress)
	if report.Members != nil {
		c.members, c.membersChecksum = report.Members, report.MembersChecksum
	}
	behind := seqByLife(report.Behind)
	progress := make([]Progress, len(c.members))
	changed = !c.reported || len(c.members) != len(c.progress)
	for i, life := range c.members {
		applied, isBehind := behind[life]
		if !isBehind {
			applied = report.Base
		}
		had, known := before[life]
		progress[i] = Progress{life, max(applied, had)}
		changed = changed || !known || progress[i].AppliedSeq > had
	}
	c.reported, c.progress = true, progress
	return changed
}

// seqByLife indexes progress by incarnation.
func seqByLife(progress []Progress) map[view.Life]uint64 {
	index := make(map[view.Life]uint64, len(progress))
	for _, p := range progress {
		index[p.Life] = p.AppliedSeq
	}
	return index
}
