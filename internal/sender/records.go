package sender

// This file owns the format of the journal's records. What an older version wrote must stay readable.

import (
	"encoding/binary"

	"flaxcove/choice"
)

// Kinds of record, each the first byte of one. The id follows it in all but recPurge and recClock.
const (
	recAccepted = 'T' // the message, with its deadline by the wall clock, and how long before that it was accepted
	recAttempt  = 'O' // an attempt that may run: when, and in which zone, by number (older records end there) and name
	recNotRun   = 'B' // it is proven that no attempt has run
	recEnding   = 'E' // an ending that is to be reported to the platform
	recClosed   = 'X' // nothing more is to be done for the message
	recPurge    = 'P' // a purge was applied: its Seq, and what it found
	recClock    = 'C' // the wall clock was put back: by how much, at least; times of the records before are earlier
)

func appendString(out []byte, text string) []byte {
	return append(binary.AppendUvarint(out, uint64(len(text))), text...)
}

// idRecord is a record of nothing but an id, or the begin of a longer one.
func idRecord(kind byte, id choice.MessageID) []byte { return appendString([]byte{kind}, string(id)) }

func (m *message) acceptedRecord() []byte {
	out := idRecord(recAccepted, m.ID)
	out = appendString(out, m.key)
	out = appendString(out, m.className)
	out = binary.AppendVarint(out, int64(m.Deadline))
	out = binary.AppendVarint(out, int64(m.Destination))
	out = appendString(out, string(m.body))
	if m.acceptedAt == 0 {
		return out // as records of the oldest versions
	}
	out = binary.AppendVarint(out, int64(m.Deadline-m.acceptedAt))
	if m.idempotencyKey == "" && m.tenant == "" {
		return out
	}
	out = appendString(out, m.idempotencyKey) // older versions ignore what follows
	return appendString(out, m.tenant)
}

func attemptRecord(id choice.MessageID, at choice.Time, zone choice.ZoneNo, name string) []byte {
	out := idRecord(recAttempt, id)
	out = binary.AppendVarint(out, int64(at))
	out = binary.AppendVarint(out, int64(zone))
	return appendString(out, name)
}

func endRecord(id choice.MessageID, how ending) []byte {
	return binary.AppendVarint(append(idRecord(recEnding, id), byte(how.kind)), how.retryMS)
}

func clockRecord(back choice.Time) []byte { return binary.AppendVarint([]byte{recClock}, int64(back)) }

// records are all that a rewriting keeps.
func (s *Sender) records(add func([]byte)) {
	for _, m := range s.accepted {
		m.records(add)
	}
	for _, p := range s.past {
		add(p.record())
	}
}

// records are all that a rewriting keeps of a message.
func (m *message) records(add func([]byte)) {
	add(m.acceptedRecord())
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

// recordReader reads the parts of a record in order. A part that cannot be read is zero, and marks the record invalid.
type recordReader struct {
	rest    []byte
	invalid bool
}

func (r *recordReader) readString() string {
	n, used := binary.Uvarint(r.rest)
	if used <= 0 || n > uint64(len(r.rest)-used) {
		r.invalid = true
		return ""
	}
	text := string(r.rest[used : used+int(n)])
	r.rest = r.rest[used+int(n):]
	return text
}

func (r *recordReader) readNumber() int64 {
	v, used := binary.Varint(r.rest)
	if used <= 0 {
		r.invalid = true
		return 0
	}
	r.rest = r.rest[used:]
	return v
}
