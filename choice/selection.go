package choice

import (
	"container/list"
	"slices"
)

const (
	// barredScanLimit is how many messages of a queue are looked at, at most, where those looked at may not use the
	// endpoints that have capacity, and those behind may.
	barredScanLimit = 16
	// valueEpsilon ranks messages without any value by their call time, too.
	valueEpsilon = 1e-6
	// cautiousTrialDelay is how much later than others a non-idempotent message is sent where calls went unanswered.
	cautiousTrialDelay = 2 * longestTrialPause
)

// TurnEnd sends what can be sent. The host calls it after each batch of things that happened at one time; messages sent
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

// selectNext returns the message to be sent next, and the endpoint it goes to, or nil. First attempts go before any
// retry.
func (s *Sender) selectNext() (*message, *endpoint) {
	if msg, ep := s.selectAmong(true); msg != nil {
		return msg, ep
	}
	return s.selectAmong(false)
}

// selectAmong returns, among first attempts or among retries, the message with the most value for its call time. Of
// each queue the newest message takes part.
func (s *Sender) selectAmong(firstAttempts bool) (best *message, to *endpoint) {
	highest := 0.0
	for _, dest := range s.withQueued {
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

// newestSendable returns the newest message of a queue and the endpoint it can go to, or nil where it can go to none.
// Where that is because of endpoints it is not allowed to use, some older messages are tried, which may be allowed to.
func (s *Sender) newestSendable(dest *destination, queue *list.List) (*message, *endpoint) {
	element := queue.Back()
	for looked := 0; element != nil && looked < barredScanLimit; looked++ {
		msg := element.Value.(*message)
		bulkOnly := msg.rejected && dest.rejectedRetriesOut >= s.maxRejectedRetries
		ep, barred := s.selectEndpoint(msg, bulkOnly)
		if ep != nil {
			return msg, ep
		}
		if !barred {
			return nil, nil
		}
		element = element.Prev()
	}
	return nil, nil
}

// selectEndpoint returns the endpoint that a message can go to now, or nil, and whether there were any that it is not
// allowed to use. With bulkOnly no call may be opened for it.
//
// The best ranked endpoint that can take it wins, but a message that was rejected goes to a less rejecting endpoint if
// there is one; an ejected endpoint that is due for a trial comes last.
func (s *Sender) selectEndpoint(msg *message, bulkOnly bool) (to *endpoint, barred bool) {
	var trial, rejecting *endpoint
	for _, ep := range msg.destination.ranked {
		if !s.usable(msg, ep) {
			continue
		}
		if !s.boundToZone(msg) && !s.host.Allowed(msg.ID, ep.id) {
			barred = true
			continue
		}
		if s.joinsBulkCall(ep) {
			return ep, barred
		}
		if bulkOnly || len(s.calls) >= s.settings.InFlightLimit || !s.mayPayAttempt(msg) {
			continue
		}
		if ep.ejected {
			if trial == nil && s.trialDue(msg, ep) {
				trial = ep
			}
			continue
		}
		if s.atConcurrencyLimit(ep) || !ep.route.ready(s.now) || !s.slowStartReady(ep) {
			continue
		}
		if msg.lastEndpoint == nil || ep.rejectedShare < msg.lastEndpoint.rejectedShare {
			return ep, barred
		}
		if rejecting == nil {
			rejecting = ep
		}
	}
	if rejecting != nil {
		return rejecting, barred
	}
	return trial, barred
}

// usable reports whether an endpoint takes calls at all, and may get this message.
func (s *Sender) usable(msg *message, ep *endpoint) bool {
	if !ep.listed || s.now < ep.route.pausedUntil {
		return false
	}
	if s.boundToZone(msg) && ep.zone != msg.RanIn {
		return false
	}
	return !s.tooUncertain(msg, ep)
}

// boundToZone reports whether a message may be repeated only in the zone where it may have run, as its idempotency key
// is known there alone. No routing plan moves it then: it would have nowhere to go.
func (s *Sender) boundToZone(msg *message) bool { return msg.MayRun && s.class(msg).ZoneGroup }

// tooUncertain reports whether a non-idempotent message should wait until calls to an endpoint, of which some stayed
// unanswered, are answered again. It waits no longer than its deadline allows.
func (s *Sender) tooUncertain(msg *message, ep *endpoint) bool {
	if s.class(msg).Repeat != NonIdempotent || ep.successesNeeded == 0 {
		return false
	}
	lately := s.now-ep.unansweredAt < cautiousTrialDelay
	return lately && s.now < s.lastAttemptAt(msg)-recentSuccessSpan
}

// joinsBulkCall reports whether a message for an endpoint can join the call that was opened there in this turn.
func (s *Sender) joinsBulkCall(ep *endpoint) bool {
	return !ep.ejected && s.bulkCallOpen(ep)
}

// bulkCallOpen reports whether there is a call of this turn that takes a further message.
func (s *Sender) bulkCallOpen(ep *endpoint) bool {
	call := ep.bulkCall
	return call != nil && call.turn == s.turnNumber && call.messages < ep.destination.kind.BulkMax
}

// trialDue reports whether a message may try an ejected endpoint. Non-idempotent messages do so later than others.
// Where a probe has passed, the slow start budget may be exceeded by a trial, if it is more than a few calls.
func (s *Sender) trialDue(msg *message, ep *endpoint) bool {
	from := ep.nextTrial
	if s.class(msg).Repeat == NonIdempotent {
		from += cautiousTrialDelay
	}
	if s.now < from || s.probing && !ep.probePassed {
		return false
	}
	return s.slowStartReady(ep) || s.probing && ep.slowStart.rate*s.fleetSize*s.overloadWindow > fewCalls
}

// atConcurrencyLimit reports whether an endpoint has as many calls in flight as it should. One that has done no call
// lately gets no more than an unknown one.
func (s *Sender) atConcurrencyLimit(ep *endpoint) bool {
	if float64(ep.inFlight) >= ep.concurrencyLimit {
		return true
	}
	return ep.inFlight >= initialConcurrency && s.now-ep.lastSuccess >= recentSuccessSpan
}

// Open reports whether attempts may still be sent once their connection is up: the endpoint was not paused or drained
// meanwhile, and no repeat among the messages has become too late.
func (s *Sender) Open(id EndpointID, messages ...MessageID) bool {
	ep, now := s.endpoints[id], s.host.Now()
	if ep == nil || !ep.listed || now < ep.route.pausedUntil {
		return false
	}
	tooLate := func(id MessageID) bool { return now > s.RepeatableUntil(id) }
	return !slices.ContainsFunc(messages, tooLate)
}
