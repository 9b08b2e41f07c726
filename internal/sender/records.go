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

func (n *message) acceptedRecord() []byte {
	out := idRecord(recAccepted, n.ID)
	out = appendString(out, n.key)
	out = appendString(out, n.className)
	out = binary.AppendVarint(out, int64(n.Deadline))
	out = binary.AppendVarint(out, int64(n.Destination))
	out = appendString(out, string(n.body))
	if n.acceptedAt == 0 {
		return out // as records of the oldest versions
	}
	out = binary.AppendVarint(out, int64(n.Deadline-n.acceptedAt))
	if n.idempotencyKey == "" && n.tenant == "" {
		return out
	}
	out = appendString(out, n.idempotencyKey) // older versions ignore what follows
	return appendString(out, n.tenant)
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
	for _, n := range s.accepted {
		n.records(add)
	}
	for _, p := range s.past {
		add(p.record())
	}
}

// records are all that a rewriting keeps of a message.
func (n *message) records(add func([]byte)) {
	add(n.acceptedRecord())
	if n.attemptOnRecord && n.MayRun {
		add(attemptRecord(n.ID, n.RanAt, n.RanIn, n.ranInZoneName))
	} else if n.attemptOnRecord && n.inFlight != nil {
		add(attemptRecord(n.ID, n.inFlight.beganAt, n.inFlight.endpoint.zone, n.inFlight.endpoint.zoneName))
	}
	if n.ending.kind != endNone {
		add(endRecord(n.ID, n.ending))
	} else if n.withdrawn {
		add(endRecord(n.ID, ending{kind: endFailed}))
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
