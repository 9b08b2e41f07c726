package sender

// This file defines the format of the journal's records. Records of older versions must stay readable.

import (
	"encoding/binary"
	"slices"

	"flaxcove/choice"
)

// These are the kinds of records. The kind is the first byte of a record; except in recPurge, recEnded and recClock, the message's id
// follows.
const (
	recAccepted = 'T' // a message, with its deadline on the wall clock and the time from its acceptance to its deadline
	recAttempt  = 'O' // an attempt that may have run: its time, its zone's number, and its zone's name (not in older records)
	recNotRun   = 'B' // no attempt of the message has run, so attempt records before this one do not count
	recEnding   = 'E' // an ending that has to be reported to the platform
	recClosed   = 'X' // the message is closed
	recPurge    = 'P' // an applied purge: its Seq and its result
	recEnded    = 'F' // hashes of the ids of closed messages whose records a rewrite has left out
	recClock    = 'C' // the wall clock was put back by at least this time; the times in earlier records are reduced by it
)

// appendString appends text to out, preceded by its length.
func appendString(out []byte, text string) []byte {
	return append(binary.AppendUvarint(out, uint64(len(text))), text...)
}

// idRecord returns a record that holds only a message's id. Longer records start with it.
func idRecord(kind byte, id choice.MessageID) []byte { return appendString([]byte{kind}, string(id)) }

// acceptedRecord returns the message's record of the kind recAccepted. The body must be in memory.
func (m *message) acceptedRecord() []byte {
	return slices.Concat(m.acceptedHead(), m.body, m.acceptedTail())
}

// acceptedHead returns the part of the accepted record before the body.
func (m *message) acceptedHead() []byte {
	out := idRecord(recAccepted, m.ID)
	out = appendString(out, m.key)
	out = appendString(out, m.className)
	out = binary.AppendVarint(out, int64(m.Deadline))
	out = binary.AppendVarint(out, int64(m.Destination))
	return binary.AppendUvarint(out, uint64(m.bodySize()))
}

// acceptedTail returns the part of the accepted record after the body.
func (m *message) acceptedTail() (out []byte) {
	if m.acceptedAt == 0 {
		return nil // the oldest versions wrote records that end here
	}
	out = binary.AppendVarint(out, int64(m.Deadline-m.acceptedAt))
	if m.idempotencyKey == "" && m.tenant == "" {
		return out
	}
	out = appendString(out, m.idempotencyKey) // older versions ignore the rest of the record
	return appendString(out, m.tenant)
}

// attemptRecord returns a record of an attempt that began at the time at in the zone with this number and name.
func attemptRecord(id choice.MessageID, at choice.Time, zone choice.ZoneNo, name string) []byte {
	out := idRecord(recAttempt, id)
	out = binary.AppendVarint(out, int64(at))
	out = binary.AppendVarint(out, int64(zone))
	return appendString(out, name)
}

// endRecord returns a record of the ending of a message.
func endRecord(id choice.MessageID, how ending) []byte {
	return binary.AppendVarint(append(idRecord(recEnding, id), byte(how.kind)), how.retryMS)
}

// clockRecord returns a record that the wall clock was put back; back says by how much.
func clockRecord(back choice.Time) []byte { return binary.AppendVarint([]byte{recClock}, int64(back)) }

// laterRecords passes to add the records, after its accepted record, of a message that a rewritten journal holds.
func (m *message) laterRecords(add func([]byte) int64) {
	if m.attemptOnRecord && m.MayRun {
		add(attemptRecord(m.ID, m.RanAt, m.RanIn, m.ranInZoneName))
	} else if m.attemptOnRecord && m.inFlight != nil {
		add(attemptRecord(m.ID, m.inFlight.beganAt, m.inFlight.endpoint.zone, m.inFlight.endpoint.zoneName))
	}
	if m.ending.kind != endNone {
		add(endRecord(m.ID, m.ending))
	} else if m.withdrawn {
		add(endRecord(m.ID, ending{kind: endFailed}))
	}
}

// recordReader reads the fields of a record in order. A field that cannot be read is zero and sets invalid.
type recordReader struct {
	rest    []byte // the part of the record that is not read yet
	invalid bool
}

// readString reads a string with its length.
func (r *recordReader) readString() string { return string(r.readBytes()) }

// readBytes reads a string with its length, and returns it as a part of the record.
func (r *recordReader) readBytes() []byte {
	n, used := binary.Uvarint(r.rest)
	if used <= 0 || n > uint64(len(r.rest)-used) {
		r.invalid = true
		return nil
	}
	text := r.rest[used : used+int(n)]
	r.rest = r.rest[used+int(n):]
	return text
}

// readNumber reads a signed varint.
func (r *recordReader) readNumber() int64 {
	v, used := binary.Varint(r.rest)
	if used <= 0 {
		r.invalid = true
		return 0
	}
	r.rest = r.rest[used:]
	return v
}
