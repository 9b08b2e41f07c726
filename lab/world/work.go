package world

// This file models the processing of a call at its endpoint: the call is refused, or it waits for a slot, is worked on and
// answered. The outcome must not depend on the sender's view of the call.

import (
	"slices"

	"flaxcove/choice"
)

// minRetryAfter is the shortest Retry-After of a refusal that a fault draws by chance. The longest is twice that.
const minRetryAfter = 300 * Millisecond

// arrive handles a call that reaches its endpoint.
func (w *World) arrive(call *Call) {
	c := call.Conn
	e := c.Endpoint
	call.arrived = true
	if c.closedAtEndpoint {
		w.arriveTooLate(call)
		return
	}
	if e.effects.isolated || e.effects.neverReads || e.effects.silent || w.senders[c.Sender].isolated {
		w.noteFailureSeen(e, c.Sender)
		w.endAtEndpoint(call, 0) // the call is not received, and nothing is executed
		return
	}
	if e.effects.unanswered {
		w.noteFailureSeen(e, c.Sender)
		w.endAtEndpoint(call, 0)
		w.closeAtEndpoint(c, true)
		return
	}
	if e.inSlowStart(w.now) && !e.effects.shut {
		w.countSlowStartLoad(call)
		if c.closedAtEndpoint {
			return // the call took the endpoint down
		}
	}
	if call.Probe {
		w.answerProbe(call)
		return
	}
	if wait, refused := w.refusal(call); refused {
		w.refuse(call, wait)
		return
	}
	w.enqueue(call)
}

// arriveTooLate handles a call whose connection was closed before the call arrived. The sender sees a reset and cannot know
// whether the call was executed.
func (w *World) arriveTooLate(call *Call) {
	c := call.Conn
	w.endAtEndpoint(call, 0)
	w.setInFlight(call, false)
	if c.closedBySender || c.notified {
		return
	}
	c.notified = true
	w.After(w.oneWayDelay(c.Sender, c.Endpoint, int64(call.No)), func() {
		if !c.closedBySender {
			w.wire.ConnDown(c, ConnReset)
		}
	})
}

// answerProbe handles a health probe: it fails if the endpoint is shut or gone, else it is worked on like a call.
func (w *World) answerProbe(call *Call) {
	if e := call.Conn.Endpoint; e.effects.shut || e.Stage == choice.Gone {
		w.reply(call, Answer{Status: 503})
		return
	}
	w.enqueue(call)
}

// refusal reports whether an endpoint refuses a call, and the wait that the refusal may carry as Retry-After, or 0 for none.
func (w *World) refusal(call *Call) (wait Time, refused bool) {
	e := call.Conn.Endpoint
	switch {
	case e.effects.shut:
		w.noteFailureSeen(e, call.Conn.Sender)
		return max(Millisecond, e.effects.shutUntil-w.now), true
	case e.Stage == choice.Gone, call.Conn.overLimit:
		return 0, true
	case w.draw("lying", int64(call.No)) < e.effects.lying:
		for _, h := range call.Messages {
			h.FalselyRefused++
			w.reportExecuted(h, e)
		}
		return 0, true
	case w.inRefusedBurst(e), w.isFirstAfterPause(e), w.draw("refusing", int64(call.No)) < e.effects.refusing:
		return Time(float64(minRetryAfter) * (1 + w.draw("refusing wait", int64(call.No)))), true
	}
	if l := e.limitOf(); l != nil {
		taken, wait := l.take(w.now, e.effects.limitLeft(w.now), e.Partner.Kind.CountRefused)
		return wait, !taken
	}
	return 0, false
}

// refuse answers a call with a refusal. PartnerKind.RetryAfterShare of the refusals carry the wait as Retry-After.
func (w *World) refuse(call *Call, wait Time) {
	e := call.Conn.Endpoint
	told := e.effects.shutTells || w.draw("told", int64(call.No)) < e.Partner.Kind.RetryAfterShare
	if !told {
		wait = 0
	}
	closes := call.Conn.overLimit || e.effects.shutCloses
	w.reply(call, Answer{Status: 503, RetryAfter: wait, Close: closes})
	if e.effects.shutHangsUp {
		w.closeAtEndpoint(call.Conn, true)
	}
}

// inRefusedBurst reports whether a fault of the kind refusing_bursts has an endpoint refuse all calls now.
func (w *World) inRefusedBurst(e *Endpoint) bool {
	return e.effects.refusedBurst.every > 0 && e.effects.refusedBurst.phase(w.now) < e.effects.refusedBurst.share
}

// isFirstAfterPause counts a call at an endpoint. It reports whether a fault of the kind refusing_first refuses the call as
// one of the first after a time without calls.
func (w *World) isFirstAfterPause(e *Endpoint) bool {
	if w.now-e.lastCallAt > e.effects.firstPause {
		e.callsSincePause = 0
	}
	e.lastCallAt = w.now
	e.callsSincePause++
	return e.callsSincePause <= e.effects.firstCalls
}

// enqueue starts work on a call if a slot is free, queues it, or refuses it if the queue is full.
func (w *World) enqueue(call *Call) {
	e := call.Conn.Endpoint
	switch {
	case e.busy < e.slots:
		w.startWork(call)
	case len(e.queue) < e.queueMax:
		e.queue = append(e.queue, call)
	default:
		w.reply(call, Answer{Status: 503})
	}
}

// removeFromQueue removes a call from the queue.
func (w *World) removeFromQueue(call *Call) {
	e := call.Conn.Endpoint
	e.queue = slices.DeleteFunc(e.queue, func(other *Call) bool { return other == call })
}

// startWork takes a slot for a call and schedules the end of the work.
func (w *World) startWork(call *Call) {
	e := call.Conn.Endpoint
	e.busy++
	call.running = true
	restart := e.restarts
	work := logNormal(e.meanDuration, e.Partner.Kind.Sigma, w.draw("work", w.drawKey(call)...))
	if call.Probe {
		work = e.meanDuration / 8
	} else {
		work *= 1 + bulkMessageWork*float64(len(call.Messages)-1)
	}
	work *= e.effects.durationFactor() / w.capacityShare(e)
	if call.firstOnConn {
		work += (e.Partner.Kind.HandshakeMS + e.effects.handshakeMS) * float64(Millisecond)
	}
	w.After(max(1, Time(work)), func() { w.workDone(call, restart) })
}

// drawKey returns the numbers that identify a call in random draws: the request, the attempt and the number of messages. It
// does not use the number of the call, so that variants of a run draw the same for the same message.
func (w *World) drawKey(call *Call) []int64 {
	if len(call.Messages) == 0 || call.Messages[0].Unknown {
		return []int64{int64(call.No)}
	}
	h := call.Messages[0]
	return []int64{int64(h.Request.No), int64(h.attempts), int64(len(call.Messages))}
}

// workDone ends the work on a call and answers it. The parameter restart is the value of Endpoint.restarts when the work
// began.
func (w *World) workDone(call *Call, restart int64) {
	c := call.Conn
	e := c.Endpoint
	if e.restarts != restart {
		return // the process crashed after the work began, and the work is lost
	}
	if until := w.pausedUntil(e); until > w.now {
		w.At(until, func() { w.workDone(call, restart) })
		return
	}
	e.busy--
	call.running = false
	for len(e.queue) > 0 && e.busy < e.slots {
		next := e.queue[0]
		e.queue = e.queue[1:]
		w.startWork(next)
	}
	if call.Probe {
		w.reply(call, Answer{Status: 200})
		return
	}
	if a, ok := w.execute(call); ok {
		w.answerWork(call, a)
		return
	}
	w.noteFailureSeen(e, c.Sender)
	w.reply(call, Answer{Status: 500})
}

// failedButExecutedShare is the share of failed messages that were nevertheless executed.
const failedButExecutedShare = 0.5

// execute executes the messages of a call and returns the answer. ok is false if the call has only one message and it fails.
func (w *World) execute(call *Call) (a Answer, ok bool) {
	e := call.Conn.Endpoint
	name := w.drawKey(call)
	fail := combineShares(e.Partner.Kind.ErrorShare, e.effects.failing)
	a.Status = 200
	if len(call.Messages) == 1 {
		return a, w.executeOne(call.Messages[0], e, fail, name)
	}
	for i, h := range call.Messages {
		status := 200
		if !w.executeOne(h, e, fail, append(name, int64(i))) {
			status = 500
		}
		a.Statuses = append(a.Statuses, status)
	}
	return a, true
}

// executeOne executes a message and reports whether it succeeds. A message that fails may have been executed nevertheless.
func (w *World) executeOne(h *HandIn, e *Endpoint, fail float64, name []int64) bool {
	done := w.draw("fail", name...) >= fail
	if done || w.draw("fail ran", name...) < failedButExecutedShare {
		w.reportExecuted(h, e)
	}
	return done
}

// answerWork answers a call. Faults may cut the answer off, make it malformed, or reset the connection in its place.
func (w *World) answerWork(call *Call, a Answer) {
	c := call.Conn
	e := c.Endpoint
	name := w.drawKey(call)
	switch {
	case e.effects.hung:
		w.noteFailureSeen(e, c.Sender)
		a.Incomplete = true
	case !call.firstOnConn && w.draw("reset", name...) < e.effects.resets:
		w.endAtEndpoint(call, 0)
		w.closeAtEndpoint(c, true)
		return
	case w.draw("spoilt", name...) < e.effects.malformed:
		a.Malformed = true
	}
	w.reply(call, a)
}

// reportExecuted reports to the ledger that a message was executed.
func (w *World) reportExecuted(h *HandIn, e *Endpoint) { w.ledger.Executed(h, e, w.now) }
