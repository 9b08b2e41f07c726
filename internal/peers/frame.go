package peers

// This file defines the form of a datagram: a byte for the form's version, the note, and a checksum of both, so that a note
// that was damaged on its way has no effect on an endpoint that it does not mean. What the note says is up to its reader.

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
)

const (
	formVersion     = 'n' // changes with the form, so that senders of two versions ignore each other's notes
	formVersionSize = 1
	checksumSize    = 4
)

// frame is the datagram of a note.
func frame(note []byte) []byte {
	datagram := append([]byte{formVersion}, note...)
	return binary.LittleEndian.AppendUint32(datagram, crc32.ChecksumIEEE(datagram))
}

// unframe returns a copy of a datagram's note, nil if the datagram has another form, is damaged or has no note.
func unframe(datagram []byte) []byte {
	end := len(datagram) - checksumSize
	switch {
	case end <= formVersionSize,
		datagram[0] != formVersion,
		binary.LittleEndian.Uint32(datagram[end:]) != crc32.ChecksumIEEE(datagram[:end]):
		return nil
	}
	return slices.Clone(datagram[formVersionSize:end])
}
