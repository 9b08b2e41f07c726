package choice

import "cmp"
import "slices"

// Where a message goes and for how long its call may take.

// rankCost is when one more call would be done, one by one; a refusal costs a wait. An unseen far one ranks
// behind, which spreads a fleet over a destination; a route's fee counts as time.
func (s *Sender) rankCost(ep *endpoint) float64 {
	dear := 1 + feeTimeFactor*one(ep.destination.kind.Apart)*s.settings.fee(ep.zone)
	if ep.samples == 0 && ep.zone != s.settings.Zone {
		return 2 * ep.mean * dear
	}
	return (ep.mean*float64(1+ep.inFlight) + ep.rejectedShare*float64(s.retryBase)) / (1 - ep.rejectedShare) * dear
}

// retryBudget is what pays for retries there: calls done, where notes are told all of the kind, and a trickle.
func (s *Sender) retryBudget(dest *destination) *tokenBucket {
	return either(s.exchangesNotes, &dest.kind.retryBudget, &dest.retryBudget)
}

// refreshDestination renews a destination; it tells whether nothing is left to come back for.
func (s *Sender) refreshDestination(dest *destination) bool {
	dest.ranked = slices.DeleteFunc(dest.ranked, func(ep *endpoint) bool {
		if ep.listed || ep.inFlight > 0 || ep.probing || s.now < max(ep.slowStartAt+s.settings.Cold, ep.route.pausedUntil) {
			return false
		}
		if s.endpoints[ep.id] == ep {
			delete(s.endpoints, ep.id)
			deleteValue(s.endpointsByHash, ep) // two may share one
		}
		return true
	})
	slices.SortStableFunc(dest.ranked, func(a, b *endpoint) int { return cmp.Compare(s.rankCost(a), s.rankCost(b)) })
	dest.dirty = false
	for _, ep := range dest.ranked {
		due := s.now >= max(ep.nextTrial, ep.route.pausedUntil)
		if ep.ejected && s.probing && !ep.probePassed && ep.listed && !ep.probing && due && s.slowStartReady(ep) {
			ep.probing, ep.slowStart.tokens = true, ep.slowStart.tokens-1
			s.host.Probe(ep.id)
		}
		dest.dirty = dest.dirty || ep.ejected || !ep.listed
	}
	if len(dest.ranked) == 0 && dest.openMessages == 0 {
		delete(s.destinations, dest.id)
	}
	return !dest.dirty
}

// Open tells whether an attempt may still leave as its connection is up: no wait, drain or window's end came.
func (s *Sender) Open(id EndpointID, messages ...MessageID) bool {
	ep, now := s.endpoints[id], s.host.Now()
	late := func(id MessageID) bool { return now > s.RepeatEnd(id) }
	return ep != nil && ep.listed && now >= ep.route.pausedUntil && !slices.ContainsFunc(messages, late)
}

// selectEndpoint is where a message may go now, and whether any of its places was barred to it.
func (s *Sender) selectEndpoint(msg *message, rideOnly bool) (to *endpoint, barred bool) {
	var trial, same *endpoint
	w, single := s.class(msg), s.class(msg).Repeat == SingleUse
	for _, ep := range msg.destination.ranked {
		switch {
		case !ep.listed || s.now < ep.route.pausedUntil || msg.MayRun && w.ZoneGroup && ep.zone != msg.RanIn ||
			single && ep.successesNeeded > 0 && s.now-ep.unansweredAt < 2*longestTrialPause && s.now < s.lastAttemptAt(msg)-recentSuccessSpan:
		case !(msg.MayRun && w.ZoneGroup) && !s.host.Allowed(msg.ID, ep.id): // such a repeat is known in one zone alone
			barred = true
		case ep.bulkCall != nil && ep.bulkCall.turn == s.turnNumber && !ep.ejected && ep.bulkCall.messages < msg.destination.kind.BundleMax:
			return ep, barred
		case rideOnly || len(s.calls) >= s.settings.InFlightLimit ||
			msg.attempts > 0 && s.retryBudget(msg.destination).refillAt(s.now, 1/seconds(s.retryCap), float64(s.settings.InFlightLimit)) < 1:
		case ep.ejected:
			due := (ep.probePassed || !s.probing) && trial == nil && s.now >= ep.nextTrial+Time(one(single))*2*longestTrialPause
			if due && (s.slowStartReady(ep) || s.probing && ep.slowStart.rate*s.fleetSize*s.overloadWindow > fewCalls) {
				trial = ep
			}
		case float64(ep.inFlight) >= ep.concurrencyLimit || ep.inFlight >= initialConcurrency && s.now-ep.lastSuccess >= recentSuccessSpan: // silent: as new
		case !ep.route.ready(s.now) || !s.slowStartReady(ep):
		case msg.lastEndpoint == nil || ep.rejectedShare < msg.lastEndpoint.rejectedShare: // what refused a message may do so again
			return ep, barred
		default:
			same = cmp.Or(same, ep)
		}
	}
	return cmp.Or(same, trial), barred
}

func (s *Sender) attempt(msg *message, ep *endpoint) {
	if s.dequeue(msg); s.class(msg).Repeat == SingleUse && s.reusedResetShare > reusedResetLimit {
		s.host.CloseIdle(ep.id)
	}
	if k := &ep.destination.kind.callTimes; s.fleetSize > smallFleetSize && ep.samples == 0 && k.samples > 0 {
		ep.callTimes = callTimes{k.mean, k.deviation, k.longMean, 0}
	}
	bulk := ep.bulkCall
	if bulk == nil || bulk.turn != s.turnNumber || bulk.messages >= msg.destination.kind.BundleMax {
		bulk = &call{endpoint: ep, sentAt: s.now, turn: s.turnNumber, rejectedRetry: msg.rejected, newConnection: ep.inFlight == 0 && s.now >= ep.idleConnUntil}
		s.retryBudget(msg.destination).tokens -= one(msg.attempts > 0)
		msg.destination.rejectedRetriesOut += int(one(bulk.rejectedRetry))
		ep.bulkCall, ep.inFlight, ep.slowStart.tokens, ep.route.limiter.tokens = bulk, ep.inFlight+1, ep.slowStart.tokens-1, ep.route.limiter.tokens-1
		ep.route.sent.count(s.now, s.loadWindow)
		ep.probePassed, ep.nextTrial = false, s.now+2*ep.trialPause // read while it is ejected
		ep.sent.count(s.now, rateWindow*Time(s.fleetSize))
		s.calls = append(s.calls, bulk)
	} else {
		ep.slowStart.tokens -= bulkMemberCost
	}
	bulk.messages, bulk.pending, msg.inFlight, msg.attempts = bulk.messages+1, bulk.pending+1, bulk, msg.attempts+1
	s.host.Attempt(msg.ID, ep.id, s.attemptTimeout(msg, ep))
}

func (s *Sender) attemptTimeout(msg *message, ep *endpoint) Time {
	usual := max(2*s.assumedCallTime, ep.mean+timeoutDeviations*ep.deviation)
	free := (finalTimeoutFactor - 1) * float64(s.settings.InFlightLimit-len(s.calls)) / float64(s.settings.InFlightLimit)
	longer := either(s.class(msg).Repeat == SingleUse, 1+free, float64(msg.attempts))
	return max(1, min(roundUp(usual*longer), msg.Deadline-s.now-s.turnInterval))
}
