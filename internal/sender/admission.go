package sender

// This file admits messages: it owns the table of pending messages, what a turn writes to the journal, and the answers
// that wait for that. No +OK is answered before the message's record is written, no id gets two records, and no message
// that has ended is accepted again.

import (
	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/journal"
	"flaxcove/internal/resp"
)

const (
	// The journal is rewritten before it fills rewriteThreshold of the disk, into a file of the pending messages, which
	// may take maxLiveShare; while both files exist both count. The gap between the two shares keeps rewritings rare.
	rewriteThreshold = 0.58
	maxLiveShare     = 0.38
	// laterRecordBytes bounds the later records of one message.
	laterRecordBytes = 3 * (maxID + 64)
	// maxRememberedEnded bounds the ids of ended messages that are remembered, so that one that is submitted once more
	// does not run again. At three times the usual rate that is longer than a message may be pending.
	maxRememberedEnded = 8192
	// maxEndedInOrder bounds the ended messages in admission.accepted, beside as many as are pending.
	maxEndedInOrder = 1024
)

// admission is the part of a Sender that holds its messages and its journal.
type admission struct {
	journal        *journal.Journal
	pending        map[choice.MessageID]*message
	accepted       []*message  // pending ones in the order accepted, with ended ones among them until a rewriting
	admitted       []*message  // of this turn
	liveBytes      int64       // what a rewriting would keep, at most
	reservedBytes  int64       // what this turn's messages will add to that
	latestRecorded choice.Time // latest time of the records read so far, while the journal is replayed
	zoneUnnamed    []*message  // replayed with a record that has a zone's number alone, until its name is written

	recentlyEnded map[choice.MessageID]struct{} // accepted and ended
	endedRing     []choice.MessageID            // the same ids; the oldest gives way to the newest
	endedNext     int                           // the oldest of a full ring
}

func (a *admission) rememberEnded(id choice.MessageID) {
	if _, known := a.recentlyEnded[id]; known {
		return
	}
	if len(a.endedRing) < maxRememberedEnded {
		a.endedRing = append(a.endedRing, id)
	} else {
		delete(a.recentlyEnded, a.endedRing[a.endedNext])
		a.endedRing[a.endedNext] = id
		a.endedNext = (a.endedNext + 1) % maxRememberedEnded
	}
	a.recentlyEnded[id] = struct{}{}
}

// hasJournalCapacity reports whether the journal can hold one more message together with its later records. What was
// admitted in the same turn counts: a burst beyond the limit could not be written at all, and no client would be answered.
func (s *Sender) hasJournalCapacity(m *message) bool {
	return s.liveBytes+s.reservedBytes+m.size+laterRecordBytes <= int64(maxLiveShare*float64(s.journal.Limit()))
}

// admit makes a message pending. Its client is answered at the end of the turn.
func (s *Sender) admit(m *message) {
	s.pending[m.ID] = m
	s.admitted = append(s.admitted, m)
	s.reservedBytes += m.size + laterRecordBytes
}

// commit writes the records of the turn, and reports whether answers, reports and calls may be sent.
func (s *Sender) commit() bool {
	s.recordAdmitted()
	s.recordCalls()
	if err := s.writeJournal(); err != nil {
		s.log.Error("journal", zap.Error(err))
		return false
	}
	return true
}

// recordAdmitted adds the records of the turn's messages, but for those that have ended already.
func (s *Sender) recordAdmitted() {
	for _, m := range s.admitted {
		if m.reply != nil && !m.journaled {
			m.journaled = true
			s.journal.Add(m.acceptedRecord())
			s.accepted = append(s.accepted, m)
			s.liveBytes += m.size + laterRecordBytes
		}
	}
	s.reservedBytes = 0
}

// recordCalls adds the records of calls that may be sent after this commit: on idle links, or on new ones.
func (s *Sender) recordCalls() {
	for _, c := range s.starting {
		if len(c.endpoint.idle) > 0 {
			s.recordAttempt(c)
		}
	}
	for _, connected := range s.connected {
		s.recordAttempt(connected.call)
	}
}

// recordAttempt adds a record that a call may have run, for each message where that matters.
func (s *Sender) recordAttempt(c *call) {
	c.recorded = true
	for _, m := range c.messages {
		if s.limitsRepeat(m) && !m.attemptOnRecord && m.inFlight == c {
			m.attemptOnRecord = true
			s.journal.Add(attemptRecord(m.ID, c.beganAt, c.endpoint.zone, c.endpoint.zoneName))
		}
	}
}

// limitsRepeat reports whether an attempt forbids or limits another one, or holds up the next message of its key.
func (s *Sender) limitsRepeat(m *message) bool {
	class := &s.cfg.Settings.Classes[m.Class]
	return class.Repeat != choice.Idempotent || class.Ordered && m.Key != choice.NoKey
}

// writeJournal writes the added records, or the whole file anew where it has grown too large.
func (s *Sender) writeJournal() error {
	if len(s.accepted) > 2*len(s.pending)+maxEndedInOrder { // on a large disk a rewriting may be long in coming
		s.accepted = withoutEnded(s.accepted)
	}
	if s.journal.Size() <= int64(rewriteThreshold*float64(s.journal.Limit())) {
		return s.journal.Flush()
	}
	s.accepted = withoutEnded(s.accepted)
	s.counts.rewritings++
	return s.journal.Rewrite(s.records)
}

// withoutEnded removes closed messages from a list, in place.
func withoutEnded(order []*message) []*message {
	open := order[:0]
	for _, m := range order {
		if m.ending.kind != endClosed {
			open = append(open, m)
		}
	}
	clear(order[len(open):])
	return open
}

// answerAdmitted answers the clients whose messages are on record now.
func (s *Sender) answerAdmitted() {
	for _, m := range s.admitted {
		if m.reply != nil {
			s.counts.accepted++
			s.countSubmission(m)
			r := m.reply
			m.reply = nil
			s.setReply(r, resp.AppendSimple(nil, "OK"))
		}
	}
	clear(s.admitted)
	s.admitted = s.admitted[:0]
}
