// Package ledger is the replicated record of purges, and of the participants: the processes that must acknowledge them.
//
// It is a part of the consensus group's state machine: pure and deterministic, the same commands in the same order give
// the same state to the byte. It owns the sequence numbers of purges (Seq), which purge an id stands for, the set of
// participants, and the closing of purges. It must never drop a purge that is open, or that a process may still need;
// nor close one by timeout before the longest deadline has passed. It uses no network, clock or disk.
//
// This file holds the commands, their results, and the record of a purge.
package ledger

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"time"
	"unicode/utf8"

	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// Part is the name of this state in the consensus group's machine.
const Part = "purge"

// Kinds of command. There is none for progress: a new leader asks the processes again what they have acknowledged, and
// they answer from disk. Recording each step would cost one log entry a process and purge.
const (
	KindOpen  = "open"
	KindJoin  = "join"
	KindLeave = "gone"
	KindClose = "close"
)

// Subject is what a purge withdraws.
type Subject string

// Subjects of a purge: messages by key, class or destination; or what senders have learned of a destination.
const (
	Messages     Subject = "notices"
	LearnedState Subject = "learnt"
)

// State is how far a purge has come.
type State string

// States of a purge: open; acknowledged by all participants; or closed with some that did not answer in time.
const (
	Spreading State = "spreading"
	Complete  State = "complete"
	Lapsed    State = "complete with lapsed"
)

// Open is the command that opens a purge. ID is chosen by the caller, as an idempotency key.
type Open struct {
	ID      string           `json:"id"`
	Subject Subject          `json:"subject"`
	Match   clusterapi.Match `json:"match"`
	Who     string           `json:"who"`
	Why     string           `json:"why"`
}

// OpenResult is the answer to an Open. Where Rejected is set nothing was opened, and Field names what is wrong.
type OpenResult struct {
	Seq       uint64 `json:"seq,omitempty"`
	Duplicate bool   `json:"known,omitempty"` // the same command was committed before
	State     State  `json:"state,omitempty"`
	Rejected  string `json:"refused,omitempty"`
	Field     string `json:"field,omitempty"`
	Full      bool   `json:"full,omitempty"` // rejected for want of capacity: to be retried later
}

// Participant is a process that must acknowledge. LongestDeadline is that of any message it can hold; 0 for not known.
type Participant struct {
	view.Life
	Zone            view.Zone     `json:"zone"`
	Region          view.Region   `json:"region"`
	Folder          string        `json:"folder,omitempty"`
	LongestDeadline time.Duration `json:"longest,omitempty"`
}

// Join is the command that adds participants, each in place of the earlier incarnation of its name.
type Join struct {
	Participants []Participant `json:"seats"`
}

// JoinResult tells a participant up to which purge it must have applied before it sends. Later ones wait for it.
type JoinResult struct {
	Seq        uint64 `json:"seq"`
	OldestOpen uint64 `json:"floor"`
	Rejected   string `json:"refused,omitempty"`
}

// Leave is the command that removes participants that hold no messages: they left after a drain, or were absent for
// AbsenceLimit.
type Leave struct {
	Lives []view.Life `json:"lives"`
}

// Close is the command that closes the oldest open purges, in order.
type Close struct {
	RosterVersion uint64    `json:"roster"` // of the participants whose acknowledgements were counted; any other is rejected
	Closures      []Closure `json:"rows"`
}

// Closure is the end of one purge. LapsedNames are at most MaxLapsedNames.
type Closure struct {
	Seq         uint64      `json:"seq"`
	Zones       []ZoneSum   `json:"zones"`
	LapsedNames []view.Name `json:"names,omitempty"`
}

// ZoneSum is the result of a purge in one zone.
type ZoneSum struct {
	Region  view.Region      `json:"region"`
	Zone    view.Zone        `json:"zone"`
	Reached int              `json:"reached"`
	Lapsed  int              `json:"lapsed,omitempty"`
	Found   clusterapi.Found `json:"found"`
}

// CloseResult is the answer to a Close: Done purges were closed; Reason tells why the next was not.
type CloseResult struct {
	Done   int    `json:"done"`
	Reason string `json:"why,omitempty"`
}

// Record is one purge. A compacted one is needed by no process any more; it retains its id, checksums and sums, and for
// a while its contents.
type Record struct {
	Seq         uint64           `json:"seq"`
	ID          string           `json:"id"`
	Subject     Subject          `json:"subject"`
	Match       clusterapi.Match `json:"match"`
	Who         string           `json:"who,omitempty"`
	Why         string           `json:"why,omitempty"`
	At          time.Duration    `json:"at"` // the group's clock when it was opened
	State       State            `json:"state"`
	Zones       []ZoneSum        `json:"zones,omitempty"`
	LapsedNames []view.Name      `json:"names,omitempty"`
	Reached     int              `json:"reached,omitempty"`
	Lapsed      int              `json:"lapsed,omitempty"`
	Found       clusterapi.Found `json:"found"`
	Checksums   [4]uint32        `json:"prints"` // of subject, match, who, why
	Compacted   bool             `json:"short,omitempty"`
}

// Bounds on what a caller sends, in bytes.
const (
	maxIDBytes   = 128
	maxKeyBytes  = 512
	maxWhyBytes  = 1024
	maxNameBytes = 128
)

// Validate returns the first field that is wrong, and why; "" for none.
func (o Open) Validate() (field, why string) {
	for _, text := range []struct {
		field, value string
		maxBytes     int
		required     bool
	}{
		{"id", o.ID, maxIDBytes, true}, {"who", o.Who, maxNameBytes, true}, {"why", o.Why, maxWhyBytes, true},
		{"match.workload", o.Match.Class, maxNameBytes, false}, {"match.key", o.Match.Key, maxKeyBytes, false},
		{"match.key_prefix", o.Match.KeyPrefix, maxKeyBytes, false},
	} {
		if why = validateText(text.value, text.maxBytes, text.required); why != "" {
			return text.field, why
		}
	}
	return o.validateMatch()
}

// validateText returns why a text is wrong; "" for one that is not.
func validateText(text string, maxBytes int, required bool) string {
	switch {
	case required && text == "":
		return "must be set"
	case len(text) > maxBytes:
		return fmt.Sprintf("is longer than %d bytes", maxBytes)
	case !utf8.ValidString(text):
		return "is not UTF-8"
	}
	return ""
}

// validateMatch checks that the match names something that its subject can be withdrawn by.
func (o Open) validateMatch() (field, why string) {
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

var checksumFields = [4]string{"subject", "match", "who", "why"}

// checksums tell whether a command equals a compacted purge. They are no protection against forgery: each caller chooses
// its own ids.
func (o Open) checksums() (p [4]uint32) {
	match, err := json.Marshal(o.Match)
	if err != nil {
		match = nil // can't happen: strings and a number always marshal
	}
	for i, text := range [][]byte{[]byte(o.Subject), match, []byte(o.Who), []byte(o.Why)} {
		p[i] = crc32.ChecksumIEEE(text)
	}
	return p
}

// ToPurge is the purge as it is sent to processes, with its age.
func (r Record) ToPurge(age time.Duration) clusterapi.Purge {
	return clusterapi.Purge{Seq: r.Seq, ID: r.ID, LearnedState: r.Subject == LearnedState, Match: r.Match, Age: max(age, 0)}
}
