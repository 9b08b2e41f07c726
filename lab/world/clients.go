package world

// This file owns the programs: asks, hand-ins, what they are told and when they try again. It must never look into a sender.

import (
	"fmt"

	"flaxcove/choice"
	"flaxcove/lab/load"
)

// HandInAnswer is what a program was told of a hand-in.
type HandInAnswer int

const (
	HandInUnanswered HandInAnswer = iota
	HandInAccepted
	HandInBusy
	HandInError
	HandInNoSender // the connection was refused or ended
)

// End is how the platform was told that a message ended.
type End int

const (
	EndHandedBack End = iota
	EndFailed
)

// Ask is one message that a program wants delivered, over all its hand-ins. Its value counts once.
type Ask struct {
	load.Arrival
	No       AskNo
	Class    *Class
	Deadline Time
	Tries    int // hand-ins
	repeats  int // after refusals
	over     bool
}

// HandIn is one hand-in of an ask; each has an id of its own.
type HandIn struct {
	ID             choice.MessageID
	Ask            *Ask
	Sender         SenderNo
	At             Time
	Deadline       Time
	Unknown        bool // no program handed it in
	FalselyRefused int  // runs that its partner answered with a refusal

	answer   HandInAnswer
	settled  bool // heard, or waited for in vain
	ended    bool
	attempts int
}

// Left is how long it may still be delivered, in milliseconds and not rounded up.
func (h *HandIn) Left() int64 { return int64((h.Deadline - h.At) / Millisecond) }

func (w *World) planLoad(trace []load.Arrival) error {
	classes, partners := make([]float64, len(w.Spec.Classes)), make([]float64, len(w.Partners))
	for i := range classes {
		classes[i] = w.Spec.Classes[i].Share
	}
	for i, p := range w.Partners {
		partners[i] = p.Share
	}
	if trace != nil {
		replay, err := load.NewReplay(trace)
		w.arrivals = replay
		return err
	}
	var bends []load.Bend
	for i := range w.Spec.Faults {
		t := &w.Spec.Faults[i]
		bend := load.Bend{From: seconds(t.At), To: seconds(t.At + t.Seconds), Factor: 1, Sender: -1, Partner: -1}
		switch t.Kind {
		case "surge":
			bend.Factor = t.Amount
			if len(t.Selector.Senders) > 0 {
				bend.Sender = t.Selector.Senders[0]
			}
		case "fixed":
			bend.Share = t.Amount
			bend.Partner = int(w.partnersOf(&t.Selector, int64(i))[0].No)
			if len(t.Selector.Senders) > 0 {
				bend.Sender = t.Selector.Senders[0]
			}
		default:
			continue
		}
		bends = append(bends, bend)
	}
	w.arrivals = load.New(w.Spec.Load, w.seed, w.end, classes, partners,
		load.ZipfWeights(len(w.senders), w.Spec.Load.SenderSkew), bends)
	return nil
}

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

func (w *World) requestArrived(a load.Arrival) {
	class := &w.Spec.Classes[a.Class]
	ask := &Ask{Arrival: a, No: AskNo(a.Ask), Class: class, Deadline: a.At + ms(class.DeadlineMS)}
	w.ledger.Asked(ask)
	w.handIn(ask, SenderNo(a.Sender))
}

// handIn has the program of an ask try a sender, or the next one that serves.
func (w *World) handIn(a *Ask, to SenderNo) {
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
	a.Tries++
	h := &HandIn{ID: choice.MessageID(fmt.Sprintf("%08x%08x", uint32(a.No), uint32(a.Tries)|uint32(to)<<16)), Ask: a, Sender: to, At: w.now,
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

// forgetAfter is how long after its time a hand-in is still known, for what comes late.
const forgetAfter = 4 * Second

// forget drops a hand-in once nothing can be heard of it any more. One that was taken on is waited for: its sender may
// be away for long and end it on its return.
func (w *World) forget(h *HandIn) {
	if h.answer == HandInAccepted && !h.ended && w.now < w.end+forgetAfter {
		w.After(forgetAfter, func() { w.forget(h) })
		return
	}
	delete(w.byMessage, h.ID)
}

// Abandoned tells whether its program has stopped waiting for an answer to it: what its sender does with it from then
// on counts for nothing.
func (h *HandIn) Abandoned() bool { return h.answer == HandInUnanswered && h.settled }

// handInElsewhere hands in again where no sender took it.
func (w *World) handInElsewhere(a *Ask, to SenderNo) {
	if w.Spec.Clients.OwnSender {
		to = SenderNo(a.Sender)
	}
	wait := ms(w.within(w.Spec.Clients.RetryMS, "again", int64(a.No), int64(a.Tries)))
	w.After(wait, func() { w.handIn(a, to) })
}

func (w *World) settle(h *HandIn, what HandInAnswer) bool {
	if h.settled {
		return false
	}
	h.settled, h.answer = true, what
	w.ledger.HandInAnswered(h, what)
	return true
}

// Answered is what a sender said to a hand-in; ms goes with HandInBusy, 0 for none.
func (w *World) Answered(h *HandIn, what HandInAnswer, comeBackMS int64) {
	if !w.settle(h, what) {
		return
	}
	switch what {
	case HandInBusy:
		w.handInAgain(h, comeBackMS)
	case HandInNoSender:
		w.handInElsewhere(h.Ask, (h.Sender+1)%SenderNo(len(w.senders)))
	case HandInError:
		h.Ask.over = true
	}
}

// handInAgain has the program come again, if it does.
func (w *World) handInAgain(h *HandIn, comeBackMS int64) {
	a, c := h.Ask, &w.Spec.Clients
	if a.over {
		return
	}
	if a.repeats >= c.Retries {
		a.over = true
		return
	}
	a.repeats++
	wait := ms(w.within(c.BackoffMS, "backoff", int64(a.No), int64(a.repeats)))
	if comeBackMS > 0 && w.draw("honour", int64(a.No)) < c.HonourRetryAfter {
		wait = Time(comeBackMS) * Millisecond
	}
	w.After(wait, func() { w.handIn(a, h.Sender) })
}

// ReportEnd is the platform hearing of an end. It tells whether the line makes sense.
func (w *World) ReportEnd(id choice.MessageID, what End, comeBackMS int64) bool {
	h := w.byMessage[id]
	if h == nil {
		return true // long over; a message about it does no harm
	}
	w.ledger.Ended(h, what)
	if h.ended {
		return true
	}
	h.ended = true
	// Only what its program still waits for comes again; of an abandoned hand-in it has forgotten the id.
	if h.answer == HandInAccepted {
		if what == EndHandedBack {
			w.handInAgain(h, comeBackMS)
		} else {
			h.Ask.over = true
		}
	}
	return true
}

func (w *World) delivered(h *HandIn) {
	h.ended = true
	h.Ask.over = h.Ask.over || h.answer == HandInAccepted
}

// senderGone settles the hand-ins that its end left without an answer.
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
