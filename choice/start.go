package choice

import "slices"

// How a Sender begins, and what is told it of destinations and endpoints.

func Start(h Host, id SenderID, seed int64, set Settings) *Sender {
	s := &Sender{
		h: h, chance: newChance(id, seed), now: h.Now(),
		held: map[MessageID]*message{}, alarms: alarms{of: map[TimerID]*message{}}, lines: map[OrderKey]*keyLine{},
		byID: map[DestinationID]*destination{}, endpoints: map[EndpointID]*endpoint{}, signs: map[sign]*endpoint{},
	}
	s.adopt(set)
	h.Timer(tick, tickTimer)
	return s
}

// adopt works out what hangs on settings; what is known of kinds and accounts that were there stays.
func (s *Sender) adopt(set Settings) {
	fleet, shortest := set.Senders > smallFleet, float64(shortestContract(set.Classes))
	s.set, s.senders, s.turn, s.topValue = set, float64(set.Senders), max(1, set.Turn), topValue(set.Classes)
	s.probes, s.notes, s.laneMax = set.Probing && !fleet, set.Notes && fleet, max(1, set.InFlightLimit/laneShare)
	s.loadSpan, s.fall = either(fleet, fleetLoadSpan, loadSpan), seconds(max(Second, set.Fall))
	s.ratingPart = [...]float64{0, 1 / 1.5, 1}[set.Rating] / s.senders // a rough one may be half too high
	s.base, s.cap = max(1, Time(baseShare*shortest)), max(1, Time(capShare*shortest))
	s.prior = max(1, priorShare*shortest)
	for i, k := range set.Kinds {
		if i == len(s.kinds) {
			s.kinds = append(s.kinds, &kind{wait: usedUpFor, again: bucket{level: float64(s.laneMax), at: s.now}})
		}
		s.kinds[i].Kind = k
	}
	for _, q := range set.Quotas[len(s.shares):] {
		s.shares = append(s.shares, bucket{level: shareSpan * q / s.senders, at: s.now})
	}
}

// Configure takes new settings whole, between two turns. What is open or learnt stays; lists may only grow.
func (s *Sender) Configure(set Settings) {
	s.now = s.h.Now()
	fees, prior := s.set.RouteFees, s.prior
	s.adopt(set)
	ranksElse := prior != s.prior || !slices.Equal(fees, set.RouteFees)
	for _, e := range pick(s.endpoints, func(*endpoint) bool { return ranksElse }) {
		if s.stir(e.d); e.seen == 0 && e.past == prior {
			e.times = even(s.prior)
		}
	}
	for _, n := range pick(s.held, func(n *message) bool { return n.out == nil && n.tried() && s.spent(n) }) {
		s.finish(n)
	}
}

func (s *Sender) UpdateEndpoints(entries []Entry, whole bool) {
	s.now = s.h.Now()
	for _, e := range s.endpoints {
		e.listed = e.listed && !whole
	}
	for _, entry := range entries {
		d, e := s.destination(entry.Destination), s.endpoints[entry.Endpoint]
		d.kind = s.kinds[max(0, min(int(entry.Kind), len(s.kinds)-1))]
		if e != nil && e.d != d {
			e.listed, e = false, nil
		}
		if e == nil {
			e = s.join(d, entry)
		}
		e.zone, e.listed, e.route.rating = entry.Zone, entry.Stage == Ready, entry.Rating
	}
}

func (s *Sender) join(d *destination, entry Entry) *endpoint {
	e := &endpoint{id: entry.Endpoint, d: d, toldAt: -quietFor, standing: standing{coldFrom: -forever / 2},
		route: either(d.kind.Apart, newRoute(s.now), d.route)}
	s.recall(e, entry.LearnedState)
	for _, other := range d.ranked {
		if other.route == e.route && (other.ejected && !e.ejected || other.coldFrom > e.coldFrom) {
			// Most of a destination may be replaced while it is out: what is new is no warmer than the rest.
			s.chill(e, other.coldFrom) // all senders hear of it at one moment, and must not begin then
			e.times, e.standing, e.cold.at = other.times, other.standing, max(s.now, other.cold.at)
		}
	}
	s.endpoints[e.id], s.signs[signOf(e.id)] = e, e
	d.ranked = append(d.ranked, e)
	return e
}

func (s *Sender) destination(id DestinationID) *destination {
	d := s.byID[id]
	if d == nil {
		d = &destination{id: id, route: newRoute(s.now), again: bucket{level: float64(s.laneMax), at: s.now}}
		s.byID[id] = d
	}
	s.stir(d)
	return d
}

// stir has the next tick look at a destination: work follows what changed, not the size of the list.
func (s *Sender) stir(d *destination) {
	if !d.stirred {
		d.stirred = true
		s.stirred = append(s.stirred, d)
	}
}

func newRoute(now Time) *route { return &route{pace: bucket{unpaced, unpaced, now}, lastCut: now} }

// recall has an endpoint stand as one of which nothing is known but what another life tells.
func (s *Sender) recall(e *endpoint, l *LearnedState) {
	e.times, e.limit = even(s.prior), firstLimit
	if l != nil {
		e.times = either(l.Seen > 0, times{l.Mean, l.Dev, l.Past, l.Seen}, e.times)
		e.route.limit, e.route.haltUntil = l.Limit, max(e.route.haltUntil, s.now+l.Wait)
	}
}

// Void drops what was learnt of an endpoint and its route, or has l stand in its place. An outage and what is
// left of a cold budget stay; until that is over waits stay too, and no limit that l tells counts.
func (s *Sender) Void(id EndpointID, l *LearnedState) {
	s.now = s.h.Now()
	if e := s.endpoints[id]; e != nil {
		was := *e.route
		*e.route = *newRoute(s.now)
		s.recall(e, l)
		e.fails, e.wrong, e.bad, e.asked, e.full, e.goodAt, e.route.rating = 0, 0, 0, 0, 0, 0, was.rating
		if s.stir(e.d); s.outage(e) || e.route == e.d.route && slices.ContainsFunc(e.d.ranked, s.outage) {
			e.route.limit, e.route.fails, e.route.haltUntil = 0, was.fails, max(e.route.haltUntil, was.haltUntil)
		}
	}
}
