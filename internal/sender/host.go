package sender

// This file is the choice.Host of a Sender: it does what package choice decides. It decides nothing of where or when a
// message goes, and nothing is sent before the end of the turn.

import (
	"math"
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/config"
)

// Now is the wall clock at the start, advanced by the monotonic clock.
func (s *Sender) Now() choice.Time {
	return config.RoundDown(s.start.UnixNano() + int64(s.sinceStart()))
}

// Allowed reports whether a message may go to an endpoint as the cluster's routing plan stands. An endpoint that is not
// listed any more has no zone that could be closed.
func (s *Sender) Allowed(id choice.MessageID, to choice.EndpointID) bool {
	if s.routingPlan == nil {
		return true
	}
	e := s.endpoints[to]
	return e == nil || s.routingPlan.Allowed(id, e.destination, e.zone)
}

// Attempt adds a message to a call that begins at the end of this turn. Messages to one endpoint share a call, up to what
// its kind takes.
func (s *Sender) Attempt(id choice.MessageID, to choice.EndpointID, timeOut choice.Time) {
	m, e := s.pending[id], s.endpoints[to]
	if e == nil { // dropped with its last link while choice still knew it; the call fails to connect
		e = &endpoint{id: to, gone: true, bulkMax: 1}
	}
	c := e.turnCall
	if c == nil || len(c.messages) >= e.bulkMax {
		c = &call{endpoint: e, beganAt: s.Now()}
		if e.turnCall == nil || e.bulkMax > 1 {
			e.turnCall = c
		}
		s.starting = append(s.starting, c)
	}
	c.messages = append(c.messages, m)
	c.timeout = max(c.timeout, timeOut)
	m.inFlight = c
	m.attempts++
	s.counts.attempts++
	s.log.Debug("attempt", zap.String("id", string(id)), zap.String("to", string(to)), zap.Int("try", m.attempts),
		zap.Float64("within_ms", float64(timeOut)/float64(choice.Millisecond)))
}

// Shed ends a message that has never run, with a time to submit it again if that is not 0.
func (s *Sender) Shed(id choice.MessageID, comeBackIn choice.Time) {
	ms := int64(math.Ceil(float64(comeBackIn) / float64(choice.Millisecond)))
	s.endMessage(s.pending[id], ending{kind: endShed, retryMS: ms})
}

// Fail ends a message that was not delivered and may not be attempted elsewhere.
func (s *Sender) Fail(id choice.MessageID) { s.endMessage(s.pending[id], ending{kind: endFailed}) }

// Probe begins a health probe at the end of this turn.
func (s *Sender) Probe(id choice.EndpointID) {
	c := &call{endpoint: s.endpoints[id], beganAt: s.Now(), probe: true, timeout: s.cfg.Settings.DialTimeout + probeTimeout}
	if c.endpoint == nil {
		c.endpoint = &endpoint{id: id, gone: true}
	}
	s.counts.probes++
	s.starting = append(s.starting, c)
}

// CloseIdle closes the idle links to an endpoint.
func (s *Sender) CloseIdle(id choice.EndpointID) {
	if e := s.endpoints[id]; e != nil {
		s.closeIdleLinks(e, notNeeded)
	}
}

// Tell sends gossip to all other senders.
func (s *Sender) Tell(note []byte) {
	if s.peers != nil {
		s.peers.Tell(note)
	}
}

// Timer sets a timer of package choice.
func (s *Sender) Timer(in choice.Time, id choice.TimerID) {
	s.choiceTimers[id] = s.after(time.Duration(config.Nanoseconds(in)), func() {
		delete(s.choiceTimers, id)
		s.choice.TimerDue(id)
	})
}

// Forget cancels a timer of package choice.
func (s *Sender) Forget(id choice.TimerID) {
	s.cancelTimer(s.choiceTimers[id])
	delete(s.choiceTimers, id)
}
