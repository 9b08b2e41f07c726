package choice

// What senders of a fleet tell each other.

// Heard takes a note of another sender: that a limit was met, or, with no wait, that no place was found.
func (s *Sender) Heard(note []byte) {
	s.now = s.h.Now()
	g, wait := read(note)
	if e := s.signs[g]; e != nil && wait > 0 {
		s.heed(e, wait)
	} else if e != nil && wait == 0 {
		if e.toldAt = s.now; e.calls == 0 && e.linkUntil > s.now {
			e.linkUntil = s.now
			s.h.CloseIdle(e.id)
		}
	}
}

func (s *Sender) tell(e *endpoint, wait Time) {
	if s.notes && (wait > 0 || s.now >= e.toldAt+quietFor) {
		e.toldAt = s.now
		s.h.Tell(write(e.id, wait))
	}
}

// heed rests a route whose limit a sender of the fleet met, jittered, as what all hold back must not come at
// once: as long as its kind usually tells to wait, longer the sooner it is met again. Harm: room lies idle.
func (s *Sender) heed(e *endpoint, wait Time) {
	r, k := e.route, e.d.kind
	k.wait += Time(one(wait > noteUnit && wait < lastGuess/2) * meanGain * float64(wait-k.wait))
	if s.now < r.metAt+r.rest/2 {
		return
	} else if r.rest = min(max(Second, 2*k.wait), r.rest+r.rest/2); s.now >= r.metAt+2*r.rest {
		r.rest = k.wait
	}
	r.metAt = s.now
	r.haltUntil = max(r.haltUntil, s.now+max(wait, r.rest/2)+s.chance.upTo(string(e.id), r.rest))
}
