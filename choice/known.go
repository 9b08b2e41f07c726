package choice

// This file tells what a Sender knows to those who ask; it reads only, and decides nothing.

// Learnt is what means the same in another life or fleet: what calls take, a limit told, a wait not over.
func (s *Sender) Learnt(id EndpointID) (l Learnt) {
	if e := s.endpoints[id]; e != nil {
		l = Learnt{e.mean, e.deviation, e.longMean, e.samples, e.route.limit, max(0, e.route.pausedUntil-s.host.Now())}
	}
	return l
}

// Holds tells how many answers rest on a destination, and whether anything there is open, out, cold or waits.
func (s *Sender) Holds(id DestinationID) (calls float64, pinned bool) {
	d := s.destinations[id]
	if s.now = s.host.Now(); d == nil {
		return 0, false
	}
	pinned = d.openMessages > 0 || s.now < d.keysPausedUntil
	for _, e := range d.ranked {
		calls += e.samples
		pinned = pinned || e.inFlight > 0 || e.probing || !e.listed || s.impaired(e) || s.now < e.route.pausedUntil
	}
	return calls, pinned
}
