package sender

// This file handles the commands of clients. A message that is pending or has ended is never accepted a second time. A
// message that was accepted is never rejected when it is submitted again.

import (
	"strings"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/resp"
)

// handleCommand carries out one command of a client and sets its answer, or has addMessage set it later. It runs on the
// loop.
func (s *Sender) handleCommand(c *client, args [][]byte) {
	r := s.reserveReply(c)
	name := ""
	if len(args) > 0 {
		name = string(args[0])
	}
	switch {
	case strings.EqualFold(name, "OUT.ADD"):
		s.addMessage(r, args)
	case strings.EqualFold(name, "PING") && len(args) == 2:
		s.answerLong(r, resp.AppendBulk(nil, args[1]))
	case strings.EqualFold(name, "PING"):
		s.setReply(r, resp.AppendSimple(nil, "PONG"))
	case strings.EqualFold(name, "INFO"):
		var text []byte
		for _, line := range s.Counters() {
			text = append(text, line...)
			text = append(text, "\r\n"...)
		}
		s.answerLong(r, resp.AppendBulk(nil, text))
	default:
		s.answerInvalidCommand(r, "unknown command")
	}
}

// addMessage handles OUT.ADD: it admits the message, or answers with the reason for which it does not. The client of an
// admitted message is answered once the message's record is written.
func (s *Sender) addMessage(r *reply, args [][]byte) {
	s.counts.submitted++
	m, err := s.parseMessage(args)
	if err != nil {
		s.answerInvalidCommand(r, err.Error())
		return
	}
	if s.answerResubmission(r, m.ID) || !s.checkDestination(r, m.Destination) {
		return
	}
	if !s.admits(r.client, m) || s.journalFailing || s.pastSendTime() || !s.takeMessage(m) {
		s.answerBusy(r, s.longestReturnMS())
		return
	}
	m.reply = r
	s.own(r.client, m)
	s.log.Debug("message admitted", zap.String("id", string(m.ID)), zap.String("workload", m.className),
		zap.Int64("dest", int64(m.Destination)), zap.Int64("hard_stop_ms", int64((m.Deadline-s.Now())/choice.Millisecond)))
	s.admit(m)
	s.choice.Accept(m.Message)
	s.requestLearnedState(m.Destination)
}

// answerResubmission answers a submission whose id is that of a message that is pending or has ended, and reports whether
// it did so. Clients submit a message again after their connection ended without an answer.
func (s *Sender) answerResubmission(r *reply, id choice.MessageID) bool {
	earlier := s.pending[id]
	switch {
	case earlier != nil && earlier.reply != nil && earlier.reply.client.hasLeft():
		earlier.reply = r // the client that waits now gets the answer
	case earlier != nil && earlier.reply != nil:
		s.setReply(r, resp.AppendError(nil, "ERR handed in twice at once"))
	case earlier != nil || s.recentlyEnded.has(id):
		s.setReply(r, resp.AppendSimple(nil, "OK"))
	default:
		return false
	}
	return true
}

// checkDestination reports whether a destination is known, and answers the message if it is not. Until discovery has sent a
// list, the known list may be out of date, so the answer is -BUSY and the client may submit the message again.
func (s *Sender) checkDestination(r *reply, d choice.DestinationID) bool {
	_, known := s.destinationSeen[d]
	switch {
	case known:
		return true
	case s.listReceived:
		s.answerInvalidCommand(r, "dest: no such destination")
	default:
		s.answerBusy(r, s.longestReturnMS())
	}
	return false
}

// longestReturnMS returns the time in milliseconds after which a client may submit a message again while the sender can
// accept no message at all.
func (s *Sender) longestReturnMS() int64 {
	return int64(s.cfg.Settings.MaxRetryAfter / choice.Millisecond)
}
