package sender

// This file takes commands: it owns the words that clients may send, and what is wrong with them. It must never take
// on a second time what is owed or has ended, nor refuse what was once taken on.

import (
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/journal"
	"flaxcove/internal/resp"
)

const (
	maxID     = 128
	maxHoldMS = 24 * 60 * 60 * 1000 // milliseconds that a message may ask for
)

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
			text = append(append(text, line...), "\r\n"...)
		}
		s.setReply(r, resp.AppendBulk(nil, text))
	default:
		s.badCommand(r, "unknown command")
	}
}

func (s *Sender) addMessage(r *reply, args [][]byte) {
	s.counts.submitted++
	n, err := s.parseMessage(args)
	if err != nil {
		s.badCommand(r, err.Error())
		return
	}
	if old := s.pending[n.ID]; old != nil {
		// A client that saw its connection end sends the same once more: it is taken on already.
		if old.reply == nil {
			s.setReply(r, resp.AppendSimple(nil, "OK"))
		} else {
			s.setReply(r, resp.AppendError(nil, "ERR handed in twice at once"))
		}
		return
	}
	if _, over := s.admission.recentlyEnded[n.ID]; over {
		s.setReply(r, resp.AppendSimple(nil, "OK"))
		return
	}
	if _, known := s.destinationSeen[n.Destination]; !known && s.listReceived {
		s.badCommand(r, "dest: no such destination")
		return
	} else if !known {
		// The list from before the start may be out of date.
		s.answerBusy(r, s.longestReturnMS())
		return
	}
	if len(s.pending) >= s.cfg.Settings.MaxOpen || !s.hasJournalCapacity(n) || s.journalFailing || s.pastSendTime() {
		s.answerBusy(r, s.longestReturnMS())
		return
	}
	n.reply = r
	s.log.Debug("taken", zap.String("id", string(n.ID)), zap.String("workload", n.className),
		zap.Int64("dest", int64(n.Destination)), zap.Int64("hard_stop_ms", int64((n.Deadline-s.Now())/choice.Millisecond)))
	s.admit(n)
	s.module.Taken(n.told())
	s.wakeDestination(n.Destination)
}

// longestReturnMS, in milliseconds, is what a client is told where no more can be taken on whatever it is.
func (s *Sender) longestReturnMS() int64 {
	return int64(s.cfg.Settings.LongestReturn / choice.Millisecond)
}

// answerBusy tells a client that it may come again, and when, if that is known.
func (s *Sender) answerBusy(r *reply, ms int64) {
	s.counts.rejected++
	s.setReply(r, busyText(ms))
}

func busyText(ms int64) []byte {
	text := "BUSY"
	if ms > 0 {
		text += " " + strconv.FormatInt(ms, 10)
	}
	return resp.AppendError(nil, text)
}

func (s *Sender) parseMessage(args [][]byte) (*message, error) {
	if len(args) != 5 {
		return nil, fmt.Errorf("OUT.ADD takes a key, an id, a list and a body, not %d arguments", len(args)-1)
	}
	n := &message{key: string(args[1]), body: args[4]}
	n.ID, n.Key = choice.MessageID(args[2]), orderKey(n.key)
	if !isVisible(args[1]) || !isVisible(args[2]) {
		return nil, errors.New("key and id: up to 128 visible characters each")
	}
	hold, dest := -1.0, -1.0
	for pair := range strings.SplitSeq(string(args[3]), ",") {
		switch name, value, _ := strings.Cut(pair, "="); name {
		case "c":
			n.className = value
		case "k":
			n.idempotencyKey = value
		case "t":
			n.tenant = value
		case "d":
			hold = parseDecimal(value)
		case "dest":
			dest = parseDecimal(value)
		}
	}
	class, known := s.cfg.ClassNumbers[n.className]
	switch {
	case !known:
		return nil, fmt.Errorf("c: no class %q", n.className)
	case hold <= 0 || hold > maxHoldMS:
		return nil, errors.New("d: milliseconds, above 0 and within a day")
	case n.idempotencyKey != "" && !isVisible([]byte(n.idempotencyKey)):
		return nil, errors.New("k: up to 128 visible characters")
	case dest < 0 || dest > 1<<53 || dest != float64(int64(dest)):
		return nil, errors.New("dest: a whole number")
	}
	n.Class, n.Destination, n.Account = class, choice.DestinationID(dest), s.account(n.tenant)
	n.acceptedAt = s.Now()
	n.Deadline = n.acceptedAt + choice.Time(hold*float64(choice.Millisecond))
	n.size = journal.Framed(len(n.acceptedRecord()))
	return n, nil
}

// account is whose share a message counts to. One of a tenant that the settings do not name counts to none.
func (s *Sender) account(tenant string) choice.AccountNo {
	if no, known := s.cfg.Accounts[tenant]; known {
		return no
	}
	return -1
}

func parseDecimal(text string) float64 {
	// Digits, and decimals at most: names like Infinity, exponents and hexadecimal ones are nobody's meaning.
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" {
		return -1
	}
	return v
}

// isVisible tells whether an id can stand in a head: nothing in it may end a line or a field.
func isVisible(id []byte) bool {
	for _, c := range id {
		if c <= ' ' || c >= 0x7f || c == '"' || c == '\\' {
			return false
		}
	}
	return len(id) > 0 && len(id) <= maxID
}

// orderKey is a client's key as the module takes it: zeros stand for none, and other text than a hexadecimal number
// for one of its own.
func orderKey(text string) choice.OrderKey {
	k, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		k = uint64(crc32.ChecksumIEEE([]byte(text))) + 1
	}
	if k == 0 {
		return choice.NoKey
	}
	return choice.OrderKey(k &^ (1 << 63))
}
