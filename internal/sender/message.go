package sender

// This file defines the state that a sender keeps of a message, and how a message ends. Once a message is accepted, only
// endMessage and closeMessage may end it.

import (
	"bytes"
	"encoding/json"

	"go.uber.org/zap"

	"flaxcove/choice"
)

// message is a submitted message. It stays in admission.pending until it is closed (endClosed). The loop owns it.
type message struct {
	choice.Message
	key string // ordering key; a bulk call uses it in place of a missing idempotency key
	// idempotencyKey and tenant are the client's values, or empty. Endpoints recognise a repeat by idempotencyKey, whatever
	// the id of the message is.
	idempotencyKey, tenant string
	className              string
	body                   []byte      // nil if it is only in the journal; see bodies.go
	stored                 storedBody  // where the body is in the journal
	charged                int64       // bytes that the body holds of holders.bodies
	accounted              bool        // the message holds messageOverhead of holders.messages
	owner                  *client     // the client that submitted it; nil if an earlier process accepted it
	reply                  *reply      // the client's reply; nil once it is set
	journaled              bool        // the accepted record is written, or added to the next append
	attempts               int         // attempts of this process
	inFlight               *call       // nil if no call carries the message
	acceptedAt             choice.Time // on the wall clock of the accepting process; 0 if an old record does not contain it
	attemptOnRecord        bool        // the journal has an attempt record that is not revoked
	ranInZoneName          string      // zone in which an attempt may have run; a zone's number changes with the settings
	ending                 ending
	// withdrawn is set when a purge has matched the message. If a call is in flight then, the message's end is on record,
	// but is reported only when the call has ended.
	withdrawn bool
	size      int64 // size in bytes of the accepted record in the journal
}

// endKind says whether and how a message has ended. Its values are stored in the journal.
type endKind byte

const (
	endNone   endKind = iota // has not ended
	endShed                  // not delivered and never run: the client may submit it again
	endFailed                // not delivered, and must not be attempted elsewhere
	endClosed                // closed: delivered, or its end is reported
)

// ending is the end of a message that was not delivered. The zero value means that the message has not ended.
type ending struct {
	kind    endKind
	retryMS int64 // for endShed: milliseconds after which the client may submit the message again; 0 if not known
}

// endingLine is the line of a post to the platform that reports an ending.
type endingLine struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryIn int64  `json:"retry_in_ms,omitempty"`
}

// line returns the ending of a message as a line of JSON. Characters that are special in HTML stay as they are: escaped, an id
// would be up to six times as long.
func (e ending) line(id choice.MessageID) []byte {
	line := endingLine{Message: string(id), Outcome: "given_up"}
	if e.kind == endShed {
		line.Outcome, line.RetryIn = "handed_back", e.retryMS
	}
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	if encoder.Encode(line) != nil {
		return nil // cannot happen: two strings and a number can always be encoded
	}
	return text.Bytes()
}

// closeMessage closes a message: nothing more has to be done for it. A message without an ending counts as delivered.
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
		s.recentlyEnded.remember(m.ID)
		s.journal.Add(idRecord(recClosed, m.ID))
		s.liveBytes -= m.size + maxLaterRecordBytes
	}
	s.dropBody(m)
	s.releaseMessage(m)
}

// endMessage ends a message that was not delivered. If the client still waits for its answer, the answer says so and the
// message is closed. Otherwise the end is recorded and reported to the platform. It does nothing for a nil or ended message.
func (s *Sender) endMessage(m *message, how ending) {
	if m == nil || m.ending.kind != endNone {
		return
	}
	s.log.Debug("message ended without delivery", zap.String("id", string(m.ID)), zap.Bool("handed_back", how.kind == endShed),
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

// countEnding counts the end of a message that was not delivered.
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
