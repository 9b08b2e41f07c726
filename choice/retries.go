package choice

const (
	// retryBaseShare and retryCapShare are the first and the highest ceiling of the backoff, in shortest contract
	// times.
	retryBaseShare = 0.25
	retryCapShare  = 2.0
	// maxBackoffDoublings keeps the doubling of the ceiling from overflowing.
	maxBackoffDoublings = 20
	// rejectedRetryDivisor: rejected messages of one destination may take the in-flight limit by this for their
	// retries.
	rejectedRetryDivisor = 4
	// kindRetryCredit is how many retries a call done pays for where senders exchange notes: there the retry budget is
	// that of a kind, into which all its destinations pay.
	kindRetryCredit = 0.3
)

// scheduleRetry sets when a message is sent again: after a backoff with full jitter, under a ceiling that doubles with
// each attempt up to a cap. It ends the message where no attempt is left, or none could be sent in time.
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

// exhausted reports whether a message may not be sent any more: it has had all its attempts, may not be repeated, or it
// is too late.
func (s *Sender) exhausted(msg *message) bool {
	if msg.attempts > 0 && msg.attempts >= s.settings.MaxAttempts {
		return true
	}
	if msg.MayRun && s.class(msg).Repeat == NonIdempotent {
		return true
	}
	return s.now > s.lastAttemptAt(msg)
}

// lastAttemptAt is the latest time for an attempt: one usual call is still over before the deadline, and where it would
// be a repeat its idempotency key is still known.
func (s *Sender) lastAttemptAt(msg *message) Time {
	// A restarted sender knows no call times; a message of an earlier incarnation must not end for that alone.
	mostForCall := float64(msg.lifetime()) / 4
	call := roundUp(min(s.usualCallTime(msg.destination), mostForCall))
	return min(msg.Deadline-call-2*s.turnInterval, s.RepeatableUntil(msg.ID))
}

// RepeatableUntil returns until when a message may be sent as a repeat: while the destination remembers its idempotency key.
// For messages without that restriction, and unknown ones, it is never over.
func (s *Sender) RepeatableUntil(id MessageID) Time {
	msg := s.messages[id]
	if msg == nil || !msg.MayRun || s.class(msg).Repeat != Keyed {
		return forever
	}
	return msg.RanAt + s.class(msg).RepeatWindow - s.turnInterval
}

// retryBudget is what pays for retries to a destination: calls done, and a trickle. Where senders exchange notes it is
// that of the destination's kind, otherwise its own.
func (s *Sender) retryBudget(dest *destination) *tokenBucket {
	if s.exchangesNotes {
		return &dest.kind.retryBudget
	}
	return &dest.retryBudget
}

// newRetryBudget returns a budget for as many retries as a destination may have in flight of rejected messages.
func (s *Sender) newRetryBudget() tokenBucket {
	return tokenBucket{tokens: float64(s.maxRejectedRetries), updatedAt: s.now}
}

// payForSuccess adds to a destination's retry budget what a call done there pays.
func (s *Sender) payForSuccess(dest *destination) {
	credit := 1.0
	if s.exchangesNotes {
		credit = kindRetryCredit
	}
	s.retryBudget(dest).tokens += credit
}

// mayPayAttempt reports whether the retry budget pays for an attempt of a message. First attempts cost nothing.
func (s *Sender) mayPayAttempt(msg *message) bool {
	if msg.attempts == 0 {
		return true
	}
	trickle := 1 / seconds(s.retryCap)
	mostTokens := float64(s.settings.InFlightLimit)
	return s.retryBudget(msg.destination).refillAt(s.now, trickle, mostTokens) >= 1
}
