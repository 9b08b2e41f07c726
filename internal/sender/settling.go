package sender

// This file keeps idle links from calls for a time after their last answer (settling). An endpoint may write more than the
// answer right after it, such as a second copy. On an idle link this is unsolicited input, which closes the link. Behind
// the next call it would be taken for that call's answer, and each later call would get the answer of the one before.

import (
	"cmp"
	"slices"
	"time"
)

// answerSettleTime is the time between an answer and the next call on its link. HTTP/1.1 has nothing that ties an answer to
// its call, so that input which crosses the call on its way cannot be told from an answer.
const answerSettleTime = 50 * time.Millisecond

// settlesIn returns the time until a link may carry the next call, at most 0 if it has settled.
func (s *Sender) settlesIn(l *link) time.Duration {
	if l.answeredAt == 0 {
		return 0
	}
	return l.answeredAt + answerSettleTime - s.sinceStart()
}

// settledLink returns the settled idle link of an endpoint that was used last; nil if there is none.
func (s *Sender) settledLink(e *endpoint) *link {
	for i := len(e.idle) - 1; i >= 0; i-- {
		if s.settlesIn(e.idle[i]) <= 0 {
			return e.idle[i]
		}
	}
	return nil
}

// linkToSettleFirst returns the idle link of an endpoint that has settled, or will be the first to settle; nil if the
// endpoint has no idle link.
func (s *Sender) linkToSettleFirst(e *endpoint) *link {
	if l := s.settledLink(e); l != nil || len(e.idle) == 0 {
		return l
	}
	return slices.MinFunc(e.idle, func(a, b *link) int { return cmp.Compare(a.answeredAt, b.answeredAt) })
}

// newLinkIsFaster reports whether a call on a new link is expected to be answered in less than half the time of one that
// waits for l to settle. It is false if no further link can be opened. The factor is for what a connection costs besides
// time: endpoints hold a limited number of them.
func (s *Sender) newLinkIsFaster(e *endpoint, l *link) bool {
	onNewLink, onSettled := e.callTimes.first, max(0, s.settlesIn(l))+e.callTimes.later
	return onNewLink > 0 && 2*onNewLink < onSettled && s.openLinks < s.maxLinks
}

// callTimes holds smoothed times of an endpoint's successful calls; 0 if there was none.
type callTimes struct {
	first time.Duration // of the first call on a link, from the dial to the answer
	later time.Duration // of a later call, from its write to the answer
}

// callTimeWeight is the weight of a new call in callTimes.
const callTimeWeight = 0.125

// add takes in the time of a successful call; reused says that its link had carried a call before.
func (t *callTimes) add(reused bool, took time.Duration) {
	mean := &t.first
	if reused {
		mean = &t.later
	}
	if *mean == 0 {
		*mean = took
	}
	*mean += time.Duration(callTimeWeight * float64(took-*mean))
}

// awaitSettling keeps an idle link for a call, which is sent once the link has settled. Its attempt goes on record only
// then: a process that is killed meanwhile has sent nothing.
func (s *Sender) awaitSettling(c *call, l *link) {
	s.removeIdle(l)
	c.awaitingSettling, c.awaitingCapacity = true, false
	s.after(max(0, s.settlesIn(l)), func() { s.onSettled(c, l) })
}

// onSettled sends a call on the link that was kept for it, at the end of this turn. If the link has ended or has input by
// now, it looks for another one.
func (s *Sender) onSettled(c *call, l *link) {
	c.awaitingSettling = false
	if l.closing || !noInputPending(l.conn) {
		s.closeLink(l, badAnswer)
		s.findLink(c)
		return
	}
	s.eventsPending = true
	s.connected = append(s.connected, connectedCall{c, l})
}
