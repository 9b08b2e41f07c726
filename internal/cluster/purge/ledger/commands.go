// Package ledger implements the replicated record of purges and of their participants, which are the processes that must
// acknowledge each purge.
//
// A Ledger is one part of the consensus group's state machine. It is deterministic: the same commands in the same order
// produce the same state, byte for byte. It uses no network, clock or disk. It assigns the sequence numbers of purges
// (Seq), maps the ids that callers choose to purges, maintains the set of participants, and closes purges. It never drops
// a purge that is open or that a process may still need, and never lets a missing acknowledgement lapse before the
// longest deadline has passed.
package ledger

// This file defines the commands, their results, and the record of a purge.

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"time"
	"unicode/utf8"

	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// Part is the name of the ledger among the parts of the consensus group's state machine.
const Part = "purge"

// Kinds of commands. No command records the progress of a purge: a new leader asks the processes again what they have
// acknowledged, and they answer from disk. Recording each acknowledgement would cost one log entry per process and purge.
const (
	KindOpen  = "open"
	KindJoin  = "join"
	KindLeave = "gone"
	KindClose = "close"
)

// Subject is the kind of state that a purge removes.
type Subject string

// Subjects of a purge: messages selected by key, class or destination, or the learned state of the endpoints of one
// destination.
const (
	Messages     Subject = "notices"
	LearnedState Subject = "learnt"
)

// State is the stage that a purge has reached.
type State string

// States of a purge. Spreading means that it is open, Complete that all participants have acknowledged it, and Lapsed that
// it was closed although some participants did not acknowledge it in time.
const (
	Spreading State = "spreading"
	Complete  State = "complete"
	Lapsed    State = "complete with lapsed"
)

// Open is the command that opens a purge. The caller chooses ID, which serves as an idempotency key.
type Open struct {
	ID          string           `json:"id"`
	Subject     Subject          `json:"subject"`
	Match       clusterapi.Match `json:"match"`
	RequestedBy string           `json:"who"`
	Reason      string           `json:"why"`
}

// OpenResult is the answer to an Open. If Rejected is set, no purge was opened, Rejected is the reason, and Field names the
// invalid field.
type OpenResult struct {
	Seq       uint64 `json:"seq,omitempty"`
	Duplicate bool   `json:"known,omitempty"` // the same command was committed earlier; Seq and State are those of its purge
	State     State  `json:"state,omitempty"`
	Rejected  string `json:"refused,omitempty"`
	Field     string `json:"field,omitempty"`
	Full      bool   `json:"full,omitempty"` // rejected because the ledger is full; the caller may retry later
}

// Participant is a process that must acknowledge purges. LongestDeadline is the longest deadline of any message that the
// process can hold; 0 means unknown.
type Participant struct {
	view.Instance
	Zone            view.Zone     `json:"zone"`
	Region          view.Region   `json:"region"`
	Folder          string        `json:"folder,omitempty"`
	LongestDeadline time.Duration `json:"longest,omitempty"`
}

// Join is the command that adds participants. A participant replaces an earlier incarnation of the same name.
type Join struct {
	Participants []Participant `json:"seats"`
}

// JoinResult is the answer to a Join or Leave. A participant must apply all purges up to Seq before it sends messages; later
// purges do not become complete without its acknowledgement. OldestOpen is the oldest open purge, or Seq+1 if none is open.
type JoinResult struct {
	Seq        uint64 `json:"seq"`
	OldestOpen uint64 `json:"floor"`
	Rejected   string `json:"refused,omitempty"`
}

// Leave is the command that removes participants that hold no messages any more, because they left after a drain or were
// absent for AbsenceLimit.
type Leave struct {
	Instances []view.Instance `json:"lives"`
}

// Close is the command that closes the oldest open purges, in ascending order of their Seqs.
type Close struct {
	RosterVersion uint64    `json:"roster"` // of the participants that the closures count; any other than the current one is rejected
	Closures      []Closure `json:"rows"`
}

// Closure is the outcome of one purge. LapsedNames holds at most MaxLapsedNames names.
type Closure struct {
	Seq         uint64      `json:"seq"`
	Zones       []ZoneSum   `json:"zones"`
	LapsedNames []view.Name `json:"names,omitempty"`
}

// ZoneSum is the outcome of a purge in one zone: the number of participants that acknowledged it, the number whose
// acknowledgement lapsed, and the sum of what the purge found.
type ZoneSum struct {
	Region  view.Region            `json:"region"`
	Zone    view.Zone              `json:"zone"`
	Reached int                    `json:"reached"`
	Lapsed  int                    `json:"lapsed,omitempty"`
	Found   clusterapi.PurgeResult `json:"found"`
}

// CloseResult is the answer to a Close. Closed purges were closed; Reason says why the next one was not.
type CloseResult struct {
	Closed int    `json:"done"`
	Reason string `json:"why,omitempty"`
}

// Record is one purge. A closed one retains Zones and LapsedNames only while it is among the newest closed purges. A compacted
// record is no longer needed by any process; when it is not among the newest closed purges either, it retains only its id,
// its state, the checksums and the total sums.
type Record struct {
	Seq         uint64                 `json:"seq"`
	ID          string                 `json:"id"`
	Subject     Subject                `json:"subject"`
	Match       clusterapi.Match       `json:"match"`
	RequestedBy string                 `json:"who,omitempty"`
	Reason      string                 `json:"why,omitempty"`
	OpenedAt    time.Duration          `json:"at"` // time of the consensus group's clock when the purge was opened
	State       State                  `json:"state"`
	Zones       []ZoneSum              `json:"zones,omitempty"`
	LapsedNames []view.Name            `json:"names,omitempty"`
	Reached     int                    `json:"reached,omitempty"`
	Lapsed      int                    `json:"lapsed,omitempty"`
	Found       clusterapi.PurgeResult `json:"found"`
	Checksums   [4]uint32              `json:"prints"` // CRC-32 of each of checksumFields, in that order
	Compacted   bool                   `json:"short,omitempty"`
}

// Bounds on the texts of a command, in bytes.
const (
	maxIDBytes     = 128
	maxKeyBytes    = 512
	maxReasonBytes = 1024
	maxNameBytes   = 128
)

// Validate returns the first invalid field and what is wrong with it. It returns "" for both if the command is valid.
func (o Open) Validate() (field, problem string) {
	for _, text := range []struct {
		field, value string
		maxBytes     int
		required     bool
	}{
		{"id", o.ID, maxIDBytes, true}, {"who", o.RequestedBy, maxNameBytes, true}, {"why", o.Reason, maxReasonBytes, true},
		{"match.workload", o.Match.Class, maxNameBytes, false}, {"match.key", o.Match.Key, maxKeyBytes, false},
		{"match.key_prefix", o.Match.KeyPrefix, maxKeyBytes, false},
	} {
		if problem = validateText(text.value, text.maxBytes, text.required); problem != "" {
			return text.field, problem
		}
	}
	return o.validateMatch()
}

// validateText returns what is wrong with a text, or "" if it is valid.
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

// validateMatch checks that Match has the fields that Subject requires, and no others.
func (o Open) validateMatch() (field, problem string) {
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

// checksumFields names the fields that have checksums, in the order of Record.Checksums.
var checksumFields = [4]string{"subject", "match", "who", "why"}

// checksums returns the checksums of the command's fields. They detect that a command with a known id differs from the
// purge of that id, even after its record was compacted. They do not protect against forgery, which is not needed because
// each caller chooses its own ids.
func (o Open) checksums() (p [4]uint32) {
	match, err := json.Marshal(o.Match)
	if err != nil {
		match = nil // cannot happen: strings and a number can always be marshalled
	}
	for i, text := range [][]byte{[]byte(o.Subject), match, []byte(o.RequestedBy), []byte(o.Reason)} {
		p[i] = crc32.ChecksumIEEE(text)
	}
	return p
}

// ToPurge returns the purge in the form that is sent to processes. A negative age is replaced by 0.
func (r Record) ToPurge(age time.Duration) clusterapi.Purge {
	return clusterapi.Purge{Seq: r.Seq, ID: r.ID, LearnedState: r.Subject == LearnedState, Match: r.Match, Age: max(age, 0)}
}
