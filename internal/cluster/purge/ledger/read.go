package ledger

// This file implements the read methods of a ledger, and its snapshots. Read methods return copies of records; callers
// must not modify the slices in them.

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Revision returns a number that grows with each command applied to this copy of the ledger. While it is unchanged, the
// ledger is too.
func (l *Ledger) Revision() uint64 { return l.revision }

// LastSeq returns the Seq of the newest purge, or 0 if there never was a purge.
func (l *Ledger) LastSeq() uint64 { return l.lastSeq }

// OldestOpen returns the Seq of the oldest open purge, or LastSeq+1 if no purge is open.
func (l *Ledger) OldestOpen() uint64 { return l.oldestOpen }

// RosterVersion returns the version of the set of participants. It grows when a participant joins, restarts or leaves.
func (l *Ledger) RosterVersion() uint64 { return l.rosterVersion }

// Participants returns the processes that must acknowledge purges, sorted by name.
func (l *Ledger) Participants() []Participant { return slices.Clone(l.participants) }

// FullRecords returns the number of purges that count towards MaxFullRecords: the open ones, and closed ones of messages
// that a process may still need.
func (l *Ledger) FullRecords() int { return int(l.lastSeq-l.oldestOpen) + 1 + len(l.closedMessages) }

// LongestDeadline returns the longest deadline that any participant has reported, or DefaultLongestDeadline if none has.
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

// Horizon returns the age beyond which a purge of messages is obsolete: all messages that were accepted before it have ended
// by then.
func (l *Ledger) Horizon() time.Duration { return l.LongestDeadline() + LapseMargin }

// Find returns the purge with the id that its caller chose, and whether there is one.
func (l *Ledger) Find(id string) (Record, bool) {
	seq, known := l.seqByID[id]
	if !known {
		return Record{}, false
	}
	return *l.records[seq], true
}

// Since returns the purges with a Seq above seq that a process may still need, in ascending order and at most limit.
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

// bySeq orders records by Seq.
func bySeq(a, b Record) int { return cmp.Compare(a.Seq, b.Seq) }

// snapshotState is the encoding of a ledger. The names in the tags must never change, as older programs read them.
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

// Snapshot returns the encoded state. Equal states have equal encodings.
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

// Restore replaces the state with that of a snapshot. If the snapshot cannot be decoded or is inconsistent, Restore returns
// an error and leaves the state unchanged.
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
