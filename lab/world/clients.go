package world

// This file models the clients: what they want delivered, how they hand it in, what answer they get and when they try
// again. It must not read the state of a sender.

import (
	"fmt"

	"flaxcove/choice"
	"flaxcove/lab/load"
)

// HandInAnswer is the answer of a sender to a hand-in, as its client sees it.
type HandInAnswer int

const (
	HandInUnanswered HandInAnswer = iota
	HandInAccepted
	HandInBusy
	HandInError
	HandInNoSender // the connection was refused or ended
)

// End is how a message ended according to the outcome callback, which the platform receives.
type End int

const (
	EndHandedBack End = iota
	EndFailed
)

// Request is one message that a client wants delivered. It may be handed in several times; its value counts once.
type Request struct {
	load.Arrival
	No       RequestNo
	Class    *Class
	Deadline Time
	HandIns  int // number of hand-ins
	retries  int // hand-ins after the sender shed the message
	over     bool
}

// HandIn is one hand-in of a Request to one sender. Each has a message id of its own.
type HandIn struct {
	ID             choice.MessageID
	Request        *Request
	Sender         SenderNo
	At             Time
	Deadline       Time
	Unknown        bool // no client handed it in
	FalselyRefused int  // runs that its partner answered with a refusal

	answer   HandInAnswer
	settled  bool // answered, or the client's patience is over
	ended    bool
	attempts int
}

// Left is the time to the deadline in milliseconds, rounded down.
func (h *HandIn) Left() int64 { return int64((h.Deadline - h.At) / Millisecond) }

// planLoad sets up the arrivals: the given trace, or the spec's load with the faults that change it.
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
	w.arrivals = load.New(w.Spec.Load, w.seed, w.end, classes, partners,
		load.ZipfWeights(len(w.senders), w.Spec.Load.SenderSkew), w.loadChanges())
	return nil
}

// loadChanges returns the changes of the load by faults of the kinds surge and fixed.
func (w *World) loadChanges() (bends []load.Change) {
	for i := range w.Spec.Faults {
		t := &w.Spec.Faults[i]
		bend := load.Change{From: seconds(t.At), To: seconds(t.At + t.Seconds), Factor: 1, Sender: -1, Partner: -1}
		switch t.Kind {
		case "surge":
			bend.Factor = t.Amount
		case "fixed":
			bend.Share = t.Amount
			bend.Partner = int(w.partnersOf(&t.Selector, int64(i))[0].No)
		default:
			continue
		}
		if len(t.Selector.Senders) > 0 {
			bend.Sender = t.Selector.Senders[0]
		}
		bends = append(bends, bend)
	}
	return bends
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

// requestArrived begins a new Request and hands its message in for the first time.
func (w *World) requestArrived(a load.Arrival) {
	class := &w.Spec.Classes[a.Class]
	request := &Request{Arrival: a, No: RequestNo(a.Number), Class: class, Deadline: a.At + ms(class.DeadlineMS)}
	w.ledger.Requested(request)
	w.handIn(request, SenderNo(a.Sender))
}

// handIn hands a message in to a sender, or to the next one that serves.
func (w *World) handIn(a *Request, to SenderNo) {
	if a.over || w.now >= a.Deadline-Millisecond {
		a.over = true
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

// forgetAfter is how long after its deadline a hand-in is still known, for answers and callbacks that come late.
const forgetAfter = 4 * Second

// forget drops a hand-in once no more events can concern it. One that was accepted and has no end yet is kept until the
// run is over: its sender may be down for long and end it when it is back.
func (w *World) forget(h *HandIn) {
	if h.answer == HandInAccepted && !h.ended && w.now < w.end+forgetAfter {
		w.After(forgetAfter, func() { w.forget(h) })
		return
	}
	delete(w.byMessage, h.ID)
}

// Abandoned reports whether the client stopped waiting for the answer. What the sender does with the message from then
// on does not count.
func (h *HandIn) Abandoned() bool { return h.answer == HandInUnanswered && h.settled }

// handInElsewhere hands a message in to another sender after a pause, since the first one was down or did not answer.
func (w *World) handInElsewhere(a *Request, to SenderNo) {
	if w.Spec.Clients.OwnSender {
		to = SenderNo(a.Sender)
	}
	wait := ms(w.within(w.Spec.Clients.RetryMS, "again", int64(a.No), int64(a.HandIns)))
	w.After(wait, func() { w.handIn(a, to) })
}

// settle records the answer to a hand-in, once. It is false if the hand-in was settled before.
func (w *World) settle(h *HandIn, what HandInAnswer) bool {
	if h.settled {
		return false
	}
	h.settled, h.answer = true, what
	w.ledger.HandInAnswered(h, what)
	return true
}

// Answered takes a sender's answer to a hand-in. With HandInBusy, comeBackMS is the wait that the sender asks for, or 0.
func (w *World) Answered(h *HandIn, what HandInAnswer, comeBackMS int64) {
	if !w.settle(h, what) {
		return
	}
	switch what {
	case HandInBusy:
		w.handInAgain(h, comeBackMS)
	case HandInNoSender:
		w.handInElsewhere(h.Request, (h.Sender+1)%SenderNo(len(w.senders)))
	case HandInError:
		h.Request.over = true
	}
}

// handInAgain hands a message in to the same sender after it was shed, if the client has retries left.
func (w *World) handInAgain(h *HandIn, comeBackMS int64) {
	a, c := h.Request, &w.Spec.Clients
	if a.over {
		return
	}
	if a.retries >= c.Retries {
		a.over = true
		return
	}
	a.retries++
	wait := ms(w.within(c.BackoffMS, "backoff", int64(a.No), int64(a.retries)))
	if comeBackMS > 0 && w.draw("honour", int64(a.No)) < c.HonourRetryAfter {
		wait = Time(comeBackMS) * Millisecond
	}
	w.After(wait, func() { w.handIn(a, h.Sender) })
}

// ReportEnd takes one line of an outcome callback: a message ended without being delivered.
func (w *World) ReportEnd(id choice.MessageID, what End, comeBackMS int64) {
	h := w.byMessage[id]
	if h == nil {
		return // forgotten since; a late callback does no harm
	}
	w.ledger.Ended(h, what)
	if h.ended {
		return
	}
	h.ended = true
	// A client that abandoned the hand-in no longer knows its id and does not react.
	if h.answer == HandInAccepted {
		if what == EndHandedBack {
			w.handInAgain(h, comeBackMS)
		} else {
			h.Request.over = true
		}
	}
}

// delivered ends a hand-in whose message was delivered.
func (w *World) delivered(h *HandIn) {
	h.ended = true
	h.Request.over = h.Request.over || h.answer == HandInAccepted
}

// senderGone answers the open hand-ins of a sender whose process ended: their connections break.
func (w *World) senderGone(s SenderNo) {
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
