package spread

// This file handles the children: the reports from them and the updates to them. At most one call to a child is in
// flight at a time.

import (
	"time"

	"flaxcove/internal/cluster/view"
)

// child is the state of one child.
type child struct {
	instance   view.Instance
	reported   bool        // it has reported since it became a child
	report     Report      // its latest report, if it has reported
	reportedAt view.Uptime // when that report arrived

	inFlight     bool        // an update to it is in flight
	failures     int         // number of calls in a row that failed
	failingSince view.Uptime // when the first of these failed
	retryAt      view.Uptime // no update before this time
}

// settled reports whether a child and all processes below it have put a version in force or rejected it.
func (c *child) settled(held Digest) bool {
	return c.reported && c.failures == 0 && c.report.Settled && c.report.Held == held
}

// needsUpdate reports whether an update has to be sent to a child, because it has not reported yet, lacks the newest
// version here (held), or the last call failed.
func (c *child) needsUpdate(held uint64) bool {
	return !c.reported || c.failures > 0 || c.report.Held.Version < held
}

// DueUpdates returns the updates that are due. The caller must call HandleAnswer or UpdateFailed for each of them.
func (s *State) DueUpdates(now view.Uptime) (all []Outgoing) {
	for _, name := range s.childNames {
		c := s.children[name]
		if c.inFlight || now < c.retryAt || !c.needsUpdate(s.newest.Version) {
			continue
		}
		s.updateNo++
		update := Update{From: s.self, FromLeader: s.isLeader, UpdateNo: s.updateNo, Held: s.digest()}
		if c.reported {
			update.Content = s.contentSince(c.report.Held, c.report.NeedsFull)
		}
		c.inFlight = true
		all = append(all, Outgoing{Child: c.instance, Update: update})
	}
	return all
}

// HandleAnswer handles the answer to an update for the child with this incarnation. If the child has restarted
// meanwhile, its new incarnation may have answered the update and counts its answer as reported. The report is
// therefore used in any case.
func (s *State) HandleAnswer(instance view.Instance, r Report, now view.Uptime) {
	c := s.children[instance.Name]
	if c == nil || c.instance != instance {
		s.HandleReport(r, now)
		return
	}
	before := c.report.Held
	if c.failures > 0 || !c.reported {
		s.markChanged()
	}
	hadReported := c.reported
	c.inFlight, c.failures, c.retryAt = false, 0, 0
	s.HandleReport(r, now)
	if hadReported && c.report.Held == before && before.Version < s.newest.Version {
		c.retryAt = now + minBackoff // the child still lacks the version, so another update at once would not help
	}
}

// UpdateFailed records that an update or its answer was lost.
func (s *State) UpdateFailed(instance view.Instance, now view.Uptime) {
	c := s.children[instance.Name]
	if c == nil || c.instance != instance {
		return
	}
	c.inFlight = false
	if c.failures == 0 {
		c.failingSince = now
	}
	c.retryAt = now + backoff(c.failures)
	c.failures++
	s.markChanged()
}

// backoff returns the delay before the next attempt after a number of failures in a row before the current one.
func backoff(failures int) time.Duration { return min(minBackoff<<min(failures, 8), maxBackoff) }

// HandleReport records a child's report and returns the answer to it. A report from a process that is not a child, or
// from an earlier incarnation of one, is not recorded; the answer then has Retry set.
func (s *State) HandleReport(r Report, now view.Uptime) ReportAnswer {
	answer := ReportAnswer{Held: s.digest(), Content: s.contentSince(r.Held, r.NeedsFull)}
	c := s.children[r.From.Name]
	if c == nil || r.From.Incarnation < c.instance.Incarnation {
		answer.Retry = true
		return answer
	}
	if r.From.Incarnation > c.instance.Incarnation {
		*c = child{instance: r.From}
	}
	if c.reported && r.ReportNo <= c.report.ReportNo {
		return answer // a newer report has overtaken it
	}
	if !c.reported || !sameSummary(c.report.Summary, r.Summary) || c.report.Settled != r.Settled || c.report.Held != r.Held {
		s.markChanged()
	}
	c.reported, c.report, c.reportedAt = true, r, now
	if c.failures > 0 && r.Held.Version >= s.newest.Version {
		c.failures = 0 // the child has the newest version although calls to it fail, for example over a link that works in one direction
		s.markChanged()
	}
	return answer
}

// ChildWithNewer returns a child that has a newer version than this process, and reports whether there is one. The
// caller should fetch the version from it.
func (s *State) ChildWithNewer() (view.Name, bool) {
	for _, name := range s.childNames {
		if c := s.children[name]; c.report.Held.Version > s.newest.Version {
			return name, true
		}
	}
	return "", false
}

// NewFetch returns the request to a process that may have a newer version.
func (s *State) NewFetch() FetchRequest { return FetchRequest{s.digest(), s.needsFull} }

// HandleFetchAnswer handles the answer to a FetchRequest.
func (s *State) HandleFetchAnswer(a ReportAnswer, now view.Uptime) {
	s.receiveContent(a.Held, a.Content, now)
}

// AnswerFetch returns the answer to a FetchRequest.
func (s *State) AnswerFetch(f FetchRequest) ReportAnswer {
	return ReportAnswer{Held: s.digest(), Content: s.contentSince(f.Held, f.NeedsFull)}
}
