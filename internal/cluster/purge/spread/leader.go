package spread

// This file is the leader's part: it sends the purges in the ledger to the root of the tree, and compares the reports
// with the participants. Only here may a missing acknowledgement lapse, and the ledger checks that.

import (
	"cmp"
	"slices"
	"time"

	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
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
func (l *LeaderState) SetParticipants(participants []ledger.Participant, rosterVersion uint64) {
	l.participants, l.rosterVersion = participants, rosterVersion
	if len(l.progress) <= ledger.MaxParticipants {
		return
	}
	retained := make(map[view.Name]Progress, len(participants))
	for _, participant := range participants {
		if progress, known := l.progress[participant.Name]; known {
			retained[participant.Name] = progress
		}
	}
	l.progress = retained
}

// AddPurges adds the ledger's purges after HasSeq, up to upTo, with their ages as of now.
func (l *LeaderState) AddPurges(all []clusterapi.Purge, upTo, oldestOpen uint64, horizon time.Duration, now view.Uptime) {
	l.State.horizon = horizon // the ledger's own; it may shrink
	l.State.HandleUpdate(Update{Base: l.hasSeq, UpTo: upTo, OldestOpen: oldestOpen, Horizon: horizon, Purges: all}, now)
}

// SetRoot sets the root of the tree.
func (l *LeaderState) SetRoot(root view.Life, now view.Uptime) {
	l.SetTree(Parent{}, []view.Life{root}, now)
}

// HandleRootReport takes in a report of the root.
func (l *LeaderState) HandleRootReport(report Report, now view.Uptime) ReportAnswer {
	answer := l.HandleReport(report, now)
	l.recordProgress()
	return answer
}

// HandleRootAnswer takes in the root's answer to an update.
func (l *LeaderState) HandleRootAnswer(life view.Life, report Report, now view.Uptime) {
	l.HandleAnswer(life, report, now)
	l.recordProgress()
}

// recordProgress retains what the root reported: the next root may not know it yet.
func (l *LeaderState) recordProgress() {
	for _, name := range l.childNames {
		for _, progress := range l.children[name].progress {
			known := l.progress[progress.Name]
			if progress.Incarnation > known.Incarnation || progress.Incarnation == known.Incarnation && progress.AppliedSeq > known.AppliedSeq {
				l.progress[progress.Name] = progress
			}
		}
	}
}

// appliedBy is up to which purge a participant has applied; 0 while only its earlier incarnation has reported.
func (l *LeaderState) appliedBy(participant ledger.Participant) uint64 {
	if progress := l.progress[participant.Name]; progress.Incarnation >= participant.Incarnation {
		return progress.AppliedSeq
	}
	return 0
}

// NextClose is the command that closes the oldest purges that can be closed now, up to the limit.
func (l *LeaderState) NextClose(limit int, now view.Uptime) (command ledger.Close, due bool) {
	if len(l.participants) == 0 || l.oldestOpen > l.hasSeq {
		return command, false
	}
	appliedByAll := ^uint64(0)
	for _, participant := range l.participants {
		appliedByAll = min(appliedByAll, l.appliedBy(participant))
	}
	lastClosable := l.oldestOpen - 1
	for lastClosable < l.hasSeq && lastClosable < l.oldestOpen-1+uint64(limit) {
		i, found := slices.BinarySearchFunc(l.purges, lastClosable+1, bySeq)
		if !found || lastClosable+1 > appliedByAll && l.purges[i].age(now) < l.horizon {
			break
		}
		lastClosable++
	}
	if lastClosable < l.oldestOpen {
		return command, false
	}
	found := l.sumFindings(l.oldestOpen, lastClosable)
	command.RosterVersion = l.rosterVersion
	for seq := l.oldestOpen; seq <= lastClosable; seq++ {
		command.Closures = append(command.Closures, l.closure(seq, found[seq]))
	}
	return command, true
}

// sumFindings sums findings by purge and process.
func (l *LeaderState) sumFindings(first, last uint64) map[uint64]map[view.Name]clusterapi.Found {
	sums := map[uint64]map[view.Name]clusterapi.Found{}
	for k, r := range l.findings {
		if k.seq < first || k.seq > last {
			continue
		}
		if sums[k.seq] == nil {
			sums[k.seq] = map[view.Name]clusterapi.Found{}
		}
		sums[k.seq][k.name] = AddFound(sums[k.seq][k.name], r.found)
	}
	return sums
}

// AddFound adds up two findings.
func AddFound(a, b clusterapi.Found) clusterapi.Found {
	return clusterapi.Found{NotBegun: a.NotBegun + b.NotBegun, MayRun: a.MayRun + b.MayRun,
		Delivered: a.Delivered + b.Delivered, LearnedState: a.LearnedState + b.LearnedState}
}

// closure is the end of a purge, by zone.
func (l *LeaderState) closure(seq uint64, found map[view.Name]clusterapi.Found) ledger.Closure {
	closure := ledger.Closure{Seq: seq}
	zones := map[view.Zone]*ledger.ZoneSum{}
	for _, participant := range l.participants {
		zone := zones[participant.Zone]
		if zone == nil {
			zone = &ledger.ZoneSum{Region: participant.Region, Zone: participant.Zone}
			zones[participant.Zone] = zone
		}
		if l.appliedBy(participant) >= seq {
			zone.Reached++
		} else {
			zone.Lapsed++
			if len(closure.LapsedNames) < ledger.MaxLapsedNames {
				closure.LapsedNames = append(closure.LapsedNames, participant.Name)
			}
		}
		zone.Found = AddFound(zone.Found, found[participant.Name])
	}
	for _, zone := range zones {
		closure.Zones = append(closure.Zones, *zone)
	}
	slices.SortFunc(closure.Zones, func(a, b ledger.ZoneSum) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone))
	})
	return closure
}

// ParticipantStatus is the state of one purge at one participant.
type ParticipantStatus struct {
	Participant  ledger.Participant
	Acknowledged bool
	Found        clusterapi.Found
}

// StatusOf is the state of one open purge at all participants, by name.
func (l *LeaderState) StatusOf(seq uint64) (status []ParticipantStatus) {
	found := l.sumFindings(seq, seq)[seq]
	for _, participant := range l.participants {
		status = append(status, ParticipantStatus{Participant: participant, Acknowledged: l.appliedBy(participant) >= seq, Found: found[participant.Name]})
	}
	return status
}
