package sender

// This file manages calls from their beginning to an answer, the end of their link or a timeout. The sender never retries a
// call by itself (package choice decides about retries), never leaves an abandoned call on an open connection, and never
// reports a call that may be incomplete at the endpoint as one that has run.

import (
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/config"
)

const (
	// probeTimeout limits the time for the answer to a probe. The dial of a probe may take DialTimeout in addition.
	probeTimeout = 1500 * choice.Millisecond
	// abandonSettleTime is the time between the close of an abandoned call's connection and the report of its outcome: the
	// endpoint must see the close before a new call with the same message arrives, or it counts two at once.
	abandonSettleTime = 10 * time.Millisecond
	// capacityRecheck is the time between two checks whether this process can open one more connection.
	capacityRecheck = 20 * time.Millisecond
)

// call is one request to an endpoint: for the messages it carries, or a health probe. The loop owns it.
type call struct {
	endpoint *endpoint
	messages []*message // nil for a probe
	probe    bool
	reused   bool        // its link had carried a call before
	beganAt  choice.Time // on the clock of Sender.Now
	timeout  choice.Time // the longest timeout of its messages
	addr     string      // the address that is dialled for it
	// sendingSince is when the dial for it began, or its write on a link that had carried a call before; since the start.
	sendingSince time.Duration
	link         *link    // nil until its write begins
	timers       []*timer // its timeout, and earlier deadlines of its messages; cancelled once it is done
	done         bool     // its outcome is decided
	// recorded reports that the journal has the call as one that may have run. It is false while the call waits for a
	// connection: a process that is killed then has sent nothing, and a non-idempotent message need not fail.
	recorded         bool
	localFailure     bool // the call was never sent, for a reason of this process
	awaitingCapacity bool // this process could not open a connection for it at the last check
	awaitingSettling bool // it waits until an idle link has settled
}

// startCalls begins the calls of this turn, and sends the calls whose connection was established in it.
func (s *Sender) startCalls() {
	s.sendConnected()
	clear(s.startingByID)
	for _, c := range s.starting {
		s.beginCall(c)
	}
	clear(s.starting)
	s.starting = s.starting[:0]
}

// beginCall sets the timers of a call and looks for a link for it.
func (s *Sender) beginCall(c *call) {
	if !c.probe && !s.boundCall(c) {
		return
	}
	c.timers = append(c.timers, s.after(time.Duration(config.Nanoseconds(c.timeout)), func() { s.expireCall(c) }))
	s.findLink(c)
}

// boundCall limits a call's timeout to the longest time that one of its messages has left. For each message with less time
// it sets a timer that cancels that message alone: ending the whole call would time out the other messages, and those that
// are non-idempotent would fail. It reports whether any message is left to send.
func (s *Sender) boundCall(c *call) bool {
	longest := choice.Time(0)
	for _, m := range slices.Clone(c.messages) {
		left := s.timeLeft(m)
		longest = max(longest, left)
		if left <= 0 {
			s.cancelMessage(c, m)
		}
	}
	c.timeout = min(c.timeout, longest)
	for _, m := range c.messages {
		if left := s.timeLeft(m); left < c.timeout {
			c.timers = append(c.timers, s.after(time.Duration(config.Nanoseconds(left)), func() { s.cancelMessage(c, m) }))
		}
	}
	return len(c.messages) > 0
}

// timeLeft returns the time until a message's deadline, less the turn interval within which its end is handled.
func (s *Sender) timeLeft(m *message) choice.Time {
	return m.Deadline - s.Now() - s.cfg.Settings.TurnInterval
}

// findLink sends a call on an idle link, or dials a new one. If all idle links are still settling, the call waits for the
// first of them unless a new one is much faster. If this process cannot open one more connection, the call
// stays in flight, so that it counts towards the in-flight limit, and the search is repeated until the call's timeout: a
// local shortage says nothing about the endpoint and must not use up the attempts of its messages.
func (s *Sender) findLink(c *call) {
	if c.done {
		return
	}
	if c.recorded || c.probe {
		if l := s.takeIdle(c.endpoint); l != nil {
			s.sendCall(c, l)
			return
		}
	}
	if c.endpoint.addr == "" || c.endpoint.gone {
		s.logConnEnded("endpoint", string(c.endpoint.id), displaced, nil)
		s.connectFailed(c)
		return
	}
	if l := s.linkToSettleFirst(c.endpoint); l != nil && !s.newLinkIsFaster(c.endpoint, l) {
		s.awaitSettling(c, l)
		return
	}
	if s.openLinks >= s.maxLinks && !s.closeOldestIdle() {
		s.awaitCapacity(c)
		return
	}
	s.openLinks++
	c.awaitingCapacity = false
	c.addr, c.sendingSince = c.endpoint.addr, s.sinceStart()
	c.endpoint.linkCount++
	s.counts.connects++
	s.dial(c)
}

// awaitCapacity calls findLink again after capacityRecheck. This is repeated until expireCall ends the call.
func (s *Sender) awaitCapacity(c *call) {
	if !c.awaitingCapacity {
		s.logConnEnded("endpoint", string(c.endpoint.id), displaced, nil)
	}
	c.awaitingCapacity = true
	s.after(capacityRecheck, func() { s.findLink(c) })
}

// cancelMessage ends the attempt of one message while its call goes on: at the message's own deadline, after its repeat
// window, or for a purge. If the write of the call has not begun, the message is removed from the call and has not run.
// Otherwise it may have run, and the answer comes too late for it.
func (s *Sender) cancelMessage(c *call, m *message) {
	if c.done || m.inFlight != c {
		return
	}
	s.eventsPending = true
	o := choice.Outcome{Message: m.ID, Attempt: m.attempts - 1, Endpoint: c.endpoint.id, Duration: s.Now() - c.beganAt, Result: choice.Cancelled}
	if c.link == nil {
		o.Result = choice.NotRun
		c.messages = slices.DeleteFunc(c.messages, func(other *message) bool { return other == m })
	}
	s.reportOutcome(c, m, o, nil)
}

// ids returns the ids of the messages that a call carries.
func (c *call) ids() (all []choice.MessageID) {
	for _, m := range c.messages {
		all = append(all, m.ID)
	}
	return all
}

// expireCall abandons a call at its timeout. It closes the call's connection; the outcome is reported once the endpoint
// has had time to see the close.
func (s *Sender) expireCall(c *call) {
	if c.done {
		return
	}
	s.counts.callsTimedOut++
	if c.link == nil {
		s.expireUnsent(c)
		return
	}
	l := c.link
	if l.answeringCall == c {
		s.closeLink(l, badAnswer) // onLinkCutOff derives the outcome from the received part of the answer
		return
	}
	l.call = nil
	c.done = true
	s.closeLink(l, callAbandoned)
	s.after(abandonSettleTime, func() { s.settleAbandoned(c, l) })
}

// expireUnsent ends, at its timeout, a call whose write has not begun.
func (s *Sender) expireUnsent(c *call) {
	if c.awaitingCapacity || c.awaitingSettling {
		s.endUnsent(c)
		return
	}
	// A call that had less time than every latency objective was begun too late; that is no sign of a slow endpoint.
	c.localFailure = s.Now()-c.beganAt < s.shortestObjective
	s.connectFailed(c)
}

// settleAbandoned reports the outcome of an abandoned call. A call whose last byte was not sent has not run.
func (s *Sender) settleAbandoned(c *call, l *link) {
	switch {
	case l.writing: // the write ends soon, as its connection is closed
		s.after(abandonSettleTime, func() { s.settleAbandoned(c, l) })
	case l.lastByteUnsent:
		s.finishCall(c, answer{result: choice.ConnectFailed})
	default:
		s.finishCall(c, answer{result: choice.TimedOut})
	}
}

// connectFailed ends a call for which no connection was established.
func (s *Sender) connectFailed(c *call) {
	if !c.done {
		c.done = true
		s.finishCall(c, answer{result: choice.ConnectFailed})
	}
}

// endUnsent ends a call that was not sent, for a reason of this process. It is not reported as a failed connection: two
// of those would eject a healthy endpoint.
func (s *Sender) endUnsent(c *call) {
	if c.done {
		return
	}
	c.done, c.localFailure = true, true
	result := choice.NotRun
	if c.probe {
		result = choice.Cancelled // NotRun can also be the result of an answered probe
	}
	s.finishCall(c, answer{result: result})
}

// onLinkCutOff ends the call of a link that ended before its answer was complete.
func (s *Sender) onLinkCutOff(l *link) {
	c := l.call
	l.call = nil
	if c != nil && !c.done {
		c.done = true
		s.finishCall(c, cutOffAnswer(c, l.lastByteUnsent, l.partialAnswer))
	}
}
