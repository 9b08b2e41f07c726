package choice

import "cmp"
import "slices"

// Where a message goes and for how long its call may take.

// busy is when one more call would be done, one by one; a refusal costs a wait. An unseen far one ranks
// behind, which spreads a fleet over a destination; a route's fee counts as time.
func (s *Sender) busy(e *endpoint) float64 {
	dear := 1 + feeWeight*one(e.d.kind.Apart)*s.set.fee(e.zone)
	if e.seen == 0 && e.zone != s.set.Zone {
		return 2 * e.mean * dear
	}
	return (e.mean*float64(1+e.calls) + e.bad*float64(s.base)) / (1 - e.bad) * dear
}

// budget is what pays for retries there: calls done, where notes are told all of the kind, and a trickle.
func (s *Sender) budget(d *destination) *bucket { return either(s.notes, &d.kind.again, &d.again) }

// settled renews a destination; it tells whether nothing is left to come back for.
func (s *Sender) settled(d *destination) bool {
	d.ranked = slices.DeleteFunc(d.ranked, func(e *endpoint) bool {
		if e.listed || e.calls > 0 || e.probing || s.now < max(e.coldFrom+s.set.SlowStart, e.route.haltUntil) {
			return false
		}
		if s.endpoints[e.id] == e {
			delete(s.endpoints, e.id)
			drop(s.signs, e) // two may share one
		}
		return true
	})
	slices.SortStableFunc(d.ranked, func(a, b *endpoint) int { return cmp.Compare(s.busy(a), s.busy(b)) })
	d.stirred = false
	for _, e := range d.ranked {
		due := s.now >= max(e.tryAt, e.route.haltUntil)
		if e.ejected && s.probes && !e.passed && e.listed && !e.probing && due && s.coldReady(e) {
			e.probing, e.cold.level = true, e.cold.level-1
			s.h.Probe(e.id)
		}
		d.stirred = d.stirred || e.ejected || !e.listed
	}
	if len(d.ranked) == 0 && d.held == 0 {
		delete(s.byID, d.id)
	}
	return !d.stirred
}

// Open tells whether an attempt may still leave as its connection is up: no wait, drain or window's end came.
func (s *Sender) Open(id EndpointID, messages ...MessageID) bool {
	e, now := s.endpoints[id], s.h.Now()
	late := func(id MessageID) bool { return now > s.RepeatEnd(id) }
	return e != nil && e.listed && now >= e.route.haltUntil && !slices.ContainsFunc(messages, late)
}

// place is where a message may go now, and whether any of its places was barred to it.
func (s *Sender) place(n *message, rideOnly bool) (to *endpoint, barred bool) {
	var trial, same *endpoint
	w, single := s.class(n), s.class(n).Repeat == NonIdempotent
	for _, e := range n.d.ranked {
		switch {
		case !e.listed || s.now < e.route.haltUntil || n.MayRun && w.ZoneGroup && e.zone != n.RanIn ||
			single && e.doubt > 0 && s.now-e.badAt < 2*lastTrial && s.now < s.lastSend(n)-quietFor:
		case !(n.MayRun && w.ZoneGroup) && !s.h.Allowed(n.ID, e.id): // such a repeat is known in one zone alone
			barred = true
		case e.open != nil && e.open.turn == s.turns && !e.ejected && e.open.n < n.d.kind.BundleMax:
			return e, barred
		case rideOnly || len(s.calls) >= s.set.InFlightLimit ||
			n.tries > 0 && s.budget(n.d).fillAt(s.now, 1/seconds(s.cap), float64(s.set.InFlightLimit)) < 1:
		case e.ejected:
			due := (e.passed || !s.probes) && trial == nil && s.now >= e.tryAt+Time(one(single))*2*lastTrial
			if due && (s.coldReady(e) || s.probes && e.cold.rate*s.senders*s.fall > handful) {
				trial = e
			}
		case float64(e.calls) >= e.limit || e.calls >= firstLimit && s.now-e.goodAt >= quietFor: // silent: as new
		case !e.route.ready(s.now) || !s.coldReady(e):
		case n.by == nil || e.bad < n.by.bad: // what refused a message may do so again
			return e, barred
		default:
			same = cmp.Or(same, e)
		}
	}
	return cmp.Or(same, trial), barred
}

func (s *Sender) attempt(n *message, e *endpoint) {
	if s.unqueue(n); s.class(n).Repeat == NonIdempotent && s.kept > keptMost {
		s.h.CloseIdle(e.id)
	}
	if k := &e.d.kind.times; s.senders > smallFleet && e.seen == 0 && k.seen > 0 {
		e.times = times{k.mean, k.dev, k.past, 0}
	}
	c := e.open
	if c == nil || c.turn != s.turns || c.n >= n.d.kind.BundleMax {
		c = &call{e: e, sentAt: s.now, turn: s.turns, lane: n.refused, fresh: e.calls == 0 && s.now >= e.linkUntil}
		s.budget(n.d).level -= one(n.tries > 0)
		n.d.laneOut += int(one(c.lane))
		e.open, e.calls, e.cold.level, e.route.pace.level = c, e.calls+1, e.cold.level-1, e.route.pace.level-1
		e.route.load.count(s.now, s.loadSpan)
		e.passed, e.tryAt = false, s.now+2*e.step // read while it is ejected
		e.used.count(s.now, loadSpan*Time(s.senders))
		s.calls = append(s.calls, c)
	} else {
		e.cold.level -= rideWeight
	}
	c.n, c.left, n.out, n.tries = c.n+1, c.left+1, c, n.tries+1
	s.h.Attempt(n.ID, e.id, s.timeOut(n, e))
}

func (s *Sender) timeOut(n *message, e *endpoint) Time {
	usual := max(2*s.prior, e.mean+patience*e.dev)
	free := (finalPatience - 1) * float64(s.set.InFlightLimit-len(s.calls)) / float64(s.set.InFlightLimit)
	longer := either(s.class(n).Repeat == NonIdempotent, 1+free, float64(n.tries))
	return max(1, min(ceil(usual*longer), n.Deadline-s.now-s.turn))
}
