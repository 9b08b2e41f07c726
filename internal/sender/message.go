package sender

// This file holds what a sender keeps of a message, and how a message ends. Once a message is accepted, only endMessage
// and closeMessage may end it.

import (
	"go.uber.org/zap"

	"flaxcove/choice"
)

// message is one that was submitted and has not ended. It is removed from admission.pending when nothing more is to be
// done for it.
type message struct {
	choice.Message
	key string // the ordering key; in a bulk call it stands in for a missing idempotency key
	// idempotencyKey and tenant are as the client gave them. Endpoints know a repeat by the key, whatever id it has.
	idempotencyKey, tenant string
	className              string
	body                   []byte
	reply                  *reply // nil once the client has its answer
	journaled              bool   // its record is written, or waits in the batch
	attempts               int    // by this process
	inFlight               *call
	acceptedAt             choice.Time // by the wall clock of its process; 0 where an older record does not say
	attemptOnRecord        bool        // an attempt that may have run is on record
	ranInZoneName          string      // where an attempt may have run; zones' numbers change with the settings
	ending                 ending
	// withdrawn says that a purge has matched it. While its call is out, its end is on record but waits for the answer.
	withdrawn bool
	size      int64 // of its first record in the journal
}

// endKind is written to the journal.
type endKind byte

const (
	endNone   endKind = iota // it has not ended
	endShed                  // not delivered, never run: its client may submit it again
	endFailed                // not delivered, and not to be attempted elsewhere
	endClosed                // nothing more is to be done: delivered, or its end is reported
)

// ending is how a message ends that was not delivered.
type ending struct {
	kind    endKind
	retryMS int64 // of endShed: when to submit it again, 0 for no time
}

// closeMessage ends a message for which nothing more is to be done.
func (s *Sender) closeMessage(m *message) {
	if m.ending.kind == endClosed {
		return
	}
	if m.ending.kind == endNone {
		s.counts.delivered++
	}
	m.ending.kind = endClosed
	delete(s.pending, m.ID)
	if m.journaled {
		s.rememberEnded(m.ID)
		s.journal.Add(idRecord(recClosed, m.ID))
		s.liveBytes -= m.size + laterRecordBytes
	}
	m.body = nil
}

// endMessage ends a message undelivered. A client that still waits for its answer gets it now; else the end is recorded
// and reported to the platform.
func (s *Sender) endMessage(m *message, how ending) {
	if m == nil || m.ending.kind != endNone {
		return
	}
	s.log.Debug("ends undelivered", zap.String("id", string(m.ID)), zap.Bool("handed_back", how.kind == endShed),
		zap.Int64("retry_ms", how.retryMS), zap.Int("tries", m.attempts), zap.Bool("may_have_run", m.MayRun),
		zap.Bool("client_waits", m.reply != nil))
	s.countEnding(m, how)
	m.ending = how
	if m.reply == nil {
		s.journal.Add(endRecord(m.ID, how))
		s.endings = append(s.endings, m)
		return
	}
	r := m.reply
	m.reply = nil
	if how.kind == endShed {
		s.answerBusy(r, how.retryMS)
	} else {
		s.setReply(r, []byte("-ERR given up\r\n"))
	}
	s.closeMessage(m)
}

func (s *Sender) countEnding(m *message, how ending) {
	switch {
	case how.kind == endShed:
		s.counts.shed++
	case m.withdrawn:
		s.counts.withdrawn++
	default:
		s.counts.failed++
	}
}
