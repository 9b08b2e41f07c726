package ledger

// This file holds the methods that read a ledger, and its snapshots. The entries that readers get are copies. The
// settings in a document are shared with the ledger and must not be changed.

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"flaxcove/internal/cluster/configuration"
)

// Revision returns a number that grows with each command or snapshot applied on this process. While it is unchanged,
// the ledger is unchanged.
func (l *Ledger) Revision() uint64 { return l.revision }

// LastVersion returns the number of the newest version, or 0 if there is none.
func (l *Ledger) LastVersion() uint64 {
	if len(l.entries) == 0 {
		return 0
	}
	return l.entries[len(l.entries)-1].Version
}

// Newest returns the document of the newest version. It returns false before the first change.
func (l *Ledger) Newest() (configuration.Document, bool) { return l.Document(l.LastVersion()) }

// Document returns the content of a version and reports whether it is retained. Version 0 is the configuration file of
// the process that led at the first change.
func (l *Ledger) Document(version uint64) (configuration.Document, bool) {
	i, found := slices.BinarySearchFunc(l.documents, version, func(d configuration.Document, v uint64) int {
		return cmp.Compare(d.Version, v)
	})
	if !found {
		return configuration.Document{}, false
	}
	return l.documents[i], true
}

// RetainedVersions returns the versions that can be restored, oldest first.
func (l *Ledger) RetainedVersions() []uint64 {
	all := make([]uint64, len(l.documents))
	for i := range l.documents {
		all[i] = l.documents[i].Version
	}
	return all
}

// Entry returns the entry of a committed version and reports whether it is retained.
func (l *Ledger) Entry(version uint64) (Entry, bool) {
	i, found := slices.BinarySearchFunc(l.entries, version, func(e Entry, v uint64) int { return cmp.Compare(e.Version, v) })
	if !found {
		return Entry{}, false
	}
	return l.entries[i], true
}

// snapshotState is the encoded form of a ledger.
type snapshotState struct {
	Entries   []Entry                  `json:"entries"`
	Documents []configuration.Document `json:"documents"`
	Clock     time.Duration            `json:"at"`
}

// Snapshot encodes the complete state. Equal states have equal encodings. Before the first change the encoding is null,
// as for a new part, so that an older program without this part can still read the group's snapshot.
func (l *Ledger) Snapshot() (json.RawMessage, error) {
	if len(l.entries) == 0 {
		return json.RawMessage("null"), nil
	}
	return json.Marshal(snapshotState{l.entries, l.documents, l.clock})
}

// Restore replaces the state by that of a snapshot. An inconsistent snapshot is an error. After an error nothing has
// changed.
func (l *Ledger) Restore(text json.RawMessage) error {
	fresh := New()
	fresh.revision = l.revision + 1
	if bytes.Equal(bytes.TrimSpace(text), []byte("null")) {
		*l = *fresh
		return nil
	}
	var state snapshotState
	if err := json.Unmarshal(text, &state); err != nil {
		return fmt.Errorf("configuration ledger: snapshot: %w", err)
	}
	if err := fresh.restoreEntries(state.Entries); err != nil {
		return fmt.Errorf("configuration ledger: snapshot: %w", err)
	}
	if err := fresh.restoreDocuments(state.Documents); err != nil {
		return fmt.Errorf("configuration ledger: snapshot: %w", err)
	}
	fresh.clock = state.Clock
	if newest, held := fresh.Newest(); len(fresh.entries) == 0 || !held || newest.Sum != fresh.entries[len(fresh.entries)-1].Sum {
		return fmt.Errorf("configuration ledger: snapshot: the document of the newest version %d is missing or does not match its entry", fresh.LastVersion())
	}
	*l = *fresh
	return nil
}

// restoreEntries sets the entries to those of a snapshot, which must be sorted by version.
func (l *Ledger) restoreEntries(entries []Entry) error {
	for i, entry := range entries {
		if entry.Version == 0 || i > 0 && entry.Version <= entries[i-1].Version {
			return fmt.Errorf("the entry of version %d is out of order", entry.Version)
		}
		if entry.ID != "" {
			l.versionByID[entry.ID] = entry.Version
		}
	}
	l.entries = entries
	return nil
}

// restoreDocuments sets the documents to those of a snapshot, whose checksums must match.
func (l *Ledger) restoreDocuments(documents []configuration.Document) error {
	for _, d := range documents {
		document, err := configuration.NewDocument(d.Version, d.Settings) // undoes the HTML escapes in the JSON of the snapshot
		if err != nil {
			return fmt.Errorf("version %d: %w", d.Version, err)
		}
		if document.Sum != d.Sum {
			return fmt.Errorf("version %d: field sum does not match the settings", d.Version)
		}
		l.retain(document)
	}
	return nil
}
