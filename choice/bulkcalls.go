package choice

// This file decides which messages share a call. The messages of one turn to one endpoint do, as long as the call has no
// more of them than the endpoint's kind takes, and its body no more bytes than Settings.MaxBulkBytes. A message that fits
// into no call of the turn needs a call of its own, which counts against every limit like any other.

// bulkMemberCost is what each further message of a bulk call costs the slow start budget. The call itself costs 1.
const bulkMemberCost = 0.15

// hasJoinable reports whether an endpoint has a call of this turn that some message could join.
func (s *Sender) hasJoinable(ep *endpoint) bool {
	open := ep.openCalls
	return open != nil && open.turn == s.turnNumber && len(open.calls) > 0
}

// joinableCall returns the first call of this turn to an endpoint that has room for a message, or nil. All calls of the
// turn are considered, because a large message may have opened a second one while the first still has room for smaller
// messages.
func (s *Sender) joinableCall(msg *message, ep *endpoint) *call {
	if msg.alone || !s.hasJoinable(ep) {
		return nil
	}
	for _, call := range ep.openCalls.calls {
		if s.fits(msg, call) {
			return call
		}
	}
	return nil
}

// fits reports whether the body of a call has room for a message.
func (s *Sender) fits(msg *message, call *call) bool {
	return s.settings.MaxBulkBytes == 0 || call.bytes+int(msg.BulkBytes) <= s.settings.MaxBulkBytes
}

// addToCall adds a message to a call of this turn, and lets further messages join the call while it has room.
func (s *Sender) addToCall(msg *message, call *call) {
	call.messages++
	call.pending++
	call.bytes += int(msg.BulkBytes)
	msg.inFlight = call
	if s.full(call) || msg.alone {
		call.endpoint.openCalls.remove(call)
	} else if call.messages == 1 {
		s.offerCall(call)
	}
}

// full reports whether no further message can join a call.
func (s *Sender) full(call *call) bool {
	noBytesLeft := s.settings.MaxBulkBytes > 0 && call.bytes >= s.settings.MaxBulkBytes
	return noBytesLeft || call.messages >= call.endpoint.kind.BulkMax
}

// offerCall lets further messages of this turn join a call.
func (s *Sender) offerCall(call *call) {
	ep := call.endpoint
	if ep.openCalls == nil {
		ep.openCalls = &openCalls{}
	}
	if ep.openCalls.turn != s.turnNumber {
		ep.openCalls.turn, ep.openCalls.calls = s.turnNumber, ep.openCalls.calls[:0]
	}
	ep.openCalls.calls = append(ep.openCalls.calls, call)
}

// remove removes a call if it is among the open ones.
func (o *openCalls) remove(call *call) {
	if o != nil {
		o.calls = removeValue(o.calls, call)
	}
}
