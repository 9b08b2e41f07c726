package choice

const (
	// timeoutDeviations is the margin of a time-out above the mean call time, in mean absolute deviations.
	timeoutDeviations = 10.0
	// finalTimeoutFactor multiplies the time-out of a non-idempotent message, which ends at its first time-out, if the
	// whole in-flight limit is free. The factor falls linearly to 1 as the in-flight limit is used up.
	finalTimeoutFactor = 4.0
	// reusedResetLimit is the share of calls over reused connections that may be reset. Above it, non-idempotent
	// messages get new connections.
	reusedResetLimit = 0.05
)

// attempt sends a message to an endpoint, in a call of this turn that it can join or in a new call.
func (s *Sender) attempt(msg *message, ep *endpoint) {
	s.dequeue(msg)
	if s.class(msg).Repeat == NonIdempotent && s.reusedResetShare > reusedResetLimit {
		s.host.CloseIdle(ep.id)
	}
	s.assumeKindTimes(ep)
	call := s.joinableCall(msg, ep)
	if call != nil {
		ep.slowStart.tokens -= bulkMemberCost
	} else {
		call = s.openCall(msg, ep)
	}
	s.addToCall(msg, call)
	msg.attempts++
	s.host.Attempt(msg.ID, ep.id, call.id, s.attemptTimeout(msg, ep))
}

// assumeKindTimes gives an endpoint that has no measured calls the call times of its kind, in a large fleet. With the
// time-out of an unknown endpoint, many unanswered calls to such endpoints would occupy the in-flight limit for too
// long.
func (s *Sender) assumeKindTimes(ep *endpoint) {
	times := ep.destination.kind.callTimes
	if s.fleetSize > smallFleetSize && ep.samples == 0 && times.samples > 0 {
		ep.callTimes = times
		ep.samples = 0
	}
}

// openCall opens a call to an endpoint for a message, and counts it against every limit that applies.
func (s *Sender) openCall(msg *message, ep *endpoint) *call {
	s.lastCall++
	call := &call{
		id:            s.lastCall,
		endpoint:      ep,
		sentAt:        s.now,
		rejectedRetry: msg.rejected,
		newConnection: ep.inFlight == 0 && s.now >= ep.idleConnUntil,
	}
	if msg.attempts > 0 {
		s.retryBudget(msg.destination).tokens--
	}
	if call.rejectedRetry {
		msg.destination.rejectedRetriesInFlight++
	}
	ep.inFlight++
	ep.slowStart.tokens--
	ep.route.limiter.tokens--
	ep.route.sent.count(s.now, s.loadWindow)
	ep.sent.count(s.now, s.sharedRateWindow())
	// The next two fields are read only while the endpoint is ejected.
	ep.probePassed = false
	ep.nextTrial = s.now + 2*ep.trialPause
	s.calls = append(s.calls, call)
	return call
}

// sharedRateWindow returns the window of meters that count only this sender's events. It grows with the number of
// senders, since each of them then has fewer events.
func (s *Sender) sharedRateWindow() Time { return rateWindow * Time(s.fleetSize) }

// attemptTimeout returns the time-out of an attempt: the usual call time with a margin, multiplied by the number of
// attempts including this one. For a non-idempotent message the factor is instead up to finalTimeoutFactor, depending
// on how much of the in-flight limit is free. The time-out ends before the message's deadline.
func (s *Sender) attemptTimeout(msg *message, ep *endpoint) Time {
	usual := max(2*s.assumedCallTime, ep.mean+timeoutDeviations*ep.deviation)
	factor := float64(msg.attempts)
	if s.class(msg).Repeat == NonIdempotent {
		limit := s.settings.InFlightLimit
		factor = 1 + (finalTimeoutFactor-1)*float64(limit-len(s.calls))/float64(limit)
	}
	remaining := msg.Deadline - s.now - s.turnInterval
	return max(1, min(roundUp(usual*factor), remaining))
}
