package choice

import "slices"

// overdueFactor is the multiple of the long-term mean call time after which a call counts as unanswered.
const overdueFactor = 4.0

// setTimer sets a timer for a message.
func (s *Sender) setTimer(msg *message, at Time) {
	s.host.SetTimer(max(1, at-s.now), s.timers.add(msg))
}

// TimerFired handles a timer that was set by Host.SetTimer and has fired.
func (s *Sender) TimerFired(id TimerID) {
	s.now = s.host.Now()
	if id == tickTimer {
		s.tick()
		return
	}
	msg := s.timers.removeFired(id)
	if msg != nil && msg.inFlight == nil {
		s.onMessageTimer(msg)
	}
}

// tick marks overdue calls as unanswered and refreshes the dirty destinations.
func (s *Sender) tick() {
	s.host.SetTimer(tickInterval, tickTimer)
	for _, call := range s.calls {
		overdue := max(2*s.assumedCallTime, overdueFactor*call.endpoint.longTermMean)
		if float64(s.now-call.sentAt) > overdue {
			s.onUnanswered(call)
		}
	}
	s.dirty = slices.DeleteFunc(s.dirty, s.refreshDestination)
}

// onMessageTimer handles the timer of a message that is not in flight.
func (s *Sender) onMessageTimer(msg *message) {
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
	// The time of the last possible attempt may have moved. Without a timer, the message would be lost if nothing else
	// happens to its destination.
	s.setTimer(msg, s.lastAttemptAt(msg)+1)
}
