package sender

// This file owns the journal's records: their kinds, and how each is written and read. It decides nothing. What an
// older process wrote must stay readable.

import (
	"encoding/binary"

	"flaxcove/choice"
)

// Kinds of record. All but two hold the id; what else they hold stands beside them.
const (
	recAccepted = 'T' // all that was handed in, the deadline by the wall clock, and how long before it was taken on
	recAttempt  = 'O' // an attempt that may run: when, and to which zone, by number (all that older records have) and name
	recNotRun   = 'B' // it is proven that none has run
	recEnding   = 'E' // what the platform is still to be told
	recClosed   = 'X' // nothing more is owed
	recPurge    = 'P' // a purge was applied: its Seq, and what it found; holds no id
	recClock    = 'C' // the wall clock was put back: by how much, at least, what was told before it is earlier; no id
)

func appendString(out []byte, text string) []byte {
	return append(binary.AppendUvarint(out, uint64(len(text))), text...)
}

func (n *message) acceptedRecord() []byte {
	out := appendString([]byte{recAccepted}, string(n.ID))
	out = appendString(appendString(out, n.key), n.className)
	out = binary.AppendVarint(binary.AppendVarint(out, int64(n.Deadline)), int64(n.Destination))
	out = appendString(out, string(n.body))
	if n.acceptedAt != 0 {
		out = binary.AppendVarint(out, int64(n.Deadline-n.acceptedAt)) // records of older processes end before it
		if n.idempotencyKey != "" || n.tenant != "" {
			out = appendString(appendString(out, n.idempotencyKey), n.tenant) // or here; older ones pass this over
		}
	}
	return out
}

func attemptRecord(id choice.MessageID, at choice.Time, zone choice.ZoneNo, name string) []byte {
	return appendString(binary.AppendVarint(binary.AppendVarint(idRecord(recAttempt, id), int64(at)), int64(zone)), name)
}

func idRecord(kind byte, id choice.MessageID) []byte { return appendString([]byte{kind}, string(id)) }

func clockRecord(back choice.Time) []byte { return binary.AppendVarint([]byte{recClock}, int64(back)) }

func endingRecord(n *message) []byte { return endRecord(n.ID, n.ending) }

func endRecord(id choice.MessageID, how ending) []byte {
	return binary.AppendVarint(append(idRecord(recEnding, id), byte(how.kind)), how.retryMS)
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
		add(endingRecord(n))
	} else if n.withdrawn {
		add(endRecord(n.ID, ending{kind: endFailed}))
	}
}

// records are all that a rewriting keeps.
func (s *Sender) records(add func([]byte)) {
	for _, n := range s.accepted {
		n.records(add)
	}
	for _, p := range s.past {
		add(p.record())
	}
}

// recordReader reads a record's parts in order.
type recordReader struct {
	rest    []byte
	invalid bool
}

func (f *recordReader) string() string {
	n, used := binary.Uvarint(f.rest)
	if used <= 0 || n > uint64(len(f.rest)-used) {
		f.invalid = true
		return ""
	}
	text := string(f.rest[used : used+int(n)])
	f.rest = f.rest[used+int(n):]
	return text
}

func (f *recordReader) number() int64 {
	v, used := binary.Varint(f.rest)
	if used <= 0 {
		f.invalid = true
		return 0
	}
	f.rest = f.rest[used:]
	return v
}
