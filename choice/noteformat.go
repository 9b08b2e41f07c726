package choice

import (
	"encoding/binary"
	"hash/crc32"
)

// A note is three bytes long: the hash of an endpoint's id, and a wait in units of noteUnit, rounded up. A wait of 0
// says that the endpoint had no place for a further connection; any other one, that its limit was met. The shortest
// wait, noteUnit, stands for a limit that was met without a Retry-After.

// noteUnit is the unit of the wait in a note.
const noteUnit = 20 * Millisecond

// endpointHash stands for an endpoint in notes. Two endpoints may have the same one.
type endpointHash [2]byte

func hashOf(id EndpointID) endpointHash {
	sum := crc32.ChecksumIEEE([]byte(id))
	return endpointHash(binary.LittleEndian.AppendUint32(nil, sum)[:len(endpointHash{})])
}

// encodeNote returns the note for an endpoint and a wait; too long a wait is cut to the longest that fits.
func encodeNote(id EndpointID, wait Time) []byte {
	hash := hashOf(id)
	units := (wait + noteUnit - 1) / noteUnit
	return append(hash[:], byte(min(255, units)))
}

// decodeNote returns the hash and the wait of a note; the wait is below 0 for what is no note.
func decodeNote(note []byte) (endpointHash, Time) {
	if len(note) != len(endpointHash{})+1 {
		return endpointHash{}, -1
	}
	return endpointHash(note), Time(note[len(endpointHash{})]) * noteUnit
}
