package choice

// This file tells what a Sender knows to those who ask; it reads only, and decides nothing.

// LearnedState is what means the same in another life or fleet: what calls take, a limit told, a wait not over.
func (s *Sender) LearnedState(id EndpointID) (l LearnedState) {
	if e := s.endpoints[id]; e != nil {
		l = LearnedState{e.mean, e.dev, e.past, e.seen, e.route.limit, max(0, e.route.haltUntil-s.h.Now())}
	}
	return l
}

// Holds tells how many answers rest on a destination, and whether anything there is open, out, cold or waits.
func (s *Sender) Holds(id DestinationID) (calls float64, pinned bool) {
	d := s.byID[id]
	if s.now = s.h.Now(); d == nil {
		return 0, false
	}
	pinned = d.held > 0 || s.now < d.restUntil
	for _, e := range d.ranked {
		calls += e.seen
		pinned = pinned || e.calls > 0 || e.probing || !e.listed || s.outage(e) || s.now < e.route.haltUntil
	}
	return calls, pinned
}
