package choice

// This file tells what a Sender knows to those who ask; it reads only, and decides nothing.

// Learnt is what means the same in another life or fleet: what calls take, a limit told, a wait not over.
func (s *Sender) Learnt(id EndpointID) (l Learnt) {
	if ep := s.endpoints[id]; ep != nil {
		l = Learnt{ep.mean, ep.deviation, ep.longMean, ep.samples, ep.route.limit, max(0, ep.route.pausedUntil-s.host.Now())}
	}
	return l
}

// Holds tells how many answers rest on a destination, and whether anything there is open, out, cold or waits.
func (s *Sender) Holds(id DestinationID) (calls float64, pinned bool) {
	dest := s.destinations[id]
	if s.now = s.host.Now(); dest == nil {
		return 0, false
	}
	pinned = dest.openMessages > 0 || s.now < dest.keysPausedUntil
	for _, ep := range dest.ranked {
		calls += ep.samples
		pinned = pinned || ep.inFlight > 0 || ep.probing || !ep.listed || s.impaired(ep) || s.now < ep.route.pausedUntil
	}
	return calls, pinned
}
