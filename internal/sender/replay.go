package sender

// This file restores the pending messages from the journal of an earlier process. A record that cannot be read does not make
// the start fail. The start fails if messages would be lost because their class is unknown.

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/journal"
)

// openJournal opens and replays the journal. It returns the messages that have not ended, in the order of their acceptance.
func (s *Sender) openJournal() (unfinished []*message, err error) {
	s.pending = map[choice.MessageID]*message{}
	s.recentlyEnded.init(s.holders.rememberedBytes)
	limit := int64(s.cfg.Limits.DiskMB * 1e6)
	j, dropped, err := journal.Open(s.cfg.StateDir, limit, s.replayRecord)
	if err != nil {
		return nil, err
	}
	s.journal = j
	s.accepted = withoutEnded(s.accepted)
	for _, m := range s.accepted {
		s.addMessageMemory(m)
	}
	if back := s.latestRecorded - s.Now(); back > 0 {
		s.log.Warn("the wall clock was put back; the times in the journal records are shifted back", zap.Float64("seconds", float64(back)/float64(choice.Second)))
		s.shiftBack(back)
		j.Add(clockRecord(back)) // the records after this one have times of the new clock
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
	s.log.Info("journal opened", zap.Int("owed", len(s.accepted)), zap.Int64("bytes", j.Size()), zap.Int64("dropped", dropped))
	return unfinished, nil
}

// sortReplayed adds the replayed messages that have ended to the endings to report, and returns the unfinished ones. It
// fails if the settings do not name the class of an unfinished message, because the message's deadline and the effect of a
// repeat would then be unknown and the message would be lost.
func (s *Sender) sortReplayed() (unfinished []*message, err error) {
	unknownClasses := map[string]int{}
	for _, m := range s.accepted {
		s.liveBytes += m.size + maxLaterRecordBytes
		if m.ending.kind != endNone {
			s.endings = append(s.endings, m)
			continue
		}
		if _, known := s.cfg.ClassNumbers[m.className]; !known {
			unknownClasses[m.className]++
			continue
		}
		m.AcceptedLifetime = s.cfg.Settings.Classes[m.Class].Deadline
		if m.acceptedAt != 0 {
			m.AcceptedLifetime = max(1, m.Deadline-m.acceptedAt)
		}
		unfinished = append(unfinished, m)
	}
	for _, className := range slices.Sorted(maps.Keys(unknownClasses)) {
		return nil, fmt.Errorf("field state: %s holds %d unfinished messages of workload %q, which field settings.classes does not name; "+
			"run the process with the settings under which they were accepted until they have ended", s.cfg.StateDir, unknownClasses[className], className)
	}
	return unfinished, nil
}

// recordZoneNames adds attempt records with the name of the zone for the messages whose attempt record has only its number.
func (s *Sender) recordZoneNames() {
	for _, m := range s.missingZoneName {
		if m.MayRun && s.pending[m.ID] == m {
			s.journal.Add(attemptRecord(m.ID, m.RanAt, m.RanIn, m.ranInZoneName))
		}
	}
	s.missingZoneName = nil
}

// replayRecord applies one record of the journal. It ignores a record that cannot be read or that names an unknown id.
func (s *Sender) replayRecord(record []byte, at int64) {
	s.proven.hasPredecessor = true
	r := recordReader{rest: record[1:]}
	switch kind := record[0]; kind {
	case recPurge:
		s.replayPurge(record)
	case recEnded:
		s.recentlyEnded.replay(record[1:])
	case recClock:
		if back := choice.Time(r.readNumber()); !r.invalid && back > 0 {
			s.shiftBack(back)
		}
	default:
		id := choice.MessageID(r.readString())
		m := s.pending[id]
		if kind == recAccepted && m == nil {
			s.replayAccepted(id, &r, len(record), at)
		} else if m != nil && !r.invalid {
			s.replayLater(kind, m, &r)
		}
	}
}

// replayPurge remembers the result of a purge from its record.
func (s *Sender) replayPurge(record []byte) {
	if p, complete := readPurged(record); complete {
		s.rememberPurge(p)
		s.durableSeq.Store(s.appliedSeq)
	}
}

// replayAccepted makes a message pending from its accepted record, which has the given size in bytes and the given position
// in the file. The body stays in the file.
func (s *Sender) replayAccepted(id choice.MessageID, r *recordReader, bytes int, at int64) {
	m := &message{journaled: true, size: journal.FramedSize(bytes)}
	m.ID, m.key, m.className = id, r.readString(), r.readString()
	m.Deadline, m.Destination = choice.Time(r.readNumber()), choice.DestinationID(r.readNumber())
	body := r.readBytes()
	m.stored = storedBody{at: at + int64(bytes-len(r.rest)-len(body)), size: len(body)}
	if !r.invalid && len(r.rest) > 0 { // the oldest records end here
		m.acceptedAt = m.Deadline - choice.Time(r.readNumber())
		if len(r.rest) > 0 { // records of messages without idempotency key and tenant end here
			m.idempotencyKey, m.tenant = r.readString(), r.readString()
		}
	}
	if r.invalid {
		s.log.Warn("cannot read the journal record of an accepted message; the record is ignored", zap.String("id", string(id)), zap.String("workload", m.className))
		return
	}
	m.Class = s.cfg.ClassNumbers[m.className] // 0 for an unknown class, which sortReplayed rejects
	m.Key, m.Account = orderKey(m.key), s.account(m.tenant)
	m.BulkBytes = m.bulkBytes()
	s.latestRecorded = max(s.latestRecorded, m.acceptedAt)
	s.pending[id] = m
	s.accepted = append(s.accepted, m)
	s.forgetClosed()
}

// replayLater applies a record of a message that is pending already.
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
		if m.ending.kind == endNone {
			s.noteReplayedDelivery(m)
		}
		m.ending.kind = endClosed
		delete(s.pending, m.ID)
		s.recentlyEnded.remember(m.ID)
	}
}

// replayAttempt applies an attempt record: the message may have run.
func (s *Sender) replayAttempt(m *message, r *recordReader) {
	m.attemptOnRecord, m.MayRun = true, true
	m.RanAt, m.RanIn = choice.Time(r.readNumber()), choice.ZoneNo(r.readNumber())
	s.latestRecorded = max(s.latestRecorded, m.RanAt)
	if len(r.rest) > 0 {
		m.ranInZoneName = r.readString()
		m.RanIn = s.numbering.Zone(m.ranInZoneName)
		return
	}
	// This is an old record, which has no zone name. Its number is taken for one of the present settings; the name is
	// recorded by recordZoneNames, so that later changes of the settings do not matter.
	for name, no := range s.cfg.ZoneNumbers {
		if no == m.RanIn {
			m.ranInZoneName = name
		}
	}
	s.missingZoneName = append(s.missingZoneName, m)
}

// shiftBack reduces the times of all messages read so far by back, because the wall clock was put back by at least that
// time: otherwise a record would be later than now. No message gets more time than it had when it was accepted, and none
// counts as accepted later than now. How long ago an attempt began is then unknown, so its window for repeats counts as
// over.
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
