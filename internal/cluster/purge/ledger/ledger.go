package ledger

// This file is the state machine: one method for each command. It must stay deterministic: no map is ranged over
// where the order shows, and nothing is read but the command and the state.

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

// Bounds of the ledger. Ten thousand purges at once must fit (the hard case), with a margin: a purge takes about
// 400 bytes.
const (
	MaxFullRecords      = 16384 // purges that are open, or that a process may still need; beyond it a new one is rejected
	MaxCompactedRecords = 16384 // retained after that, for their ids; an id that was dropped may be used for another purge
	MaxLearnedState     = 4096  // closed purges of learned state, which has no deadline, that are retained in full
	MaxParticipants     = 4096
	MaxLapsedNames      = 64
	maxDetailedRecords  = 1024 // closed purges that retain contents and sums by zone, to be shown
)

// LapseMargin is added to the longest deadline before a missing acknowledgement may lapse: a sender ends a message up to
// 300 ms past its deadline (docs/design.md), clocks of two machines drift by 1 in 10,000 at most, and the rest is slack.
const LapseMargin = 5 * time.Second

// DefaultLongestDeadline is assumed where no participant has reported its longest deadline.
const DefaultLongestDeadline = time.Hour

// AbsenceLimit is how long a process may be absent and still remain a participant: what it does while partitioned from
// the others cannot be known.
const AbsenceLimit = 24 * time.Hour

// Ledger is the state. It is not safe for concurrent use: the consensus group guards it.
type Ledger struct {
	records       map[uint64]*Record
	seqByID       map[string]uint64
	participants  []Participant // sorted by name
	lastSeq       uint64        // the newest purge
	oldestOpen    uint64        // the oldest open purge; lastSeq+1 for none. All from it on are open
	rosterVersion uint64        // grows when a participant joins, restarts or leaves
	clock         time.Duration
	revision      uint64 // grows with each command; not in snapshots

	// The Seqs of closed purges, oldest first.
	closedMessages []uint64 // of messages, in full until past the horizon
	closedLearned  []uint64 // of learned state, in full
	compacted      []uint64 // needed by no process
	detailed       []uint64 // with contents and sums by zone, to be shown
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{records: map[uint64]*Record{}, seqByID: map[string]uint64{}, oldestOpen: 1}
}

// Apply applies one committed command. An error means that it could not be decoded, and nothing has changed; a command
// that is rejected by a rule says so in its answer.
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

// decodeAndApply decodes a command and applies it. Nothing is applied where it can't be decoded.
func decodeAndApply[C, R any](body json.RawMessage, apply func(C) R) (any, error) {
	var command C
	if err := json.Unmarshal(body, &command); err != nil {
		return nil, err
	}
	return apply(command), nil
}

// open opens a purge, or finds the one that was opened by the same command before.
func (l *Ledger) open(c Open) OpenResult {
	if field, why := c.Validate(); field != "" {
		return OpenResult{Rejected: field + " " + why, Field: field}
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
	l.records[l.lastSeq] = &Record{Seq: l.lastSeq, ID: c.ID, Subject: c.Subject, Match: c.Match, Who: c.Who, Why: c.Why,
		At: l.clock, State: Spreading, Checksums: checksums}
	l.seqByID[c.ID] = l.lastSeq
	return OpenResult{Seq: l.lastSeq, State: Spreading}
}

func byName(s Participant, n view.Name) int { return cmp.Compare(s.Name, n) }

// join adds participants, or updates them to their later incarnations.
func (l *Ledger) join(c Join) JoinResult {
	rejected := ""
	for _, s := range c.Participants {
		i, found := slices.BinarySearchFunc(l.participants, s.Name, byName)
		switch {
		case s.Name == "":
			rejected = "a seat without a name"
		case !found && len(l.participants) >= MaxParticipants:
			rejected = fmt.Sprintf("%q: all %d seats are taken", s.Name, MaxParticipants)
		case !found:
			l.participants = slices.Insert(l.participants, i, s)
			l.rosterVersion++
		case s.Incarnation < l.participants[i].Incarnation:
			rejected = fmt.Sprintf("%q: incarnation %d has the seat, %d is older", s.Name, l.participants[i].Incarnation, s.Incarnation)
		default:
			// This incarnation can hold what the earlier one could: it has the same folder, or the message is lost anyway.
			s.LongestDeadline = max(s.LongestDeadline, l.participants[i].LongestDeadline)
			if s.Folder == "" {
				s.Folder = l.participants[i].Folder
			}
			if s.Incarnation > l.participants[i].Incarnation {
				l.rosterVersion++
			}
			l.participants[i] = s
		}
	}
	return JoinResult{Seq: l.lastSeq, OldestOpen: l.oldestOpen, Rejected: rejected}
}

// leave removes participants, unless a later incarnation has joined.
func (l *Ledger) leave(c Leave) JoinResult {
	for _, life := range c.Lives {
		i, found := slices.BinarySearchFunc(l.participants, life.Name, byName)
		if found && l.participants[i].Incarnation == life.Incarnation {
			l.participants = slices.Delete(l.participants, i, i+1)
			l.rosterVersion++
		}
	}
	return JoinResult{Seq: l.lastSeq, OldestOpen: l.oldestOpen}
}

// close closes purges in order until one can't be closed.
func (l *Ledger) close(c Close) (answer CloseResult) {
	if c.RosterVersion != l.rosterVersion {
		// A participant that joined since has acknowledged nothing yet.
		return CloseResult{Reason: fmt.Sprintf("roster %d, not %d", l.rosterVersion, c.RosterVersion)}
	}
	for _, closure := range c.Closures {
		if closure.Seq < l.oldestOpen {
			answer.Done++ // closed before: the command was retried
			continue
		}
		if answer.Reason = l.closeOldest(closure); answer.Reason != "" {
			return answer
		}
		answer.Done++
	}
	return answer
}

// closeOldest closes the oldest open purge, or returns why it can't.
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
	case lapsed > 0 && l.clock-r.At < l.Horizon():
		return fmt.Sprintf("%d: %v old, time may stand for an answer at %v", r.Seq, l.clock-r.At, l.Horizon())
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

// setClosed records the end of a purge.
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

// compact compacts records that no process can need any more, and drops the oldest of these beyond the bounds.
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
	for len(l.closedMessages) > 0 && l.clock-l.records[l.closedMessages[0]].At > l.Horizon() {
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

// compactRecord marks a purge that no process can need. Its contents are dropped once it is not among the newest closed
// ones either.
func (l *Ledger) compactRecord(seq uint64) {
	r := l.records[seq]
	r.Compacted = true
	l.compacted = append(l.compacted, seq)
	if len(l.detailed) == 0 || seq < l.detailed[0] {
		r.dropContents()
	}
}

// dropContents leaves the id, the checksums and the sums.
func (r *Record) dropContents() {
	r.Who, r.Why, r.Match, r.Zones, r.LapsedNames = "", "", clusterapi.Match{}, nil, nil
}
