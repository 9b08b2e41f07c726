package spread

// This file computes the summary of a process and all processes below it, whose size is bounded.

import (
	"cmp"
	"slices"

	"flaxcove/internal/cluster/view"
)

// Summary returns the current state of this process and all processes below it. On the leader it leaves out the leader
// itself, which is counted in the tree.
func (s *State) Summary(now view.Uptime) (sum Summary) {
	if !s.isLeader {
		sum.Members = 1
		sum.addInForce(s.inForce, 1)
		if why, lagging := s.ownLag(now); lagging {
			sum.addLaggard(why)
		}
	}
	for _, name := range s.childNames {
		s.addChild(&sum, s.children[name], now)
	}
	sum.limit()
	return sum
}

// ownLag returns this process as a laggard and reports whether it is one.
func (s *State) ownLag(now view.Uptime) (Laggard, bool) {
	l := Laggard{Name: s.self.Name, Version: s.inForce}
	switch {
	case s.rejected.version == s.newest.Version && s.newest.Version > 0:
		l.Reason, l.Text, l.SinceMS = Rejected, s.rejected.text, (now - s.rejected.since).Milliseconds()
	case s.forked:
		l.Reason = Forked
	case s.inForce < s.newest.Version && now-s.newestSince > LaggardAfter:
		l.Reason, l.SinceMS = Behind, (now - s.newestSince).Milliseconds()
	default:
		return l, false
	}
	return l, true
}

// addChild adds a child's latest report. A child that has not reported counts as unknown.
func (s *State) addChild(sum *Summary, c *child, now view.Uptime) {
	if c.failures > 0 && now-c.failingSince > LaggardAfter {
		sum.addLaggard(Laggard{Name: c.instance.Name, Version: c.report.InForce, Reason: Unreachable, SinceMS: (now - c.failingSince).Milliseconds()})
	}
	if !c.reported {
		sum.Members++
		sum.Unknown++
		return
	}
	if held := c.report.Held; held.Version == s.newest.Version && held != s.digest() {
		sum.addLaggard(Laggard{Name: c.instance.Name, Version: c.report.InForce, Reason: Forked})
	}
	reported := c.report.Summary
	sum.Members += reported.Members
	sum.Unknown += reported.Unknown
	sum.Older += reported.Older
	sum.Unnamed += reported.Unnamed
	for _, count := range reported.InForce {
		sum.addInForce(count.Version, count.Members)
	}
	for _, l := range reported.Laggards {
		l.SinceMS += (now - c.reportedAt).Milliseconds()
		sum.addLaggard(l)
	}
}

// addInForce adds members that run a version.
func (sum *Summary) addInForce(version uint64, members int) {
	i := slices.IndexFunc(sum.InForce, func(c Count) bool { return c.Version == version })
	if i < 0 {
		sum.InForce = append(sum.InForce, Count{version, members})
		return
	}
	sum.InForce[i].Members += members
}

// addLaggard adds a laggard unless it is already listed. A process that its parent does not reach is thus listed once,
// as unreachable.
func (sum *Summary) addLaggard(l Laggard) {
	i := slices.IndexFunc(sum.Laggards, func(listed Laggard) bool { return listed.Name == l.Name })
	if i < 0 {
		sum.Laggards = append(sum.Laggards, l)
	}
}

// limit sorts the lists of a summary and cuts them to MaxCounts and MaxLaggards.
func (sum *Summary) limit() {
	slices.SortFunc(sum.InForce, func(a, b Count) int { return cmp.Compare(b.Version, a.Version) })
	for _, c := range sum.InForce[min(len(sum.InForce), MaxCounts):] {
		sum.Older += c.Members
	}
	sum.InForce = sum.InForce[:min(len(sum.InForce), MaxCounts)]
	slices.SortFunc(sum.Laggards, func(a, b Laggard) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
	})
	sum.Unnamed += max(len(sum.Laggards)-MaxLaggards, 0)
	sum.Laggards = sum.Laggards[:min(len(sum.Laggards), MaxLaggards)]
}

// MembersAtLeast returns how many processes run a version or a newer one.
func (sum Summary) MembersAtLeast(version uint64) (members int) {
	for _, c := range sum.InForce {
		if c.Version >= version {
			members += c.Members
		}
	}
	return members
}

// sameSummary reports whether two summaries are the same, except for durations.
func sameSummary(a, b Summary) bool {
	return a.Members == b.Members && a.Unknown == b.Unknown && a.Older == b.Older && a.Unnamed == b.Unnamed &&
		slices.Equal(a.InForce, b.InForce) &&
		slices.EqualFunc(a.Laggards, b.Laggards, func(x, y Laggard) bool {
			x.SinceMS, y.SinceMS = 0, 0
			return x == y
		})
}
