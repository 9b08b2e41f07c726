package sender

// This file owns the calls of a turn, from their begin to an answer, an end or a time-out. The sender never sends a call
// again by itself (package choice decides that), never leaves an abandoned call on an open connection, and never takes a
// call of which a byte may be missing for one that ran.

import (
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/config"
)

const (
	probeTimeout = 1500 * choice.Millisecond // for the answer to a probe, beside DialTimeout
	// abandonSettleTime lies between the end of an abandoned call's connection and its outcome: the endpoint must see the
	// end before a new call with the same message comes, or it counts two at once.
	abandonSettleTime = 10 * time.Millisecond
	// capacityRecheck lies between two checks whether this process can open one more connection.
	capacityRecheck = 20 * time.Millisecond
)

// call is one request: the messages it carries, or a health probe.
type call struct {
	endpoint *endpoint
	messages []*message
	probe    bool
	reused   bool // its link had carried a call before
	beganAt  choice.Time
	timeout  choice.Time // the longest one of its messages
	addr     string      // that is dialled for it
	link     *link       // nil until its write begins
	timers   []*timer    // its time-out, and the ends of messages before that; cancelled once it is done
	done     bool
	// recorded says that it is on record as one that may have run. It is not while it waits for a connection: a process
	// that is killed then has sent nothing, and a message that must not run twice need not be given up.
	recorded         bool
	localFailure     bool // it was never sent, for a reason of this process
	awaitingCapacity bool // this process could not open a connection for it at the last check
}

// startCalls begins the calls of this turn, and sends those whose connection came up in it.
func (s *Sender) startCalls() {
	s.sendConnected()
	for _, c := range s.starting {
		c.endpoint.turnCall = nil
		s.beginCall(c)
	}
	clear(s.starting)
	s.starting = s.starting[:0]
}

func (s *Sender) beginCall(c *call) {
	if !c.probe && !s.boundCall(c) {
		return
	}
	c.timers = append(c.timers, s.after(time.Duration(config.Nanoseconds(c.timeout)), func() { s.expireCall(c) }))
	s.findLink(c)
}

// boundCall bounds a call by the longest time that one of its messages has left, and sets timers that cancel those with
// less time alone: ending the call for one message would time out the others, and lose those that must not run twice. It
// reports whether any message is left to send.
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

// timeLeft is the time until a message's deadline, less the turn in which its end is handled.
func (s *Sender) timeLeft(m *message) choice.Time {
	return m.Deadline - s.Now() - s.cfg.Settings.TurnInterval
}

// findLink sends a call on an idle link, or dials. Where this process can't open one more connection the call stays in
// flight, so that no more are queued behind it, and is tried again until its time is over: a local shortage says nothing
// of the endpoint, and must not use up the attempts of its messages.
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
	if s.openLinks >= s.maxLinks && !s.closeOldestIdle() {
		s.awaitCapacity(c)
		return
	}
	s.openLinks++
	c.awaitingCapacity = false
	c.addr = c.endpoint.addr
	c.endpoint.linkCount++
	s.counts.connects++
	s.dial(c)
}

// awaitCapacity looks for a link again after a pause; expireCall bounds how often.
func (s *Sender) awaitCapacity(c *call) {
	if !c.awaitingCapacity {
		s.logConnEnded("endpoint", string(c.endpoint.id), displaced, nil)
	}
	c.awaitingCapacity = true
	s.after(capacityRecheck, func() { s.findLink(c) })
}

// cancelMessage ends one message of a call whose time is over before that of the call. It is not sent any more where it
// has not been; else it may have run, and what the answer still says of it comes too late.
func (s *Sender) cancelMessage(c *call, m *message) {
	if c.done || m.inFlight != c {
		return
	}
	s.eventsPending = true
	o := choice.Outcome{Message: m.ID, Attempt: m.attempts - 1, Endpoint: c.endpoint.id, Took: s.Now() - c.beganAt, Result: choice.Cancelled}
	if c.link == nil {
		o.Result = choice.NotRun
		c.messages = slices.DeleteFunc(c.messages, func(other *message) bool { return other == m })
	}
	s.reportOutcome(c, m, o, nil)
}

// ids are the messages that a call carries.
func (c *call) ids() (all []choice.MessageID) {
	for _, m := range c.messages {
		all = append(all, m.ID)
	}
	return all
}

// expireCall abandons a call whose time is over. Its connection is closed, and its outcome reported once the endpoint has
// had time to see that.
func (s *Sender) expireCall(c *call) {
	if c.done {
		return
	}
	s.counts.callsTimedOut++
	if c.awaitingCapacity {
		s.endUnsent(c)
		return
	}
	if c.link == nil {
		// Where the message had less than any contract time, it was short of time, and the endpoint not slow to connect.
		c.localFailure = s.Now()-c.beganAt < s.shortestContract
		s.connectFailed(c)
		return
	}
	l := c.link
	if l.answeringCall == c {
		s.closeLink(l, badAnswer) // onLinkCutOff reads the outcome from the part of the answer that has come
		return
	}
	l.call = nil
	c.done = true
	s.closeLink(l, callAbandoned)
	s.after(abandonSettleTime, func() { s.settleAbandoned(c, l) })
}

// settleAbandoned reports an abandoned call. One whose last byte was not sent has not run.
func (s *Sender) settleAbandoned(c *call, l *link) {
	switch {
	case l.writing: // the write ends with its connection
		s.after(abandonSettleTime, func() { s.settleAbandoned(c, l) })
	case l.lastByteUnsent:
		s.finishCall(c, answer{result: choice.ConnectFailed})
	default:
		s.finishCall(c, answer{result: choice.TimedOut})
	}
}

func (s *Sender) connectFailed(c *call) {
	if !c.done {
		c.done = true
		s.finishCall(c, answer{result: choice.ConnectFailed})
	}
}

// endUnsent ends a call that was never sent for a reason of this process. Its endpoint has no part in that: reported as
// failed connections, two of them would eject a healthy endpoint.
func (s *Sender) endUnsent(c *call) {
	if c.done {
		return
	}
	c.done, c.localFailure = true, true
	result := choice.NotRun
	if c.probe {
		result = choice.Cancelled // Moot is also what an answer to a probe can mean
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
