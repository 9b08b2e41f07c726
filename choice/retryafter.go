package choice

// This file pauses routes for a Retry-After.

const (
	// longRetryAfter is the longest Retry-After that is attributed to a rate limit. A longer one means that the
	// destination is unavailable.
	longRetryAfter = 2500 * Millisecond
	// maxPauseJitter is the longest jitter added to a Retry-After.
	maxPauseJitter = 4 * tickInterval
)

// pauseRoute pauses a route for a Retry-After. It adds jitter, so that senders with the same Retry-After do not resume
// at the same moment. If the destination is unavailable, its endpoints begin slow start when the pause ends.
func (s *Sender) pauseRoute(ep *endpoint, wait Time, unavailable bool) {
	end := s.now + wait + s.random.jitter(string(ep.id), min(wait/8, maxPauseJitter))
	ep.route.pausedUntil = max(ep.route.pausedUntil, end)
	for other := range ep.destination.endpointsOf(ep.route) {
		// The slow start budget does not fill during the pause. Otherwise, all senders would spend it the moment the
		// pause ends.
		other.slowStart.updatedAt = max(other.slowStart.updatedAt, end)
		if unavailable {
			s.beginSlowStart(other, end)
			s.host.EndpointChanged(other.id, SlowStartBegun, LongRetryAfter)
		}
	}
}

// pauseEnd returns the earliest end of a pause among the endpoints of a destination. The end may be in the past.
func (s *Sender) pauseEnd(dest *destination) Time {
	latest := max(dest.route.pausedUntil, s.now)
	return earliest(dest.ranked, latest, func(ep *endpoint) Time { return ep.route.pausedUntil })
}
