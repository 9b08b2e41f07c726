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
	"flaxcove/internal/sender/together"
)

// Bounds. Ten thousand purges at once must fit (the hard case), with room: a purge costs about 400 bytes.
const (
	MostFull   = 16384 // purges open, or that a process from before could need; beyond, a new one is refused
	MostShort  = 16384 // ids remembered after that; the oldest leave first, and may then stand for another purge
	MostLearnt = 4096  // closed purges of what was learnt, kept in full: that has no deadline; the oldest leave first
	MostSeats  = 4096
	MostNames  = 64
	mostDetail = 1024 // of the closed, those that keep contents and sums by zone to be shown
)

// Margin is added to the longest deadline before time may stand for an answer: a sender ends a message up to 300 ms
// past its deadline (docs/design.md), clocks of two machines run apart by 1 in 10,000 at most, and the rest is slack.
const Margin = 5 * time.Second

// Unknown stands for the longest deadline where no process has told one.
const Unknown = time.Hour

// KeepGone is for how long the seat of a process that is away is kept: what it does, cut off, cannot be known.
const KeepGone = 24 * time.Hour

// Ledger is the state. It is not safe for use by several goroutines: the council guards it.
type Ledger struct {
	rows   map[uint64]*Row
	ids    map[string]uint64
	seats  []Seat // by name
	last   uint64 // the newest Seq
	floor  uint64 // the oldest that is open; last+1 for none. All from it on are open
	roster uint64 // grows as a life comes or goes
	at     time.Duration
	no     uint64 // grows with each command; not kept

	kept, learnt, short, detail []uint64 // closed ones, oldest first: in full, in full for good, short; and with zones
}

// New is an empty ledger.
func New() *Ledger {
	return &Ledger{rows: map[uint64]*Row{}, ids: map[string]uint64{}, floor: 1}
}

// Apply takes one committed command. An error means that it could not be read, and nothing has changed; what is
// refused by rule is told in the answer.
func (l *Ledger) Apply(_ uint64, at time.Duration, kind string, body json.RawMessage) (json.RawMessage, error) {
	var answer any
	var err error
	l.at = max(l.at, at)
	switch kind {
	case KindOpen:
		var c Open
		if err = json.Unmarshal(body, &c); err == nil {
			answer = l.open(c)
		}
	case KindJoin:
		var c Join
		if err = json.Unmarshal(body, &c); err == nil {
			answer = l.join(c)
		}
	case KindGone:
		var c Gone
		if err = json.Unmarshal(body, &c); err == nil {
			answer = l.gone(c)
		}
	case KindClose:
		var c Close
		if err = json.Unmarshal(body, &c); err == nil {
			answer = l.close(c)
		}
	default:
		err = errors.New("unknown kind")
	}
	if err != nil {
		return nil, fmt.Errorf("purge ledger: command %q: %w", kind, err)
	}
	l.no++
	l.compact()
	return json.Marshal(answer)
}

func (l *Ledger) open(c Open) Opened {
	if field, why := c.Check(); field != "" {
		return Opened{Refused: field + " " + why, Field: field}
	}
	prints := c.prints()
	if seq, known := l.ids[c.ID]; known {
		r := l.rows[seq]
		for i, p := range prints {
			if r.Prints[i] != p {
				return Opened{Refused: fmt.Sprintf("id %q stands for another purge: %s differs", c.ID, printNames[i]),
					Field: printNames[i]}
			}
		}
		return Opened{Seq: seq, Known: true, State: r.State}
	}
	l.compact()
	if n := l.Full(); n >= MostFull {
		return Opened{Full: true, Refused: fmt.Sprintf(
			"the ledger is full: %d purges are open or younger than the longest hard stop (%v)", n, l.Longest())}
	}
	l.last++
	l.rows[l.last] = &Row{Seq: l.last, ID: c.ID, Subject: c.Subject, Match: c.Match, Who: c.Who, Why: c.Why,
		At: l.at, State: Spreading, Prints: prints}
	l.ids[c.ID] = l.last
	return Opened{Seq: l.last, State: Spreading}
}

func byName(s Seat, n view.Name) int { return cmp.Compare(s.Name, n) }

func (l *Ledger) join(c Join) Joined {
	refused := ""
	for _, s := range c.Seats {
		i, found := slices.BinarySearchFunc(l.seats, s.Name, byName)
		switch {
		case s.Name == "":
			refused = "a seat without a name"
		case !found && len(l.seats) >= MostSeats:
			refused = fmt.Sprintf("%q: all %d seats are taken", s.Name, MostSeats)
		case !found:
			l.seats = slices.Insert(l.seats, i, s)
			l.roster++
		case s.Incarnation < l.seats[i].Incarnation:
			refused = fmt.Sprintf("%q: incarnation %d has the seat, %d is older", s.Name, l.seats[i].Incarnation, s.Incarnation)
		default:
			// What an earlier life could hold, this one can: the folder is the same, or the message is lost anyway.
			s.Longest = max(s.Longest, l.seats[i].Longest)
			if s.Folder == "" {
				s.Folder = l.seats[i].Folder
			}
			if s.Incarnation > l.seats[i].Incarnation {
				l.roster++
			}
			l.seats[i] = s
		}
	}
	return Joined{Seq: l.last, Floor: l.floor, Refused: refused}
}

func (l *Ledger) gone(c Gone) Joined {
	for _, life := range c.Lives {
		i, found := slices.BinarySearchFunc(l.seats, life.Name, byName)
		if found && l.seats[i].Incarnation == life.Incarnation {
			l.seats = slices.Delete(l.seats, i, i+1)
			l.roster++
		}
	}
	return Joined{Seq: l.last, Floor: l.floor}
}

func (l *Ledger) close(c Close) (answer Closed) {
	if c.Roster != l.roster {
		// A life that joined since has acknowledged nothing yet.
		return Closed{Why: fmt.Sprintf("roster %d, not %d", l.roster, c.Roster)}
	}
	for _, closing := range c.Rows {
		if closing.Seq < l.floor {
			answer.Done++ // closed before: a command that was tried again
			continue
		}
		if closing.Seq != l.floor || closing.Seq > l.last {
			answer.Why = fmt.Sprintf("%d is not the oldest open purge", closing.Seq)
			return answer
		}
		r := l.rows[closing.Seq]
		reached, lapsed := 0, 0
		for _, z := range closing.Zones {
			reached += z.Reached
			lapsed += z.Lapsed
		}
		switch {
		case reached+lapsed != len(l.seats):
			answer.Why = fmt.Sprintf("%d: %d of %d seats", r.Seq, reached+lapsed, len(l.seats))
			return answer
		case lapsed > 0 && l.at-r.At < l.Horizon():
			answer.Why = fmt.Sprintf("%d: %v old, time may stand for an answer at %v", r.Seq, l.at-r.At, l.Horizon())
			return answer
		}
		r.State = Complete
		if lapsed > 0 {
			r.State = Lapsed
		}
		r.Zones, r.Names, r.Reached, r.Lapsed = closing.Zones, closing.Names, reached, lapsed
		r.Names = r.Names[:min(len(r.Names), MostNames)]
		for _, z := range closing.Zones {
			r.Found.NotBegun += z.Found.NotBegun
			r.Found.MayRun += z.Found.MayRun
			r.Found.Delivered += z.Found.Delivered
			r.Found.LearnedState += z.Found.LearnedState
		}
		l.floor++
		answer.Done++
		l.detail = append(l.detail, r.Seq)
		if r.Subject == LearnedState {
			l.learnt = append(l.learnt, r.Seq)
		} else {
			l.kept = append(l.kept, r.Seq)
		}
	}
	return answer
}

// compact shortens what nobody can need any more, and forgets the oldest of that.
func (l *Ledger) compact() {
	for len(l.detail) > mostDetail {
		if r := l.rows[l.detail[0]]; r != nil {
			r.Zones, r.Names = nil, nil
			if r.Short {
				r.strip()
			}
		}
		l.detail = l.detail[1:]
	}
	for len(l.kept) > 0 && l.at-l.rows[l.kept[0]].At > l.Horizon() {
		l.shorten(l.kept[0])
		l.kept = l.kept[1:]
	}
	for len(l.learnt) > MostLearnt {
		l.shorten(l.learnt[0])
		l.learnt = l.learnt[1:]
	}
	for len(l.short) > MostShort {
		delete(l.ids, l.rows[l.short[0]].ID)
		delete(l.rows, l.short[0])
		l.short = l.short[1:]
	}
}

// shorten marks what nobody can need; its contents go once it is not among the newest of the closed either.
func (l *Ledger) shorten(seq uint64) {
	r := l.rows[seq]
	r.Short = true
	l.short = append(l.short, seq)
	if len(l.detail) == 0 || seq < l.detail[0] {
		r.strip()
	}
}

func (r *Row) strip() {
	r.Who, r.Why, r.Match, r.Zones, r.Names = "", "", together.Match{}, nil, nil
}
