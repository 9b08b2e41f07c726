package drill

import (
	"encoding/base64"
	"fmt"

	"flaxcove/choice"
	"flaxcove/internal/config"
)

// This file implements choice.Host: each method writes one action line.

func (s *hostedSender) writeLine(format string, args ...any) {
	fmt.Fprintf(&s.output, format+"\n", args...)
}

// Now returns the clock of the batch.
func (s *hostedSender) Now() choice.Time { return config.RoundDown(s.server.clock) }

// Allowed allows every endpoint, since the protocol has no routing rules.
func (s *hostedSender) Allowed(choice.MessageID, choice.EndpointID) bool { return true }

// Attempt sends a message to an endpoint. The protocol has no number for a call: the simulator puts the messages of a batch
// to one endpoint into as few calls as their kind allows.
func (s *hostedSender) Attempt(id choice.MessageID, to choice.EndpointID, _ choice.CallID, timeout choice.Time) {
	s.writeLine("submit_to\t%s\t%s\t%d\t%s", s.id, id, config.Nanoseconds(timeout), to)
}

// Shed ends a message that never ran, with the time after which the client may retry.
func (s *hostedSender) Shed(id choice.MessageID, returnIn choice.Time) {
	s.writeLine("refuse\t%s\t%s\t%d", s.id, id, config.Nanoseconds(returnIn))
}

// Fail ends a message that was not delivered and may have run.
func (s *hostedSender) Fail(id choice.MessageID) { s.writeLine("surrender\t%s\t%s", s.id, id) }

// Probe sends a health probe to an endpoint.
func (s *hostedSender) Probe(e choice.EndpointID) { s.writeLine("poll\t%s\t%s", s.id, e) }

// EndpointChanged implements choice.Host; it does nothing.
func (s *hostedSender) EndpointChanged(choice.EndpointID, choice.HealthEvent, choice.HealthReason) {}

// BroadcastNote broadcasts a note to all other senders.
func (s *hostedSender) BroadcastNote(note []byte) {
	s.writeLine("publish\t%s\t*\t%s", s.id, base64.StdEncoding.EncodeToString(note))
}

// CloseIdle closes the idle connections to an endpoint.
func (s *hostedSender) CloseIdle(e choice.EndpointID) { s.writeLine("free_links\t%s\t%s", s.id, e) }

// SetTimer sets a timer.
func (s *hostedSender) SetTimer(in choice.Time, id choice.TimerID) {
	s.writeLine("timer\t%s\t%d\t%d", s.id, config.Nanoseconds(in), int64(id))
}

// CancelTimer writes nothing: the protocol cannot cancel a timer, and the choice.Sender ignores a timer that it has
// forgotten.
func (s *hostedSender) CancelTimer(choice.TimerID) {}
