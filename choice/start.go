package choice

import "slices"

// How a Sender begins, and what is told it of destinations and endpoints.

func Start(h Host, id SenderID, seed int64, set Settings) *Sender {
	s := &Sender{
		h: h, set: set, chance: newChance(id, seed), now: h.Now(), cold: set.Cold, turn: max(1, set.Turn),
		slots: set.Slots, maxTries: set.MaxDispatches, laneMax: max(1, set.Slots/laneShare),
		senders: float64(set.Senders), probes: set.Probing && set.Senders <= smallFleet,
		notes: set.Notes && set.Senders > smallFleet, fall: seconds(max(Second, set.Fall)),
		loadSpan: [...]Time{loadSpan, fleetLoadSpan}[int(one(set.Senders > smallFleet))],
		held:     map[NoticeID]*notice{}, timers: map[TimerID]*notice{}, lines: map[OrderKey]*keyLine{},
		byID: map[DestinationID]*destination{}, endpoints: map[EndpointID]*endpoint{}, signs: map[sign]*endpoint{},
	}
	s.ratingPart = [...]float64{0, 1 / 1.5, 1}[set.Rating] / s.senders // a rough one may be half too high
	shortest := forever
	for _, w := range set.Workloads {
		shortest, s.topGain = min(shortest, max(1, w.ContractTime)), max(s.topGain, w.Gain)
	}
	s.base, s.cap = max(1, Time(baseShare*float64(shortest))), max(1, Time(capShare*float64(shortest)))
	s.prior = max(1, priorShare*float64(shortest))
	for _, k := range set.Kinds {
		again := bucket{1 / seconds(s.cap), float64(s.laneMax), s.now}
		s.kinds = append(s.kinds, kind{Kind: k, wait: usedUpFor, again: again})
	}
	for _, q := range set.Quotas {
		s.shares = append(s.shares, bucket{q / s.senders, shareSpan * q / s.senders, s.now})
	}
	h.Timer(tick, tickTimer)
	return s
}

func (s *Sender) ListNews(entries []Entry, whole bool) {
	s.now = s.h.Now()
	for _, e := range s.endpoints {
		e.listed = e.listed && !whole
	}
	for _, entry := range entries {
		d := s.destination(entry.Destination)
		d.kind = &s.kinds[max(0, min(int(entry.Kind), len(s.kinds)-1))]
		d.again = [...]*bucket{d.again, &d.kind.again}[int(one(s.notes))]
		e := s.endpoints[entry.Endpoint]
		if e != nil && e.d != d {
			e.listed, e = false, nil
		}
		if e == nil {
			e = &endpoint{id: entry.Endpoint, d: d, toldAt: -quietFor, standing: standing{coldFrom: -s.cold},
				route: [...]*route{d.route, newRoute(s.now)}[int(one(d.kind.Apart))]}
			s.recall(e, entry.Learnt)
			for _, other := range d.ranked {
				if other.route == e.route && (other.aside && !e.aside || other.coldFrom > e.coldFrom) {
					// Most of a destination may be replaced while it is out: what is new is no warmer than the rest.
					s.chill(e, other.coldFrom) // all senders hear of it at one moment, and must not begin then
					e.times, e.standing, e.cold.at = other.times, other.standing, max(s.now, other.cold.at)
				}
			}
			s.endpoints[e.id], s.signs[signOf(e.id)] = e, e
			d.ranked = append(d.ranked, e)
		}

		e.zone, e.listed, e.dear, e.route.rating = entry.Zone, entry.Stage == Ready, 1, entry.Rating*s.ratingPart
		if z := int(e.zone); d.kind.Apart && z >= 0 && z < len(s.set.RouteFees) {
			e.dear += feeWeight * s.set.RouteFees[z]
		}
	}
}

func (s *Sender) destination(id DestinationID) *destination {
	d := s.byID[id]
	if d == nil {
		d = &destination{id: id, queues: lists(len(s.set.Workloads) + 2), route: newRoute(s.now)}
		d.again = &bucket{1 / seconds(s.cap), float64(s.laneMax), s.now}
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
func (s *Sender) recall(e *endpoint, l *Learnt) {
	e.times, e.limit = times{mean: s.prior, dev: s.prior, past: s.prior}, firstLimit
	if l != nil {
		e.times = [...]times{e.times, {l.Mean, l.Dev, l.Past, l.Seen}}[int(one(l.Seen > 0))]
		e.route.limit, e.route.haltUntil = l.Limit, max(e.route.haltUntil, s.now+l.Wait)
	}
}

// Void drops what was learnt of an endpoint and its route, or has l stand in its place. An outage and what is
// left of a cold budget stay; until that is over waits stay too, and no limit that l tells counts.
func (s *Sender) Void(id EndpointID, l *Learnt) {
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
