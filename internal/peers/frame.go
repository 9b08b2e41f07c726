package peers

// This file defines the format of a datagram: a byte for the version of the format, the note, and a checksum of both.
// Without the checksum a note damaged in transit could affect an endpoint that it is not about. The receiver interprets
// the note.

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
)

const (
	formVersion     = 'n' // changes with the format, so that senders of different versions ignore each other's notes
	formVersionSize = 1
	checksumSize    = 4
)

// frame returns the datagram for a note.
func frame(note []byte) []byte {
	datagram := append([]byte{formVersion}, note...)
	return binary.LittleEndian.AppendUint32(datagram, crc32.ChecksumIEEE(datagram))
}

// unframe returns a copy of the note in a datagram, or nil if the datagram has another format, is damaged or has an
// empty note.
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
