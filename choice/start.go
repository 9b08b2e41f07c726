package choice

import "slices"

// How a Sender begins, and what is told it of destinations and endpoints.

func Start(h Host, id SenderID, seed int64, set Settings) *Sender {
	s := &Sender{
		host: h, random: newRandomSource(id, seed), now: h.Now(),
		messages: map[MessageID]*message{}, timers: messageTimers{pending: map[TimerID]*message{}}, keyQueues: map[OrderKey]*keyQueue{},
		destinations: map[DestinationID]*destination{}, endpoints: map[EndpointID]*endpoint{}, endpointsByHash: map[endpointHash]*endpoint{},
	}
	s.applySettings(set)
	h.Timer(tickInterval, tickTimer)
	return s
}

// applySettings works out what hangs on settings; what is known of kinds and accounts that were there stays.
func (s *Sender) applySettings(set Settings) {
	fleet, shortest := set.Senders > smallFleetSize, float64(shortestContract(set.Classes))
	s.settings, s.fleetSize, s.turnInterval, s.maxValue = set, float64(set.Senders), max(1, set.Turn), highestValue(set.Classes)
	s.probing, s.exchangesNotes, s.maxRejectedRetries = set.Probing && !fleet, set.Notes && fleet, max(1, set.InFlightLimit/rejectedRetryDivisor)
	s.loadWindow, s.overloadWindow = either(fleet, fleetLoadWindow, rateWindow), seconds(max(Second, set.Fall))
	s.ratingShare = [...]float64{0, 1 / 1.5, 1}[set.Rating] / s.fleetSize // a rough one may be half too high
	s.retryBase, s.retryCap = max(1, Time(retryBaseShare*shortest)), max(1, Time(retryCapShare*shortest))
	s.assumedCallTime = max(1, assumedCallShare*shortest)
	for i, k := range set.Kinds {
		if i == len(s.kinds) {
			s.kinds = append(s.kinds, &kind{usualWait: defaultLimitWait, retryBudget: tokenBucket{tokens: float64(s.maxRejectedRetries), updatedAt: s.now}})
		}
		s.kinds[i].Kind = k
	}
	for _, q := range set.Quotas[len(s.accountQuotas):] {
		s.accountQuotas = append(s.accountQuotas, tokenBucket{tokens: quotaBurst * q / s.fleetSize, updatedAt: s.now})
	}
}

// Configure takes new settings whole, between two turns. What is open or learnt stays; lists may only grow.
func (s *Sender) Configure(set Settings) {
	s.now = s.host.Now()
	fees, prior := s.settings.RouteFees, s.assumedCallTime
	s.applySettings(set)
	ranksElse := prior != s.assumedCallTime || !slices.Equal(fees, set.RouteFees)
	for _, ep := range selectSorted(s.endpoints, func(*endpoint) bool { return ranksElse }) {
		if s.markDirty(ep.destination); ep.samples == 0 && ep.longMean == prior {
			ep.callTimes = guessedTimes(s.assumedCallTime)
		}
	}
	for _, msg := range selectSorted(s.messages, func(msg *message) bool { return msg.inFlight == nil && msg.attempted() && s.exhausted(msg) }) {
		s.endUndelivered(msg)
	}
}

func (s *Sender) ListNews(entries []Entry, whole bool) {
	s.now = s.host.Now()
	for _, ep := range s.endpoints {
		ep.listed = ep.listed && !whole
	}
	for _, entry := range entries {
		dest, ep := s.ensureDestination(entry.Destination), s.endpoints[entry.Endpoint]
		dest.kind = s.kinds[max(0, min(int(entry.Kind), len(s.kinds)-1))]
		if ep != nil && ep.destination != dest {
			ep.listed, ep = false, nil
		}
		if ep == nil {
			ep = s.addEndpoint(dest, entry)
		}
		ep.zone, ep.listed, ep.route.rating = entry.Zone, entry.Stage == Ready, entry.Rating
	}
}

func (s *Sender) addEndpoint(dest *destination, entry Entry) *endpoint {
	ep := &endpoint{id: entry.Endpoint, destination: dest, connectionNoteAt: -recentSuccessSpan, healthState: healthState{slowStartAt: -forever / 2},
		route: either(dest.kind.Apart, newRoute(s.now), dest.route)}
	s.restoreLearned(ep, entry.Learnt)
	for _, other := range dest.ranked {
		if other.route == ep.route && (other.ejected && !ep.ejected || other.slowStartAt > ep.slowStartAt) {
			// Most of a destination may be replaced while it is out: what is new is no warmer than the rest.
			s.beginSlowStart(ep, other.slowStartAt) // all senders hear of it at one moment, and must not begin then
			ep.callTimes, ep.healthState, ep.slowStart.updatedAt = other.callTimes, other.healthState, max(s.now, other.slowStart.updatedAt)
		}
	}
	s.endpoints[ep.id], s.endpointsByHash[hashOf(ep.id)] = ep, ep
	dest.ranked = append(dest.ranked, ep)
	return ep
}

func (s *Sender) ensureDestination(id DestinationID) *destination {
	dest := s.destinations[id]
	if dest == nil {
		dest = &destination{id: id, route: newRoute(s.now), retryBudget: tokenBucket{tokens: float64(s.maxRejectedRetries), updatedAt: s.now}}
		s.destinations[id] = dest
	}
	s.markDirty(dest)
	return dest
}

// markDirty has the next tick look at a destination: work follows what changed, not the size of the list.
func (s *Sender) markDirty(dest *destination) {
	if !dest.dirty {
		dest.dirty = true
		s.dirty = append(s.dirty, dest)
	}
}

func newRoute(now Time) *route {
	return &route{limiter: tokenBucket{unlimitedRate, unlimitedRate, now}, judgedAt: now}
}

// restoreLearned has an endpoint stand as one of which nothing is known but what another life tells.
func (s *Sender) restoreLearned(ep *endpoint, l *Learnt) {
	ep.callTimes, ep.concurrencyLimit = guessedTimes(s.assumedCallTime), initialConcurrency
	if l != nil {
		ep.callTimes = either(l.Seen > 0, callTimes{l.Mean, l.Dev, l.Past, l.Seen}, ep.callTimes)
		ep.route.limit, ep.route.pausedUntil = l.Limit, max(ep.route.pausedUntil, s.now+l.Wait)
	}
}

// Void drops what was learnt of an endpoint and its route, or has l stand in its place. An outage and what is
// pending of a cold budget stay; until that is over waits stay too, and no limit that l tells counts.
func (s *Sender) Void(id EndpointID, l *Learnt) {
	s.now = s.host.Now()
	if ep := s.endpoints[id]; ep != nil {
		was := *ep.route
		*ep.route = *newRoute(s.now)
		s.restoreLearned(ep, l)
		ep.consecutiveFailures, ep.errorShare, ep.rejectedShare, ep.recentAnswered, ep.recentRejected, ep.lastSuccess, ep.route.rating = 0, 0, 0, 0, 0, 0, was.rating
		if s.markDirty(ep.destination); s.impaired(ep) || ep.route == ep.destination.route && slices.ContainsFunc(ep.destination.ranked, s.impaired) {
			ep.route.limit, ep.route.consecutiveFailures, ep.route.pausedUntil = 0, was.consecutiveFailures, max(ep.route.pausedUntil, was.pausedUntil)
		}
	}
}
