package world

// This file handles answers: what they deliver, what they report of a limit, and when they reach the sender. An answer
// must not count as a delivery if its sender can no longer receive it.

import (
	"flaxcove/choice"
)

// endAtEndpoint ends the endpoint's part in a call, with the status it answers or 0 for none.
func (w *World) endAtEndpoint(call *Call, status int) {
	if !call.over {
		call.over = true
		w.ledger.Outcome(call, status)
	}
}

// reply sends an answer. From here on the call is no longer in flight, and its messages count as delivered.
func (w *World) reply(call *Call, a Answer) {
	c := call.Conn
	e := c.Endpoint
	if a.Status == 503 && a.Wait > 0 {
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
	if !a.Half {
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
}

// sendAnswer has an answer reach its sender after the delay of the network. If the sender closed before, the answer is not
// received, and its Retry-After does not count.
func (w *World) sendAnswer(call *Call, a Answer) {
	c := call.Conn
	delay, sentAt := w.oneWayDelay(c.Sender, c.Endpoint, -int64(call.No)), w.now
	w.After(delay, func() {
		if c.closedBySender || w.senders[c.Sender].isolated {
			return
		}
		if a.Wait > 0 {
			w.ledger.RetryAfterReceived(c.Sender, c.Endpoint, sentAt+a.Wait)
		}
		w.wire.Answered(c, call, a)
	})
}

// deliver reports the messages that an answer delivers.
func (w *World) deliver(call *Call, a *Answer) {
	if a.Spoilt || a.Status != 200 || call.Conn.closedBySender {
		return
	}
	for i, h := range call.Messages {
		if (a.Statuses == nil || a.Statuses[i] == 200) && !h.Unknown {
			w.ledger.Delivered(h, call.Conn.Endpoint)
			w.delivered(h)
		}
	}
}

// reportOf is an endpoint's load report, which may be up to ReportMS old.
func (w *World) reportOf(e *Endpoint) choice.Report {
	if w.now >= e.reportAt {
		e.reportAt = w.now + ms(e.Partner.Kind.ReportMS)
		e.report = choice.Report{Known: true, Left: 1}
		if l := e.limitOf(); l != nil {
			e.report.Left, e.report.Limit = l.left(w.now, e.effects.limitLeft(w.now)), l.perSecond*e.effects.limitLeft(w.now)
		}
	}
	return e.report
}
