package choice

import (
	"encoding/binary"
	"hash/crc32"
)

// A note has three bytes: a two-byte hash of the endpoint's id, and a wait in units of noteUnit, rounded up. A wait of
// 0 means that the endpoint had no room for another connection; any other wait means that the sender hit the route's
// limit. The shortest wait, noteUnit, stands for a limit that was hit without a Retry-After.

// noteUnit is the unit of the wait in a note.
const noteUnit = 20 * Millisecond

// endpointHash identifies an endpoint in notes. Two endpoints may have the same hash.
type endpointHash [2]byte

func hashOf(id EndpointID) endpointHash {
	sum := crc32.ChecksumIEEE([]byte(id))
	return endpointHash(binary.LittleEndian.AppendUint32(nil, sum)[:len(endpointHash{})])
}

// encodeNote returns the note for an endpoint and a wait. A wait that does not fit is replaced by the longest one.
func encodeNote(id EndpointID, wait Time) []byte {
	hash := hashOf(id)
	units := (wait + noteUnit - 1) / noteUnit
	return append(hash[:], byte(min(255, units)))
}

// decodeNote returns the hash and the wait of a note. The wait is negative if the note is malformed.
func decodeNote(note []byte) (endpointHash, Time) {
	if len(note) != len(endpointHash{})+1 {
		return endpointHash{}, -1
	}
	return endpointHash(note), Time(note[len(endpointHash{})]) * noteUnit
}
