package sender

// This file implements choice.Host: it carries out the decisions of package choice. It makes no decision about where or
// when a message is sent, and nothing is sent before the end of the turn.

import (
	"math"
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/config"
)

// Now returns the wall-clock time of the start plus the monotonic time since then.
func (s *Sender) Now() choice.Time {
	return config.RoundDown(s.start.UnixNano() + int64(s.sinceStart()))
}

// Allowed reports whether the cluster's current routing plan lets a message use an endpoint. An endpoint that is no longer
// listed is allowed, as its zone is unknown.
func (s *Sender) Allowed(id choice.MessageID, to choice.EndpointID) bool {
	if s.routingPlan == nil {
		return true
	}
	e := s.endpoints[to]
	return e == nil || s.routingPlan.Allowed(id, e.destination, e.zone)
}

// Attempt adds a message to a call that begins at the end of this turn. The call lasts for the longest timeout of its
// messages.
func (s *Sender) Attempt(id choice.MessageID, to choice.EndpointID, in choice.CallID, timeout choice.Time) {
	m, c := s.pending[id], s.startingByID[in]
	if c == nil {
		c = s.newCall(to)
		s.startingByID[in] = c
	}
	c.messages = append(c.messages, m)
	c.timeout = max(c.timeout, timeout)
	m.inFlight = c
	m.attempts++
	s.counts.attempts++
	s.log.Debug("message attempted", zap.String("id", string(id)), zap.String("to", string(to)), zap.Int("try", m.attempts),
		zap.Float64("within_ms", float64(timeout)/float64(choice.Millisecond)))
}

// newCall returns a call that begins at the end of this turn.
func (s *Sender) newCall(to choice.EndpointID) *call {
	e := s.endpoints[to]
	if e == nil { // dropped with its last link while package choice still knew it; the call fails to connect
		e = &endpoint{id: to, gone: true}
	}
	c := &call{endpoint: e, beganAt: s.Now()}
	s.starting = append(s.starting, c)
	return c
}

// Shed ends a message that has certainly not run. Its client may submit it again after retryAfter; 0 names no time.
func (s *Sender) Shed(id choice.MessageID, retryAfter choice.Time) {
	ms := int64(math.Ceil(float64(retryAfter) / float64(choice.Millisecond)))
	s.endMessage(s.pending[id], ending{kind: endShed, retryMS: ms})
}

// Fail ends a message that was not delivered and must not be attempted elsewhere.
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

// BroadcastNote sends a note to all other senders; it does nothing if gossip is off.
func (s *Sender) BroadcastNote(note []byte) {
	if s.peers != nil {
		s.peers.Send(note)
	}
}

// EndpointChanged logs and counts a change of an endpoint's health, which the record of outages follows.
func (s *Sender) EndpointChanged(id choice.EndpointID, event choice.HealthEvent, reason choice.HealthReason) {
	s.counts.healthEvents[event]++
	fields := []zap.Field{zap.String("endpoint", string(id)), zap.String("reason", healthReasons[reason])}
	s.outages.changed = s.outages.changed || event != choice.ConnectionTableFull
	level := zap.InfoLevel
	if event >= choice.EndpointSuspected { // not rare
		level = zap.DebugLevel
	}
	s.log.Log(level, healthMessages[event], fields...)
}

// healthMessages holds the log message of each choice.HealthEvent, and healthReasons the name of each choice.HealthReason.
var (
	healthMessages = [choice.ConnectionTableFull + 1]string{"endpoint ejected", "endpoint readmitted", "slow start begun",
		"endpoint suspected", "endpoint cleared", "connection table taken for full"}
	healthReasons = [choice.RestoredState + 1]string{"calls_failed", "calls_refused", "call_succeeded", "retry_after", "restored"}
)

// SetTimer sets a timer of package choice, which is due after delay.
func (s *Sender) SetTimer(delay choice.Time, id choice.TimerID) {
	s.choiceTimers[id] = s.after(time.Duration(config.Nanoseconds(delay)), func() {
		delete(s.choiceTimers, id)
		s.choice.TimerFired(id)
	})
}

// CancelTimer cancels a timer of package choice.
func (s *Sender) CancelTimer(id choice.TimerID) {
	s.cancelTimer(s.choiceTimers[id])
	delete(s.choiceTimers, id)
}
