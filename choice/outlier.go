package choice

import "math"

// This file ejects endpoints whose calls fail (outlier ejection) and readmits them.

const (
	// minFailuresToEject is the least number of consecutive failures that ejects an endpoint with recent successful
	// calls.
	minFailuresToEject = 2
	// falseEjectionInterval is the mean time in seconds between ejections of a healthy endpoint by chance.
	falseEjectionInterval = 60
	// firstTrialPause and longestTrialPause are the bounds of the backoff between trials of an ejected endpoint.
	firstTrialPause   = 300 * Millisecond
	longestTrialPause = 2 * Second
	// maxBriefOutage is the longest time between the last successful call and the readmission of an endpoint for which
	// the endpoint counts as not having been down.
	maxBriefOutage = 3 * Second / 2
	// successesAfterUnanswered is the number of successful calls that an endpoint needs after an unanswered one before
	// it gets non-idempotent messages again.
	successesAfterUnanswered = 6
)

// onUnanswered counts a call as unanswered, at most once. If another call to the endpoint has succeeded since this one
// was sent, the endpoint's concurrency limit is halved, and non-idempotent messages wait until more calls succeed.
// Otherwise the call counts as a failure.
func (s *Sender) onUnanswered(call *call) {
	if call.unanswered {
		return
	}
	call.unanswered = true
	ep := call.endpoint
	if ep.lastSuccess <= call.sentAt {
		s.recordFailure(ep, 0)
		return
	}
	ep.concurrencyLimit = max(1, ep.concurrencyLimit/2)
	ep.successesNeeded = successesAfterUnanswered
	ep.unansweredAt = s.now
}

// recordFailure counts a failed call and ejects the endpoint after enough consecutive failures. The more calls and
// errors an endpoint usually has, the more failures are needed, as some occur by chance. If it has had no successful
// call recently, one failure is enough, since a sender of a large fleet rarely sees two. That does not apply if the
// answer reported a limit (0 for none).
//
// In a large fleet, two failures on a route without recent successful calls eject all of its endpoints. Otherwise, each
// sender would try every endpoint in turn.
func (s *Sender) recordFailure(ep *endpoint, reportedLimit float64) {
	route := ep.route
	ep.consecutiveFailures++
	route.consecutiveFailures++
	oneIsEnough := reportedLimit == 0 && s.now-ep.lastSuccess > recentSuccessSpan
	if !ep.ejected && ep.consecutiveFailures < s.ejectionThreshold(ep) && !oneIsEnough {
		return
	}
	noRecentSuccess := s.now-route.lastSuccess > recentSuccessSpan
	reason := CallsFailed
	if ep.refusedRun > 0 {
		reason = CallsRefused
	}
	ejectRoute := s.fleetSize > smallFleetSize && route.consecutiveFailures >= minFailuresToEject && noRecentSuccess
	for _, other := range ep.destination.ranked {
		if other == ep || other.route == route && !other.ejected && ejectRoute {
			s.eject(other, reason)
		}
	}
}

// ejectionThreshold returns the number of consecutive failures that ejects an endpoint. At its usual call rate and
// error share, that many failures occur by chance only once in falseEjectionInterval.
func (s *Sender) ejectionThreshold(ep *endpoint) int {
	rate := ep.sent.read(s.now, s.sharedRateWindow())
	threshold := math.Log(falseEjectionInterval*rate) / -math.Log(max(toleratedRejections, ep.errorShare))
	return max(minFailuresToEject, int(math.Ceil(threshold)))
}

// eject stops sending to an endpoint whose calls fail, whatever the cause. A trial call readmits it; in a small fleet a
// probe must pass before that. Each further ejection doubles the pause before the next trial. Drawback: a healthy
// endpoint with two failures by chance is ejected as well.
func (s *Sender) eject(ep *endpoint, reason HealthReason) {
	s.markDirty(ep.destination)
	if ep.ejected {
		ep.trialPause = min(longestTrialPause, 2*ep.trialPause)
	} else {
		ep.ejectedAt = s.now
		ep.trialPause = firstTrialPause
		ep.previousSlowStartAt = ep.slowStartAt
		s.beginSlowStart(ep, max(s.now, ep.route.pausedUntil))
		ep.ejected = true
		ep.suspected = false
		s.host.EndpointChanged(ep.id, EndpointEjected, reason)
	}
	ep.lastFailure = s.now
	ep.probePassed = false
	ep.nextTrial = s.now + ep.trialPause/2 + s.random.jitter(string(ep.id), ep.trialPause/2)
}

// readmit ends the ejection of an endpoint that has answered a call sent at the given time. Slow start counts from
// midway between the last failure and now, since the two are far apart in a large fleet. An endpoint that was not down
// keeps its slow start from before the ejection, if any.
func (s *Sender) readmit(ep *endpoint, sentAt Time) {
	ep.consecutiveFailures = 0
	if !ep.ejected {
		return
	}
	event := EndpointReadmitted
	if s.now-ep.lastSuccess < maxBriefOutage {
		ep.slowStartAt = ep.previousSlowStartAt
	} else if sentAt >= ep.ejectedAt { // a call sent before the ejection does not prove that the endpoint is back
		s.beginSlowStart(ep, (ep.lastFailure+s.now)/2)
		event = SlowStartBegun
	}
	ep.ejected = false
	s.host.EndpointChanged(ep.id, event, CallSucceeded)
}

// probeIfDue sends a health probe to an ejected endpoint whose trial is due, if this sender sends probes.
func (s *Sender) probeIfDue(ep *endpoint) {
	wanted := ep.ejected && s.probing && !ep.probePassed && ep.listed && !ep.probing
	due := s.now >= max(ep.nextTrial, ep.route.pausedUntil)
	if wanted && due && s.slowStartReady(ep) {
		ep.probing = true
		ep.slowStart.tokens--
		s.host.Probe(ep.id)
	}
}

// ProbeEnded handles the result of a health probe. A passed probe allows a trial call, and a failed one doubles the
// pause before the next trial. A cancelled probe was never sent, so it only postpones the next trial.
func (s *Sender) ProbeEnded(id EndpointID, result Result) {
	s.now = s.host.Now()
	ep := s.endpoints[id]
	if ep == nil || !ep.probing {
		return
	}
	ep.probing = false
	ep.probePassed = result == Done
	if result == Cancelled {
		ep.nextTrial = s.now + ep.trialPause
	} else if ep.ejected && !ep.probePassed {
		s.eject(ep, CallsFailed)
	}
}
