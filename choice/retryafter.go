package choice

// This file pauses routes: as a Retry-After says, or by a guess where rejections come without one.

const (
	// longRetryAfter: a longer Retry-After comes from a destination that is shut, not from a limit.
	longRetryAfter = 2500 * Millisecond
	// longestGuessedWait is the longest pause that is guessed.
	longestGuessedWait = 8 * Second
	// maxPauseJitter is the longest jitter added to a Retry-After.
	maxPauseJitter = 4 * tickInterval
)

// pauseRoute pauses a route for a Retry-After, jittered so that senders that got the same one do not return at the same
// moment. Where the destination is shut, its endpoints begin slow start when the pause is over.
func (s *Sender) pauseRoute(ep *endpoint, wait Time, shut bool) {
	end := s.now + wait + s.random.jitter(string(ep.id), min(wait/8, maxPauseJitter))
	ep.route.pausedUntil = max(ep.route.pausedUntil, end)
	for other := range ep.destination.endpointsOf(ep.route) {
		// The slow start budget does not fill during the pause: all senders would use it up at the moment it ends.
		other.slowStart.updatedAt = max(other.slowStart.updatedAt, end)
		if shut {
			s.beginSlowStart(other, end)
		}
	}
}

// pauseEnd is when the first endpoint of a destination may be sent something, as far as pauses go.
func (s *Sender) pauseEnd(dest *destination) Time {
	latest := max(dest.route.pausedUntil, s.now)
	return earliest(dest.ranked, latest, func(ep *endpoint) Time { return ep.route.pausedUntil })
}

// needsGuessedWait reports whether a route should pause though no Retry-After came: a run of rejections, with nothing
// done lately, and no pause yet.
func (s *Sender) needsGuessedWait(route *route) bool {
	run := route.consecutiveRejections >= rejectionRun
	return run && s.now-route.lastSuccess > recentSuccessSpan && s.now >= route.pausedUntil
}

// pauseByGuess pauses a route for a guess, which doubles each time, with half of it jitter.
func (s *Sender) pauseByGuess(ep *endpoint) {
	route := ep.route
	route.guessedWait = min(longestGuessedWait, max(firstTrialPause, 2*route.guessedWait))
	jitter := s.random.jitter(string(ep.id), route.guessedWait/2)
	s.pauseRoute(ep, route.guessedWait/2+jitter, false)
}
