package ledger

// This file is what may be read of a ledger, and how it is kept. Readers get copies of entries; a document's settings
// are shared and must not be changed.

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"flaxcove/internal/cluster/configuration"
)

// No grows with each command applied here: unchanged, there is nothing new to read.
func (l *Ledger) No() uint64 { return l.no }

// Last is the newest version; 0 for none.
func (l *Ledger) Last() uint64 {
	if len(l.entries) == 0 {
		return 0
	}
	return l.entries[len(l.entries)-1].Version
}

// Newest is the newest version's document; false where nothing was decided.
func (l *Ledger) Newest() (configuration.Document, bool) { return l.Document(l.Last()) }

// Document is a version's content, as far as it is still held. Version 0 is the file of whoever led at the first
// change.
func (l *Ledger) Document(version uint64) (configuration.Document, bool) {
	i, found := slices.BinarySearchFunc(l.documents, version, func(d configuration.Document, v uint64) int {
		return cmp.Compare(d.Version, v)
	})
	if !found {
		return configuration.Document{}, false
	}
	return l.documents[i], true
}

// Held are the versions to which a return is possible, oldest first.
func (l *Ledger) Held() []uint64 {
	all := make([]uint64, len(l.documents))
	for i := range l.documents {
		all[i] = l.documents[i].Version
	}
	return all
}

// Entry is one decided version, as far as it is remembered.
func (l *Ledger) Entry(version uint64) (Entry, bool) {
	i, found := slices.BinarySearchFunc(l.entries, version, func(e Entry, v uint64) int { return cmp.Compare(e.Version, v) })
	if !found {
		return Entry{}, false
	}
	return l.entries[i], true
}

// onDisk is the ledger on disk.
type onDisk struct {
	Entries   []Entry                  `json:"entries"`
	Documents []configuration.Document `json:"documents"`
	At        time.Duration            `json:"at"`
}

// Snapshot is all of it, the same for the same state. Before the first change it is null, as that of a new part: a
// process of a program without this part can then still read the council's snapshot.
func (l *Ledger) Snapshot() (json.RawMessage, error) {
	if len(l.entries) == 0 {
		return json.RawMessage("null"), nil
	}
	return json.Marshal(onDisk{l.entries, l.documents, l.at})
}

// Restore puts a snapshot in place of all; one that does not hold together is refused and changes nothing.
func (l *Ledger) Restore(text json.RawMessage) error {
	fresh := New()
	fresh.no = l.no + 1
	if bytes.Equal(bytes.TrimSpace(text), []byte("null")) {
		*l = *fresh
		return nil
	}
	var k onDisk
	if err := json.Unmarshal(text, &k); err != nil {
		return fmt.Errorf("configuration ledger: snapshot: %w", err)
	}
	for i, entry := range k.Entries {
		if entry.Version == 0 || i > 0 && entry.Version <= k.Entries[i-1].Version {
			return fmt.Errorf("configuration ledger: snapshot: version %d out of order", entry.Version)
		}
		if entry.ID != "" {
			fresh.ids[entry.ID] = entry.Version
		}
	}
	fresh.entries, fresh.at = k.Entries, k.At
	for _, d := range k.Documents {
		document, err := configuration.Make(d.Version, d.Settings) // what JSON escaped on its way is as it was
		if err != nil {
			return fmt.Errorf("configuration ledger: snapshot: version %d: %w", d.Version, err)
		}
		if document.Sum != d.Sum {
			return fmt.Errorf("configuration ledger: snapshot: version %d: its sum is not that of its settings", d.Version)
		}
		fresh.hold(document)
	}
	if newest, held := fresh.Newest(); len(fresh.entries) == 0 || !held || newest.Sum != fresh.entries[len(fresh.entries)-1].Sum {
		return fmt.Errorf("configuration ledger: snapshot: the newest version %d lacks its settings", fresh.Last())
	}
	*l = *fresh
	return nil
}
