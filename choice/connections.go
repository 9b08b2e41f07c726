package choice

// minUseFactor decides whether an idle connection is kept. The number of calls that this sender makes there within
// Settings.ConnIdle must be at least this factor times the share of new connections that fail.
const minUseFactor = 30.0

// closeIfUnused closes the idle connections to an endpoint if they are used too rarely, even while messages are queued
// that may not be sent yet. The connections of a large fleet can fill an endpoint's connection table, so the more new
// connections of a kind fail, the more use a kept connection must have.
func (s *Sender) closeIfUnused(ep *endpoint) {
	used := ep.sent.read(s.now, s.sharedRateWindow()) * seconds(s.settings.ConnIdle)
	if s.idle(ep) && used < minUseFactor*ep.destination.kind.connectFailShare {
		s.host.CloseIdle(ep.id)
		ep.idleConnUntil = s.now
	}
}

// idle reports whether an endpoint has no call in flight and will get none in this turn.
func (s *Sender) idle(ep *endpoint) bool {
	if ep.inFlight > 0 {
		return false
	}
	return ep.destination.queued == 0 || !ep.route.ready(s.now) || !s.slowStartReady(ep)
}

// onConnectionTableFull handles an endpoint that had no room for another connection, from which nothing follows about
// its rate limits. It closes little-used idle connections to endpoints of the same kind and limits this endpoint to one
// call at a time. Drawback: some unavailable destinations look the same.
func (s *Sender) onConnectionTableFull(ep *endpoint) {
	kind := ep.destination.kind
	ep.concurrencyLimit = 1
	kind.connectFailShare = updateShare(kind.connectFailShare, recentWeight, true)
	sameKind := func(other *endpoint) bool { return other.destination.kind == kind }
	for _, other := range selectSorted(s.endpoints, sameKind) {
		s.closeIfUnused(other)
	}
}

// onConnectFailed handles a failed connection attempt. Unless endpoints report a full connection table
// (Settings.AnswersWhenTableFull), the table may have been full. The other senders are then notified, as they may hold
// idle connections to the endpoint.
func (s *Sender) onConnectFailed(ep *endpoint) {
	if s.settings.AnswersWhenTableFull {
		return
	}
	kind := ep.destination.kind
	kind.connectFailShare = updateShare(kind.connectFailShare, recentWeight, true)
	s.sendNote(ep, 0)
}
