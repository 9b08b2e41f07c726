// Package ledger is the replicated record of the versions of the settings that all senders of a cluster share.
//
// It is a part of the consensus group's state machine: pure and deterministic, the same commands in the same order give
// the same state to the byte. It owns the version numbers, which version a caller's id stands for, and how many
// documents are retained so that they can be restored. It must never give two contents one version, give a new version a
// lower number, or commit a change that was based on another version than the newest. It uses no network, clock or disk,
// and does not know what settings mean: the leader has them checked before they are proposed.
//
// Load (docs/CAPACITY.md, row council voter): for each change one command of the settings' size in the log, and in a
// snapshot at most MaxDocuments documents and some 400 bytes for each of MaxEntries entries. It grows with changes up to
// these bounds, and not with members.
//
// This file holds the commands, their result, and the entry of a version.
package ledger

import (
	"encoding/json"
	"fmt"
	"time"
	"unicode/utf8"

	"flaxcove/internal/cluster/configuration"
)

// Part is the name of this state in the consensus group's machine.
const Part = "configuration"

// Kinds of command.
const (
	KindDecide = "decide"
	// KindAdopt adds a version that members have in force and the consensus group does not know, as after all its folders
	// were emptied: versions are numbered on from it.
	KindAdopt = "adopt"
)

// Request is a caller's change; exactly one of Settings, Patch and Restore is set. ID is an idempotency key, chosen by
// the caller: the same request with the same id, as after a lost answer, is the same version.
type Request struct {
	ID string `json:"id"`
	// Base is the version that the change is based on. It may be omitted with Restore, which is then based on the newest.
	Base     *uint64         `json:"base,omitempty"`
	Settings json.RawMessage `json:"settings,omitempty"`
	Patch    json.RawMessage `json:"patch,omitempty"` // a JSON merge patch (RFC 7386)
	Restore  *uint64         `json:"restore,omitempty"`
	Who      string          `json:"who"`
	Why      string          `json:"why"`
}

// Decide is the command that commits a change, which the leader has resolved and checked.
type Decide struct {
	ID          string            `json:"id"`
	Fingerprint configuration.Sum `json:"print"` // of the request, to recognise it when it is repeated
	Base        uint64            `json:"base"`
	// Settings are the complete object; nil where a version is restored that the ledger has.
	Settings json.RawMessage `json:"settings,omitempty"`
	Restore  *uint64         `json:"restore,omitempty"`
	Who      string          `json:"who"`
	Why      string          `json:"why"`
	// OwnSettings are those of the leader's own file, with the first change: they are version 0 from then on.
	OwnSettings json.RawMessage `json:"own,omitempty"`
}

// DecideResult is the answer to a command. Where Rejected is set nothing was committed, and Field names what is wrong.
type DecideResult struct {
	Version   uint64            `json:"version,omitempty"`
	Sum       configuration.Sum `json:"sum,omitempty"`
	Duplicate bool              `json:"known,omitempty"` // the same request was committed before
	Rejected  string            `json:"refused,omitempty"`
	Field     string            `json:"field,omitempty"`
	// Conflict says that the request is well-formed but contradicts what was committed: Current is the newest version.
	Conflict bool   `json:"conflict,omitempty"`
	Current  uint64 `json:"current"`
}

// Adopt is the command that adds a version that members have.
type Adopt struct {
	Version  uint64          `json:"version"`
	Settings json.RawMessage `json:"settings"`
}

// Entry is one committed version without its content.
type Entry struct {
	Version     uint64            `json:"version"`
	Sum         configuration.Sum `json:"sum"`
	ID          string            `json:"id,omitempty"` // "" for a version that was adopted
	Fingerprint configuration.Sum `json:"print,omitempty"`
	Base        uint64            `json:"base"`
	Restored    *uint64           `json:"restored,omitempty"`
	Who         string            `json:"who,omitempty"`
	Why         string            `json:"why,omitempty"`
	At          time.Duration     `json:"at"` // the group's clock when it was committed
	Bytes       int               `json:"bytes"`
}

// Bounds on what a caller sends, in bytes.
const (
	maxIDBytes  = 128
	maxWhoBytes = 128
	maxWhyBytes = 1024
)

// Validate returns the first field that is wrong, and why; "" for none.
func (r Request) Validate() (field, why string) {
	if field, why = validateTexts(r.ID, r.Who, r.Why); field != "" {
		return field, why
	}
	given := 0
	for _, is := range []bool{r.Settings != nil, r.Patch != nil, r.Restore != nil} {
		if is {
			given++
		}
	}
	switch {
	case given != 1:
		return "settings", "or patch must be set, and not both"
	case r.Base == nil && r.Restore == nil:
		return "base", "must be set: the version that the change was made upon"
	}
	return "", ""
}

// validateTexts returns the first text that is wrong, and what is wrong with it; "" for none.
func validateTexts(id, who, why string) (field, problem string) {
	for _, text := range []struct {
		field, value string
		maxBytes     int
	}{{"id", id, maxIDBytes}, {"who", who, maxWhoBytes}, {"why", why, maxWhyBytes}} {
		switch {
		case text.value == "":
			return text.field, "must be set"
		case len(text.value) > text.maxBytes:
			return text.field, fmt.Sprintf("is longer than %d bytes", text.maxBytes)
		case !utf8.ValidString(text.value):
			return text.field, "is not UTF-8"
		}
	}
	return "", ""
}

// Fingerprint is a checksum by which a repeated request is recognised. It is no protection against forgery: each caller
// chooses its own ids.
func (r Request) Fingerprint() (configuration.Sum, error) {
	var err error
	for _, object := range []*json.RawMessage{&r.Settings, &r.Patch} {
		if *object == nil {
			continue
		}
		if *object, err = configuration.Canonicalize(*object); err != nil {
			return "", err
		}
	}
	text, err := json.Marshal(r)
	if err != nil {
		return "", err
	}
	return configuration.SumOf(text), nil
}
