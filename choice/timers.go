package choice

import "slices"

// overdueFactor is how many long-term means of call times pass before a call counts as unanswered.
const overdueFactor = 4.0

// setTimer sets a timer that stands for a message.
func (s *Sender) setTimer(msg *message, at Time) {
	s.host.Timer(max(1, at-s.now), s.timers.add(msg))
}

// TimerDue handles a timer that has fired, which was set by Host.Timer.
func (s *Sender) TimerDue(id TimerID) {
	s.now = s.host.Now()
	if id == tickTimer {
		s.tick()
		return
	}
	msg := s.timers.takeFired(id)
	if msg != nil && msg.inFlight == nil {
		s.wake(msg)
	}
}

// tick finds calls that are overdue, and refreshes the destinations that have changed.
func (s *Sender) tick() {
	s.host.Timer(tickInterval, tickTimer)
	for _, call := range s.calls {
		overdue := max(2*s.assumedCallTime, overdueFactor*call.endpoint.longMean)
		if float64(s.now-call.sentAt) > overdue {
			s.onUnanswered(call)
		}
	}
	s.dirty = slices.DeleteFunc(s.dirty, s.refreshDestination)
}

// wake looks at a message whose timer has fired, and which is not in flight.
func (s *Sender) wake(msg *message) {
	if msg.ended { // the pause of its order key is over
		s.advanceKey(msg)
		return
	}
	if s.exhausted(msg) {
		s.endUndelivered(msg)
		return
	}
	if msg.attempts == 0 || s.now >= msg.retryAt {
		s.enqueue(msg)
	}
	// Its last attempt may have moved; without a timer it would be lost where nothing else happens to its destination.
	s.setTimer(msg, s.lastAttemptAt(msg)+1)
}
