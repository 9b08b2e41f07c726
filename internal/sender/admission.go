package sender

// This file admits messages. It owns the table of pending messages, the records that a turn writes to the journal, and the
// answers that wait for this write. +OK is sent only after the message's record is written, an id gets at most one accepted
// record, and a message that has ended is never accepted again.

import (
	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/journal"
	"flaxcove/internal/resp"
)

const (
	// rewriteThreshold and maxLiveShare are fractions of the journal's size limit. A journal larger than rewriteThreshold
	// is rewritten into a new file that holds the pending messages and is no larger than maxLiveShare. The sum of the two
	// is below 1 because both files exist during a rewrite. The gap between them keeps rewrites rare.
	rewriteThreshold = 0.58
	maxLiveShare     = 0.38
	// maxLaterRecordBytes is the maximum size in bytes of all records of one message after its accepted record.
	maxLaterRecordBytes = 3 * (maxID + 64)
	// maxEndedInAccepted is the maximum number of ended messages in admission.accepted beyond the number of pending messages.
	maxEndedInAccepted = 1024
)

// admission is the part of a Sender that holds its messages and its journal. The loop owns it.
type admission struct {
	journal         *journal.Journal
	pending         map[choice.MessageID]*message
	departed        resourceUse // of messages whose client has left
	accepted        []*message  // pending messages in the order of acceptance; ended ones are removed from time to time
	admitted        []*message  // messages admitted in this turn
	liveBytes       int64       // upper bound of the size of the journal after a rewrite
	reservedBytes   int64       // bytes that the messages admitted in this turn will add to liveBytes
	latestRecorded  choice.Time // latest time in the records read so far, while the journal is replayed
	missingZoneName []*message  // replayed messages whose attempt record has a zone number only, until the name is recorded

	recentlyEnded endedIDs // messages that were accepted and have ended
}

// admit makes m pending. Its client is answered at the end of the turn, when its record is written.
func (s *Sender) admit(m *message) {
	s.pending[m.ID] = m
	s.admitted = append(s.admitted, m)
	s.reservedBytes += m.size + maxLaterRecordBytes
}

// withdrawAbandoned ends the messages admitted in this turn whose client has left: nobody has been told that they are
// accepted, and the client may have submitted them elsewhere.
func (s *Sender) withdrawAbandoned() {
	for _, m := range s.admitted {
		if m.reply == nil || m.journaled || !m.reply.client.hasLeft() {
			continue
		}
		s.counts.abandoned++
		s.choice.Withdraw(m.ID)
		m.ending = ending{kind: endShed}
		r := m.reply
		m.reply = nil
		s.answerBusy(r, 0) // keeps the replies of the client in order until they are dropped
		s.closeMessage(m)
	}
}

// commit writes the records of the turn to the journal. It reports whether they are written, and so whether admitted
// messages and orders may be answered and calls may be sent.
func (s *Sender) commit() bool {
	s.recordAdmitted()
	s.recordCalls()
	if err := s.writeJournal(); err != nil {
		s.log.Error("cannot write the journal; new messages are rejected and no call begins until a write succeeds", zap.Error(err))
		return false
	}
	return true
}

// recordAdmitted adds an accepted record for each message admitted in this turn that has not ended yet.
func (s *Sender) recordAdmitted() {
	for _, m := range s.admitted {
		if m.reply != nil && !m.journaled {
			m.journaled = true
			s.addAccepted(m)
			s.accepted = append(s.accepted, m)
			s.liveBytes += m.size + maxLaterRecordBytes
		}
	}
	s.reservedBytes = 0
}

// recordCalls adds attempt records for the calls that may be sent after this commit, on idle links or on new ones.
func (s *Sender) recordCalls() {
	for _, c := range s.starting {
		if s.settledLink(c.endpoint) != nil {
			s.recordAttempt(c)
		}
	}
	for _, connected := range s.connected {
		s.recordAttempt(connected.call)
	}
}

// recordAttempt adds an attempt record, which says that the call may have run, for each message of the call for which
// needsAttemptRecord holds.
func (s *Sender) recordAttempt(c *call) {
	c.recorded = true
	for _, m := range c.messages {
		if s.needsAttemptRecord(m) && !m.attemptOnRecord && m.inFlight == c {
			m.attemptOnRecord = true
			s.journal.Add(attemptRecord(m.ID, c.beganAt, c.endpoint.zone, c.endpoint.zoneName))
		}
	}
}

// needsAttemptRecord reports whether an attempt of m forbids or limits another attempt, or delays the next message of its
// ordering key.
func (s *Sender) needsAttemptRecord(m *message) bool {
	class := &s.cfg.Settings.Classes[m.Class]
	return class.Repeat != choice.Idempotent || class.Ordered && m.Key != choice.NoKey
}

// writeJournal appends the added records to the journal's file, or rewrites the file if it is larger than rewriteThreshold.
func (s *Sender) writeJournal() error {
	s.forgetClosed()
	if s.journal.Size() <= int64(rewriteThreshold*float64(s.journal.Limit())) {
		return s.journal.Flush()
	}
	s.accepted = withoutEnded(s.accepted)
	s.counts.rewrites++
	return s.rewriteJournal()
}

// forgetClosed removes closed messages from accepted if it holds many. With a large limit, rewrites are too rare to rely on.
func (s *Sender) forgetClosed() {
	if len(s.accepted) > 2*len(s.pending)+maxEndedInAccepted {
		s.accepted = withoutEnded(s.accepted)
	}
}

// withoutEnded removes closed messages from order in place and returns the shortened list.
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

// answerAdmitted answers +OK for the messages admitted in this turn, whose records are written now.
func (s *Sender) answerAdmitted() {
	for _, m := range s.admitted {
		if m.reply != nil {
			s.counts.accepted++
			s.countSubmission(m)
			r := m.reply
			m.reply = nil
			s.setReply(r, resp.AppendSimple(nil, "OK"))
			s.keepOrDropBody(m)
		}
	}
	clear(s.admitted)
	s.admitted = s.admitted[:0]
}
