package choice

import "cmp"

// This file holds the value of messages. It decides nothing.

func (s *Sender) class(msg *message) *Class { return &s.settings.Classes[msg.Class] }

// fullValue is the value of a message that is answered within its contract time. It is lower for one that was beyond
// its account's quota when it was accepted.
func (s *Sender) fullValue(msg *message) float64 {
	value := s.class(msg).Value
	if msg.overQuota {
		return value * s.settings.OverQuotaValue
	}
	return value
}

// valueAfter is the value of a message that is answered the given time from now.
func (s *Sender) valueAfter(msg *message, in Time) float64 {
	age := s.now + in - msg.acceptedAt
	return s.fullValue(msg) * s.class(msg).ValueShare(age, s.settings.Halving)
}

// attempted reports whether the message was sent, in this incarnation of the sender or an earlier one.
func (msg *message) attempted() bool { return msg.attempts > 0 || msg.MayRun }

// lifetime is the time to its deadline with which the message was accepted, as far as that is known.
func (msg *message) lifetime() Time { return cmp.Or(msg.Span, msg.Deadline-msg.acceptedAt) }
