package choice

// keepUseFactor decides whether an idle connection is kept: this sender's calls there, counted over the time after which
// the host closes idle connections, must be at least this many times the share of new connections that fail.
const keepUseFactor = 30.0

// closeIfUnused closes the idle connections to an endpoint that are used too little, also where messages wait that may
// not be sent yet. The connections of a fleet fill an endpoint's table: the more new ones fail at its kind, the oftener
// one must be used to be kept.
func (s *Sender) closeIfUnused(ep *endpoint) {
	used := ep.sent.read(s.now, s.sharedRateWindow()) * seconds(s.settings.ConnIdle)
	if s.idle(ep) && used < keepUseFactor*ep.destination.kind.connectFailShare {
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

// onConnectionTableFull handles that an endpoint had no place for a further connection, which says nothing of its limits.
// Idle connections to its kind may be closed, and one call at a time tries there. A drawback: some destinations that
// are shut look like this.
func (s *Sender) onConnectionTableFull(ep *endpoint) {
	kind := ep.destination.kind
	ep.concurrencyLimit = 1
	kind.connectFailShare = updateShare(kind.connectFailShare, recentWeight, true)
	sameKind := func(other *endpoint) bool { return other.destination.kind == kind }
	for _, other := range selectSorted(s.endpoints, sameKind) {
		s.closeIfUnused(other)
	}
}

// onConnectFailed handles that no connection came up. Unless a full connection table is answered, that may be the reason;
// the other senders are notified, as they may have idle connections there.
func (s *Sender) onConnectFailed(ep *endpoint) {
	if s.settings.AnswersWhenTableFull {
		return
	}
	kind := ep.destination.kind
	kind.connectFailShare = updateShare(kind.connectFailShare, recentWeight, true)
	s.sendNote(ep, 0)
}
