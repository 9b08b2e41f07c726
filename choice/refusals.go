package choice

import "math"

// This file decides what a refused call says about its endpoint. A refusal has many causes: a full connection table or queue,
// a rate limit, or an outage. No form of a refusal tells an outage from the others for certain, so a run of refusals without
// a successful call counts as an outage if working endpoints rarely cause such a run.

const (
	// maxChanceOfRun is the probability from which on down a run of refusals is not attributed to chance.
	maxChanceOfRun = 0.001
	// maxRefusedSpan is the time after which a run of refusals counts as an outage, however usual refusals are.
	maxRefusedSpan = 4 * Second
	// kindRefusalWeight is the weight of one call in the usual share of refused calls of a kind.
	kindRefusalWeight = 0.05
	// kindRefusalCalls is the number of calls to an endpoint that weigh as much as the usual share of its kind.
	kindRefusalCalls = 4.0
	// usualCallDecay is the factor by which the counts of an endpoint decay with each successful call.
	usualCallDecay = 0.98
	// maxUsualRun and maxOutageRun are the most refusals of one run that count as usual: of a run at a working endpoint, and
	// of one that was taken for an outage.
	maxUsualRun  = 8
	maxOutageRun = 2
)

// usualCalls counts calls of an endpoint that were refused while it worked, and all that were answered. Both decay.
type usualCalls struct {
	refused, answered float64
}

// count counts a run of refusals and the successful call that ended it.
func (u *usualCalls) count(run int) {
	u.refused = u.refused*usualCallDecay + float64(run)
	u.answered = u.answered*usualCallDecay + float64(run+1)
}

// usualRefusals returns the estimated share of calls that an endpoint refuses while it works.
func (s *Sender) usualRefusals(ep *endpoint) float64 {
	ofKind := ep.destination.kind.refusedShare
	share := (ofKind*kindRefusalCalls + ep.usual.refused) / (kindRefusalCalls + ep.usual.answered)
	return max(toleratedRejections, share)
}

// isOutage reports whether an endpoint that has just refused a call is taken to be unavailable: it has had no successful call
// recently, and has refused more calls since the last one than chance explains, or for longer than maxRefusedSpan. A single
// refusal is enough only if it names a Retry-After.
func (s *Sender) isOutage(ep *endpoint, retryAfter Time) bool {
	evidence := ep.refusedRun
	if retryAfter > 0 {
		evidence++
	}
	if evidence < minRejectionRun || !s.mayBeOut(ep) {
		return false
	}
	return s.now-ep.refusedSince >= maxRefusedSpan || math.Pow(s.usualRefusals(ep), float64(evidence)) <= maxChanceOfRun
}

// mayBeOut reports whether an endpoint has refused the latest call and has had no successful call recently.
func (s *Sender) mayBeOut(ep *endpoint) bool {
	return ep.refusedRun > 0 && s.now-ep.lastSuccess > recentSuccessSpan
}

// endRefusedRun learns from a successful call how many calls in a row an endpoint refuses while it works.
func (s *Sender) endRefusedRun(ep *endpoint) {
	run, kind := min(ep.refusedRun, maxUsualRun), ep.destination.kind
	if ep.ejected {
		run = min(run, maxOutageRun)
	}
	ep.usual.count(run)
	if !ep.ejected {
		for range run {
			kind.refusedShare = updateShare(kind.refusedShare, kindRefusalWeight, true)
		}
	}
	kind.refusedShare = updateShare(kind.refusedShare, kindRefusalWeight, false)
	ep.refusedRun = 0
	if ep.suspected {
		ep.suspected = false
		s.host.EndpointChanged(ep.id, EndpointCleared, CallSucceeded)
	}
}

// onRejected handles a rejected call.
func (s *Sender) onRejected(call *call, o Outcome) {
	ep, route := call.endpoint, call.endpoint.route
	if ep.refusedRun == 0 {
		ep.refusedSince = s.now
		ep.rateBeforeRun = route.limiter.rate
	}
	ep.refusedRun++
	outage := s.isOutage(ep, o.RetryAfter)
	// A new connection that the endpoint closes without a Retry-After means that its connection table was full, from which
	// nothing follows about rate limits.
	switch tableFull := o.Closed && !o.Reused && o.RetryAfter == 0; {
	case !tableFull:
		s.onRefused(call, o, outage)
	case ep.ejected || outage:
		s.eject(ep, CallsRefused)
	default:
		s.onConnectionTableFull(ep)
		s.host.EndpointChanged(ep.id, ConnectionTableFull, CallsRefused)
	}
	if ep.ejected { // the refusals of an outage say nothing about a limit
		route.limiter.rate = max(route.limiter.rate, ep.rateBeforeRun)
	} else if s.mayBeOut(ep) && !ep.suspected && !s.impaired(ep) {
		ep.suspected = true
		s.host.EndpointChanged(ep.id, EndpointSuspected, CallsRefused)
	}
}

// onRefused handles a rejected call that does not show a full connection table. It distinguishes a rate limit, which a report
// shows as used up, and a full queue from an unavailable destination. Drawback: a destination with a very low limit is taken
// for unavailable until its usual refusals are known.
func (s *Sender) onRefused(call *call, o Outcome, outage bool) {
	ep, route, kind := call.endpoint, call.endpoint.route, call.endpoint.destination.kind
	pausedUntil := route.pausedUntil // before this rejection
	limited := o.Report.Limit > 0 && (o.Report.Left-exhaustedShare)*o.Report.Limit < 1
	route.consecutiveRejections++
	if s.exchangesNotes && s.now >= pausedUntil && (limited || o.RetryAfter > 0 || !kind.reportsLimits) {
		s.sendNote(ep, max(o.RetryAfter, noteUnit))
		s.applyPeerLimit(ep, o.RetryAfter)
	}
	if o.RetryAfter > 0 {
		unexplained := kind.reportsLimits && !limited && s.now-route.lastSuccess > fullQueueSpan
		s.pauseRoute(ep, o.RetryAfter, outage || unexplained || o.RetryAfter > longRetryAfter)
	}
	switch {
	case limited && o.RetryAfter <= longRetryAfter && !outage:
		s.readmit(ep, call.sentAt) // it answers, so this is no outage
	case o.RetryAfter == 0 && s.queueFull(ep):
		// A rate cut would starve this endpoint, which has no limit.
		ep.concurrencyLimit = max(1, min(ep.concurrencyLimit, float64(ep.inFlight)-1))
		return
	case ep.ejected || kind.reportsLimits || outage && o.RetryAfter == 0:
		s.recordFailure(ep, o.Report.Limit)
	}
	if ep.ejected {
		return
	}
	// The first Retry-After is enough without a rate cut. If another one follows at once, the rate is too high.
	if o.RetryAfter == 0 || s.now-pausedUntil <= recentSuccessSpan {
		s.adjustRate(ep.destination, route)
	}
}

// queueFull reports whether a rejection means that an endpoint has too many calls in flight. That is so if its kind
// reports limits, it has none, and it had a successful call just before.
func (s *Sender) queueFull(ep *endpoint) bool {
	unlimited := ep.destination.kind.reportsLimits && ep.route.limit == 0
	return unlimited && !ep.ejected && s.now-ep.route.lastSuccess < fullQueueSpan
}
