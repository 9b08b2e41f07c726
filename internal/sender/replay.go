package sender

// This file replays: it owns the start from the journal of an earlier process. It must never fail on a record that
// cannot be read, nor go on where messages would be lost.

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/journal"
)

// openJournal rebuilds what an earlier process owed, in the order it was taken on.
func (s *Sender) openJournal() (unfinished []*message, err error) {
	s.pending, s.admission.recentlyEnded = map[choice.MessageID]*message{}, map[choice.MessageID]struct{}{}
	unknownClasses := map[string]int{}
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
		j.Add(clockRecord(back)) // what is written from here on tells the new clock's times
	}
	for _, n := range s.accepted {
		s.liveBytes += n.size + laterRecordBytes
		if n.ending.kind != endNone {
			s.endings = append(s.endings, n)
		} else if _, known := s.cfg.ClassNumbers[n.className]; !known {
			unknownClasses[n.className]++
		} else {
			if n.Span = s.cfg.Settings.Classes[n.Class].Deadline; n.acceptedAt != 0 {
				n.Span = max(1, n.Deadline-n.acceptedAt)
			}
			unfinished = append(unfinished, n)
		}
	}
	for _, className := range slices.Sorted(maps.Keys(unknownClasses)) {
		// To go on would lose them: nothing is known of what may be repeated, or of how long.
		return nil, errors.Join(fmt.Errorf("field state: %s owes %d notices of workload %q, which field settings.classes does not name; "+
			"end them under the settings that they came with", s.cfg.State, unknownClasses[className], className), j.Close())
	}
	for _, n := range s.zoneUnnamed {
		if n.MayRun && s.pending[n.ID] == n {
			j.Add(attemptRecord(n.ID, n.RanAt, n.RanIn, n.ranInZoneName))
		}
	}
	s.zoneUnnamed = nil
	if err := j.Flush(); err != nil {
		return nil, errors.Join(err, j.Close())
	}
	s.counts.replayed = int64(len(s.accepted))
	s.log.Info("journal open", zap.Int("owed", len(s.accepted)), zap.Int64("bytes", j.Size()), zap.Int64("dropped", dropped))
	return unfinished, nil
}

// replayRecord takes one record. One that cannot be read, or speaks of an unknown id, is passed over.
func (s *Sender) replayRecord(record []byte) {
	if record[0] == recPurge {
		if p, whole := readPurged(record); whole {
			s.rememberPurge(p)
			s.applied.Store(s.seq)
		}
		return
	}
	p := recordReader{rest: record[1:]}
	if record[0] == recClock {
		if back := choice.Time(p.number()); !p.invalid && back > 0 {
			s.shiftBack(back)
		}
		return
	}
	id := choice.MessageID(p.string())
	n := s.pending[id]
	if record[0] == recAccepted && n == nil {
		n = &message{journaled: true, size: journal.Framed(len(record))}
		n.ID, n.key, n.className = id, p.string(), p.string()
		n.Deadline, n.Destination = choice.Time(p.number()), choice.DestinationID(p.number())
		n.body = []byte(p.string())
		if !p.invalid && len(p.rest) > 0 {
			n.acceptedAt = n.Deadline - choice.Time(p.number())
			if len(p.rest) > 0 {
				n.idempotencyKey, n.tenant = p.string(), p.string()
			}
		}
		n.Class = s.cfg.ClassNumbers[n.className] // an unknown one has the start refused, unless it is over
		if p.invalid {
			s.log.Warn("journal: a notice cannot be read", zap.String("id", string(id)), zap.String("workload", n.className))
			return
		}
		n.Key, n.Account = orderKey(n.key), s.account(n.tenant)
		s.latestRecorded = max(s.latestRecorded, n.acceptedAt)
		s.pending[id] = n
		s.accepted = append(s.accepted, n)
	}
	if n == nil || p.invalid {
		return
	}
	switch record[0] {
	case recAttempt:
		n.attemptOnRecord, n.MayRun = true, true
		n.RanAt, n.RanIn = choice.Time(p.number()), choice.ZoneNo(p.number())
		s.latestRecorded = max(s.latestRecorded, n.RanAt)
		if len(p.rest) > 0 {
			n.ranInZoneName = p.string()
			n.RanIn = s.numbering.Zone(n.ranInZoneName)
		} else {
			// Of before names were written, and so of these settings.
			for name, no := range s.cfg.Zones {
				if no == n.RanIn {
					n.ranInZoneName = name
				}
			}
			s.zoneUnnamed = append(s.zoneUnnamed, n)
		}
	case recNotRun:
		n.attemptOnRecord, n.MayRun = false, false
	case recEnding:
		if len(p.rest) > 0 {
			what := p.rest[0]
			p.rest = p.rest[1:]
			n.ending = ending{kind: endKind(what), retryMS: p.number()}
		}
	case recClosed:
		n.ending.kind = endClosed
		delete(s.pending, id)
		s.rememberEnded(id)
	}
}

// shiftBack has all that was read so far count by a wall clock that was put back by so much, at least: a record tells of a
// later time than now. Nobody gets more time than it was taken on with, and none counts as taken on later than now. How
// long ago a call began is not known any more: the window for its repeats may be over, and counts as over.
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
