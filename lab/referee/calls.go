package referee

// This file judges calls: which rules a call breaks when it leaves, and whether it may have been executed. It must judge
// by what had reached the sender, not by what the sender made of it.

import (
	"flaxcove/choice"
	"flaxcove/lab/world"
)

// waitGrace allows for calls that were about to leave when a Retry-After arrived.
const waitGrace = 100 * choice.Millisecond

// callState is the endpoint's answer to a call that the sender may still get an answer to.
type callState struct {
	refused  bool
	answered bool
}

// senderView identifies an endpoint, or a route, as one sender sees it.
type senderView struct {
	sender world.SenderNo
	no     int // an endpoint's number, or a route's from routeNo
}

// announcedStage is an endpoint's stage as discovery announced it to a sender, and when.
type announcedStage struct {
	stage choice.Stage
	at    Time
}

// routeNo numbers routes: a partner's number, or a negative one for an endpoint that is a routeNo of its own.
func routeNo(e *world.Endpoint) int {
	if e.Partner.Kind.SeparateRoutes {
		return -1 - int(e.No)
	}
	return int(e.Partner.No)
}

func nonIdempotent(h *world.HandIn) bool { return h.Request.Class.Repeat == world.NonIdempotent }

// CallSent receives that a call left its sender.
func (r *Referee) CallSent(c *world.Call) {
	r.judgeDue()
	r.v.Calls++
	r.second(r.clock()).Calls++
	r.calls[c] = &callState{}
	if c.Probe {
		r.v.Probes++
	}
	r.judgeDrain(c)
	r.judgeWait(c)
	for _, h := range c.Messages {
		if n := r.messageOf(c, h); n != nil {
			r.attempted(c, n)
		}
	}
}

// judgeDrain checks that no call goes to an endpoint later than the grace period after its sender learnt that it drains
// or is gone.
func (r *Referee) judgeDrain(c *world.Call) {
	now, e, s := r.clock(), c.Conn.Endpoint, c.Conn.Sender
	grace := milliseconds(r.spec.Rules.DrainGraceMS) + r.slack
	if t, stages := r.stages[senderView{s, int(e.No)}]; stages && t.stage != choice.Ready && now > t.at+grace {
		r.violated(Drains, s, "a call to %s left %.3f s after it was told that it drains or is gone", e.ID, sec(now-t.at))
	}
}

// judgeWait checks that no call goes along a route before the end of a Retry-After that reached its sender.
func (r *Referee) judgeWait(c *world.Call) {
	now, e, s := r.clock(), c.Conn.Endpoint, c.Conn.Sender
	at := senderView{s, routeNo(e)}
	until, waits := r.retryAfterUntil[at]
	switch {
	case !waits:
	case now >= until:
		delete(r.retryAfterUntil, at)
		delete(r.retryAfterSince, at)
	case now > r.retryAfterSince[at]+waitGrace+r.slack:
		r.violated(Waits, s, "a call to %s left %.3f s before the end of a wait told %.3f s ago", e.ID, sec(until-now), sec(now-r.retryAfterSince[at]))
	}
}

// messageOf is the state of a hand-in that a call carries, or nil if there is nothing more to judge.
func (r *Referee) messageOf(c *world.Call, h *world.HandIn) *message {
	e, s := c.Conn.Endpoint, c.Conn.Sender
	if h.Unknown || h.Request == nil {
		r.violated(Elsewhere, s, "%s was sent to %s and no program handed it in, or long ago", h.ID, e.ID)
		return nil
	}
	if h.Request.Partner != int(e.Partner.No) {
		r.violated(Elsewhere, s, "%s is for partner %d and went to %s", h.ID, h.Request.Partner, e.ID)
	}
	n := r.messages[h]
	if n == nil && !h.Abandoned() {
		r.violated(Lost, s, "%s was sent after it was judged", h.ID)
	}
	return n
}

// attempted judges a message that leaves in a call.
func (r *Referee) attempted(c *world.Call, n *message) {
	r.v.Attempts++
	r.judgeTime(c, n)
	if n.inFlight > 0 {
		r.violated(Twice, c.Conn.Sender, "%s was sent to %s while a dispatch of it was out", n.handIn.ID, c.Conn.Endpoint.ID)
	}
	n.inFlight++
	if n.mayRun {
		r.judgeRepeat(c, n)
	}
	if key, ordered := r.orderKeyOf(n.handIn); ordered && !n.handIn.Abandoned() {
		r.judgeOrder(c, n, key)
	}
}

// judgeTime checks that a message is not sent after its end or past its deadline.
func (r *Referee) judgeTime(c *world.Call, n *message) {
	now, s, h := r.clock(), c.Conn.Sender, n.handIn
	switch {
	case h.Abandoned():
	case n.refused:
		r.violated(Lost, s, "%s was sent after its program was told no", h.ID)
	case n.ended:
		r.violated(Lost, s, "%s was sent after the platform heard of its end", h.ID)
	case now > h.Deadline+r.late():
		r.violated(Lost, s, "%s was sent %.3f s after its hard stop", h.ID, sec(now-h.Deadline))
	}
}

// judgeRepeat checks that a message that may have been executed is sent again only where and while its effect cannot
// come twice.
func (r *Referee) judgeRepeat(c *world.Call, n *message) {
	now, e, s, h := r.clock(), c.Conn.Endpoint, c.Conn.Sender, n.handIn
	w := h.Request.Class
	switch w.Repeat {
	case world.NonIdempotent:
		r.violated(Twice, s, "%s is single-use, may have run, and was sent again", h.ID)
	case world.Keyed:
		if window := Time(w.WindowS * float64(choice.Second)); now > n.mayRunAt+window+r.slack {
			r.violated(Twice, s, "%s was sent again %.3f s after it may have run, past its window", h.ID, sec(now-n.mayRunAt))
		}
		if w.ZoneGroup && e.Zone != n.mayRunIn {
			r.violated(Twice, s, "%s may have run in zone %d and was sent again to zone %d", h.ID, n.mayRunIn+1, e.Zone+1)
		}
	}
}

// judgeOrder checks that an earlier message of the same ordering key has ended before the next one is sent, and that the
// key rests after a call without an answer.
func (r *Referee) judgeOrder(c *world.Call, n *message, key orderKey) {
	now, s := r.clock(), c.Conn.Sender
	for _, earlier := range r.keyQueues[key] {
		if earlier == n {
			break
		}
		if earlier.accepted && !earlier.over() || earlier.inFlight > 0 {
			r.violated(Order, s, "%s was sent while %s, taken on before it with the same key, is not over", n.handIn.ID, earlier.handIn.ID)
			break
		}
	}
	if until := r.keyRestUntil[key]; now+r.slack < until && !n.mayRun {
		r.violated(Order, s, "%s was sent %.3f s before the end of its key's rest", n.handIn.ID, sec(until-now))
	}
}

// InFlightChanged receives that a call is in flight, which CallSent has reported, or that it no longer is.
func (r *Referee) InFlightChanged(c *world.Call, out bool) {
	if out {
		return
	}
	r.judgeDue()
	state := r.calls[c]
	if state == nil {
		return
	}
	delete(r.calls, c)
	for _, h := range c.Messages {
		if n := r.messages[h]; n != nil {
			r.resolved(c, state, n)
		}
	}
}

// resolved records what a call that is no longer in flight may have done to one of its messages.
func (r *Referee) resolved(c *world.Call, state *callState, n *message) {
	n.inFlight--
	if !state.refused && !n.mayRun {
		n.mayRun, n.mayRunAt, n.mayRunIn = true, c.SentAt, c.Conn.Endpoint.Zone
	}
	if key, ordered := r.orderKeyOf(n.handIn); ordered && !state.answered {
		r.keyRestUntil[key] = max(r.keyRestUntil[key], r.clock()+milliseconds(r.spec.Rules.KeyRestMS))
	}
}

// Outcome receives the end of a call as its endpoint saw it, with the status or 0 for none.
func (r *Referee) Outcome(c *world.Call, status int) {
	r.judgeDue()
	state := r.calls[c]
	if state == nil {
		state = &callState{} // abandoned before, and resolved as a call that may have been executed
	}
	state.refused = status == 429 || status == 503
	state.answered = status != 0
	line := r.second(r.clock())
	switch {
	case c.Probe:
	case state.refused:
		r.v.Refusals++
		line.Refused++
	case status == 0 || status >= 500:
		r.v.FailedCalls++
		line.FailedCalls++
	}
}

// Executed receives that a message had its effect.
func (r *Referee) Executed(h *world.HandIn, e *world.Endpoint, at Time) {
	r.v.Runs++
	n := r.messages[h]
	if n == nil || h.Unknown {
		return
	}
	n.runs++
	switch {
	case n.runs == 1 || !nonIdempotent(h):
	case n.runs <= 1+h.FalselyRefused:
		r.v.FalselyRefused++ // its partner had answered that the first was not executed
	default:
		r.violated(Twice, h.Sender, "%s is single-use and has run %d times", h.ID, n.runs)
	}
}
