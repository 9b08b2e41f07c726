package referee

// This file judges the clients' side: what was requested, what answers the client and the platform got, and the value of a
// delivery. calls.go judges calls.

import (
	"container/heap"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

// Requested receives that a client wants a message delivered.
func (r *Referee) Requested(a *world.Request) {
	r.judgeDue()
	r.requests[a] = &requestState{}
	r.requestsByClass[a.Arrival.Class] = append(r.requestsByClass[a.Arrival.Class], a)
	r.second(a.At).Asked++
	r.v.Asked++
	if isCounted(a) {
		w := &r.v.Classes[a.Arrival.Class]
		w.Asked++
		w.ValueAsked += a.Class.Value
	}
}

// isCounted reports whether a request counts for the service figure. Those of the first second do not.
func isCounted(a *world.Request) bool { return a.At >= choice.Second }

// HandedIn receives that a client hands a message in to a sender.
func (r *Referee) HandedIn(h *world.HandIn) {
	r.judgeDue()
	r.v.HandedIn++
	n := &message{handIn: h, dueAt: h.Deadline + r.late()}
	r.messages[h] = n
	heap.Push(&r.due, n)
	if key, ordered := r.orderKeyOf(h); ordered {
		r.keyQueues[key] = append(r.keyQueues[key], n)
	}
}

// late is how long after its deadline a message is judged.
func (r *Referee) late() Time { return milliseconds(r.spec.Rules.LateMS) + r.slack }

// HandInAnswered receives the answer to a hand-in as its client sees it.
func (r *Referee) HandInAnswered(h *world.HandIn, what world.HandInAnswer) {
	r.judgeDue()
	n := r.messages[h]
	if n == nil {
		return
	}
	if what == world.HandInAccepted {
		r.accept(n)
		return
	}
	if what == world.HandInBusy || what == world.HandInError {
		n.refused = true
	}
	r.countRejection(what)
	r.leaveKeyQueue(n)
}

func (r *Referee) accept(n *message) {
	n.accepted = true
	r.v.Accepted++
	record(r.acceptLatency, r.clock()-n.handIn.At)
	if n.delivered {
		r.creditDelivery(n)
	}
}

func (r *Referee) countRejection(what world.HandInAnswer) {
	line := r.second(r.clock())
	switch what {
	case world.HandInBusy:
		r.v.Shed++
		line.Shed++
	case world.HandInError:
		r.v.Errors++
		line.Failed++
	case world.HandInUnanswered:
		r.v.Unanswered++
	case world.HandInNoSender:
		r.v.NoSender++
	}
}

// Delivered receives that an endpoint answered a message with success.
func (r *Referee) Delivered(h *world.HandIn, e *world.Endpoint) {
	r.judgeDue()
	n := r.messages[h]
	if n == nil || n.delivered {
		return
	}
	n.delivered = true
	if n.accepted {
		r.creditDelivery(n)
	}
}

// Ended receives an outcome callback for a message that was not delivered.
func (r *Referee) Ended(h *world.HandIn, what world.End) {
	r.judgeDue()
	n := r.messages[h]
	switch {
	case n == nil:
		return
	case n.ended && n.end != what:
		r.violated(Lost, h.Sender, "%s was told to the platform as handed back and as given up", h.ID)
		return
	case n.ended:
		return
	}
	n.ended, n.end = true, what
	if what == world.EndHandedBack {
		r.handedBack(n)
	} else {
		r.v.Failed++
		r.second(r.clock()).Failed++
	}
	r.leaveKeyQueue(n)
}

func (r *Referee) handedBack(n *message) {
	r.v.HandedBack++
	r.second(r.clock()).Shed++
	h := n.handIn
	if n.mayRun && nonIdempotent(h) {
		r.violated(Twice, h.Sender, "%s is single-use, may have run, and was handed back", h.ID)
	}
}

// creditDelivery adds a message's value to the service figure, once for all its hand-ins, by the time since the first.
func (r *Referee) creditDelivery(n *message) {
	state, request := r.requests[n.handIn.Request], n.handIn.Request
	if state == nil || state.credited {
		return
	}
	state.credited = true
	took := r.clock() - request.At
	r.v.Delivered++
	r.second(r.clock()).Delivered++
	r.recordDelivery(request, took)
	if took <= milliseconds(request.Class.LatencyObjectiveMS) {
		r.v.InTime++
	}
	if isCounted(request) {
		w := &r.v.Classes[request.Arrival.Class]
		w.Delivered++
		w.Value += request.Class.Value * Fade(r.spec, request.Class, took)
	}
}

func (r *Referee) recordDelivery(a *world.Request, took Time) {
	record(r.delivery[a.Arrival.Class], took)
	second := int(r.clock() / choice.Second)
	if second >= len(r.bySecond) {
		return
	}
	if r.bySecond[second] == nil {
		r.bySecond[second] = newHistogram()
	}
	record(r.bySecond[second], took)
}

// Fade is the share of a class's value that is left at a delivery this long after the first hand-in.
func Fade(spec *world.Spec, w *world.Class, took Time) float64 {
	c := choice.Class{LatencyObjective: milliseconds(w.LatencyObjectiveMS), Deadline: milliseconds(w.DeadlineMS), LateValue: w.LateValue}
	return c.ValueShare(took, spec.Halving)
}
