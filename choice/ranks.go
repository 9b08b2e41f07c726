package choice

import "cmp"
import "slices"

// Where a message goes and for how long its call may take.

// rankCost is when one more call would be done, one by one; a refusal costs a wait. An unseen far one ranks
// behind, which spreads a fleet over a destination; a route's fee counts as time.
func (s *Sender) rankCost(e *endpoint) float64 {
	dear := 1 + feeTimeFactor*one(e.destination.kind.Apart)*s.settings.fee(e.zone)
	if e.samples == 0 && e.zone != s.settings.Zone {
		return 2 * e.mean * dear
	}
	return (e.mean*float64(1+e.inFlight) + e.rejectedShare*float64(s.retryBase)) / (1 - e.rejectedShare) * dear
}

// retryBudget is what pays for retries there: calls done, where notes are told all of the kind, and a trickle.
func (s *Sender) retryBudget(d *destination) *tokenBucket {
	return either(s.exchangesNotes, &d.kind.retryBudget, &d.retryBudget)
}

// refreshDestination renews a destination; it tells whether nothing is left to come back for.
func (s *Sender) refreshDestination(d *destination) bool {
	d.ranked = slices.DeleteFunc(d.ranked, func(e *endpoint) bool {
		if e.listed || e.inFlight > 0 || e.probing || s.now < max(e.slowStartAt+s.settings.Cold, e.route.pausedUntil) {
			return false
		}
		if s.endpoints[e.id] == e {
			delete(s.endpoints, e.id)
			deleteValue(s.endpointsByHash, e) // two may share one
		}
		return true
	})
	slices.SortStableFunc(d.ranked, func(a, b *endpoint) int { return cmp.Compare(s.rankCost(a), s.rankCost(b)) })
	d.dirty = false
	for _, e := range d.ranked {
		due := s.now >= max(e.nextTrial, e.route.pausedUntil)
		if e.ejected && s.probing && !e.probePassed && e.listed && !e.probing && due && s.slowStartReady(e) {
			e.probing, e.slowStart.tokens = true, e.slowStart.tokens-1
			s.host.Probe(e.id)
		}
		d.dirty = d.dirty || e.ejected || !e.listed
	}
	if len(d.ranked) == 0 && d.openMessages == 0 {
		delete(s.destinations, d.id)
	}
	return !d.dirty
}

// Open tells whether an attempt may still leave as its connection is up: no wait, drain or window's end came.
func (s *Sender) Open(id EndpointID, messages ...MessageID) bool {
	e, now := s.endpoints[id], s.host.Now()
	late := func(id MessageID) bool { return now > s.RepeatEnd(id) }
	return e != nil && e.listed && now >= e.route.pausedUntil && !slices.ContainsFunc(messages, late)
}

// selectEndpoint is where a message may go now, and whether any of its places was barred to it.
func (s *Sender) selectEndpoint(n *message, rideOnly bool) (to *endpoint, barred bool) {
	var trial, same *endpoint
	w, single := s.class(n), s.class(n).Repeat == SingleUse
	for _, e := range n.destination.ranked {
		switch {
		case !e.listed || s.now < e.route.pausedUntil || n.MayRun && w.ZoneGroup && e.zone != n.RanIn ||
			single && e.successesNeeded > 0 && s.now-e.unansweredAt < 2*longestTrialPause && s.now < s.lastAttemptAt(n)-recentSuccessSpan:
		case !(n.MayRun && w.ZoneGroup) && !s.host.Allowed(n.ID, e.id): // such a repeat is known in one zone alone
			barred = true
		case e.bulkCall != nil && e.bulkCall.turn == s.turnNumber && !e.ejected && e.bulkCall.messages < n.destination.kind.BundleMax:
			return e, barred
		case rideOnly || len(s.calls) >= s.settings.InFlightLimit ||
			n.attempts > 0 && s.retryBudget(n.destination).refillAt(s.now, 1/seconds(s.retryCap), float64(s.settings.InFlightLimit)) < 1:
		case e.ejected:
			due := (e.probePassed || !s.probing) && trial == nil && s.now >= e.nextTrial+Time(one(single))*2*longestTrialPause
			if due && (s.slowStartReady(e) || s.probing && e.slowStart.rate*s.fleetSize*s.overloadWindow > fewCalls) {
				trial = e
			}
		case float64(e.inFlight) >= e.concurrencyLimit || e.inFlight >= initialConcurrency && s.now-e.lastSuccess >= recentSuccessSpan: // silent: as new
		case !e.route.ready(s.now) || !s.slowStartReady(e):
		case n.lastEndpoint == nil || e.rejectedShare < n.lastEndpoint.rejectedShare: // what refused a message may do so again
			return e, barred
		default:
			same = cmp.Or(same, e)
		}
	}
	return cmp.Or(same, trial), barred
}

func (s *Sender) attempt(n *message, e *endpoint) {
	if s.dequeue(n); s.class(n).Repeat == SingleUse && s.reusedResetShare > reusedResetLimit {
		s.host.CloseIdle(e.id)
	}
	if k := &e.destination.kind.callTimes; s.fleetSize > smallFleetSize && e.samples == 0 && k.samples > 0 {
		e.callTimes = callTimes{k.mean, k.deviation, k.longMean, 0}
	}
	c := e.bulkCall
	if c == nil || c.turn != s.turnNumber || c.messages >= n.destination.kind.BundleMax {
		c = &call{endpoint: e, sentAt: s.now, turn: s.turnNumber, rejectedRetry: n.rejected, newConnection: e.inFlight == 0 && s.now >= e.idleConnUntil}
		s.retryBudget(n.destination).tokens -= one(n.attempts > 0)
		n.destination.rejectedRetriesOut += int(one(c.rejectedRetry))
		e.bulkCall, e.inFlight, e.slowStart.tokens, e.route.limiter.tokens = c, e.inFlight+1, e.slowStart.tokens-1, e.route.limiter.tokens-1
		e.route.sent.count(s.now, s.loadWindow)
		e.probePassed, e.nextTrial = false, s.now+2*e.trialPause // read while it is ejected
		e.sent.count(s.now, rateWindow*Time(s.fleetSize))
		s.calls = append(s.calls, c)
	} else {
		e.slowStart.tokens -= bulkMemberCost
	}
	c.messages, c.pending, n.inFlight, n.attempts = c.messages+1, c.pending+1, c, n.attempts+1
	s.host.Attempt(n.ID, e.id, s.attemptTimeout(n, e))
}

func (s *Sender) attemptTimeout(n *message, e *endpoint) Time {
	usual := max(2*s.assumedCallTime, e.mean+timeoutDeviations*e.deviation)
	free := (finalTimeoutFactor - 1) * float64(s.settings.InFlightLimit-len(s.calls)) / float64(s.settings.InFlightLimit)
	longer := either(s.class(n).Repeat == SingleUse, 1+free, float64(n.attempts))
	return max(1, min(roundUp(usual*longer), n.Deadline-s.now-s.turnInterval))
}
