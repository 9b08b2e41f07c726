package sender

// This file rebuilds the pending messages from the journal of an earlier process. A record that cannot be read never
// keeps the start from happening, and the start fails where messages would be lost.

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/journal"
)

// openJournal replays the journal and returns the messages to go on with, in the order they were accepted.
func (s *Sender) openJournal() (unfinished []*message, err error) {
	s.pending, s.recentlyEnded = map[choice.MessageID]*message{}, map[choice.MessageID]struct{}{}
	limit := int64(s.cfg.Limits.DiskMB * 1e6)
	j, dropped, err := journal.Open(s.cfg.State, limit, s.replayRecord)
	if err != nil {
		return nil, err
	}
	s.journal = j
	s.accepted = withoutEnded(s.accepted)
	if back := s.latestRecorded - s.Now(); back > 0 {
		s.log.Warn("journal: the wall clock was put back", zap.Float64("seconds", float64(back)/float64(choice.Second)))
		s.shiftBack(back)
		j.Add(clockRecord(back)) // records from here on have the new clock's times
	}
	unfinished, err = s.sortReplayed()
	if err == nil {
		s.recordZoneNames()
		err = j.Flush()
	}
	if err != nil {
		return nil, errors.Join(err, j.Close())
	}
	s.counts.replayed = int64(len(s.accepted))
	s.log.Info("journal open", zap.Int("owed", len(s.accepted)), zap.Int64("bytes", j.Size()), zap.Int64("dropped", dropped))
	return unfinished, nil
}

// sortReplayed tells replayed messages whose end is to be reported from those that are unfinished. It fails where the
// settings do not name the class of an unfinished one: nothing would be known of how long it may take and of what a repeat
// does, so that going on would lose it.
func (s *Sender) sortReplayed() (unfinished []*message, err error) {
	unknownClasses := map[string]int{}
	for _, n := range s.accepted {
		s.liveBytes += n.size + laterRecordBytes
		if n.ending.kind != endNone {
			s.endings = append(s.endings, n)
			continue
		}
		if _, known := s.cfg.ClassNumbers[n.className]; !known {
			unknownClasses[n.className]++
			continue
		}
		n.Span = s.cfg.Settings.Classes[n.Class].Deadline
		if n.acceptedAt != 0 {
			n.Span = max(1, n.Deadline-n.acceptedAt)
		}
		unfinished = append(unfinished, n)
	}
	for _, className := range slices.Sorted(maps.Keys(unknownClasses)) {
		return nil, fmt.Errorf("field state: %s owes %d notices of workload %q, which field settings.classes does not name; "+
			"end them under the settings that they came with", s.cfg.State, unknownClasses[className], className)
	}
	return unfinished, nil
}

// recordZoneNames writes the names of zones to the journal that older records have by number alone.
func (s *Sender) recordZoneNames() {
	for _, n := range s.zoneUnnamed {
		if n.MayRun && s.pending[n.ID] == n {
			s.journal.Add(attemptRecord(n.ID, n.RanAt, n.RanIn, n.ranInZoneName))
		}
	}
	s.zoneUnnamed = nil
}

// replayRecord applies one record. One that cannot be read, or names an unknown id, is ignored.
func (s *Sender) replayRecord(record []byte) {
	r := recordReader{rest: record[1:]}
	switch kind := record[0]; kind {
	case recPurge:
		s.replayPurge(record)
	case recClock:
		if back := choice.Time(r.readNumber()); !r.invalid && back > 0 {
			s.shiftBack(back)
		}
	default:
		id := choice.MessageID(r.readString())
		n := s.pending[id]
		if kind == recAccepted && n == nil {
			s.replayAccepted(id, &r, len(record))
		} else if n != nil && !r.invalid {
			s.replayLater(kind, n, &r)
		}
	}
}

func (s *Sender) replayPurge(record []byte) {
	if p, complete := readPurged(record); complete {
		s.rememberPurge(p)
		s.applied.Store(s.seq)
	}
}

// replayAccepted makes a message pending again.
func (s *Sender) replayAccepted(id choice.MessageID, r *recordReader, bytes int) {
	n := &message{journaled: true, size: journal.Framed(bytes)}
	n.ID, n.key, n.className = id, r.readString(), r.readString()
	n.Deadline, n.Destination = choice.Time(r.readNumber()), choice.DestinationID(r.readNumber())
	n.body = []byte(r.readString())
	if !r.invalid && len(r.rest) > 0 { // the oldest records end here
		n.acceptedAt = n.Deadline - choice.Time(r.readNumber())
		if len(r.rest) > 0 { // those of messages without key and tenant here
			n.idempotencyKey, n.tenant = r.readString(), r.readString()
		}
	}
	if r.invalid {
		s.log.Warn("journal: a message cannot be read", zap.String("id", string(id)), zap.String("workload", n.className))
		return
	}
	n.Class = s.cfg.ClassNumbers[n.className] // sortReplayed looks for unknown ones
	n.Key, n.Account = orderKey(n.key), s.account(n.tenant)
	s.latestRecorded = max(s.latestRecorded, n.acceptedAt)
	s.pending[id] = n
	s.accepted = append(s.accepted, n)
}

// replayLater applies a later record of a message.
func (s *Sender) replayLater(kind byte, n *message, r *recordReader) {
	switch kind {
	case recAttempt:
		s.replayAttempt(n, r)
	case recNotRun:
		n.attemptOnRecord, n.MayRun = false, false
	case recEnding:
		if len(r.rest) > 0 {
			kind := endKind(r.rest[0])
			r.rest = r.rest[1:]
			n.ending = ending{kind: kind, retryMS: r.readNumber()}
		}
	case recClosed:
		n.ending.kind = endClosed
		delete(s.pending, n.ID)
		s.rememberEnded(n.ID)
	}
}

func (s *Sender) replayAttempt(n *message, r *recordReader) {
	n.attemptOnRecord, n.MayRun = true, true
	n.RanAt, n.RanIn = choice.Time(r.readNumber()), choice.ZoneNo(r.readNumber())
	s.latestRecorded = max(s.latestRecorded, n.RanAt)
	if len(r.rest) > 0 {
		n.ranInZoneName = r.readString()
		n.RanIn = s.numbering.Zone(n.ranInZoneName)
		return
	}
	// The record is older than names in records, so that its number is that of the present settings.
	for name, no := range s.cfg.Zones {
		if no == n.RanIn {
			n.ranInZoneName = name
		}
	}
	s.zoneUnnamed = append(s.zoneUnnamed, n)
}

// shiftBack makes all that was read so far count by a wall clock that was put back by so much, at least: a record has a
// later time than now. No message gets more time than it was accepted with, and none counts as accepted later than now.
// How long ago an attempt began is not known any more, so the window for its repeats counts as over.
func (s *Sender) shiftBack(back choice.Time) {
	for _, n := range s.accepted {
		n.Deadline -= back
		if n.acceptedAt != 0 {
			n.acceptedAt -= back
		}
		n.RanAt = 0
	}
	s.latestRecorded = 0
}
