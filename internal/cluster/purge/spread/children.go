package spread

// This file implements the updates to the children and the processing of their reports. At most one update to a child is in
// flight at a time.

import (
	"time"

	"flaxcove/internal/cluster/view"
)

// child is the state of one child in the tree, as this process knows it.
type child struct {
	instance        view.Instance
	reported        bool            // a report was received from this incarnation
	receivedSeq     uint64          // the child has received all purges up to here
	messageNo       uint64          // MessageNo of its newest report
	membersChecksum uint32          // of members
	members         []view.Instance // the child and all processes below it
	progress        []Progress      // of the members, in the same order
	resend          bool            // the next update must ask for a complete report

	inFlight bool        // an update is in flight
	failures int         // updates that failed one after the other
	retryAt  view.Uptime // no update is sent before this time
}

// DueUpdates returns the updates that must be sent now. Each must be followed by HandleAnswer or UpdateFailed.
func (s *State) DueUpdates(now view.Uptime) (all []OutgoingUpdate) {
	if s.receivedSeq == 0 {
		return nil // there has never been a purge
	}
	for _, name := range s.childNames {
		c := s.children[name]
		if c.inFlight || now < c.retryAt || c.reported && c.receivedSeq >= s.receivedSeq && !c.resend {
			continue
		}
		since := s.oldestOpen - 1 // a child that has not reported usually lacks only open purges
		if c.reported {
			since = c.receivedSeq
		}
		update := s.PurgesSince(since, now)
		update.Resend = c.resend || !c.reported
		c.inFlight, c.resend = true, false
		all = append(all, OutgoingUpdate{Child: c.instance, Update: update})
	}
	return all
}

// HandleAnswer processes the answer of a child to an update.
func (s *State) HandleAnswer(instance view.Instance, report Report, now view.Uptime) {
	c := s.children[instance.Name]
	if c == nil || c.instance != instance {
		return
	}
	c.inFlight, c.failures, c.retryAt = false, 0, 0
	previousSeq := c.receivedSeq
	if s.HandleReport(report, now).Resend {
		c.resend = true
	}
	if c.receivedSeq <= previousSeq && c.receivedSeq < s.receivedSeq {
		c.retryAt = now + minBackoff // the update had no effect, so the next one is delayed
	}
}

// UpdateFailed records that the call with an update failed; the child may still have received it.
func (s *State) UpdateFailed(instance view.Instance, now view.Uptime) {
	c := s.children[instance.Name]
	if c == nil || c.instance != instance {
		return
	}
	c.inFlight, c.resend = false, true
	c.retryAt = now + backoff(c.failures)
	c.failures++
}

// backoff returns the wait before the next attempt after a number of failures.
func backoff(failures int) time.Duration { return min(minBackoff<<min(failures, 8), maxBackoff) }

// HandleReport processes a child's report about itself and all processes below it, and returns the answer to it.
func (s *State) HandleReport(report Report, now view.Uptime) ReportAnswer {
	c := s.children[report.From.Name]
	if c == nil || report.From.Incarnation < c.instance.Incarnation {
		return ReportAnswer{Resend: true} // not a child in this process's view; the report has to be repeated once it is
	}
	if report.From.Incarnation > c.instance.Incarnation {
		*c = child{instance: report.From}
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
		return ReportAnswer{} // a newer report was processed before
	}
	lostPrevious := report.PrevMessageNo != 0 && report.PrevMessageNo != c.messageNo
	unknownMembers := report.Members == nil && report.MembersChecksum != c.membersChecksum
	if lostPrevious || unknownMembers {
		return ReportAnswer{Resend: true}
	}
	c.messageNo = report.MessageNo
	c.receivedSeq = report.ReceivedSeq
	if c.mergeProgress(report) {
		s.markChanged(now)
	}
	return ReportAnswer{}
}

// mergeProgress updates the progress of the child's members from a report, and returns whether it has changed. The progress of
// an incarnation never decreases.
func (c *child) mergeProgress(report Report) (changed bool) {
	before := seqByInstance(c.progress)
	if report.Members != nil {
		c.members, c.membersChecksum = report.Members, report.MembersChecksum
	}
	behind := seqByInstance(report.Behind)
	progress := make([]Progress, len(c.members))
	changed = !c.reported || len(c.members) != len(c.progress)
	for i, instance := range c.members {
		applied, isBehind := behind[instance]
		if !isBehind {
			applied = report.Base
		}
		previousSeq, known := before[instance]
		progress[i] = Progress{instance, max(applied, previousSeq)}
		changed = changed || !known || progress[i].AppliedSeq > previousSeq
	}
	c.reported, c.progress = true, progress
	return changed
}

// seqByInstance returns the AppliedSeq of each incarnation.
func seqByInstance(progress []Progress) map[view.Instance]uint64 {
	index := make(map[view.Instance]uint64, len(progress))
	for _, p := range progress {
		index[p.Instance] = p.AppliedSeq
	}
	return index
}
