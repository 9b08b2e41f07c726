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
	for _, e := range selectSorted(s.endpoints, func(*endpoint) bool { return ranksElse }) {
		if s.markDirty(e.destination); e.samples == 0 && e.longMean == prior {
			e.callTimes = guessedTimes(s.assumedCallTime)
		}
	}
	for _, n := range selectSorted(s.messages, func(n *message) bool { return n.inFlight == nil && n.attempted() && s.exhausted(n) }) {
		s.endUndelivered(n)
	}
}

func (s *Sender) ListNews(entries []Entry, whole bool) {
	s.now = s.host.Now()
	for _, e := range s.endpoints {
		e.listed = e.listed && !whole
	}
	for _, entry := range entries {
		d, e := s.ensureDestination(entry.Destination), s.endpoints[entry.Endpoint]
		d.kind = s.kinds[max(0, min(int(entry.Kind), len(s.kinds)-1))]
		if e != nil && e.destination != d {
			e.listed, e = false, nil
		}
		if e == nil {
			e = s.addEndpoint(d, entry)
		}
		e.zone, e.listed, e.route.rating = entry.Zone, entry.Stage == Ready, entry.Rating
	}
}

func (s *Sender) addEndpoint(d *destination, entry Entry) *endpoint {
	e := &endpoint{id: entry.Endpoint, destination: d, connectionNoteAt: -recentSuccessSpan, healthState: healthState{slowStartAt: -forever / 2},
		route: either(d.kind.Apart, newRoute(s.now), d.route)}
	s.restoreLearned(e, entry.Learnt)
	for _, other := range d.ranked {
		if other.route == e.route && (other.ejected && !e.ejected || other.slowStartAt > e.slowStartAt) {
			// Most of a destination may be replaced while it is out: what is new is no warmer than the rest.
			s.beginSlowStart(e, other.slowStartAt) // all senders hear of it at one moment, and must not begin then
			e.callTimes, e.healthState, e.slowStart.updatedAt = other.callTimes, other.healthState, max(s.now, other.slowStart.updatedAt)
		}
	}
	s.endpoints[e.id], s.endpointsByHash[hashOf(e.id)] = e, e
	d.ranked = append(d.ranked, e)
	return e
}

func (s *Sender) ensureDestination(id DestinationID) *destination {
	d := s.destinations[id]
	if d == nil {
		d = &destination{id: id, route: newRoute(s.now), retryBudget: tokenBucket{tokens: float64(s.maxRejectedRetries), updatedAt: s.now}}
		s.destinations[id] = d
	}
	s.markDirty(d)
	return d
}

// markDirty has the next tick look at a destination: work follows what changed, not the size of the list.
func (s *Sender) markDirty(d *destination) {
	if !d.dirty {
		d.dirty = true
		s.dirty = append(s.dirty, d)
	}
}

func newRoute(now Time) *route {
	return &route{limiter: tokenBucket{unlimitedRate, unlimitedRate, now}, judgedAt: now}
}

// restoreLearned has an endpoint stand as one of which nothing is known but what another life tells.
func (s *Sender) restoreLearned(e *endpoint, l *Learnt) {
	e.callTimes, e.concurrencyLimit = guessedTimes(s.assumedCallTime), initialConcurrency
	if l != nil {
		e.callTimes = either(l.Seen > 0, callTimes{l.Mean, l.Dev, l.Past, l.Seen}, e.callTimes)
		e.route.limit, e.route.pausedUntil = l.Limit, max(e.route.pausedUntil, s.now+l.Wait)
	}
}

// Void drops what was learnt of an endpoint and its route, or has l stand in its place. An outage and what is
// pending of a cold budget stay; until that is over waits stay too, and no limit that l tells counts.
func (s *Sender) Void(id EndpointID, l *Learnt) {
	s.now = s.host.Now()
	if e := s.endpoints[id]; e != nil {
		was := *e.route
		*e.route = *newRoute(s.now)
		s.restoreLearned(e, l)
		e.consecutiveFailures, e.errorShare, e.rejectedShare, e.recentAnswered, e.recentRejected, e.lastSuccess, e.route.rating = 0, 0, 0, 0, 0, 0, was.rating
		if s.markDirty(e.destination); s.impaired(e) || e.route == e.destination.route && slices.ContainsFunc(e.destination.ranked, s.impaired) {
			e.route.limit, e.route.consecutiveFailures, e.route.pausedUntil = 0, was.consecutiveFailures, max(e.route.pausedUntil, was.pausedUntil)
		}
	}
}
