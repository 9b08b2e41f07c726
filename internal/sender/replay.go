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
	j, dropped, err := journal.Open(s.cfg.StateDir, limit, s.replayRecord)
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
	for _, m := range s.accepted {
		s.liveBytes += m.size + laterRecordBytes
		if m.ending.kind != endNone {
			s.endings = append(s.endings, m)
			continue
		}
		if _, known := s.cfg.ClassNumbers[m.className]; !known {
			unknownClasses[m.className]++
			continue
		}
		m.Span = s.cfg.Settings.Classes[m.Class].Deadline
		if m.acceptedAt != 0 {
			m.Span = max(1, m.Deadline-m.acceptedAt)
		}
		unfinished = append(unfinished, m)
	}
	for _, className := range slices.Sorted(maps.Keys(unknownClasses)) {
		return nil, fmt.Errorf("field state: %s owes %d notices of workload %q, which field settings.classes does not name; "+
			"end them under the settings that they came with", s.cfg.StateDir, unknownClasses[className], className)
	}
	return unfinished, nil
}

// recordZoneNames writes the names of zones to the journal that older records have by number alone.
func (s *Sender) recordZoneNames() {
	for _, m := range s.zoneUnnamed {
		if m.MayRun && s.pending[m.ID] == m {
			s.journal.Add(attemptRecord(m.ID, m.RanAt, m.RanIn, m.ranInZoneName))
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
		m := s.pending[id]
		if kind == recAccepted && m == nil {
			s.replayAccepted(id, &r, len(record))
		} else if m != nil && !r.invalid {
			s.replayLater(kind, m, &r)
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
	m := &message{journaled: true, size: journal.Framed(bytes)}
	m.ID, m.key, m.className = id, r.readString(), r.readString()
	m.Deadline, m.Destination = choice.Time(r.readNumber()), choice.DestinationID(r.readNumber())
	m.body = []byte(r.readString())
	if !r.invalid && len(r.rest) > 0 { // the oldest records end here
		m.acceptedAt = m.Deadline - choice.Time(r.readNumber())
		if len(r.rest) > 0 { // those of messages without key and tenant here
			m.idempotencyKey, m.tenant = r.readString(), r.readString()
		}
	}
	if r.invalid {
		s.log.Warn("journal: a message cannot be read", zap.String("id", string(id)), zap.String("workload", m.className))
		return
	}
	m.Class = s.cfg.ClassNumbers[m.className] // sortReplayed looks for unknown ones
	m.Key, m.Account = orderKey(m.key), s.account(m.tenant)
	s.latestRecorded = max(s.latestRecorded, m.acceptedAt)
	s.pending[id] = m
	s.accepted = append(s.accepted, m)
}

// replayLater applies a later record of a message.
func (s *Sender) replayLater(kind byte, m *message, r *recordReader) {
	switch kind {
	case recAttempt:
		s.replayAttempt(m, r)
	case recNotRun:
		m.attemptOnRecord, m.MayRun = false, false
	case recEnding:
		if len(r.rest) > 0 {
			kind := endKind(r.rest[0])
			r.rest = r.rest[1:]
			m.ending = ending{kind: kind, retryMS: r.readNumber()}
		}
	case recClosed:
		m.ending.kind = endClosed
		delete(s.pending, m.ID)
		s.rememberEnded(m.ID)
	}
}

func (s *Sender) replayAttempt(m *message, r *recordReader) {
	m.attemptOnRecord, m.MayRun = true, true
	m.RanAt, m.RanIn = choice.Time(r.readNumber()), choice.ZoneNo(r.readNumber())
	s.latestRecorded = max(s.latestRecorded, m.RanAt)
	if len(r.rest) > 0 {
		m.ranInZoneName = r.readString()
		m.RanIn = s.numbering.Zone(m.ranInZoneName)
		return
	}
	// The record is older than names in records, so that its number is that of the present settings.
	for name, no := range s.cfg.Zones {
		if no == m.RanIn {
			m.ranInZoneName = name
		}
	}
	s.zoneUnnamed = append(s.zoneUnnamed, m)
}

// shiftBack makes all that was read so far count by a wall clock that was put back by so much, at least: a record has a
// later time than now. No message gets more time than it was accepted with, and none counts as accepted later than now.
// How long ago an attempt began is not known any more, so the window for its repeats counts as over.
func (s *Sender) shiftBack(back choice.Time) {
	for _, m := range s.accepted {
		m.Deadline -= back
		if m.acceptedAt != 0 {
			m.acceptedAt -= back
		}
		m.RanAt = 0
	}
	s.latestRecorded = 0
}
