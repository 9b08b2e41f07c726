package spread

// This file is the children: what each has reported, and the updates to it. One call to a child is in flight at a time.

import (
	"time"

	"flaxcove/internal/cluster/view"
)

// child is what is known of one child.
type child struct {
	life       view.Life
	reported   bool        // it has reported
	report     Report      // the newest
	reportedAt view.Uptime // when that arrived

	inFlight     bool
	failures     int
	failingSince view.Uptime // since when calls fail
	retryAt      view.Uptime
}

// settled reports whether a child and all below it have put a version in force, or rejected it.
func (c *child) settled(held Digest) bool {
	return c.reported && c.failures == 0 && c.report.Settled && c.report.Held == held
}

// needsUpdate reports whether a child has to be called: it has not reported yet, lacks the newest version here, or the last
// call failed.
func (c *child) needsUpdate(held uint64) bool {
	return !c.reported || c.failures > 0 || c.report.Held.Version < held
}

// DueUpdates are the updates that are due. Each must be followed by HandleAnswer or UpdateFailed.
func (s *State) DueUpdates(now view.Uptime) (all []Outgoing) {
	for _, name := range s.childNames {
		c := s.children[name]
		if c.inFlight || now < c.retryAt || !c.needsUpdate(s.newest.Version) {
			continue
		}
		s.updateNo++
		down := Update{From: s.self, FromLeader: s.isLeader, UpdateNo: s.updateNo, Held: s.digest()}
		if c.reported {
			down.Content = s.contentSince(c.report.Held, c.report.NeedsFull)
		}
		c.inFlight = true
		all = append(all, Outgoing{Child: c.life, Update: down})
	}
	return all
}

// HandleAnswer takes in the answer to an update. An update for an earlier incarnation may have been answered by the
// current one, which then counts its answer as reported: it must not be lost.
func (s *State) HandleAnswer(life view.Life, r Report, now view.Uptime) {
	c := s.children[life.Name]
	if c == nil || c.life != life {
		s.HandleReport(r, now)
		return
	}
	before := c.report.Held
	if c.failures > 0 || !c.reported {
		s.markChanged()
	}
	met := c.reported
	c.inFlight, c.failures, c.retryAt = false, 0, 0
	s.HandleReport(r, now)
	if met && c.report.Held == before && before.Version < s.newest.Version {
		c.retryAt = now + minBackoff // the update did not help: no hurry
	}
}

// UpdateFailed records that an update, or its answer, was lost.
func (s *State) UpdateFailed(life view.Life, now view.Uptime) {
	c := s.children[life.Name]
	if c == nil || c.life != life {
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

// backoff is the wait before the next attempt.
func backoff(fails int) time.Duration { return min(minBackoff<<min(fails, 8), maxBackoff) }

// HandleReport takes in a child's report of itself and all below it.
func (s *State) HandleReport(r Report, now view.Uptime) ReportAnswer {
	answer := ReportAnswer{Held: s.digest(), Content: s.contentSince(r.Held, r.NeedsFull)}
	c := s.children[r.From.Name]
	if c == nil || r.From.Incarnation < c.life.Incarnation {
		answer.Retry = true
		return answer
	}
	if r.From.Incarnation > c.life.Incarnation {
		*c = child{life: r.From}
	}
	if c.reported && r.ReportNo <= c.report.ReportNo {
		return answer // overtaken
	}
	if !c.reported || !sameSummary(c.report.Summary, r.Summary) || c.report.Settled != r.Settled || c.report.Held != r.Held {
		s.markChanged()
	}
	c.reported, c.report, c.reportedAt = true, r, now
	if c.failures > 0 && r.Held.Version >= s.newest.Version {
		c.failures = 0 // it has the newest version though the call failed, as over a link that works in one direction only
		s.markChanged()
	}
	return answer
}

// ChildWithNewer names a child that has a newer version than this process, if there is one: it has to be asked for it.
func (s *State) ChildWithNewer() (view.Name, bool) {
	for _, name := range s.childNames {
		if c := s.children[name]; c.report.Held.Version > s.newest.Version {
			return name, true
		}
	}
	return "", false
}

// NewFetch is the request to a process that may have a newer version.
func (s *State) NewFetch() FetchRequest { return FetchRequest{s.digest(), s.needsFull} }

// HandleFetchAnswer takes in the answer to a FetchRequest.
func (s *State) HandleFetchAnswer(a ReportAnswer, now view.Uptime) {
	s.takeContent(a.Held, a.Content, now)
}

// AnswerFetch is the answer to a FetchRequest.
func (s *State) AnswerFetch(f FetchRequest) ReportAnswer {
	return ReportAnswer{Held: s.digest(), Content: s.contentSince(f.Held, f.NeedsFull)}
}
