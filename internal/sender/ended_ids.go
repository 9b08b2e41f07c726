package sender

// This file remembers which messages have ended, so that a message that is submitted again after its end does not run again.
// It keeps hashes, because a flood of messages would otherwise push out the ids of the others within seconds. A rewritten
// journal holds the latest of them.

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"flaxcove/choice"
)

const (
	// minRememberedEnded and maxRememberedEnded bound the number of ended messages that are remembered.
	minRememberedEnded = 8192
	maxRememberedEnded = 32768
	// endedIDBytes is the memory in bytes of a remembered message, in the map and in the ring.
	endedIDBytes = 40
	// endedPerRecord is the maximum number of hashes in one record of the journal.
	endedPerRecord = 1024
	// endedJournalDivisor is the reciprocal of the part of the journal's limit that hashes may take after a rewrite. It is a
	// part of what rewriteThreshold and maxLiveShare leave over.
	endedJournalDivisor = 50
	hashSize            = 8 // bytes
)

// endedIDs is a set of messages that were accepted and have ended, by the hash of their id. Beyond its limit the oldest is
// forgotten. A hash of 64 bits confuses two of 100,000 ids with a probability below 1 to a billion.
type endedIDs struct {
	limit  int
	known  map[uint64]struct{}
	ring   []uint64 // once full, the newest replaces the oldest
	oldest int      // index in ring once it is full
}

// init empties the set and sets its limit from a number of bytes of memory. The set takes all its memory at once, so that the
// process does not grow with it.
func (e *endedIDs) init(bytes int64) {
	e.limit = min(max(minRememberedEnded, int(bytes/endedIDBytes)), maxRememberedEnded)
	e.known, e.ring = make(map[uint64]struct{}, e.limit), make([]uint64, 0, e.limit)
}

// has reports whether a message is remembered.
func (e *endedIDs) has(id choice.MessageID) bool {
	_, known := e.known[xxhash.Sum64String(string(id))]
	return known
}

// remember adds a message.
func (e *endedIDs) remember(id choice.MessageID) { e.add(xxhash.Sum64String(string(id))) }

// add adds the hash of a message's id.
func (e *endedIDs) add(hash uint64) {
	if _, known := e.known[hash]; known {
		return
	}
	if len(e.ring) < e.limit {
		e.ring = append(e.ring, hash)
	} else {
		delete(e.known, e.ring[e.oldest])
		e.ring[e.oldest] = hash
		e.oldest = (e.oldest + 1) % len(e.ring)
	}
	e.known[hash] = struct{}{}
}

// bytes returns the memory that the set holds.
func (e *endedIDs) bytes() int64 { return int64(len(e.ring)) * endedIDBytes }

// records passes to add the records of the latest messages, the oldest first, which take at most the given number of bytes.
func (e *endedIDs) records(bytes int64, add func([]byte) int64) {
	count := min(len(e.ring), int(bytes/hashSize))
	for at := len(e.ring) - count; at < len(e.ring); at += endedPerRecord {
		record := []byte{recEnded}
		for i := at; i < min(at+endedPerRecord, len(e.ring)); i++ {
			record = binary.LittleEndian.AppendUint64(record, e.ring[(e.oldest+i)%len(e.ring)])
		}
		add(record)
	}
}

// replay adds the messages of a record without its kind.
func (e *endedIDs) replay(hashes []byte) {
	for ; len(hashes) >= hashSize; hashes = hashes[hashSize:] {
		e.add(binary.LittleEndian.Uint64(hashes))
	}
}
