package choice

import "slices"

// Queues and their order: the fresh tier, what is due again, the lane of the refused, and keys.

// queue lays a message up, but once: its key's turn may have come to it already, as another was turned away.
func (s *Sender) queue(n *message) {
	if n.elem != nil || n.line != nil && (n.line.messages[0] != n || s.now < n.line.restUntil && n.tries == 0) {
		return
	}
	n.queue = n.d.queueOf(n)
	n.elem = n.queue.PushBack(n)
	if n.d.waiting++; n.d.waiting == 1 {
		s.waiting = append(s.waiting, n.d)
	}
}

func (s *Sender) unqueue(n *message) {
	if n.elem != nil {
		n.queue.Remove(n.elem)
		n.queue, n.elem = nil, nil
		if n.d.waiting--; n.d.waiting == 0 {
			s.waiting = without(s.waiting, n.d)
		}
	}
}

// advance gives a key's turn to its next message, unless that has it already or the key rests.
func (s *Sender) advance(from *message) {
	if line := from.line; line == nil || s.lines[from.Key] != line || s.now < line.restUntil {
		return
	} else if len(line.messages) == 0 {
		delete(s.lines, from.Key)
	} else if n := line.messages[0]; n.tries == 0 {
		s.queue(n)
	}
}

// again keeps the ordinary path of a retry: capped doubling ceilings, full jitter.
func (s *Sender) again(n *message) {
	last := s.lastSend(n)
	if s.spent(n) || max(s.now+1, s.pauseEnd(n.d)) > last {
		s.finish(n)
		return
	}
	n.dueAt = min(s.now+s.chance.upTo(string(n.ID), min(s.cap, s.base<<min(n.tries-1, 20))), last)
	s.wake(n, n.dueAt)
	s.wake(n, last+1)
}

func (s *Sender) TimerDue(id TimerID) {
	if s.now = s.h.Now(); id == tickTimer {
		s.h.Timer(tick, tickTimer)
		for _, c := range s.calls {
			if float64(s.now-c.sentAt) > max(2*s.prior, overdueAfter*c.e.past) {
				s.noteUnanswered(c)
			}
		}
		s.stirred = slices.DeleteFunc(s.stirred, s.settled)
		return
	}
	switch n := s.alarms.fired(id); {
	case n == nil || n.out != nil:
	case n.over:
		s.advance(n)
	case s.spent(n):
		s.finish(n)
	default:
		if n.tries == 0 || s.now >= n.dueAt {
			s.queue(n)
		}
		s.wake(n, s.lastSend(n)+1) // else it is lost when nothing else happens to its destination
	}
}

func (s *Sender) TurnEnd() {
	s.now = s.h.Now()
	for n, e := s.next(); n != nil; n, e = s.next() {
		s.attempt(n, e)
	}
	s.turns++
}

// next takes the fresh tier before any retry; in a tier each queue's newest, by value for its slot time.
// Behind one that only what is barred to it could serve, it looks at a few more, which may go elsewhere.
func (s *Sender) next() (best *message, to *endpoint) {
	for tier, top := 0, 0.0; tier < 2 && best == nil; tier++ {
		for _, d := range s.waiting {
			for i, l := range d.queues {
				at, goOn := l.Back(), (i >= retryQueues) == (tier == 0)
				for looked := 0; at != nil && goOn && looked < lookPast; at, looked = at.Prev(), looked+1 {
					n := at.Value.(*message)
					e, barred := s.place(n, n.refused && d.laneOut >= s.laneMax)
					if goOn = e == nil && barred; e != nil {
						if v := (s.worth(n, Time(s.usual(d))) + 1e-6) / max(1, e.mean); v > top {
							best, to, top = n, e, v
						}
					}
				}
			}
		}
	}
	return best, to
}
