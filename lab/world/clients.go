package world

// This file models the clients: their requests, the hand-ins to senders, the answers to these, and retries. It must not
// depend on the internal state of a sender.

import (
	"fmt"

	"flaxcove/choice"
	"flaxcove/lab/load"
)

// HandInAnswer is the answer of a sender to a hand-in, as its client sees it.
type HandInAnswer int

const (
	HandInUnanswered HandInAnswer = iota // no answer within the client's patience
	HandInAccepted
	HandInBusy     // the sender shed the message
	HandInError    // the sender answered with an error, after which the client does not try again
	HandInNoSender // the connection was refused, or broke before the answer
)

// End is the end of an accepted message that was not delivered, as the outcome callback reports it to the platform.
type End int

const (
	EndHandedBack End = iota // the sender shed the message
	EndFailed                // the sender failed the message
)

// Request is one message that a client wants delivered. It may be handed in several times, but its value counts once.
type Request struct {
	load.Arrival
	No       RequestNo
	Class    *Class
	Deadline Time
	HandIns  int  // number of hand-ins
	retries  int  // number of hand-ins after a sender shed the message
	done     bool // the client will not hand the message in again
}

// HandIn is one submission of a Request to one sender. Each hand-in has a message id of its own.
type HandIn struct {
	ID             choice.MessageID
	Request        *Request
	Sender         SenderNo
	At             Time
	Deadline       Time
	Unknown        bool // no client handed in a message with this id, or the world has forgotten it
	FalselyRefused int  // number of executions that the partner answered with a refusal

	answer   HandInAnswer
	settled  bool // the hand-in was answered, or the client's patience is over
	ended    bool // the message was delivered, or an outcome callback reported its end
	attempts int  // number of calls that carried the message
}

// RemainingMS returns the time from the hand-in to the deadline, in milliseconds, rounded down.
func (h *HandIn) RemainingMS() int64 { return int64((h.Deadline - h.At) / Millisecond) }

// planLoad sets up the arrivals of requests: those of the trace, or if it is nil the spec's load with the faults that
// change it.
func (w *World) planLoad(trace []load.Arrival) error {
	if trace != nil {
		replay, err := load.NewReplay(trace)
		w.arrivals = replay
		return err
	}
	classes, partners := make([]float64, len(w.Spec.Classes)), make([]float64, len(w.Partners))
	for i := range classes {
		classes[i] = w.Spec.Classes[i].Share
	}
	for i, p := range w.Partners {
		partners[i] = p.Share
	}
	w.arrivals = load.NewPlan(w.Spec.Load, w.seed, w.end, classes, partners,
		load.ZipfWeights(len(w.senders), w.Spec.Load.SenderSkew), w.loadChanges())
	return nil
}

// loadChanges returns the changes of the load by faults of the kinds surge and fixed.
func (w *World) loadChanges() (changes []load.LoadChange) {
	for i := range w.Spec.Faults {
		t := &w.Spec.Faults[i]
		change := load.LoadChange{From: seconds(t.At), To: seconds(t.At + t.Seconds), Factor: 1, Sender: -1, Destination: -1}
		switch t.Kind {
		case "surge":
			change.Factor = t.Amount
		case "fixed":
			change.Share = t.Amount
			change.Destination = int(w.partnersOf(&t.Selector, int64(i))[0].No)
		default:
			continue
		}
		if len(t.Selector.Senders) > 0 {
			change.Sender = t.Selector.Senders[0]
		}
		changes = append(changes, change)
	}
	return changes
}

// nextArrival schedules the next arrival, which schedules the one after it.
func (w *World) nextArrival() {
	a, ok := w.arrivals.Next()
	if !ok {
		return
	}
	w.At(a.At, func() {
		w.requestArrived(a)
		w.nextArrival()
	})
}

// requestArrived creates a Request and hands its message in for the first time.
func (w *World) requestArrived(a load.Arrival) {
	class := &w.Spec.Classes[a.Class]
	request := &Request{Arrival: a, No: RequestNo(a.Number), Class: class, Deadline: a.At + ms(class.DeadlineMS)}
	w.ledger.Requested(request)
	w.handIn(request, SenderNo(a.Sender))
}

// handIn hands a message in to a sender. If that sender does not serve, the next one that does takes its place, unless
// Clients.OwnSender is set.
func (w *World) handIn(a *Request, to SenderNo) {
	if a.done || w.now >= a.Deadline-Millisecond {
		a.done = true
		return
	}
	for range w.senders {
		if w.senders[to].serving || w.Spec.Clients.OwnSender {
			break
		}
		to = (to + 1) % SenderNo(len(w.senders))
	}
	a.HandIns++
	h := &HandIn{ID: choice.MessageID(fmt.Sprintf("%08x%08x", uint32(a.No), uint32(a.HandIns)|uint32(to)<<16)), Request: a, Sender: to, At: w.now,
		Deadline: a.Deadline}
	if !w.senders[to].serving {
		w.handInElsewhere(a, (to+1)%SenderNo(len(w.senders)))
		return
	}
	w.byMessage[h.ID] = h
	w.At(h.Deadline+ms(w.Spec.Rules.LateMS)+forgetAfter, func() { w.forget(h) })
	w.ledger.HandedIn(h)
	if !w.senders[to].isolated {
		w.wire.HandIn(h)
	}
	w.After(w.senders[to].patience, func() {
		if !h.settled {
			w.settle(h, HandInUnanswered)
			w.handInElsewhere(a, (to+1)%SenderNo(len(w.senders)))
		}
	})
}

// forgetAfter is how long a hand-in is still known after its deadline and Rules.LateMS, so that late answers and callbacks
// find it.
const forgetAfter = 4 * Second

// forget drops a hand-in once no more events can concern it. An accepted message that has not ended is kept until the run
// is over, since its sender may be down for a long time and end the message after its restart.
func (w *World) forget(h *HandIn) {
	if h.answer == HandInAccepted && !h.ended && w.now < w.end+forgetAfter {
		w.After(forgetAfter, func() { w.forget(h) })
		return
	}
	delete(w.byMessage, h.ID)
}

// Abandoned reports whether the client stopped waiting for the answer. From then on the referee judges neither the end of
// the message nor the order in which it is sent.
func (h *HandIn) Abandoned() bool { return h.answer == HandInUnanswered && h.settled }

// handInElsewhere hands a message in to another sender after a wait, because the first one was down or did not answer. With
// Clients.OwnSender the message goes to the client's own sender again.
func (w *World) handInElsewhere(a *Request, to SenderNo) {
	if w.Spec.Clients.OwnSender {
		to = SenderNo(a.Sender)
	}
	wait := ms(w.drawWithin(w.Spec.Clients.RetryMS, "again", int64(a.No), int64(a.HandIns)))
	w.After(wait, func() { w.handIn(a, to) })
}

// settle records the answer to a hand-in and reports true; if the hand-in was settled before, it changes nothing and
// reports false.
func (w *World) settle(h *HandIn, what HandInAnswer) bool {
	if h.settled {
		return false
	}
	h.settled, h.answer = true, what
	w.ledger.HandInAnswered(h, what)
	return true
}

// Answered records a sender's answer to a hand-in and schedules the client's reaction. For HandInBusy, retryAfterMS is the
// wait in milliseconds that the sender asks for, or 0 if it names none.
func (w *World) Answered(h *HandIn, what HandInAnswer, retryAfterMS int64) {
	if !w.settle(h, what) {
		return
	}
	switch what {
	case HandInBusy:
		w.handInAgain(h, retryAfterMS)
	case HandInNoSender:
		w.handInElsewhere(h.Request, (h.Sender+1)%SenderNo(len(w.senders)))
	case HandInError:
		h.Request.done = true
	}
}

// handInAgain hands a message in to the same sender again after it was shed, unless the client has no retries left. If
// retryAfterMS is above 0, Clients.HonourRetryAfter of the clients wait for that long.
func (w *World) handInAgain(h *HandIn, retryAfterMS int64) {
	a, c := h.Request, &w.Spec.Clients
	if a.done {
		return
	}
	if a.retries >= c.Retries {
		a.done = true
		return
	}
	a.retries++
	wait := ms(w.drawWithin(c.BackoffMS, "backoff", int64(a.No), int64(a.retries)))
	if retryAfterMS > 0 && w.draw("honour", int64(a.No)) < c.HonourRetryAfter {
		wait = Time(retryAfterMS) * Millisecond
	}
	w.After(wait, func() { w.handIn(a, h.Sender) })
}

// ReportEnd records one line of an outcome callback: a message ended without being delivered. For EndHandedBack,
// retryAfterMS is the wait in milliseconds that the sender asks for, or 0 if it names none.
func (w *World) ReportEnd(id choice.MessageID, what End, retryAfterMS int64) {
	h := w.byMessage[id]
	if h == nil {
		return // the hand-in has been forgotten, and a callback this late changes nothing
	}
	w.ledger.Ended(h, what)
	if h.ended {
		return
	}
	h.ended = true
	// A client that abandoned the hand-in no longer knows its id and does not react.
	if h.answer == HandInAccepted {
		if what == EndHandedBack {
			w.handInAgain(h, retryAfterMS)
		} else {
			h.Request.done = true
		}
	}
}

// markDelivered ends a hand-in whose message was delivered. The request stays open until a hand-in is accepted, since its
// client does not know of the delivery before that.
func (w *World) markDelivered(h *HandIn) {
	h.ended = true
	h.Request.done = h.Request.done || h.answer == HandInAccepted
}

// failOpenHandIns settles the open hand-ins of a sender whose process ended with HandInNoSender, since their connections
// break.
func (w *World) failOpenHandIns(s SenderNo) {
	var cut []*HandIn
	for _, h := range w.byMessage {
		if h.Sender == s && !h.settled {
			cut = append(cut, h)
		}
	}
	sortHandIns(cut)
	for _, h := range cut {
		w.Answered(h, HandInNoSender, 0)
	}
}
