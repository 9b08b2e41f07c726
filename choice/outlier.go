package choice

import "math"

// This file ejects endpoints whose calls fail (outlier ejection), and readmits them.

const (
	// failuresToEject is the least number of failures in a row that eject an endpoint which has done calls lately.
	failuresToEject = 2
	// chanceEjectionSpan is how many seconds pass, on average, between ejections of a healthy endpoint by chance.
	chanceEjectionSpan = 60
	// firstTrialPause and longestTrialPause bound the backoff between trials of an ejected endpoint.
	firstTrialPause   = 300 * Millisecond
	longestTrialPause = 2 * Second
	// briefOutageSpan: an endpoint that has done a call within this time before its readmission was not down.
	briefOutageSpan = 3 * Second / 2
	// successesAfterUnanswered is how many calls an endpoint must do, after one stayed unanswered, before it gets
	// non-idempotent messages again.
	successesAfterUnanswered = 6
)

// onUnanswered counts a call as unanswered, once. Where the endpoint has answered others since it was sent, fewer
// calls at once are enough; otherwise it is a failure.
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

// recordFailure counts a failed call, and ejects the endpoint after enough of them in a row: the more calls and errors
// it usually has, the more are needed, as some fail by chance. One is enough where it has done nothing lately, since a
// sender of a large fleet seldom sees two, unless the answer reported a limit (0 for none).
//
// In a large fleet, two failures on a route that has done nothing lately eject all of its endpoints: each sender would
// otherwise try every endpoint in turn.
func (s *Sender) recordFailure(ep *endpoint, reportedLimit float64) {
	route := ep.route
	ep.consecutiveFailures++
	route.consecutiveFailures++
	quiet := reportedLimit == 0 && s.now-ep.lastSuccess > recentSuccessSpan
	if !ep.ejected && ep.consecutiveFailures < s.ejectionRun(ep) && !quiet {
		return
	}
	quietRoute := s.now-route.lastSuccess > recentSuccessSpan
	wholeRoute := s.fleetSize > smallFleetSize && route.consecutiveFailures >= failuresToEject && quietRoute
	for _, other := range ep.destination.ranked {
		if other == ep || other.route == route && !other.ejected && wholeRoute {
			s.eject(other)
		}
	}
}

// ejectionRun is how many failures in a row eject an endpoint: so many that, at its usual rate of calls and share of
// errors, a run of them comes by chance only once in chanceEjectionSpan.
func (s *Sender) ejectionRun(ep *endpoint) int {
	rate := ep.sent.read(s.now, s.sharedRateWindow())
	run := math.Log(chanceEjectionSpan*rate) / -math.Log(max(toleratedRejections, ep.errorShare))
	return max(failuresToEject, int(math.Ceil(run)))
}

// eject stops sending to an endpoint whose calls fail, whatever the cause. It comes back by a trial call, and in a
// small fleet by a probe before that. Each ejection while ejected doubles the pause before the next trial. A drawback:
// a healthy endpoint with two failures by chance is ejected, too.
func (s *Sender) eject(ep *endpoint) {
	s.markDirty(ep.destination)
	if ep.ejected {
		ep.trialPause = min(longestTrialPause, 2*ep.trialPause)
	} else {
		ep.ejectedAt = s.now
		ep.trialPause = firstTrialPause
		ep.previousSlowStartAt = ep.slowStartAt
		s.beginSlowStart(ep, max(s.now, ep.route.pausedUntil))
	}
	ep.lastFailure = s.now
	ep.ejected = true
	ep.probePassed = false
	ep.nextTrial = s.now + ep.trialPause/2 + s.random.jitter(string(ep.id), ep.trialPause/2)
}

// readmit ends an ejection as an endpoint has answered a call, sent at the given time. Slow start counts from midway
// between the last failure and now: in a large fleet the two lie far apart. An endpoint that was not down keeps the
// slow start it had before, if any.
func (s *Sender) readmit(ep *endpoint, sentAt Time) {
	if ep.ejected && s.now-ep.lastSuccess < briefOutageSpan {
		ep.slowStartAt = ep.previousSlowStartAt
	} else if ep.ejected && sentAt >= ep.ejectedAt { // a call from before the ejection shows no return
		s.beginSlowStart(ep, (ep.lastFailure+s.now)/2)
	}
	ep.consecutiveFailures = 0
	ep.ejected = false
}

// probeIfDue sends a health probe to an ejected endpoint that is due for a trial, where this sender probes.
func (s *Sender) probeIfDue(ep *endpoint) {
	wanted := ep.ejected && s.probing && !ep.probePassed && ep.listed && !ep.probing
	due := s.now >= max(ep.nextTrial, ep.route.pausedUntil)
	if wanted && due && s.slowStartReady(ep) {
		ep.probing = true
		ep.slowStart.tokens--
		s.host.Probe(ep.id)
	}
}

// Probed handles the result of a health probe. One that passed lets a call try the endpoint; one that failed doubles the
// pause before the next trial. A probe that was cancelled was never sent and says nothing.
func (s *Sender) Probed(id EndpointID, result Result) {
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
		s.eject(ep)
	}
}
