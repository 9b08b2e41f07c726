package peers

// This file owns the form of a datagram: a byte for the form, the note, and a sum over both, so that a note spoilt on
// its way halts no endpoint that nobody spoke of. What is in the note is its reader's affair.

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
)

const (
	form    = 'n' // changes with the form, so that senders of two versions pass over one another's notes
	sumSize = 4
)

func frame(note []byte) []byte {
	text := append([]byte{form}, note...)
	return binary.LittleEndian.AppendUint32(text, crc32.ChecksumIEEE(text))
}

// unframe gives the note, a copy, and nil for what is not a datagram of this form with something in it.
func unframe(text []byte) []byte {
	end := len(text) - sumSize
	if end < 2 || text[0] != form || binary.LittleEndian.Uint32(text[end:]) != crc32.ChecksumIEEE(text[:end]) {
		return nil
	}
	return slices.Clone(text[1:end])
}
