package ledger

// This file implements the state machine, with one method for each command. The methods must be deterministic: the
// iteration order of a map must not affect the result, and nothing is read except the command and the state.

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// Bounds of the ledger. It must hold ten thousand purges at once, with a margin. A purge takes about 400 bytes.
const (
	MaxFullRecords      = 16384 // purges that are open or that a process may still need; new purges beyond it are rejected
	MaxCompactedRecords = 16384 // compacted purges, retained for their ids; the id of a dropped record can be used for another purge
	MaxLearnedState     = 4096  // closed purges of learned state, which has no deadline, that are retained in full
	MaxParticipants     = 4096  // joins of further processes are rejected
	MaxLapsedNames      = 64    // names in a Closure or Record of participants that did not acknowledge
	maxDetailedRecords  = 1024  // newest closed purges, which retain contents and sums by zone for status requests
)

// LapseMargin is added to the longest deadline to get the age from which a missing acknowledgement may lapse. A sender ends
// a message up to 300 ms after its deadline (docs/design.md), and the clocks of two machines drift apart by at most 1 in
// 10,000. The rest is a safety margin.
const LapseMargin = 5 * time.Second

// DefaultLongestDeadline is the longest deadline that is assumed if no participant has reported one.
const DefaultLongestDeadline = time.Hour

// AbsenceLimit is how long a process may be absent and still remain a participant. It is long because a process that is
// partitioned from the others may still be sending messages.
const AbsenceLimit = 24 * time.Hour

// Ledger is the replicated state of purges and participants. It is not safe for concurrent use; the consensus group
// serializes all access. New returns an empty Ledger.
type Ledger struct {
	records       map[uint64]*Record
	seqByID       map[string]uint64
	participants  []Participant // sorted by name, one for each name
	lastSeq       uint64        // Seq of the newest purge; 0 for none
	oldestOpen    uint64        // Seq of the oldest open purge, or lastSeq+1 for none; all later purges are open too
	rosterVersion uint64        // grows when a participant joins, restarts or leaves
	clock         time.Duration // the highest time of any applied command
	revision      uint64        // grows with each command; not part of snapshots

	// Seqs of closed purges, in ascending order.
	closedMessages []uint64 // purges of messages, retained in full until older than the horizon
	closedLearned  []uint64 // purges of learned state, retained in full
	compacted      []uint64 // purges that no process needs any more
	detailed       []uint64 // purges that retain contents and sums by zone
}

// New returns a ledger without purges and participants.
func New() *Ledger {
	return &Ledger{records: map[uint64]*Record{}, seqByID: map[string]uint64{}, oldestOpen: 1}
}

// Apply applies one committed command and returns its encoded result. at is the consensus group's clock. An error means
// that the kind is unknown or the body could not be decoded, and that no purge or participant has changed. A command that
// breaks a rule of the ledger is not an error: its result holds the reason for the rejection.
func (l *Ledger) Apply(_ uint64, at time.Duration, kind string, body json.RawMessage) (json.RawMessage, error) {
	var answer any
	var err error
	l.clock = max(l.clock, at)
	switch kind {
	case KindOpen:
		answer, err = decodeAndApply(body, l.open)
	case KindJoin:
		answer, err = decodeAndApply(body, l.join)
	case KindLeave:
		answer, err = decodeAndApply(body, l.leave)
	case KindClose:
		answer, err = decodeAndApply(body, l.close)
	default:
		err = errors.New("unknown kind")
	}
	if err != nil {
		return nil, fmt.Errorf("purge ledger: command %q: %w", kind, err)
	}
	l.revision++
	l.compact()
	return json.Marshal(answer)
}

// decodeAndApply decodes a command and applies it. If decoding fails, it applies nothing.
func decodeAndApply[C, R any](body json.RawMessage, apply func(C) R) (any, error) {
	var command C
	if err := json.Unmarshal(body, &command); err != nil {
		return nil, err
	}
	return apply(command), nil
}

// open opens a purge. If the same command was applied before, it returns the purge opened then.
func (l *Ledger) open(c Open) OpenResult {
	if field, problem := c.Validate(); field != "" {
		return OpenResult{Rejected: field + " " + problem, Field: field}
	}
	checksums := c.checksums()
	if seq, known := l.seqByID[c.ID]; known {
		r := l.records[seq]
		for i, sum := range checksums {
			if r.Checksums[i] != sum {
				return OpenResult{Rejected: fmt.Sprintf("id %q stands for another purge: %s differs", c.ID, checksumFields[i]),
					Field: checksumFields[i]}
			}
		}
		return OpenResult{Seq: seq, Duplicate: true, State: r.State}
	}
	l.compact()
	if n := l.FullRecords(); n >= MaxFullRecords {
		return OpenResult{Full: true, Rejected: fmt.Sprintf(
			"the ledger is full: %d purges are open or younger than the longest hard stop (%v)", n, l.LongestDeadline())}
	}
	l.lastSeq++
	l.records[l.lastSeq] = &Record{Seq: l.lastSeq, ID: c.ID, Subject: c.Subject, Match: c.Match, RequestedBy: c.RequestedBy,
		Reason: c.Reason, OpenedAt: l.clock, State: Spreading, Checksums: checksums}
	l.seqByID[c.ID] = l.lastSeq
	return OpenResult{Seq: l.lastSeq, State: Spreading}
}

// byName compares the name of a participant with a name, for binary searches.
func byName(p Participant, n view.Name) int { return cmp.Compare(p.Name, n) }

// join adds participants, and replaces those that have an earlier or the same incarnation.
func (l *Ledger) join(c Join) JoinResult {
	rejected := ""
	for _, p := range c.Participants {
		i, found := slices.BinarySearchFunc(l.participants, p.Name, byName)
		switch {
		case p.Name == "":
			rejected = "a seat without a name"
		case !found && len(l.participants) >= MaxParticipants:
			rejected = fmt.Sprintf("%q: all %d seats are taken", p.Name, MaxParticipants)
		case !found:
			l.participants = slices.Insert(l.participants, i, p)
			l.rosterVersion++
		case p.Incarnation < l.participants[i].Incarnation:
			rejected = fmt.Sprintf("%q: incarnation %d has the seat, %d is older", p.Name, l.participants[i].Incarnation, p.Incarnation)
		default:
			// The new incarnation may hold the messages of the earlier one, so its longest deadline must not be lower. If it
			// has another folder, those messages are lost in any case.
			p.LongestDeadline = max(p.LongestDeadline, l.participants[i].LongestDeadline)
			if p.Folder == "" {
				p.Folder = l.participants[i].Folder
			}
			if p.Incarnation > l.participants[i].Incarnation {
				l.rosterVersion++
			}
			l.participants[i] = p
		}
	}
	return JoinResult{Seq: l.lastSeq, OldestOpen: l.oldestOpen, Rejected: rejected}
}

// leave removes participants, except those of which another incarnation has joined.
func (l *Ledger) leave(c Leave) JoinResult {
	for _, instance := range c.Instances {
		i, found := slices.BinarySearchFunc(l.participants, instance.Name, byName)
		if found && l.participants[i].Incarnation == instance.Incarnation {
			l.participants = slices.Delete(l.participants, i, i+1)
			l.rosterVersion++
		}
	}
	return JoinResult{Seq: l.lastSeq, OldestOpen: l.oldestOpen}
}

// close closes purges in order, and stops at the first one that cannot be closed.
func (l *Ledger) close(c Close) (answer CloseResult) {
	if c.RosterVersion != l.rosterVersion {
		// A participant may have joined since, and has not acknowledged the purges yet.
		return CloseResult{Reason: fmt.Sprintf("roster %d, not %d", l.rosterVersion, c.RosterVersion)}
	}
	for _, closure := range c.Closures {
		if closure.Seq < l.oldestOpen {
			answer.Closed++ // already closed by an earlier attempt of the same command
			continue
		}
		if answer.Reason = l.closeOldest(closure); answer.Reason != "" {
			return answer
		}
		answer.Closed++
	}
	return answer
}

// closeOldest closes the oldest open purge. It returns the reason if the purge cannot be closed, otherwise "".
func (l *Ledger) closeOldest(closure Closure) (reason string) {
	if closure.Seq != l.oldestOpen || closure.Seq > l.lastSeq {
		return fmt.Sprintf("%d is not the oldest open purge", closure.Seq)
	}
	r := l.records[closure.Seq]
	reached, lapsed := 0, 0
	for _, z := range closure.Zones {
		reached += z.Reached
		lapsed += z.Lapsed
	}
	switch {
	case reached+lapsed != len(l.participants):
		return fmt.Sprintf("%d: %d of %d seats", r.Seq, reached+lapsed, len(l.participants))
	case lapsed > 0 && l.clock-r.OpenedAt < l.Horizon():
		return fmt.Sprintf("%d: %v old, time may stand for an answer at %v", r.Seq, l.clock-r.OpenedAt, l.Horizon())
	}
	r.setClosed(closure, reached, lapsed)
	l.oldestOpen++
	l.detailed = append(l.detailed, r.Seq)
	if r.Subject == LearnedState {
		l.closedLearned = append(l.closedLearned, r.Seq)
	} else {
		l.closedMessages = append(l.closedMessages, r.Seq)
	}
	return ""
}

// setClosed records the outcome of a purge.
func (r *Record) setClosed(closure Closure, reached, lapsed int) {
	r.State = Complete
	if lapsed > 0 {
		r.State = Lapsed
	}
	r.Zones, r.Reached, r.Lapsed = closure.Zones, reached, lapsed
	r.LapsedNames = closure.LapsedNames[:min(len(closure.LapsedNames), MaxLapsedNames)]
	for _, z := range closure.Zones {
		r.Found.NotBegun += z.Found.NotBegun
		r.Found.MayRun += z.Found.MayRun
		r.Found.Delivered += z.Found.Delivered
		r.Found.LearnedState += z.Found.LearnedState
	}
}

// compact compacts the records that no process can need any more, and drops the oldest compacted ones beyond
// MaxCompactedRecords.
func (l *Ledger) compact() {
	for len(l.detailed) > maxDetailedRecords {
		if r := l.records[l.detailed[0]]; r != nil {
			r.Zones, r.LapsedNames = nil, nil
			if r.Compacted {
				r.dropContents()
			}
		}
		l.detailed = l.detailed[1:]
	}
	for len(l.closedMessages) > 0 && l.clock-l.records[l.closedMessages[0]].OpenedAt > l.Horizon() {
		l.compactRecord(l.closedMessages[0])
		l.closedMessages = l.closedMessages[1:]
	}
	for len(l.closedLearned) > MaxLearnedState {
		l.compactRecord(l.closedLearned[0])
		l.closedLearned = l.closedLearned[1:]
	}
	for len(l.compacted) > MaxCompactedRecords {
		delete(l.seqByID, l.records[l.compacted[0]].ID)
		delete(l.records, l.compacted[0])
		l.compacted = l.compacted[1:]
	}
}

// compactRecord marks a purge as no longer needed by any process. Its contents are dropped once it is also not among the
// newest closed purges (maxDetailedRecords).
func (l *Ledger) compactRecord(seq uint64) {
	r := l.records[seq]
	r.Compacted = true
	l.compacted = append(l.compacted, seq)
	if len(l.detailed) == 0 || seq < l.detailed[0] {
		r.dropContents()
	}
}

// dropContents drops the match of a purge, who requested it and why, and its outcome by zone. The id, the checksums and
// the total sums remain.
func (r *Record) dropContents() {
	r.RequestedBy, r.Reason, r.Match, r.Zones, r.LapsedNames = "", "", clusterapi.Match{}, nil, nil
}
