package choice

import (
	"container/list"
	"slices"
)

const (
	// maxScanned is the number of messages of a queue that are examined at most when the first ones can't be sent for a
	// reason that may not apply to later ones.
	maxScanned = 16
	// valueEpsilon is added to the value of messages, so that those without value are ranked by their call time as
	// well.
	valueEpsilon = 1e-6
	// nonIdempotentTrialDelay is the additional delay of a non-idempotent message at an endpoint with unanswered calls.
	nonIdempotentTrialDelay = 2 * longestTrialPause
)

// TurnEnd sends the messages that can be sent. The host calls it after each batch of simultaneous events. Messages sent
// to the same endpoint in one turn share a bulk call.
func (s *Sender) TurnEnd() {
	s.now = s.host.Now()
	for {
		msg, ep := s.selectNext()
		if msg == nil {
			break
		}
		s.attempt(msg, ep)
	}
	s.turnNumber++
}

// selectNext returns the message to be sent next and its endpoint, or nil for none. First attempts go before all
// retries.
func (s *Sender) selectNext() (*message, *endpoint) {
	if msg, ep := s.selectAmong(true); msg != nil {
		return msg, ep
	}
	return s.selectAmong(false)
}

// selectAmong returns the message with the highest value for its call time, either among first attempts or among
// retries. Only the newest sendable message of each queue is considered.
func (s *Sender) selectAmong(firstAttempts bool) (best *message, to *endpoint) {
	highest := 0.0
	for _, dest := range s.queuedDestinations {
		for i, queue := range dest.queues {
			if firstAttempts != (i >= retryQueues) {
				continue
			}
			msg, ep := s.newestSendable(dest, queue)
			if ep == nil {
				continue
			}
			value := s.valueAfter(msg, Time(s.usualCallTime(dest)))
			if perTime := (value + valueEpsilon) / max(1, ep.mean); perTime > highest {
				best, to, highest = msg, ep, perTime
			}
		}
	}
	return best, to
}

// obstacle is why a message can't use an endpoint that other messages of its queue may be able to use.
type obstacle int

const (
	noObstacle obstacle = iota
	tooLarge            // it doesn't fit into the open calls
	disallowed          // the host doesn't allow the endpoint
)

// newestSendable returns the newest message of a queue and an endpoint that it can go to, or nil if no endpoint can
// take it. If it is not allowed to use the available endpoints, some older messages are tried, as they may be allowed
// to. If it is too large for the calls that are open, some older messages may join these.
func (s *Sender) newestSendable(dest *destination, queue *list.List) (*message, *endpoint) {
	element := queue.Back()
	joinOnly := false
	for scanned := 0; element != nil && scanned < maxScanned; scanned++ {
		msg := element.Value.(*message)
		bulkOnly := joinOnly || msg.rejected && dest.rejectedRetriesInFlight >= s.maxRejectedRetries
		ep, why := s.selectEndpoint(msg, bulkOnly)
		if ep != nil {
			return msg, ep
		}
		if why == noObstacle {
			return nil, nil
		}
		joinOnly = joinOnly || why == tooLarge
		element = element.Prev()
	}
	return nil, nil
}

// selectEndpoint returns the endpoint that a message can go to now, or nil, and the greatest obstacle. With bulkOnly, no new
// call may be opened for it.
//
// It returns the best ranked endpoint that can take the message. A message that was rejected prefers an endpoint with a
// lower rejection share than the last one. An ejected endpoint whose trial is due comes last.
func (s *Sender) selectEndpoint(msg *message, bulkOnly bool) (to *endpoint, why obstacle) {
	var trial, rejecting *endpoint
	for _, ep := range msg.destination.ranked {
		if !s.usable(msg, ep) {
			continue
		}
		if !s.boundToZone(msg) && !s.host.Allowed(msg.ID, ep.id) {
			why = disallowed
			continue
		}
		if !ep.ejected && s.hasJoinable(ep) {
			if s.joinableCall(msg, ep) != nil {
				return ep, why
			}
			why = max(why, tooLarge)
		}
		if bulkOnly || len(s.calls) >= s.settings.InFlightLimit || !s.retryBudgetAllows(msg) {
			continue
		}
		if ep.ejected {
			if trial == nil && s.trialDue(msg, ep) {
				trial = ep
			}
			continue
		}
		if s.atConcurrencyLimit(ep) || !ep.route.ready(s.now) || !s.slowStartAllows(msg, ep) {
			continue
		}
		if msg.lastEndpoint == nil || ep.rejectedShare < msg.lastEndpoint.rejectedShare {
			return ep, why
		}
		if rejecting == nil {
			rejecting = ep
		}
	}
	if rejecting != nil {
		return rejecting, why
	}
	return trial, why
}

// usable reports whether an endpoint takes calls and may be sent this message.
func (s *Sender) usable(msg *message, ep *endpoint) bool {
	if !ep.listed || s.now < ep.route.pausedUntil {
		return false
	}
	if s.boundToZone(msg) && ep.zone != msg.RanIn {
		return false
	}
	return !s.mustAwaitAnswers(msg, ep)
}

// boundToZone reports whether a message may be repeated only in the zone where it may have run, because its idempotency
// key is known only there. Routing rules do not apply to it then, since they could leave it without an endpoint.
func (s *Sender) boundToZone(msg *message) bool { return msg.MayRun && s.class(msg).ZoneGroup }

// mustAwaitAnswers reports whether a non-idempotent message must wait because a call to the endpoint went unanswered.
// It waits until enough calls have succeeded again or nonIdempotentTrialDelay has passed since that call, but no longer
// than its deadline allows.
func (s *Sender) mustAwaitAnswers(msg *message, ep *endpoint) bool {
	if s.class(msg).Repeat != NonIdempotent || ep.successesNeeded == 0 {
		return false
	}
	recent := s.now-ep.unansweredAt < nonIdempotentTrialDelay
	return recent && s.now < s.lastAttemptAt(msg)-recentSuccessSpan
}

// trialDue reports whether a message may be used as a trial of an ejected endpoint. Non-idempotent messages may be used
// later than others, unless the latest call was refused and so has not run. After a passed probe, a trial may exceed the
// slow start budget, provided that this budget allows more than negligibleCalls.
func (s *Sender) trialDue(msg *message, ep *endpoint) bool {
	from := ep.nextTrial
	if s.class(msg).Repeat == NonIdempotent && ep.refusedRun == 0 {
		from += nonIdempotentTrialDelay
	}
	if s.now < from || s.probing && !ep.probePassed {
		return false
	}
	return s.slowStartAllows(msg, ep) || s.probing && ep.slowStart.rate*s.fleetSize*s.overloadWindow > negligibleCalls
}

// atConcurrencyLimit reports whether an endpoint has as many calls in flight as allowed. Without a recent successful
// call, an endpoint gets no more calls than an unknown one.
func (s *Sender) atConcurrencyLimit(ep *endpoint) bool {
	if float64(ep.inFlight) >= ep.concurrencyLimit {
		return true
	}
	return ep.inFlight >= initialConcurrency && s.now-ep.lastSuccess >= recentSuccessSpan
}

// MaySend reports whether attempts may still be sent after the host has established a connection for them. They may not
// if the endpoint was paused or drained meanwhile, or if one of the messages is a repeat that is now too late.
func (s *Sender) MaySend(id EndpointID, messages ...MessageID) bool {
	ep, now := s.endpoints[id], s.host.Now()
	if ep == nil || !ep.listed || now < ep.route.pausedUntil {
		return false
	}
	tooLate := func(id MessageID) bool { return now > s.RepeatableUntil(id) }
	return !slices.ContainsFunc(messages, tooLate)
}
