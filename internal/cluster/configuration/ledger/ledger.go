package ledger

// This file is the state machine: one method for each command. It must stay deterministic: no map is ranged over
// where the order shows, and nothing is read but the command and the state.

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"flaxcove/internal/cluster/configuration"
)

// Bounds of the ledger. 1,600 changes a day are planned for: ids are recognised for over a day, and the retained documents
// suffice to restore what was in force before a bad change, or some hours of them.
const (
	MaxEntries       = 2048
	MaxDocuments     = 32
	MaxDocumentBytes = 2 << 20 // of all documents; the newest and the one before it are retained in any case
	minDocuments     = 2
)

// Ledger is the state. It is not safe for concurrent use: the consensus group guards it.
type Ledger struct {
	entries       []Entry // by version, with gaps before adopted versions
	versionByID   map[string]uint64
	documents     []configuration.Document // by version, oldest first; the last is that of the last entry
	documentBytes int                      // of documents
	clock         time.Duration
	revision      uint64 // grows with each command; not in snapshots
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{versionByID: map[string]uint64{}} }

// Apply applies one committed command. An error means that it could not be decoded, and nothing has changed; a command
// that is rejected by a rule says so in its answer.
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

// decide commits a change, or finds the version of the same request that was committed before.
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

// FindRequest is the answer to a request whose id is known: its version, or a rejection where the request differs.
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

// adopt adds a version that members have.
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

// append adds an entry with its document, and drops the oldest beyond the bounds.
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

// retain adds a document to those that can be restored.
func (l *Ledger) retain(document configuration.Document) {
	l.documents = append(l.documents, document)
	l.documentBytes += len(document.Settings)
}
