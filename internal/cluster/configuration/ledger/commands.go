// Package ledger is the replicated record of all versions of the shared settings of a cluster.
//
// A Ledger is a part of the consensus group's state machine (machine.Part). It is deterministic: the same commands in
// the same order give a state with the same encoding. It assigns the version numbers, records which version each
// request ID became, and retains a limited number of documents that can be restored. It never assigns one version
// number to two contents, never assigns a lower number to a newer version, and never commits a change that is based on
// another version than the newest. It uses no network, clock or disk, and does not interpret settings; the leader
// checks them before it proposes a change.
//
// Load (docs/CAPACITY.md, row council voter): one command of the size of the settings in the log per change, and in a
// snapshot at most MaxDocuments documents and some 400 bytes for each of MaxEntries entries. The load grows with the
// number of changes up to these limits, and does not depend on the number of members.
package ledger

import (
	"encoding/json"
	"fmt"
	"time"
	"unicode/utf8"

	"flaxcove/internal/cluster/configuration"
)

// Part is the name of this part in the consensus group's state machine.
const Part = "configuration"

// Kinds of commands.
const (
	// KindDecide commits a change; its body is a Decide.
	KindDecide = "decide"
	// KindAdopt adds a version that members have in force but the consensus group does not know, for example after all
	// folders of the group were deleted. The next versions are numbered from there. Its body is an Adopt.
	KindAdopt = "adopt"
)

// Request is a change that a caller orders. Exactly one of Settings, Patch and Restore is set. ID is an idempotency key
// that the caller chooses: if the same request is repeated with the same ID, for example after a lost answer, it
// becomes the same version. Who and Why name the person or program that orders the change, and the reason.
type Request struct {
	ID string `json:"id"`
	// Base is the version that the change is based on. It may be omitted with Restore and then stands for the newest.
	Base     *uint64         `json:"base,omitempty"`
	Settings json.RawMessage `json:"settings,omitempty"`
	Patch    json.RawMessage `json:"patch,omitempty"`   // a JSON merge patch (RFC 7386)
	Restore  *uint64         `json:"restore,omitempty"` // the version whose content is restored
	Who      string          `json:"who"`
	Why      string          `json:"why"`
}

// Decide is the command that commits a change. The leader has resolved its settings and checked them.
type Decide struct {
	ID          string            `json:"id"`
	Fingerprint configuration.Sum `json:"print"` // of the request, by which its repetition is recognised
	Base        uint64            `json:"base"`
	// Settings is the complete settings object; nil if the content of the restored version is in the ledger.
	Settings json.RawMessage `json:"settings,omitempty"`
	Restore  *uint64         `json:"restore,omitempty"`
	Who      string          `json:"who"`
	Why      string          `json:"why"`
	// OwnSettings is set with the first change only. It is the content of the leader's own configuration file, which
	// can be restored as version 0 from then on.
	OwnSettings json.RawMessage `json:"own,omitempty"`
}

// DecideResult is the answer to a command. If Rejected is set, the command has committed nothing; Rejected is the
// reason and Field the wrong field.
type DecideResult struct {
	Version   uint64            `json:"version,omitempty"`
	Sum       configuration.Sum `json:"sum,omitempty"`
	Duplicate bool              `json:"known,omitempty"` // the same request was committed before
	Rejected  string            `json:"refused,omitempty"`
	Field     string            `json:"field,omitempty"`
	// Conflict is true if the request is valid but contradicts what was committed.
	Conflict bool   `json:"conflict,omitempty"`
	Current  uint64 `json:"current"` // the newest version
}

// Adopt is the command that adds a version that members have in force.
type Adopt struct {
	Version  uint64          `json:"version"`
	Settings json.RawMessage `json:"settings"`
}

// Entry describes one committed version, without its content.
type Entry struct {
	Version     uint64            `json:"version"`
	Sum         configuration.Sum `json:"sum"`
	ID          string            `json:"id,omitempty"` // "" for a version that was adopted
	Fingerprint configuration.Sum `json:"print,omitempty"`
	Base        uint64            `json:"base"`
	Restored    *uint64           `json:"restored,omitempty"`
	Who         string            `json:"who,omitempty"`
	Why         string            `json:"why,omitempty"`
	At          time.Duration     `json:"at"`    // the group's clock when it was committed
	Bytes       int               `json:"bytes"` // length of the settings
}

// Maximum lengths of the texts in a request, in bytes.
const (
	maxIDBytes  = 128
	maxWhoBytes = 128
	maxWhyBytes = 1024
)

// Validate returns the name of the first field that is wrong and the problem, or "" if the request is valid. The
// problem is meant to follow the name of the field in an error text.
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
		return "base", "must be set to the version that the change is based on"
	}
	return "", ""
}

// validateTexts returns the name of the first text that is wrong and the problem, or "" if all texts are valid.
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

// Fingerprint returns a checksum of the request, by which a repeated request is recognised. Settings and patch count in
// canonical form. The checksum does not protect against forgery, as callers choose their own IDs. An error means that
// the settings or the patch are not valid (see configuration.Canonicalize).
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
