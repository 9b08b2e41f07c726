package spread

// This file implements the leader's state: it sends the purges of the ledger to the root of the tree and determines from the
// reports which participants have acknowledged them. Only the leader may let a missing acknowledgement lapse, and the ledger
// checks that it is old enough.

import (
	"cmp"
	"slices"
	"time"

	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/jsonsize"
	"flaxcove/internal/sender/clusterapi"
)

// closeEnvelopeBytes is more than a Close takes in JSON without its closures.
const closeEnvelopeBytes = 64

// LeaderState holds the acknowledgements that the leader of the consensus group has received. A new leader starts with an
// empty one and asks the root for a complete report. A process that becomes the leader again must continue with its previous
// LeaderState: the root may not have noticed the change of leaders, and would not repeat what it has already reported.
//
// Like a State, it is not safe for concurrent use.
type LeaderState struct {
	*State
	participants  []ledger.Participant
	rosterVersion uint64
	progress      map[view.Name]Progress // of all processes that any root has reported, as a new root may not know them yet
}

// NewLeaderState returns the state of a process that has not been the leader before.
func NewLeaderState(self view.Instance) *LeaderState {
	s := New(self, "", 0)
	s.isLeader = true
	return &LeaderState{State: s, progress: map[view.Name]Progress{}}
}

// SetParticipants sets the processes that must acknowledge purges, and the version of that set in the ledger.
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

// AddPurges adds the purges of the ledger with a Seq above ReceivedSeq and up to upTo. Their ages are as of now.
func (l *LeaderState) AddPurges(all []clusterapi.Purge, upTo, oldestOpen uint64, horizon time.Duration, now view.Uptime) {
	l.State.horizon = horizon // the ledger's current value, which may be lower than before
	l.State.HandleUpdate(Update{Base: l.receivedSeq, UpTo: upTo, OldestOpen: oldestOpen, Horizon: horizon, Purges: all}, now)
}

// SetRoot sets the root of the tree, which is the only child of the leader.
func (l *LeaderState) SetRoot(root view.Instance, now view.Uptime) {
	l.SetTree(Parent{}, []view.Instance{root}, now)
}

// HandleRootReport processes a report of the root and returns the answer to it.
func (l *LeaderState) HandleRootReport(report Report, now view.Uptime) ReportAnswer {
	answer := l.HandleReport(report, now)
	l.recordProgress()
	return answer
}

// HandleRootAnswer processes the root's answer to an update.
func (l *LeaderState) HandleRootAnswer(instance view.Instance, report Report, now view.Uptime) {
	l.HandleAnswer(instance, report, now)
	l.recordProgress()
}

// recordProgress stores the progress that the root has reported. It remains when the root changes, because the next root may
// not know it yet.
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

// appliedBy returns the Seq up to which a participant has applied all purges. It is 0 while only an earlier incarnation has
// reported.
func (l *LeaderState) appliedBy(participant ledger.Participant) uint64 {
	if progress := l.progress[participant.Name]; progress.Incarnation >= participant.Incarnation {
		return progress.AppliedSeq
	}
	return 0
}

// NextClose returns the command that closes the oldest open purges, and whether any can be closed. It closes at most limit
// purges, and no more than fit into a command of maxBytes. A purge can be closed once all participants have applied it or it
// is older than the horizon.
func (l *LeaderState) NextClose(limit, maxBytes int, now view.Uptime) (command ledger.Close, due bool) {
	if len(l.participants) == 0 || l.oldestOpen > l.receivedSeq {
		return command, false
	}
	appliedByAll := ^uint64(0)
	for _, participant := range l.participants {
		appliedByAll = min(appliedByAll, l.appliedBy(participant))
	}
	lastClosable := l.oldestOpen - 1
	for lastClosable < l.receivedSeq && lastClosable < l.oldestOpen-1+uint64(limit) {
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
	command.Closures = command.Closures[:jsonsize.Prefix(command.Closures, maxBytes-closeEnvelopeBytes)]
	return command, true
}

// sumFindings adds up the findings of purges first to last, by purge and process.
func (l *LeaderState) sumFindings(first, last uint64) map[uint64]map[view.Name]clusterapi.PurgeResult {
	sums := map[uint64]map[view.Name]clusterapi.PurgeResult{}
	for k, f := range l.findings {
		if k.seq < first || k.seq > last {
			continue
		}
		if sums[k.seq] == nil {
			sums[k.seq] = map[view.Name]clusterapi.PurgeResult{}
		}
		sums[k.seq][k.name] = AddFound(sums[k.seq][k.name], f.found)
	}
	return sums
}

// AddFound returns the sum of two findings.
func AddFound(a, b clusterapi.PurgeResult) clusterapi.PurgeResult {
	return clusterapi.PurgeResult{NotBegun: a.NotBegun + b.NotBegun, MayRun: a.MayRun + b.MayRun,
		Delivered: a.Delivered + b.Delivered, LearnedState: a.LearnedState + b.LearnedState}
}

// closure returns the outcome of a purge by zone. found is what the purge found at each process.
func (l *LeaderState) closure(seq uint64, found map[view.Name]clusterapi.PurgeResult) ledger.Closure {
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

// ParticipantStatus is the status of one purge at one participant.
type ParticipantStatus struct {
	Participant  ledger.Participant
	Acknowledged bool
	Found        clusterapi.PurgeResult
}

// StatusOf returns the status of an open purge at each participant, sorted by name.
func (l *LeaderState) StatusOf(seq uint64) (status []ParticipantStatus) {
	found := l.sumFindings(seq, seq)[seq]
	for _, participant := range l.participants {
		status = append(status, ParticipantStatus{Participant: participant, Acknowledged: l.appliedBy(participant) >= seq, Found: found[participant.Name]})
	}
	return status
}
