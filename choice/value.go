package choice

import "cmp"

// This file computes the value of messages. It makes no decisions.

func (s *Sender) class(msg *message) *Class { return &s.settings.Classes[msg.Class] }

// fullValue returns the value of a message that is answered within its latency objective. It is lower if the message
// exceeded its account's quota when it was accepted.
func (s *Sender) fullValue(msg *message) float64 {
	value := s.class(msg).Value
	if msg.overQuota {
		return value * s.settings.OverQuotaValue
	}
	return value
}

// valueAfter returns the value of a message that is answered the given time from now.
func (s *Sender) valueAfter(msg *message, in Time) float64 {
	age := s.now + in - msg.acceptedAt
	return s.fullValue(msg) * s.class(msg).ValueShare(age, s.settings.Halving)
}

// attempted reports whether the message was sent, by this incarnation of the sender or an earlier one.
func (msg *message) attempted() bool { return msg.attempts > 0 || msg.MayRun }

// lifetime returns the time that the message had until its deadline when it was first accepted, as far as that is
// known.
func (msg *message) lifetime() Time { return cmp.Or(msg.AcceptedLifetime, msg.Deadline-msg.acceptedAt) }
