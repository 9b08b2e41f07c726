package spread

// This file is the leader's part: it sends the purges in the ledger to the root of the tree, and compares the reports
// with the participants. Only here may a missing acknowledgement lapse, and the ledger checks that.

import (
	"cmp"
	"slices"
	"time"

	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

// LeaderState is what the leader knows of acknowledgements. A new leader begins with nothing and asks the root for a
// complete report. A process that becomes leader again must go on with the LeaderState that it had: the root may not
// have noticed the change, and does not repeat what it reported.
type LeaderState struct {
	*State
	participants  []ledger.Participant
	rosterVersion uint64
	progress      map[view.Name]Progress // of all processes ever reported, as a new root may not know it yet
}

// NewLeaderState returns the state of a new leader.
func NewLeaderState(self view.Life) *LeaderState {
	s := New(self, "", 0)
	s.isLeader = true
	return &LeaderState{State: s, progress: map[view.Name]Progress{}}
}

// SetParticipants sets who must acknowledge.
func (l *LeaderState) SetParticipants(participants []ledger.Participant, roster uint64) {
	l.participants, l.rosterVersion = participants, roster
	if len(l.progress) <= ledger.MaxParticipants {
		return
	}
	retained := make(map[view.Name]Progress, len(participants))
	for _, s := range participants {
		if st, known := l.progress[s.Name]; known {
			retained[s.Name] = st
		}
	}
	l.progress = retained
}

// AddPurges adds the ledger's purges after HasSeq, up to upTo, with their ages as of now.
func (l *LeaderState) AddPurges(all []together.Purge, upTo, oldestOpen uint64, horizon time.Duration, now view.Now) {
	l.State.horizon = horizon // the ledger's own; it may shrink
	l.State.HandleUpdate(Update{Base: l.hasSeq, UpTo: upTo, OldestOpen: oldestOpen, Horizon: horizon, Purges: all}, now)
}

// SetRoot sets the root of the tree.
func (l *LeaderState) SetRoot(root view.Life, now view.Now) {
	l.SetTree(Parent{}, []view.Life{root}, now)
}

// HandleRootReport takes in a report of the root.
func (l *LeaderState) HandleRootReport(report Report, now view.Now) ReportAnswer {
	a := l.HandleReport(report, now)
	l.recordProgress()
	return a
}

// HandleRootAnswer takes in the root's answer to an update.
func (l *LeaderState) HandleRootAnswer(life view.Life, report Report, now view.Now) {
	l.HandleAnswer(life, report, now)
	l.recordProgress()
}

// recordProgress retains what the root reported: the next root may not know it yet.
func (l *LeaderState) recordProgress() {
	for _, n := range l.childNames {
		for _, st := range l.children[n].progress {
			was := l.progress[st.Name]
			if st.Incarnation > was.Incarnation || st.Incarnation == was.Incarnation && st.AppliedSeq > was.AppliedSeq {
				l.progress[st.Name] = st
			}
		}
	}
}

// appliedBy is up to which purge a participant has applied; 0 while only its earlier incarnation has reported.
func (l *LeaderState) appliedBy(s ledger.Participant) uint64 {
	if st := l.progress[s.Name]; st.Incarnation >= s.Incarnation {
		return st.AppliedSeq
	}
	return 0
}

// NextClose is the command that closes the oldest purges that can be closed now, up to the limit.
func (l *LeaderState) NextClose(limit int, now view.Now) (c ledger.Close, any bool) {
	if len(l.participants) == 0 || l.oldestOpen > l.hasSeq {
		return c, false
	}
	all := ^uint64(0)
	for _, s := range l.participants {
		all = min(all, l.appliedBy(s))
	}
	last := l.oldestOpen - 1
	for last < l.hasSeq && last < l.oldestOpen-1+uint64(limit) {
		i, found := slices.BinarySearchFunc(l.purges, last+1, bySeq)
		if !found || last+1 > all && l.purges[i].age(now) < l.horizon {
			break
		}
		last++
	}
	if last < l.oldestOpen {
		return c, false
	}
	found := l.sumFindings(l.oldestOpen, last)
	c.RosterVersion = l.rosterVersion
	for seq := l.oldestOpen; seq <= last; seq++ {
		c.Closures = append(c.Closures, l.closure(seq, found[seq]))
	}
	return c, true
}

// sumFindings sums findings by purge and process.
func (l *LeaderState) sumFindings(first, last uint64) map[uint64]map[view.Name]together.Found {
	sums := map[uint64]map[view.Name]together.Found{}
	for k, r := range l.findings {
		if k.seq < first || k.seq > last {
			continue
		}
		if sums[k.seq] == nil {
			sums[k.seq] = map[view.Name]together.Found{}
		}
		sums[k.seq][k.name] = AddFound(sums[k.seq][k.name], r.found)
	}
	return sums
}

// AddFound adds up two findings.
func AddFound(a, b together.Found) together.Found {
	return together.Found{NotBegun: a.NotBegun + b.NotBegun, MayRun: a.MayRun + b.MayRun,
		Delivered: a.Delivered + b.Delivered, Learnt: a.Learnt + b.Learnt}
}

// closure is the end of a purge, by zone.
func (l *LeaderState) closure(seq uint64, found map[view.Name]together.Found) ledger.Closure {
	c := ledger.Closure{Seq: seq}
	zones := map[view.Zone]*ledger.ZoneSum{}
	for _, s := range l.participants {
		z := zones[s.Zone]
		if z == nil {
			z = &ledger.ZoneSum{Region: s.Region, Zone: s.Zone}
			zones[s.Zone] = z
		}
		if l.appliedBy(s) >= seq {
			z.Reached++
		} else {
			z.Lapsed++
			if len(c.LapsedNames) < ledger.MaxLapsedNames {
				c.LapsedNames = append(c.LapsedNames, s.Name)
			}
		}
		z.Found = AddFound(z.Found, found[s.Name])
	}
	for _, z := range zones {
		c.Zones = append(c.Zones, *z)
	}
	slices.SortFunc(c.Zones, func(a, b ledger.ZoneSum) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone))
	})
	return c
}

// ParticipantStatus is the state of one purge at one participant.
type ParticipantStatus struct {
	Participant  ledger.Participant
	Acknowledged bool
	Found        together.Found
}

// StatusOf is the state of one open purge at all participants, by name.
func (l *LeaderState) StatusOf(seq uint64) (all []ParticipantStatus) {
	found := l.sumFindings(seq, seq)[seq]
	for _, s := range l.participants {
		all = append(all, ParticipantStatus{Participant: s, Acknowledged: l.appliedBy(s) >= seq, Found: found[s.Name]})
	}
	return all
}
