package ledger

// This file holds the state machine, with one method per command. The methods must stay deterministic: their result
// must not depend on the iteration order of a map, or on anything other than the command and the state.

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"flaxcove/internal/cluster/configuration"
)

// Size limits of the ledger. It is designed for 1,600 changes a day, so that request IDs are recognised for more than a
// day. The retained documents allow an operator to restore the version before a bad change, or before some hours of
// changes.
const (
	MaxEntries       = 2048    // of versions with their request IDs
	MaxDocuments     = 32      // of versions that can be restored
	MaxDocumentBytes = 2 << 20 // total length of all documents; the two newest are retained in any case
	minDocuments     = 2
)

// Ledger implements machine.Part. It is not safe for concurrent use; the consensus group guards it.
type Ledger struct {
	entries       []Entry                  // sorted by version, with gaps before adopted versions
	versionByID   map[string]uint64        // by request ID
	documents     []configuration.Document // sorted by version; the last document belongs to the last entry
	documentBytes int                      // total length of documents
	clock         time.Duration            // the group's clock at the latest command
	revision      uint64                   // see Revision; not part of snapshots
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{versionByID: map[string]uint64{}} }

// Apply applies one committed command and returns a DecideResult as JSON. An error means that the command could not be
// decoded or is of an unknown kind, and has changed nothing. A command that breaks a rule of the ledger gets an answer
// in which DecideResult.Rejected is set.
func (l *Ledger) Apply(_ uint64, at time.Duration, kind string, body json.RawMessage) (json.RawMessage, error) {
	var answer DecideResult
	var err error
	switch kind {
	case KindDecide:
		var c Decide
		if err = json.Unmarshal(body, &c); err == nil {
			l.clock = max(l.clock, at)
			answer = l.decide(c)
		}
	case KindAdopt:
		var c Adopt
		if err = json.Unmarshal(body, &c); err == nil {
			l.clock = max(l.clock, at)
			answer = l.adopt(c)
		}
	default:
		err = errors.New("unknown kind")
	}
	if err != nil {
		return nil, fmt.Errorf("configuration ledger: command %q: %w", kind, err)
	}
	answer.Current = l.LastVersion()
	l.revision++
	return json.Marshal(answer)
}

// decide commits a change, or returns the version that the same request became before.
func (l *Ledger) decide(c Decide) DecideResult {
	if field, why := validateTexts(c.ID, c.Who, c.Why); field != "" {
		return DecideResult{Rejected: field + " " + why, Field: field}
	}
	if previous, found := l.FindRequest(c.ID, c.Fingerprint); found {
		return previous
	}
	if c.Base != l.LastVersion() {
		return DecideResult{Conflict: true, Field: "base",
			Rejected: fmt.Sprintf("base %d is not the newest version, which is %d", c.Base, l.LastVersion())}
	}
	settings := c.Settings
	if c.Restore != nil {
		old, retained := l.Document(*c.Restore)
		if !retained {
			return DecideResult{Rejected: fmt.Sprintf("version %d is not held any more", *c.Restore), Field: "restore"}
		}
		settings = old.Settings
	}
	document, err := configuration.NewDocument(l.LastVersion()+1, settings)
	if err != nil {
		return DecideResult{Rejected: err.Error(), Field: "settings"}
	}
	if len(l.documents) == 0 && c.OwnSettings != nil {
		if own, err := configuration.NewDocument(0, c.OwnSettings); err == nil {
			l.retain(own)
		}
	}
	l.append(Entry{Version: document.Version, Sum: document.Sum, ID: c.ID, Fingerprint: c.Fingerprint, Base: c.Base, Restored: c.Restore,
		Who: c.Who, Why: c.Why, At: l.clock, Bytes: len(document.Settings)}, document)
	return DecideResult{Version: document.Version, Sum: document.Sum}
}

// FindRequest returns the answer to a request whose ID is known, and reports whether it is known. The answer is the
// version of the request, or a rejection if another request was committed under this ID.
func (l *Ledger) FindRequest(id string, fingerprint configuration.Sum) (DecideResult, bool) {
	version, known := l.versionByID[id]
	if !known {
		return DecideResult{}, false
	}
	entry, _ := l.Entry(version)
	if entry.Fingerprint != fingerprint {
		return DecideResult{Conflict: true, Field: "id", Current: l.LastVersion(),
			Rejected: fmt.Sprintf("id %q stands for another request, which became version %d", id, version)}, true
	}
	return DecideResult{Version: version, Sum: entry.Sum, Duplicate: true, Current: l.LastVersion()}, true
}

// adopt adds a version that members have in force.
func (l *Ledger) adopt(c Adopt) DecideResult {
	if c.Version <= l.LastVersion() {
		return DecideResult{Conflict: true, Field: "version", Rejected: fmt.Sprintf("version %d is not above %d", c.Version, l.LastVersion())}
	}
	document, err := configuration.NewDocument(c.Version, c.Settings)
	if err != nil {
		return DecideResult{Rejected: err.Error(), Field: "settings"}
	}
	l.append(Entry{Version: c.Version, Sum: document.Sum, Base: l.LastVersion(), At: l.clock, Bytes: len(document.Settings)}, document)
	return DecideResult{Version: c.Version, Sum: document.Sum}
}

// append adds an entry and its document, and deletes the oldest entries and documents that exceed the size limits.
func (l *Ledger) append(entry Entry, document configuration.Document) {
	l.entries = append(l.entries, entry)
	if entry.ID != "" {
		l.versionByID[entry.ID] = entry.Version
	}
	l.retain(document)
	for len(l.entries) > MaxEntries {
		delete(l.versionByID, l.entries[0].ID)
		l.entries = l.entries[1:]
	}
	for len(l.documents) > MaxDocuments || l.documentBytes > MaxDocumentBytes && len(l.documents) > minDocuments {
		l.documentBytes -= len(l.documents[0].Settings)
		l.documents = l.documents[1:]
	}
}

// retain adds a document to the documents that can be restored.
func (l *Ledger) retain(document configuration.Document) {
	l.documents = append(l.documents, document)
	l.documentBytes += len(document.Settings)
}
