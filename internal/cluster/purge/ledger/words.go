// Package ledger is the purges that all processes have in common, and the processes that must acknowledge them.
//
// It is a part of the council's state machine: pure and deterministic, the same commands in the same order give the
// same state to the byte. It owns the numbering of purges (Seq), what an id stands for, who has a seat, and how a
// purge is closed. It must never drop a purge that is open, or one that a process from before could still need; nor
// let time close one before the longest deadline has passed. It knows no network, clock or disk.
//
// This file holds the words: commands, answers, rows.
package ledger

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"time"
	"unicode/utf8"

	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

// Part is the name under which the council keeps this state.
const Part = "purge"

// Kinds of command. There is none for progress: what is acknowledged so far is asked again of the processes by
// whoever leads next, and they answer from disk. A write for each step would cost the council a write a process.
const (
	KindOpen  = "open"
	KindJoin  = "join"
	KindGone  = "gone"
	KindClose = "close"
)

// Subject is what a purge withdraws.
type Subject string

const (
	Messages     Subject = "notices"
	LearnedState Subject = "learnt"
)

// State is how far a purge has come.
type State string

const (
	Spreading State = "spreading"
	Complete  State = "complete"
	Lapsed    State = "complete with lapsed"
)

// Open asks for a purge. ID is the caller's own.
type Open struct {
	ID      string         `json:"id"`
	Subject Subject        `json:"subject"`
	Match   together.Match `json:"match"`
	Who     string         `json:"who"`
	Why     string         `json:"why"`
}

// Opened answers it. With Refused nothing was opened; Field names what was wrong.
type Opened struct {
	Seq     uint64 `json:"seq,omitempty"`
	Known   bool   `json:"known,omitempty"` // the id stood for this purge before
	State   State  `json:"state,omitempty"`
	Refused string `json:"refused,omitempty"`
	Field   string `json:"field,omitempty"`
	Full    bool   `json:"full,omitempty"` // refused for want of room: the same may be tried later
}

// Seat is a process that must acknowledge. Longest is the longest deadline of what it can hold; 0 for not known.
type Seat struct {
	view.Life
	Zone    view.Zone     `json:"zone"`
	Region  view.Region   `json:"region"`
	Folder  string        `json:"folder,omitempty"`
	Longest time.Duration `json:"longest,omitempty"`
}

// Join gives seats to lives, each in place of the earlier life of its name.
type Join struct {
	Seats []Seat `json:"seats"`
}

// Joined tells up to where a life must have applied before it sends: all later purges wait for it.
type Joined struct {
	Seq     uint64 `json:"seq"`
	Floor   uint64 `json:"floor"`
	Refused string `json:"refused,omitempty"`
}

// Gone takes the seats of lives that hold nothing: they left with an empty table, or are away for KeepGone.
type Gone struct {
	Lives []view.Life `json:"lives"`
}

// Close closes the oldest open purges, in order.
type Close struct {
	Roster uint64    `json:"roster"` // as it was when the acknowledgements were weighed: another one is refused
	Rows   []Closing `json:"rows"`
}

// Closing is one purge's end. Names are those lapsed, at most MostNames of them.
type Closing struct {
	Seq   uint64      `json:"seq"`
	Zones []ZoneSum   `json:"zones"`
	Names []view.Name `json:"names,omitempty"`
}

// ZoneSum is what came of a purge in one zone.
type ZoneSum struct {
	Region  view.Region    `json:"region"`
	Zone    view.Zone      `json:"zone"`
	Reached int            `json:"reached"`
	Lapsed  int            `json:"lapsed,omitempty"`
	Found   together.Found `json:"found"`
}

// Closed answers it: Done of the rows were closed; Why tells what stopped the next.
type Closed struct {
	Done int    `json:"done"`
	Why  string `json:"why,omitempty"`
}

// Row is one purge. A short one is needed by nobody any more; in time it keeps its id, prints and sums only.
type Row struct {
	Seq     uint64         `json:"seq"`
	ID      string         `json:"id"`
	Subject Subject        `json:"subject"`
	Match   together.Match `json:"match"`
	Who     string         `json:"who,omitempty"`
	Why     string         `json:"why,omitempty"`
	At      time.Duration  `json:"at"` // the council's time at which it was opened
	State   State          `json:"state"`
	Zones   []ZoneSum      `json:"zones,omitempty"`
	Names   []view.Name    `json:"names,omitempty"`
	Reached int            `json:"reached,omitempty"`
	Lapsed  int            `json:"lapsed,omitempty"`
	Found   together.Found `json:"found"`
	Prints  [4]uint32      `json:"prints"` // of subject, match, who, why
	Short   bool           `json:"short,omitempty"`
}

// Bounds on what a caller sends, in bytes.
const (
	mostID   = 128
	mostKey  = 512
	mostWhy  = 1024
	mostWord = 128
)

// Check names the first field that is wrong, and why; "" for none.
func (o Open) Check() (field, why string) {
	text := func(name, s string, most int, must bool) (string, string) {
		switch {
		case must && s == "":
			return name, "must be set"
		case len(s) > most:
			return name, fmt.Sprintf("is longer than %d bytes", most)
		case !utf8.ValidString(s):
			return name, "is not UTF-8"
		}
		return "", ""
	}
	for _, c := range []struct {
		name, s string
		most    int
		must    bool
	}{
		{"id", o.ID, mostID, true}, {"who", o.Who, mostWord, true}, {"why", o.Why, mostWhy, true},
		{"match.workload", o.Match.Class, mostWord, false}, {"match.key", o.Match.Key, mostKey, false},
		{"match.key_prefix", o.Match.KeyPrefix, mostKey, false},
	} {
		if field, why = text(c.name, c.s, c.most, c.must); field != "" {
			return field, why
		}
	}
	m := o.Match
	switch o.Subject {
	case Messages:
		if m.Destination == nil && m.Class == "" && m.Key == "" && m.KeyPrefix == "" {
			return "match", "must name a destination, workload, key or key_prefix"
		}
	case LearnedState:
		if m.Destination == nil {
			return "match.destination", "must be set where the subject is learnt"
		}
		if m.Class != "" || m.Key != "" || m.KeyPrefix != "" {
			return "match", "must name a destination alone where the subject is learnt"
		}
	default:
		return "subject", `must be "notices" or "learnt"`
	}
	return "", ""
}

var printNames = [4]string{"subject", "match", "who", "why"}

// prints tell contents apart once the contents are gone. Not against forgery: an id is its caller's own.
func (o Open) prints() (p [4]uint32) {
	match, err := json.Marshal(o.Match)
	if err != nil {
		match = nil // strings and a number always marshal
	}
	for i, text := range [][]byte{[]byte(o.Subject), match, []byte(o.Who), []byte(o.Why)} {
		p[i] = crc32.ChecksumIEEE(text)
	}
	return p
}

// Purge is a row as it travels, of this age.
func (r Row) Purge(age time.Duration) together.Purge {
	return together.Purge{Seq: r.Seq, ID: r.ID, LearnedState: r.Subject == LearnedState, Match: r.Match, Age: max(age, 0)}
}
