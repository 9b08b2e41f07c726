package choice

import "slices"

// Queues and their order: the fresh tier, what is due again, the lane of the refused, and keys.

// enqueue lays a message up, but once: its key's turn may have come to it already, as another was turned away.
func (s *Sender) enqueue(msg *message) {
	if msg.queueElement != nil || msg.keyQueue != nil && (msg.keyQueue.messages[0] != msg || s.now < msg.keyQueue.pausedUntil && msg.attempts == 0) {
		return
	}
	msg.queue = msg.destination.queueFor(msg)
	msg.queueElement = msg.queue.PushBack(msg)
	if msg.destination.queued++; msg.destination.queued == 1 {
		s.withQueued = append(s.withQueued, msg.destination)
	}
}

func (s *Sender) dequeue(msg *message) {
	if msg.queueElement != nil {
		msg.queue.Remove(msg.queueElement)
		msg.queue, msg.queueElement = nil, nil
		if msg.destination.queued--; msg.destination.queued == 0 {
			s.withQueued = removeValue(s.withQueued, msg.destination)
		}
	}
}

// advanceKey gives a key's turn to its next message, unless that has it already or the key rests.
func (s *Sender) advanceKey(from *message) {
	if line := from.keyQueue; line == nil || s.keyQueues[from.Key] != line || s.now < line.pausedUntil {
		return
	} else if len(line.messages) == 0 {
		delete(s.keyQueues, from.Key)
	} else if msg := line.messages[0]; msg.attempts == 0 {
		s.enqueue(msg)
	}
}

// retryBudget keeps the ordinary path of a retry: capped doubling ceilings, full jitter.
func (s *Sender) scheduleRetry(msg *message) {
	last := s.lastAttemptAt(msg)
	if s.exhausted(msg) || max(s.now+1, s.pauseEnd(msg.destination)) > last {
		s.endUndelivered(msg)
		return
	}
	msg.retryAt = min(s.now+s.random.jitter(string(msg.ID), min(s.retryCap, s.retryBase<<min(msg.attempts-1, 20))), last)
	s.setTimer(msg, msg.retryAt)
	s.setTimer(msg, last+1)
}

func (s *Sender) TimerDue(id TimerID) {
	if s.now = s.host.Now(); id == tickTimer {
		s.host.Timer(tickInterval, tickTimer)
		for _, call := range s.calls {
			if float64(s.now-call.sentAt) > max(2*s.assumedCallTime, overdueFactor*call.endpoint.longMean) {
				s.noteUnanswered(call)
			}
		}
		s.dirty = slices.DeleteFunc(s.dirty, s.refreshDestination)
		return
	}
	switch msg := s.timers.takeFired(id); {
	case msg == nil || msg.inFlight != nil:
	case msg.ended:
		s.advanceKey(msg)
	case s.exhausted(msg):
		s.endUndelivered(msg)
	default:
		if msg.attempts == 0 || s.now >= msg.retryAt {
			s.enqueue(msg)
		}
		s.setTimer(msg, s.lastAttemptAt(msg)+1) // else it is lost when nothing else happens to its destination
	}
}

func (s *Sender) TurnEnd() {
	s.now = s.host.Now()
	for msg, ep := s.selectNext(); msg != nil; msg, ep = s.selectNext() {
		s.attempt(msg, ep)
	}
	s.turnNumber++
}

// selectNext takes the fresh tier before any retry; in a tier each queue's newest, by value for its slot time.
// Behind one that only what is barred to it could serve, it looks at a few more, which may go elsewhere.
func (s *Sender) selectNext() (best *message, to *endpoint) {
	for tier, top := 0, 0.0; tier < 2 && best == nil; tier++ {
		for _, dest := range s.withQueued {
			for i, l := range dest.queues {
				at, goOn := l.Back(), (i >= retryQueues) == (tier == 0)
				for looked := 0; at != nil && goOn && looked < barredScanLimit; at, looked = at.Prev(), looked+1 {
					msg := at.Value.(*message)
					ep, barred := s.selectEndpoint(msg, msg.rejected && dest.rejectedRetriesOut >= s.maxRejectedRetries)
					if goOn = ep == nil && barred; ep != nil {
						if v := (s.valueAfter(msg, Time(s.usualCallTime(dest))) + 1e-6) / max(1, ep.mean); v > top {
							best, to, top = msg, ep, v
						}
					}
				}
			}
		}
	}
	return best, to
}
