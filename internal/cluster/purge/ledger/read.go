package ledger

// This file is what may be read of a ledger, and how it is kept. Readers get copies; none may keep a row's slices to
// change them.

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// No grows with each command applied here: unchanged, there is nothing new to read.
func (l *Ledger) No() uint64 { return l.no }

// Last is the newest Seq, Floor the oldest that is open (Last+1 for none).
func (l *Ledger) Last() uint64  { return l.last }
func (l *Ledger) Floor() uint64 { return l.floor }

// At is the council's time of the newest command here.
func (l *Ledger) At() time.Duration { return l.at }

// Roster numbers the seats as they are.
func (l *Ledger) Roster() uint64 { return l.roster }

// Seats are all who must acknowledge, by name.
func (l *Ledger) Seats() []Seat { return slices.Clone(l.seats) }

// Full is how many purges count against MostFull.
func (l *Ledger) Full() int { return int(l.last-l.floor) + 1 + len(l.kept) }

// Longest is the longest deadline that any process has told.
func (l *Ledger) Longest() time.Duration {
	longest := time.Duration(0)
	for i := range l.seats {
		longest = max(longest, l.seats[i].Longest)
	}
	if longest == 0 {
		return Unknown
	}
	return longest
}

// Horizon is the age from which nothing taken on before a purge can begin.
func (l *Ledger) Horizon() time.Duration { return l.Longest() + Margin }

// Find is a purge by its caller's id.
func (l *Ledger) Find(id string) (Row, bool) {
	seq, known := l.ids[id]
	if !known {
		return Row{}, false
	}
	return *l.rows[seq], true
}

// Since are the purges after seq that somebody may still need, in order, at most that many.
func (l *Ledger) Since(seq uint64, most int) (rows []Row) {
	for _, old := range [][]uint64{l.kept, l.learnt} {
		for _, s := range old {
			if s > seq {
				rows = append(rows, *l.rows[s])
			}
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return int(int64(a.Seq) - int64(b.Seq)) })
	if len(rows) >= most {
		return rows[:most]
	}
	for s := max(seq+1, l.floor); s <= l.last && len(rows) < most; s++ {
		rows = append(rows, *l.rows[s])
	}
	return rows
}

// kept is the ledger on disk.
type kept struct {
	Rows         []Row         `json:"rows"`
	Seats        []Seat        `json:"seats"`
	Last         uint64        `json:"last"`
	Floor        uint64        `json:"floor"`
	Roster       uint64        `json:"roster"`
	At           time.Duration `json:"at"`
	Kept         []uint64      `json:"kept"`
	LearnedState []uint64      `json:"learnt"`
	Short        []uint64      `json:"short"`
	Detail       []uint64      `json:"detail"`
}

// Snapshot is all of it, the same for the same state.
func (l *Ledger) Snapshot() (json.RawMessage, error) {
	k := kept{Seats: l.seats, Last: l.last, Floor: l.floor, Roster: l.roster, At: l.at,
		Kept: l.kept, LearnedState: l.learnt, Short: l.short, Detail: l.detail}
	for _, r := range l.rows {
		k.Rows = append(k.Rows, *r)
	}
	slices.SortFunc(k.Rows, func(a, b Row) int { return int(int64(a.Seq) - int64(b.Seq)) })
	return json.Marshal(k)
}

// Restore puts a snapshot in place of all; one that does not hold together is refused and changes nothing.
func (l *Ledger) Restore(text json.RawMessage) error {
	var k kept
	if err := json.Unmarshal(text, &k); err != nil {
		return fmt.Errorf("purge ledger: snapshot: %w", err)
	}
	fresh := New()
	for i := range k.Rows {
		fresh.rows[k.Rows[i].Seq], fresh.ids[k.Rows[i].ID] = &k.Rows[i], k.Rows[i].Seq
	}
	for s := k.Floor; s <= k.Last; s++ {
		if fresh.rows[s] == nil {
			return fmt.Errorf("purge ledger: snapshot: open purge %d is missing", s)
		}
	}
	for name, list := range map[string][]uint64{"kept": k.Kept, "learnt": k.LearnedState, "short": k.Short} {
		for _, s := range list {
			if fresh.rows[s] == nil {
				return fmt.Errorf("purge ledger: snapshot: %s: purge %d is missing", name, s)
			}
		}
	}
	fresh.seats, fresh.last, fresh.floor, fresh.roster, fresh.at = k.Seats, k.Last, max(k.Floor, 1), k.Roster, k.At
	fresh.kept, fresh.learnt, fresh.short, fresh.detail = k.Kept, k.LearnedState, k.Short, k.Detail
	fresh.no = l.no + 1
	*l = *fresh
	return nil
}
