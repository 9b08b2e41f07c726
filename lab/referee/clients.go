package referee

// This file judges the clients' side: the requests, the answers that clients and the platform got, and the value of
// deliveries. calls.go judges calls.

import (
	"container/heap"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

// Requested records that a client wants a message delivered.
func (r *Referee) Requested(a *world.Request) {
	r.checkDue()
	r.requests[a] = &requestState{}
	r.requestsByClass[a.Arrival.Class] = append(r.requestsByClass[a.Arrival.Class], a)
	r.timelineEntry(a.At).Asked++
	r.verdict.Asked++
	if isCounted(a) {
		w := &r.verdict.Classes[a.Arrival.Class]
		w.Asked++
		w.ValueAsked += a.Class.Value
	}
}

// isCounted reports whether a request counts for the service figure. Requests of the first second do not.
func isCounted(a *world.Request) bool { return a.At >= choice.Second }

// HandedIn records that a client hands a message in to a sender.
func (r *Referee) HandedIn(h *world.HandIn) {
	r.checkDue()
	r.verdict.HandedIn++
	n := &message{handIn: h, dueAt: h.Deadline + r.lateTolerance()}
	r.messages[h] = n
	heap.Push(&r.due, n)
	if key, ordered := r.orderKeyOf(h); ordered {
		r.keyQueues[key] = append(r.keyQueues[key], n)
	}
}

// lateTolerance returns the time after its deadline by which a message must have ended.
func (r *Referee) lateTolerance() Time { return milliseconds(r.spec.Rules.LateMS) + r.slack }

// HandInAnswered records the answer to a hand-in as its client sees it.
func (r *Referee) HandInAnswered(h *world.HandIn, what world.HandInAnswer) {
	r.checkDue()
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

// accept records that a sender accepted a message.
func (r *Referee) accept(n *message) {
	n.accepted = true
	r.verdict.Accepted++
	recordTime(r.acceptLatency, r.clock()-n.handIn.At)
	if n.delivered {
		r.creditDelivery(n)
	}
}

// countRejection counts an answer to a hand-in other than HandInAccepted.
func (r *Referee) countRejection(what world.HandInAnswer) {
	second := r.timelineEntry(r.clock())
	switch what {
	case world.HandInBusy:
		r.verdict.Shed++
		second.Shed++
	case world.HandInError:
		r.verdict.Errors++
		second.Failed++
	case world.HandInUnanswered:
		r.verdict.Unanswered++
	case world.HandInNoSender:
		r.verdict.NoSender++
	}
}

// Delivered records that an endpoint answered a message with success.
func (r *Referee) Delivered(h *world.HandIn, e *world.Endpoint) {
	r.checkDue()
	n := r.messages[h]
	if n == nil || n.delivered {
		return
	}
	n.delivered = true
	if n.accepted {
		r.creditDelivery(n)
	}
}

// Ended records the outcome callback of a message that was not delivered, and checks that it agrees with earlier ones.
func (r *Referee) Ended(h *world.HandIn, what world.End) {
	r.checkDue()
	n := r.messages[h]
	switch {
	case n == nil:
		return
	case n.ended && n.end != what:
		r.addViolation(Lost, h.Sender, "%s was told to the platform as handed back and as given up", h.ID)
		return
	case n.ended:
		return
	}
	n.ended, n.end = true, what
	if what == world.EndHandedBack {
		r.recordHandBack(n)
	} else {
		r.verdict.Failed++
		r.timelineEntry(r.clock()).Failed++
	}
	r.leaveKeyQueue(n)
}

// recordHandBack counts a message that its sender handed back, and checks that a non-idempotent one cannot have been
// executed.
func (r *Referee) recordHandBack(n *message) {
	r.verdict.HandedBack++
	r.timelineEntry(r.clock()).Shed++
	h := n.handIn
	if n.mayRun && nonIdempotent(h) {
		r.addViolation(Twice, h.Sender, "%s is single-use, may have run, and was handed back", h.ID)
	}
}

// creditDelivery adds a message's value to the service figure, by the time since its first hand-in. A request is credited
// once, whatever the number of its hand-ins.
func (r *Referee) creditDelivery(n *message) {
	state, request := r.requests[n.handIn.Request], n.handIn.Request
	if state == nil || state.credited {
		return
	}
	state.credited = true
	took := r.clock() - request.At
	r.verdict.Delivered++
	r.timelineEntry(r.clock()).Delivered++
	r.recordDelivery(request, took)
	if took <= milliseconds(request.Class.LatencyObjectiveMS) {
		r.verdict.InTime++
	}
	if isCounted(request) {
		w := &r.verdict.Classes[request.Arrival.Class]
		w.Delivered++
		w.Value += request.Class.Value * ValueShare(r.spec, request.Class, took)
	}
}

// recordDelivery records the latency of a delivery, by class and by second of the run.
func (r *Referee) recordDelivery(a *world.Request, took Time) {
	recordTime(r.delivery[a.Arrival.Class], took)
	second := int(r.clock() / choice.Second)
	if second >= len(r.bySecond) {
		return
	}
	if r.bySecond[second] == nil {
		r.bySecond[second] = newHistogram()
	}
	recordTime(r.bySecond[second], took)
}

// ValueShare returns the share of a class's value that remains at a delivery the time took after the first hand-in.
func ValueShare(spec *world.Spec, w *world.Class, took Time) float64 {
	c := choice.Class{LatencyObjective: milliseconds(w.LatencyObjectiveMS), Deadline: milliseconds(w.DeadlineMS), LateValue: w.LateValue}
	return c.ValueShare(took, spec.Halving)
}
