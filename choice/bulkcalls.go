package choice

import "slices"

// This file decides which messages share a call. The messages of one turn to one endpoint do, as long as the call has no
// more of them than the endpoint's kind takes, and its body no more bytes than Settings.MaxBulkBytes. A message that fits
// into no call of the turn needs a call of its own, which counts against every limit like any other.

// bulkMemberCost is what each further message of a bulk call costs the slow start budget. The call itself costs 1.
const bulkMemberCost = 0.15

// hasJoinable reports whether an endpoint has a call of this turn that some message could join.
func (s *Sender) hasJoinable(ep *endpoint) bool {
	return len(ep.joinable) > 0 && ep.joinable[0].turn == s.turnNumber
}

// joinableCall returns the first call of this turn to an endpoint that has room for a message, or nil. All calls of the
// turn are considered, because a large message may have opened a second one while the first still has room for smaller
// messages.
func (s *Sender) joinableCall(msg *message, ep *endpoint) *call {
	if msg.alone || !s.hasJoinable(ep) {
		return nil
	}
	for _, call := range ep.joinable {
		if s.fits(msg, call) {
			return call
		}
	}
	return nil
}

// fits reports whether the body of a call has room for a message.
func (s *Sender) fits(msg *message, call *call) bool {
	return s.settings.MaxBulkBytes == 0 || call.bytes+msg.BulkBytes <= s.settings.MaxBulkBytes
}

// addToCall adds a message to a call of this turn. It keeps the call among those that further messages may join while the
// call has room.
func (s *Sender) addToCall(msg *message, call *call) {
	ep := call.endpoint
	call.messages++
	call.pending++
	call.bytes += msg.BulkBytes
	msg.inFlight = call
	if !s.hasJoinable(ep) {
		ep.joinable = ep.joinable[:0] // calls of an earlier turn
	}
	mayGrow := !msg.alone && call.messages < ep.kind.BulkMax && (s.settings.MaxBulkBytes == 0 || call.bytes < s.settings.MaxBulkBytes)
	at := slices.Index(ep.joinable, call)
	switch {
	case at < 0 && mayGrow:
		ep.joinable = append(ep.joinable, call)
	case at >= 0 && !mayGrow:
		ep.joinable = slices.Delete(ep.joinable, at, at+1)
	}
}
