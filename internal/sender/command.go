package sender

// This file handles the commands of clients. A message that is pending or has ended is never accepted a second time, and
// one that was accepted is never rejected when it is submitted again.

import (
	"strings"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/resp"
)

// handleCommand answers one command.
func (s *Sender) handleCommand(c *client, args [][]byte) {
	r := s.expectReply(c)
	name := ""
	if len(args) > 0 {
		name = string(args[0])
	}
	switch {
	case strings.EqualFold(name, "OUT.ADD"):
		s.addMessage(r, args)
	case strings.EqualFold(name, "PING") && len(args) == 2:
		s.setReply(r, resp.AppendBulk(nil, args[1]))
	case strings.EqualFold(name, "PING"):
		s.setReply(r, resp.AppendSimple(nil, "PONG"))
	case strings.EqualFold(name, "INFO"):
		var text []byte
		for _, line := range s.Counters() {
			text = append(text, line...)
			text = append(text, "\r\n"...)
		}
		s.setReply(r, resp.AppendBulk(nil, text))
	default:
		s.badCommand(r, "unknown command")
	}
}

// addMessage admits a message, or answers why not. An admitted one is answered once its record is written.
func (s *Sender) addMessage(r *reply, args [][]byte) {
	s.counts.submitted++
	m, err := s.parseMessage(args)
	if err != nil {
		s.badCommand(r, err.Error())
		return
	}
	if s.answerResubmission(r, m.ID) || !s.checkDestination(r, m.Destination) {
		return
	}
	if len(s.pending) >= s.cfg.Settings.MaxOpen || !s.hasJournalCapacity(m) || s.journalFailing || s.pastSendTime() {
		s.answerBusy(r, s.longestReturnMS())
		return
	}
	m.reply = r
	s.log.Debug("accepted", zap.String("id", string(m.ID)), zap.String("workload", m.className),
		zap.Int64("dest", int64(m.Destination)), zap.Int64("hard_stop_ms", int64((m.Deadline-s.Now())/choice.Millisecond)))
	s.admit(m)
	s.choice.Taken(m.Message)
	s.wakeDestination(m.Destination)
}

// answerResubmission answers a message that is pending or has ended, and reports whether it is one: a client that saw its
// connection end submits the same message once more.
func (s *Sender) answerResubmission(r *reply, id choice.MessageID) bool {
	earlier := s.pending[id]
	_, ended := s.recentlyEnded[id]
	switch {
	case earlier != nil && earlier.reply != nil:
		s.setReply(r, resp.AppendError(nil, "ERR handed in twice at once"))
	case earlier != nil || ended:
		s.setReply(r, resp.AppendSimple(nil, "OK"))
	default:
		return false
	}
	return true
}

// checkDestination reports whether a destination is known, and answers the message if it is not. Until discovery has
// answered that may be for a list that is out of date, so the client is to come again.
func (s *Sender) checkDestination(r *reply, d choice.DestinationID) bool {
	_, known := s.destinationSeen[d]
	switch {
	case known:
		return true
	case s.listReceived:
		s.badCommand(r, "dest: no such destination")
	default:
		s.answerBusy(r, s.longestReturnMS())
	}
	return false
}

// longestReturnMS is when a client is to come again, in milliseconds, where no message of any kind can be accepted.
func (s *Sender) longestReturnMS() int64 {
	return int64(s.cfg.Settings.MaxRetryAfter / choice.Millisecond)
}
