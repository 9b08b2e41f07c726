package ledger

// This file is the readers of a ledger, and its snapshots. Readers get copies of records, whose slices they must not
// change.

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Revision grows with each command applied here. While it is unchanged there is nothing new to read.
func (l *Ledger) Revision() uint64 { return l.revision }

// LastSeq is the newest purge.
func (l *Ledger) LastSeq() uint64 { return l.lastSeq }

// OldestOpen is the oldest open purge; LastSeq+1 for none.
func (l *Ledger) OldestOpen() uint64 { return l.oldestOpen }

// RosterVersion grows with each change of the participants.
func (l *Ledger) RosterVersion() uint64 { return l.rosterVersion }

// Participants are the processes that must acknowledge, by name.
func (l *Ledger) Participants() []Participant { return slices.Clone(l.participants) }

// FullRecords is how many purges count against MaxFullRecords.
func (l *Ledger) FullRecords() int { return int(l.lastSeq-l.oldestOpen) + 1 + len(l.closedMessages) }

// LongestDeadline is the longest deadline that any participant has reported.
func (l *Ledger) LongestDeadline() time.Duration {
	longest := time.Duration(0)
	for i := range l.participants {
		longest = max(longest, l.participants[i].LongestDeadline)
	}
	if longest == 0 {
		return DefaultLongestDeadline
	}
	return longest
}

// Horizon is the age of a purge from which no message accepted before it can still be sent.
func (l *Ledger) Horizon() time.Duration { return l.LongestDeadline() + LapseMargin }

// Find returns a purge by its caller's id.
func (l *Ledger) Find(id string) (Record, bool) {
	seq, known := l.seqByID[id]
	if !known {
		return Record{}, false
	}
	return *l.records[seq], true
}

// Since returns the purges after seq that a process may still need, in order, up to the limit.
func (l *Ledger) Since(seq uint64, limit int) (records []Record) {
	for _, old := range [][]uint64{l.closedMessages, l.closedLearned} {
		for _, s := range old {
			if s > seq {
				records = append(records, *l.records[s])
			}
		}
	}
	slices.SortFunc(records, bySeq)
	if len(records) >= limit {
		return records[:limit]
	}
	for s := max(seq+1, l.oldestOpen); s <= l.lastSeq && len(records) < limit; s++ {
		records = append(records, *l.records[s])
	}
	return records
}

func bySeq(a, b Record) int { return cmp.Compare(a.Seq, b.Seq) }

// snapshotState is the encoding of a ledger. The names in the tags stand for good: older programs read them.
type snapshotState struct {
	Records        []Record      `json:"rows"`
	Participants   []Participant `json:"seats"`
	LastSeq        uint64        `json:"last"`
	OldestOpen     uint64        `json:"floor"`
	RosterVersion  uint64        `json:"roster"`
	Clock          time.Duration `json:"at"`
	ClosedMessages []uint64      `json:"kept"`
	ClosedLearned  []uint64      `json:"learnt"`
	Compacted      []uint64      `json:"short"`
	Detailed       []uint64      `json:"detail"`
}

// Snapshot encodes the complete state; the same state gives the same bytes.
func (l *Ledger) Snapshot() (json.RawMessage, error) {
	state := snapshotState{
		Participants:   l.participants,
		LastSeq:        l.lastSeq,
		OldestOpen:     l.oldestOpen,
		RosterVersion:  l.rosterVersion,
		Clock:          l.clock,
		ClosedMessages: l.closedMessages,
		ClosedLearned:  l.closedLearned,
		Compacted:      l.compacted,
		Detailed:       l.detailed,
	}
	for _, r := range l.records {
		state.Records = append(state.Records, *r)
	}
	slices.SortFunc(state.Records, bySeq)
	return json.Marshal(state)
}

// Restore replaces the state by that of a snapshot. After an error, as for an inconsistent snapshot, nothing has changed.
func (l *Ledger) Restore(text json.RawMessage) error {
	var state snapshotState
	if err := json.Unmarshal(text, &state); err != nil {
		return fmt.Errorf("purge ledger: snapshot: %w", err)
	}
	fresh := New()
	for i := range state.Records {
		fresh.records[state.Records[i].Seq], fresh.seqByID[state.Records[i].ID] = &state.Records[i], state.Records[i].Seq
	}
	for s := state.OldestOpen; s <= state.LastSeq; s++ {
		if fresh.records[s] == nil {
			return fmt.Errorf("purge ledger: snapshot: open purge %d is missing", s)
		}
	}
	for name, list := range map[string][]uint64{"kept": state.ClosedMessages, "learnt": state.ClosedLearned, "short": state.Compacted} {
		for _, s := range list {
			if fresh.records[s] == nil {
				return fmt.Errorf("purge ledger: snapshot: %s: purge %d is missing", name, s)
			}
		}
	}
	fresh.participants = state.Participants
	fresh.lastSeq = state.LastSeq
	fresh.oldestOpen = max(state.OldestOpen, 1)
	fresh.rosterVersion = state.RosterVersion
	fresh.clock = state.Clock
	fresh.closedMessages = state.ClosedMessages
	fresh.closedLearned = state.ClosedLearned
	fresh.compacted = state.Compacted
	fresh.detailed = state.Detailed
	fresh.revision = l.revision + 1
	*l = *fresh
	return nil
}
