package world

// This file handles answers: the messages they deliver, their load report, and the time at which they reach the sender. An
// answer must not count as a delivery if the sender can no longer receive it.

import (
	"flaxcove/choice"
)

// endAtEndpoint ends the endpoint's part in a call. The status is 0 if the endpoint does not answer.
func (w *World) endAtEndpoint(call *Call, status int) {
	if !call.ended {
		call.ended = true
		w.ledger.Outcome(call, status)
	}
}

// reply sends an answer. Unless the answer is incomplete, the call is no longer in flight from this moment, and the
// messages that succeeded count as delivered.
func (w *World) reply(call *Call, a Answer) {
	c := call.Conn
	e := c.Endpoint
	if a.Status == 503 && a.RetryAfter > 0 {
		a.Status = 429
	}
	w.endAtEndpoint(call, a.Status)
	if a.Status >= 500 || a.Status == 429 {
		w.noteFailureSeen(e, c.Sender)
	}
	if c.closedAtEndpoint {
		return
	}
	if e.Partner.Kind.Reports {
		a.Report = w.reportOf(e)
	}
	if !a.Incomplete {
		w.setInFlight(call, false)
		c.call = nil
		w.deliver(call, &a)
		w.watchIdle(c)
	}
	if a.Close {
		c.closedAtEndpoint = true
		delete(e.conns, c)
	}
	w.sendAnswer(call, a)
	if !a.Close && !a.Incomplete && w.draw("second answer", int64(call.No)) < e.effects.twice {
		w.sendAnswerAgain(call, a)
	}
}

// maxSecondAnswerDelay is the longest time between an answer and its second copy.
const maxSecondAnswerDelay = 10 * Millisecond

// sendAnswerAgain sends a second copy of an answer a short time after it, unless another call has reached the endpoint on
// the connection by then. The copy and the sender's next call may cross on their way.
func (w *World) sendAnswerAgain(call *Call, a Answer) {
	c := call.Conn
	way := w.oneWayDelay(c.Sender, c.Endpoint, -int64(call.No)) // as for the answer, so that the copy does not overtake it
	w.After(1+Time(w.draw("second answer delay", int64(call.No))*float64(maxSecondAnswerDelay)), func() {
		if c.closedAtEndpoint || c.call != nil && c.call.arrived {
			return
		}
		w.After(way, func() {
			if !c.closedBySender && !w.senders[c.Sender].isolated {
				w.wire.AnsweredAgain(c, call, a)
			}
		})
	})
}

// sendAnswer delivers an answer to its sender after the delay of the network. If the sender has closed the connection by
// then, it does not receive the answer and is not bound by its Retry-After.
func (w *World) sendAnswer(call *Call, a Answer) {
	c := call.Conn
	delay, sentAt := w.oneWayDelay(c.Sender, c.Endpoint, -int64(call.No)), w.now
	w.After(delay, func() {
		if c.closedBySender || w.senders[c.Sender].isolated {
			return
		}
		if a.RetryAfter > 0 {
			w.ledger.RetryAfterReceived(c.Sender, c.Endpoint, sentAt+a.RetryAfter)
		}
		w.wire.Answered(c, call, a)
	})
}

// deliver reports the messages of a call that an answer delivers to the ledger.
func (w *World) deliver(call *Call, a *Answer) {
	if a.Malformed || a.Status != 200 || call.Conn.closedBySender {
		return
	}
	for i, h := range call.Messages {
		if (a.Statuses == nil || a.Statuses[i] == 200) && !h.Unknown {
			w.ledger.Delivered(h, call.Conn.Endpoint)
			w.markDelivered(h)
		}
	}
}

// reportOf returns an endpoint's load report, which may be up to PartnerKind.ReportMS old.
func (w *World) reportOf(e *Endpoint) choice.Report {
	if w.now >= e.reportAt {
		e.reportAt = w.now + ms(e.Partner.Kind.ReportMS)
		e.report = choice.Report{Known: true, Left: 1}
		if l := e.limitOf(); l != nil {
			e.report.Left, e.report.Limit = l.unusedShare(w.now, e.effects.limitLeft(w.now)), l.perSecond*e.effects.limitLeft(w.now)
		}
	}
	return e.report
}
