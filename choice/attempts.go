package choice

const (
	// bulkMemberCost is what a further message of a bulk call takes of the slow start budget; a call takes 1.
	bulkMemberCost = 0.15
	// timeoutDeviations is how many mean deviations above the mean a call may take.
	timeoutDeviations = 10.0
	// finalTimeoutFactor is how many times longer a call may take whose time-out is final, as its message is not
	// idempotent; that much with the in-flight limit unused, and less the more of it is used.
	finalTimeoutFactor = 4.0
	// reusedResetLimit is the share of calls over reused connections that are reset, beyond which a non-idempotent
	// message gets a new connection.
	reusedResetLimit = 0.05
)

// attempt sends a message to an endpoint, in the bulk call of this turn or a new one.
func (s *Sender) attempt(msg *message, ep *endpoint) {
	s.dequeue(msg)
	if s.class(msg).Repeat == NonIdempotent && s.reusedResetShare > reusedResetLimit {
		s.host.CloseIdle(ep.id)
	}
	s.assumeKindTimes(ep)
	if s.bulkCallOpen(ep) {
		ep.slowStart.tokens -= bulkMemberCost
	} else {
		s.openCall(msg, ep)
	}
	call := ep.bulkCall
	call.messages++
	call.pending++
	msg.inFlight = call
	msg.attempts++
	s.host.Attempt(msg.ID, ep.id, s.attemptTimeout(msg, ep))
}

// assumeKindTimes gives an endpoint without calls the call times of its kind, in a fleet. Many such calls that stay
// unanswered would otherwise hold the in-flight limit for the time-out of an unknown call.
func (s *Sender) assumeKindTimes(ep *endpoint) {
	times := ep.destination.kind.callTimes
	if s.fleetSize > smallFleetSize && ep.samples == 0 && times.samples > 0 {
		ep.callTimes = times
		ep.samples = 0
	}
}

// openCall opens a call to an endpoint for a message, and counts it against all limits.
func (s *Sender) openCall(msg *message, ep *endpoint) {
	call := &call{
		endpoint:      ep,
		sentAt:        s.now,
		turn:          s.turnNumber,
		rejectedRetry: msg.rejected,
		newConnection: ep.inFlight == 0 && s.now >= ep.idleConnUntil,
	}
	if msg.attempts > 0 {
		s.retryBudget(msg.destination).tokens--
	}
	if call.rejectedRetry {
		msg.destination.rejectedRetriesOut++
	}
	ep.bulkCall = call
	ep.inFlight++
	ep.slowStart.tokens--
	ep.route.limiter.tokens--
	ep.route.sent.count(s.now, s.loadWindow)
	ep.sent.count(s.now, s.sharedRateWindow())
	// These two matter only while it is ejected.
	ep.probePassed = false
	ep.nextTrial = s.now + 2*ep.trialPause
	s.calls = append(s.calls, call)
}

// sharedRateWindow is the window of meters of a sender's own events, which are few where there are many senders.
func (s *Sender) sharedRateWindow() Time { return rateWindow * Time(s.fleetSize) }

// attemptTimeout is how long an attempt may take: usual call times with a margin, longer with each attempt, or, where a
// time-out is final, the more the in-flight limit is unused. It is over before the deadline.
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
