package choice

const (
	// retryBaseShare and retryCapShare are the first and the highest ceiling of the backoff, as multiples of the
	// shortest latency objective.
	retryBaseShare = 0.25
	retryCapShare  = 2.0
	// maxBackoffDoublings prevents an overflow when the ceiling is doubled.
	maxBackoffDoublings = 20
	// rejectedRetryDivisor divides the in-flight limit. The result is the number of calls in flight that may retry
	// rejected messages of one destination.
	rejectedRetryDivisor = 4
	// kindRetryCredit is the number of retries that a successful call pays for if senders exchange notes. In that case
	// all destinations of a kind share one retry budget.
	kindRetryCredit = 0.3
)

// scheduleRetry sets the time of a message's next attempt: after a backoff with full jitter, whose ceiling doubles with
// each attempt up to a cap. It ends the message if no attempt is left or none can be sent in time.
func (s *Sender) scheduleRetry(msg *message) {
	last := s.lastAttemptAt(msg)
	earliestRetry := max(s.now+1, s.pauseEnd(msg.destination))
	if s.exhausted(msg) || earliestRetry > last {
		s.endUndelivered(msg)
		return
	}
	doublings := min(msg.attempts-1, maxBackoffDoublings)
	ceiling := min(s.retryCap, s.retryBase<<doublings)
	msg.retryAt = min(s.now+s.random.jitter(string(msg.ID), ceiling), last)
	s.setTimer(msg, msg.retryAt)
	s.setTimer(msg, last+1)
}

// exhausted reports whether a message may not be sent any more, because it has had all its attempts, must not be
// repeated, or is too late.
func (s *Sender) exhausted(msg *message) bool {
	if msg.attempts > 0 && msg.attempts >= s.settings.MaxAttempts {
		return true
	}
	if msg.MayRun && s.class(msg).Repeat == NonIdempotent {
		return true
	}
	return s.now > s.lastAttemptAt(msg)
}

// lastAttemptAt returns the latest time for an attempt. A call of usual length must end before the deadline, and if the
// attempt is a repeat, the destination must still know the idempotency key.
func (s *Sender) lastAttemptAt(msg *message) Time {
	// A restarted sender knows no call times. The messages of an earlier incarnation must not end only because of that.
	maxCall := float64(msg.lifetime()) / 4
	call := roundUp(min(s.usualCallTime(msg.destination), maxCall))
	return min(msg.Deadline-call-2*s.turnInterval, s.RepeatableUntil(msg.ID))
}

// RepeatableUntil returns the time until which a message may be sent again, which is as long as the destination
// remembers its idempotency key. It returns the largest Time for unknown messages and for those without that
// restriction.
func (s *Sender) RepeatableUntil(id MessageID) Time {
	msg := s.messages[id]
	if msg == nil || !msg.MayRun || s.class(msg).Repeat != Keyed {
		return forever
	}
	return msg.RanAt + s.class(msg).RepeatWindow - s.turnInterval
}

// retryBudget returns the budget that pays for retries to a destination. Successful calls and a trickle over time fill
// it. If senders exchange notes, all destinations of a kind share it; otherwise each destination has its own.
func (s *Sender) retryBudget(dest *destination) *tokenBucket {
	if s.exchangesNotes {
		return &dest.kind.retryBudget
	}
	return &dest.retryBudget
}

// newRetryBudget returns a budget that pays for as many retries as rejected messages of a destination may have in
// flight.
func (s *Sender) newRetryBudget() tokenBucket {
	return tokenBucket{tokens: float64(s.maxRejectedRetries), updatedAt: s.now}
}

// creditSuccess adds the credit of one successful call to the retry budget of a destination.
func (s *Sender) creditSuccess(dest *destination) {
	credit := 1.0
	if s.exchangesNotes {
		credit = kindRetryCredit
	}
	s.retryBudget(dest).tokens += credit
}

// retryBudgetAllows reports whether the retry budget pays for an attempt of a message. First attempts are free.
func (s *Sender) retryBudgetAllows(msg *message) bool {
	if msg.attempts == 0 {
		return true
	}
	trickle := 1 / seconds(s.retryCap)
	size := float64(s.settings.InFlightLimit)
	return s.retryBudget(msg.destination).refillAt(s.now, trickle, size) >= 1
}
