package referee

// This file checks calls against the rules when they leave their sender, and records whether a message may have been
// executed. A call must be judged by the information that had reached its sender.

import (
	"flaxcove/choice"
	"flaxcove/lab/world"
)

// waitGrace is the time after the arrival of a Retry-After in which calls may still leave, since the sender had begun them
// before.
const waitGrace = 100 * choice.Millisecond

// callState is the state of a call in flight: whether its endpoint has refused or answered it.
type callState struct {
	refused  bool
	answered bool
}

// senderView identifies an endpoint, or a route, as one sender sees it.
type senderView struct {
	sender world.SenderNo
	no     int // the endpoint's number, or the route's number as routeNo returns it
}

// announcedStage is the stage of an endpoint that discovery announced to a sender, and the time of the announcement.
type announcedStage struct {
	stage choice.Stage
	at    Time
}

// routeNo returns the number of the route to an endpoint: its partner's number, or a negative number for an endpoint that
// is a route of its own.
func routeNo(e *world.Endpoint) int {
	if e.Partner.Kind.SeparateRoutes {
		return -1 - int(e.No)
	}
	return int(e.Partner.No)
}

// nonIdempotent reports whether a message must not be executed twice.
func nonIdempotent(h *world.HandIn) bool { return h.Request.Class.Repeat == world.NonIdempotent }

// CallSent records that a call left its sender, and checks the call against the rules.
func (r *Referee) CallSent(c *world.Call) {
	r.checkDue()
	r.verdict.Calls++
	r.timelineEntry(r.clock()).Calls++
	r.calls[c] = &callState{}
	if c.Probe {
		r.verdict.Probes++
	}
	r.checkDrain(c)
	r.checkRetryAfter(c)
	for _, h := range c.Messages {
		if n := r.messageOf(c, h); n != nil {
			r.checkAttempt(c, n)
		}
	}
}

// checkDrain checks that a call does not go to an endpoint that drains or is gone, after the grace period that follows the
// announcement to the sender.
func (r *Referee) checkDrain(c *world.Call) {
	now, e, s := r.clock(), c.Conn.Endpoint, c.Conn.Sender
	grace := milliseconds(r.spec.Rules.DrainGraceMS) + r.slack
	if t, stages := r.stages[senderView{s, int(e.No)}]; stages && t.stage != choice.Ready && now > t.at+grace {
		r.addViolation(Drains, s, "a call to %s left %.3f s after it was told that it drains or is gone", e.ID, inSeconds(now-t.at))
	}
}

// checkRetryAfter checks that a call does not use a route before the end of a Retry-After that reached its sender.
func (r *Referee) checkRetryAfter(c *world.Call) {
	now, e, s := r.clock(), c.Conn.Endpoint, c.Conn.Sender
	at := senderView{s, routeNo(e)}
	until, waits := r.retryAfterUntil[at]
	switch {
	case !waits:
	case now >= until:
		delete(r.retryAfterUntil, at)
		delete(r.retryAfterSince, at)
	case now > r.retryAfterSince[at]+waitGrace+r.slack:
		r.addViolation(Waits, s, "a call to %s left %.3f s before the end of a wait told %.3f s ago", e.ID, inSeconds(until-now), inSeconds(now-r.retryAfterSince[at]))
	}
}

// messageOf checks that a message was handed in and goes to its own partner, and returns its state. It returns nil for a
// message that is unknown or already judged.
func (r *Referee) messageOf(c *world.Call, h *world.HandIn) *message {
	e, s := c.Conn.Endpoint, c.Conn.Sender
	if h.Unknown || h.Request == nil {
		r.addViolation(Elsewhere, s, "%s was sent to %s and no program handed it in, or long ago", h.ID, e.ID)
		return nil
	}
	if h.Request.Destination != int(e.Partner.No) {
		r.addViolation(Elsewhere, s, "%s is for partner %d and went to %s", h.ID, h.Request.Destination, e.ID)
	}
	n := r.messages[h]
	if n == nil && !h.Abandoned() {
		r.addViolation(Lost, s, "%s was sent after it was judged", h.ID)
	}
	return n
}

// checkAttempt records that a message leaves in a call, and checks this attempt against the rules.
func (r *Referee) checkAttempt(c *world.Call, n *message) {
	r.verdict.Attempts++
	r.checkTime(c, n)
	if n.inFlight > 0 {
		r.addViolation(Twice, c.Conn.Sender, "%s was sent to %s while a dispatch of it was out", n.handIn.ID, c.Conn.Endpoint.ID)
	}
	n.inFlight++
	if n.mayRun {
		r.checkRepeat(c, n)
	}
	if key, ordered := r.orderKeyOf(n.handIn); ordered && !n.handIn.Abandoned() {
		r.checkOrder(c, n, key)
	}
}

// checkTime checks that a message is not sent after its end or its deadline.
func (r *Referee) checkTime(c *world.Call, n *message) {
	now, s, h := r.clock(), c.Conn.Sender, n.handIn
	switch {
	case h.Abandoned():
	case n.refused:
		r.addViolation(Lost, s, "%s was sent after its program was told no", h.ID)
	case n.ended:
		r.addViolation(Lost, s, "%s was sent after the platform heard of its end", h.ID)
	case now > h.Deadline+r.lateTolerance():
		r.addViolation(Lost, s, "%s was sent %.3f s after its hard stop", h.ID, inSeconds(now-h.Deadline))
	}
}

// checkRepeat checks that a message that may have been executed is sent again only if its effect cannot come twice: never
// if it is non-idempotent, and if it is keyed only within its window and, with Class.ZoneGroup, only to the zone of the first
// attempt that may have been executed.
func (r *Referee) checkRepeat(c *world.Call, n *message) {
	now, e, s, h := r.clock(), c.Conn.Endpoint, c.Conn.Sender, n.handIn
	w := h.Request.Class
	switch w.Repeat {
	case world.NonIdempotent:
		r.addViolation(Twice, s, "%s is single-use, may have run, and was sent again", h.ID)
	case world.Keyed:
		if window := Time(w.WindowS * float64(choice.Second)); now > n.mayRunAt+window+r.slack {
			r.addViolation(Twice, s, "%s was sent again %.3f s after it may have run, past its window", h.ID, inSeconds(now-n.mayRunAt))
		}
		if w.ZoneGroup && e.Zone != n.mayRunIn {
			r.addViolation(Twice, s, "%s may have run in zone %d and was sent again to zone %d", h.ID, n.mayRunIn+1, e.Zone+1)
		}
	}
}

// checkOrder checks that all earlier messages of the same ordering key have ended before the next one is sent, and that a
// key is paused after a call without an answer.
func (r *Referee) checkOrder(c *world.Call, n *message, key orderKey) {
	now, s := r.clock(), c.Conn.Sender
	for _, earlier := range r.keyQueues[key] {
		if earlier == n {
			break
		}
		if earlier.accepted && !earlier.hasEnded() || earlier.inFlight > 0 {
			r.addViolation(Order, s, "%s was sent while %s, taken on before it with the same key, is not over", n.handIn.ID, earlier.handIn.ID)
			break
		}
	}
	if until := r.keyPausedUntil[key]; now+r.slack < until && !n.mayRun {
		r.addViolation(Order, s, "%s was sent %.3f s before the end of its key's rest", n.handIn.ID, inSeconds(until-now))
	}
}

// InFlightChanged records the end of a call that is no longer in flight. It ignores the begin, which CallSent records.
func (r *Referee) InFlightChanged(c *world.Call, out bool) {
	if out {
		return
	}
	r.checkDue()
	state := r.calls[c]
	if state == nil {
		return
	}
	delete(r.calls, c)
	for _, h := range c.Messages {
		if n := r.messages[h]; n != nil {
			r.recordCallEnd(c, state, n)
		}
	}
}

// recordCallEnd records, for one message of a call that is no longer in flight, whether the message may have been executed,
// and pauses the message's ordering key if the call got no answer.
func (r *Referee) recordCallEnd(c *world.Call, state *callState, n *message) {
	n.inFlight--
	if !state.refused && !n.mayRun {
		n.mayRun, n.mayRunAt, n.mayRunIn = true, c.SentAt, c.Conn.Endpoint.Zone
	}
	if key, ordered := r.orderKeyOf(n.handIn); ordered && !state.answered {
		r.keyPausedUntil[key] = max(r.keyPausedUntil[key], r.clock()+milliseconds(r.spec.Rules.KeyRestMS))
	}
}

// Outcome records the end of a call at its endpoint, with the status of the answer or 0 for no answer.
func (r *Referee) Outcome(c *world.Call, status int) {
	r.checkDue()
	state := r.calls[c]
	if state == nil {
		state = &callState{} // the sender abandoned the call, which was recorded as one that may have been executed
	}
	state.refused = status == 429 || status == 503
	state.answered = status != 0
	second := r.timelineEntry(r.clock())
	switch {
	case c.Probe:
	case state.refused:
		r.verdict.Refusals++
		second.Refused++
	case status == 0 || status >= 500:
		r.verdict.FailedCalls++
		second.FailedCalls++
	}
}

// Executed records that a message was executed and checks that a non-idempotent one was not executed before.
func (r *Referee) Executed(h *world.HandIn, e *world.Endpoint, at Time) {
	r.verdict.Runs++
	n := r.messages[h]
	if n == nil || h.Unknown {
		return
	}
	n.runs++
	switch {
	case n.runs == 1 || !nonIdempotent(h):
	case n.runs <= 1+h.FalselyRefused:
		r.verdict.FalselyRefused++ // the partner had answered a former execution with a refusal, so the sender may send it again
	default:
		r.addViolation(Twice, h.Sender, "%s is single-use and has run %d times", h.ID, n.runs)
	}
}
