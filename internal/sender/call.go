package sender

// This file calls: it owns the calls of a turn, from the first byte to an answer, an end or a time-out. It must never
// send a call again by itself, write one whose time has passed or whose endpoint the module has meanwhile closed off,
// leave a call that was given up on an open connection, or take a call of which a byte may be missing for one that ran.

import (
	"cmp"
	"encoding/base64"
	"slices"
	"strconv"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/http1"
)

const (
	probeTimeout = 1500 * choice.Millisecond // an answer to a probe
	// abandonSettleTime lies between the end of a given-up call's connection and what the module does next: its
	// endpoint must see the end before a new call with the same message, or counts two at once.
	abandonSettleTime = 10 * time.Millisecond
	// capacityRecheck lies between two looks for room for a connection, where this process has none left.
	capacityRecheck = 20 * time.Millisecond
)

// call is one request on its way: the messages it carries, or a probe.
type call struct {
	s        *Sender
	endpoint *endpoint
	messages []*message
	probe    bool
	reused   bool // its link had carried a call before
	beganAt  choice.Time
	timeout  choice.Time // the longest time-out of its messages
	addr     string      // that is dialled for it
	link     *link       // once it is up
	timers   []*timer    // its end and that of messages whose time is over before; taken back once it is over
	done     bool
	// recorded tells that it is on record as one that may have run. It is not while it has to wait for a connection: a
	// process that is killed then has sent nothing, and what is single-use would be given up though nobody has seen it.
	recorded         bool
	localFailure     bool // it never left, for a reason of ours
	awaitingCapacity bool // this process had no room for its connection when it last looked
}

// startCalls lets the turn's calls leave.
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

// findLink has a call leave on a link that idles, or on a new one. Where this process has no room for one more, the
// call keeps its place among those in flight, so that no more are laid up behind it, and looks again until its time is
// over: that there is none says nothing of its endpoint, and no try of its messages may be spent on it each moment.
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

// awaitCapacity looks for room again after a pause; expire bounds how often.
func (s *Sender) awaitCapacity(c *call) {
	if !c.awaitingCapacity {
		s.logConnEnded("endpoint", string(c.endpoint.id), displaced, nil)
	}
	c.awaitingCapacity = true
	s.after(capacityRecheck, func() { s.findLink(c) })
}

// boundCall bounds a call by the longest time that one of its messages has left, and lets those with less end alone:
// a call ended for one of them would leave all others with a time-out, and what is single-use given up. It tells
// whether anything is left to send.
func (s *Sender) boundCall(c *call) bool {
	longest := choice.Time(0)
	for _, n := range slices.Clone(c.messages) {
		left := n.Deadline - s.Now() - s.cfg.Settings.Turn
		if longest = max(longest, left); left <= 0 {
			s.cancelMessage(c, n)
		}
	}
	c.timeout = min(c.timeout, longest)
	for _, n := range c.messages {
		if left := n.Deadline - s.Now() - s.cfg.Settings.Turn; left < c.timeout {
			c.timers = append(c.timers, s.after(time.Duration(config.Nanoseconds(left)), func() { s.cancelMessage(c, n) }))
		}
	}
	return len(c.messages) > 0
}

// cancelMessage ends a message whose time is over before that of its call. It is not sent any more if it has not been; else it
// may have run, and whatever the answer still says of it comes too late.
func (s *Sender) cancelMessage(c *call, n *message) {
	if c.done || n.inFlight != c {
		return
	}
	s.eventsPending = true
	o := choice.Outcome{Message: n.ID, Attempt: n.attempts - 1, Endpoint: c.endpoint.id, Took: s.Now() - c.beganAt, Result: choice.Cancelled}
	if c.link == nil {
		o.Result = choice.Moot
		c.messages = slices.DeleteFunc(c.messages, func(other *message) bool { return other == n })
	}
	s.messageEnded(c, n, o, nil)
}

// ids are the messages that a call carries.
func (c *call) ids() (all []choice.MessageID) {
	for _, n := range c.messages {
		all = append(all, n.ID)
	}
	return all
}

func (s *Sender) request(c *call) (head, body []byte) {
	if c.probe {
		return http1.AppendRequest(nil, "GET", "/-/healthy", c.endpoint.addr, -1), nil
	}
	left := c.beganAt + c.timeout - s.Now()
	wait := strconv.FormatInt(int64(max(1, (left+choice.Millisecond-1)/choice.Millisecond)), 10)
	if len(c.messages) == 1 {
		n := c.messages[0]
		fields := []string{"X-Request-Id", string(n.ID), "X-Deadline-Ms", wait}
		if n.idempotencyKey != "" {
			fields = append(fields, "Idempotency-Key", n.idempotencyKey)
		}
		return http1.AppendRequest(nil, "POST", "/inbox", c.endpoint.addr, len(n.body), fields...), n.body
	}
	// An endpoint may measure the whole call by the time of its first message: an answer that came after that counted for
	// none of the others, though it named each as done. So the one with the latest deadline stands first.
	slices.SortStableFunc(c.messages, func(a, b *message) int { return cmp.Compare(b.Deadline, a.Deadline) })
	// Ids and keys are visible characters without quotes, so they stand in JSON as they are.
	body = append(body, '[')
	for i, n := range c.messages {
		if i > 0 {
			body = append(body, ',')
		}
		body = append(append(body, `{"id":"`...), n.ID...)
		body = append(append(append(body, `","key":"`...), cmp.Or(n.idempotencyKey, n.key)...), `","body":"`...)
		body = append(base64.StdEncoding.AppendEncode(body, n.body), `"}`...)
	}
	body = append(body, ']')
	return http1.AppendRequest(nil, "POST", "/inbox/bulk", c.endpoint.addr, len(body),
		"Content-Type", "application/json", "X-Deadline-Ms", wait), body
}

// expireCall gives a call up: whatever it may still do, its connection ends, and the module hears of it once the
// endpoint has had time to see that.
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
		c.localFailure = s.Now()-c.beganAt < s.shortestContract // the message's time was short, not the endpoint's answer late
		s.connectFailed(c)
		return
	}
	l := c.link
	if l.answeringCall == c {
		// Not without an answer: if its first line says so, it has been delivered.
		s.closeLink(l, badAnswer)
		return
	}
	l.call = nil
	c.done = true
	s.closeLink(l, callAbandoned)
	s.after(abandonSettleTime, func() { s.settleAbandoned(c, l) })
}

// settleAbandoned tells of a call that was given up. One whose last byte never left has not run.
func (s *Sender) settleAbandoned(c *call, l *link) {
	switch {
	case l.writing: // it ends with its connection
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

// endUnsent ends a call that never left for a reason of ours: its endpoint has no part in that, and the module is told
// so. Told as a failed connection, two of them had a healthy endpoint ejected.
func (s *Sender) endUnsent(c *call) {
	if c.done {
		return
	}
	c.done, c.localFailure = true, true
	result := choice.Moot
	if c.probe {
		result = choice.Cancelled // a probe's answer may be Moot, and it failed then
	}
	s.finishCall(c, answer{result: result})
}

// onLinkCutOff ends the call of a connection that ended before its answer was whole.
func (s *Sender) onLinkCutOff(l *link) {
	c := l.call
	l.call = nil
	if c != nil && !c.done {
		c.done = true
		s.finishCall(c, cutOffAnswer(c, l.lastByteUnsent, l.partialAnswer))
	}
}
