package choice

import "slices"

// Messages as they come and as they end: room, what one is worth, one final answer each.

func (s *Sender) Taken(in Message) {
	s.now = s.h.Now()
	n := &message{Message: in, d: s.destination(in.Destination)}
	n.born = in.Deadline - s.class(n).Deadline
	if a := int(in.Account); a >= 0 && a < len(s.shares) {
		n.past = !s.shares[a].take(s.now, s.set.Quotas[a]/s.senders, shareSpan)
	}
	s.held[n.ID], n.d.held = n, n.d.held+1
	if s.class(n).ByArrival && n.Key != NoKey {
		n.line = ensure(s.lines, n.Key)
		n.line.messages = append(n.line.messages, n)
		if n.MayRun {
			n.line.restUntil = s.now + s.set.KeyRest // a call of an earlier life may still run
			s.wake(n, n.line.restUntil)
		}
	}
	if s.spent(n) {
		s.finish(n)
	} else if s.keepRoom(n); !n.over {
		s.wake(n, s.lastSend(n)+1)
		s.queue(n)
	}
}

// keepRoom turns away by chance, below MaxOpen, what earns least for room and time; nothing owed and untried.
func (s *Sender) keepRoom(n *message) {
	p := (float64(len(s.held))/float64(s.set.MaxOpen) - crowdFrom) / (1 - crowdFrom)
	if p <= 0 || n.Span > 0 || s.chance.share(string(n.ID)) >= p*(2-s.value(n)/s.topValue) {
		return
	}
	mayGo := func(v *message) bool { return v.out == nil && (v.Span == 0 || v.tries > 0) }
	s.finish(least(s.held, mayGo, s.earns))
}

// earns is worth by how long a message takes up room: behind its key's, waits, an outage as long as so far.
func (s *Sender) earns(n *message) float64 {
	waits := func(e *endpoint) Time {
		return either(e.listed, max(0, e.route.haltUntil-s.now, Time(one(e.ejected))*(s.now-e.ejectedAt)), forever)
	}
	out := lowest(n.d.ranked, forever, waits)
	calls := Time(s.usual(n.d)) * Time(1+n.line.behind(n))
	needs := calls + max(n.dueAt-s.now, min(out, n.Deadline-s.now), 1)
	return s.worth(n, needs) / float64(needs)
}

// spent tells whether a message may not be sent any more.
func (s *Sender) spent(n *message) bool {
	tried := n.tries > 0 && n.tries >= s.set.MaxAttempts || n.MayRun && s.class(n).Repeat == NonIdempotent
	return tried || s.now > s.lastSend(n)
}

func (s *Sender) wake(n *message, at Time) { s.h.Timer(max(1, at-s.now), s.alarms.add(n)) }

// RepeatEnd is until when a message may leave as a repeat: where it ran it must still be known. Else forever.
func (s *Sender) RepeatEnd(id MessageID) Time {
	n := s.held[id]
	if n == nil || !n.MayRun || s.class(n).Repeat != Keyed {
		return forever
	}
	return n.RanAt + s.class(n).RepeatWindow - s.turn
}

// lastSend is the last time at which an attempt has room for one usual call.
func (s *Sender) lastSend(n *message) Time {
	return min(n.Deadline-ceil(min(s.usual(n.d), float64(n.life())/4))-2*s.turn, s.RepeatEnd(n.ID))
}

func (s *Sender) usual(d *destination) float64 {
	if i := slices.IndexFunc(d.ranked, func(e *endpoint) bool { return e.listed && !e.ejected }); i >= 0 {
		return d.ranked[i].mean
	}
	return s.prior
}

// Withdrawn ends a message without an answer. It is not sent again; where it is out its outcome counts.
func (s *Sender) Withdrawn(id MessageID) {
	if s.now = s.h.Now(); s.held[id] != nil {
		s.release(s.held[id])
	}
}

// finish answers a message: shed where every attempt is proven never to have run, else given up.
func (s *Sender) finish(n *message) {
	if n.MayRun || n.out != nil {
		s.h.Fail(n.ID)
	} else {
		s.h.Shed(n.ID, min(s.set.LongestReturn, max(s.base, s.haltEnd(n.d)-s.now)))
	}
	s.release(n)
}

func (s *Sender) release(n *message) {
	n.over = true
	if s.unqueue(n); n.out != nil {
		return
	}
	delete(s.held, n.ID)
	s.alarms.clear(n, s.h.Forget)
	n.d.held--
	s.stir(n.d)
	if line := n.line; line != nil {
		line.messages = without(line.messages, n)
		if s.now < line.restUntil {
			s.wake(n, line.restUntil)
			n.d.restUntil = max(n.d.restUntil, line.restUntil)
		}
		s.advance(n)
	}
}

// haltEnd is when the first endpoint of a destination may be sent something, as far as told waits go.
func (s *Sender) haltEnd(d *destination) Time {
	return lowest(d.ranked, max(d.route.haltUntil, s.now), func(e *endpoint) Time { return e.route.haltUntil })
}
