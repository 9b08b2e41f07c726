package choice

import "slices"

// Queues and their order: the fresh tier, what is due again, the lane of the refused, and keys.

// enqueue lays a message up, but once: its key's turn may have come to it already, as another was turned away.
func (s *Sender) enqueue(n *message) {
	if n.queueElement != nil || n.keyQueue != nil && (n.keyQueue.messages[0] != n || s.now < n.keyQueue.pausedUntil && n.attempts == 0) {
		return
	}
	n.queue = n.destination.queueFor(n)
	n.queueElement = n.queue.PushBack(n)
	if n.destination.queued++; n.destination.queued == 1 {
		s.withQueued = append(s.withQueued, n.destination)
	}
}

func (s *Sender) dequeue(n *message) {
	if n.queueElement != nil {
		n.queue.Remove(n.queueElement)
		n.queue, n.queueElement = nil, nil
		if n.destination.queued--; n.destination.queued == 0 {
			s.withQueued = removeValue(s.withQueued, n.destination)
		}
	}
}

// advanceKey gives a key's turn to its next message, unless that has it already or the key rests.
func (s *Sender) advanceKey(from *message) {
	if line := from.keyQueue; line == nil || s.keyQueues[from.Key] != line || s.now < line.pausedUntil {
		return
	} else if len(line.messages) == 0 {
		delete(s.keyQueues, from.Key)
	} else if n := line.messages[0]; n.attempts == 0 {
		s.enqueue(n)
	}
}

// retryBudget keeps the ordinary path of a retry: capped doubling ceilings, full jitter.
func (s *Sender) scheduleRetry(n *message) {
	last := s.lastAttemptAt(n)
	if s.exhausted(n) || max(s.now+1, s.pauseEnd(n.destination)) > last {
		s.endUndelivered(n)
		return
	}
	n.retryAt = min(s.now+s.random.jitter(string(n.ID), min(s.retryCap, s.retryBase<<min(n.attempts-1, 20))), last)
	s.setTimer(n, n.retryAt)
	s.setTimer(n, last+1)
}

func (s *Sender) TimerDue(id TimerID) {
	if s.now = s.host.Now(); id == tickTimer {
		s.host.Timer(tickInterval, tickTimer)
		for _, c := range s.calls {
			if float64(s.now-c.sentAt) > max(2*s.assumedCallTime, overdueFactor*c.endpoint.longMean) {
				s.noteUnanswered(c)
			}
		}
		s.dirty = slices.DeleteFunc(s.dirty, s.refreshDestination)
		return
	}
	switch n := s.timers.takeFired(id); {
	case n == nil || n.inFlight != nil:
	case n.ended:
		s.advanceKey(n)
	case s.exhausted(n):
		s.endUndelivered(n)
	default:
		if n.attempts == 0 || s.now >= n.retryAt {
			s.enqueue(n)
		}
		s.setTimer(n, s.lastAttemptAt(n)+1) // else it is lost when nothing else happens to its destination
	}
}

func (s *Sender) TurnEnd() {
	s.now = s.host.Now()
	for n, e := s.selectNext(); n != nil; n, e = s.selectNext() {
		s.attempt(n, e)
	}
	s.turnNumber++
}

// selectNext takes the fresh tier before any retry; in a tier each queue's newest, by value for its slot time.
// Behind one that only what is barred to it could serve, it looks at a few more, which may go elsewhere.
func (s *Sender) selectNext() (best *message, to *endpoint) {
	for tier, top := 0, 0.0; tier < 2 && best == nil; tier++ {
		for _, d := range s.withQueued {
			for i, l := range d.queues {
				at, goOn := l.Back(), (i >= retryQueues) == (tier == 0)
				for looked := 0; at != nil && goOn && looked < barredScanLimit; at, looked = at.Prev(), looked+1 {
					n := at.Value.(*message)
					e, barred := s.selectEndpoint(n, n.rejected && d.rejectedRetriesOut >= s.maxRejectedRetries)
					if goOn = e == nil && barred; e != nil {
						if v := (s.valueAfter(n, Time(s.usualCallTime(d))) + 1e-6) / max(1, e.mean); v > top {
							best, to, top = n, e, v
						}
					}
				}
			}
		}
	}
	return best, to
}
