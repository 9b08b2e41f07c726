package world

import (
	"fmt"
	"strings"

	"flaxcove/choice"
)

// eventPrinter is a Wire and a Ledger that prints each event, with the time in milliseconds, unless mute is set.
type eventPrinter struct {
	w    *World
	mute bool
	ran  map[choice.MessageID]int // number of executions of each message

	statuses map[int64]int // status of the last answer on each connection
}

func (d *eventPrinter) print(format string, args ...any) {
	if !d.mute {
		fmt.Printf("%-8.1f"+format+"\n", append([]any{float64(d.w.Now()) / 10}, args...)...)
	}
}

func (d *eventPrinter) ConnUp(c *Conn) { d.print("connection %d up", c.No) }
func (d *eventPrinter) ConnDown(c *Conn, why ConnEnd) {
	d.print("connection %d down, %s", c.No, [...]string{"", "refused", "reset"}[why])
}
func (d *eventPrinter) ListUpdate(s SenderNo, l List) {
	var what []string
	for _, e := range l.Entries {
		what = append(what, fmt.Sprintf("%s %s", e.Endpoint.ID, [...]string{"ready", "draining", "gone"}[e.Stage]))
	}
	d.print("update for %d, version %d, full %v: %s", s, l.Version, l.Full, strings.Join(what, ", "))
}
func (d *eventPrinter) ListFailed(s SenderNo)            { d.print("list of %d failed", s) }
func (d *eventPrinter) HandIn(h *HandIn)                 { d.print("hand-in %s to %d", h.ID, h.Sender) }
func (d *eventPrinter) AcceptingChanged(*Endpoint, bool) {}
func (d *eventPrinter) Datagram(from, to SenderNo, text []byte) {
	d.print("datagram from %d to %d: %s", from, to, text)
}
func (d *eventPrinter) Act(on SenderNo, what Action) { d.print("action %d on %d", what, on) }
func (d *eventPrinter) AnsweredAgain(c *Conn, call *Call, a Answer) {
	d.print("call %d answered again %d", call.No, a.Status)
}
func (d *eventPrinter) Answered(c *Conn, call *Call, a Answer) {
	d.statuses[c.No] = a.Status
	d.print("answer on %d: %d, wait %d ms, incomplete %v, malformed %v", c.No, a.Status, a.RetryAfter/Millisecond, a.Incomplete, a.Malformed)
}

func (d *eventPrinter) Requested(*Request)                          {}
func (d *eventPrinter) HandedIn(*HandIn)                            {}
func (d *eventPrinter) HandInAnswered(h *HandIn, what HandInAnswer) {}
func (d *eventPrinter) CallSent(*Call)                              {}
func (d *eventPrinter) InFlightChanged(*Call, bool)                 {}
func (d *eventPrinter) Executed(h *HandIn, e *Endpoint, _ Time) {
	d.ran[h.ID]++
	d.print("%s executed at %s", h.ID, e.ID)
}
func (d *eventPrinter) Delivered(h *HandIn, e *Endpoint)                 { d.print("%s delivered", h.ID) }
func (d *eventPrinter) Ended(*HandIn, End)                               {}
func (d *eventPrinter) StageAnnounced(SenderNo, *Endpoint, choice.Stage) {}
func (d *eventPrinter) RetryAfterReceived(_ SenderNo, _ *Endpoint, until Time) {
	d.print("Retry-After until %d", until/Millisecond)
}
func (d *eventPrinter) Outcome(*Call, int)                          {}
func (d *eventPrinter) Outage(e *Endpoint, down bool)               { d.print("outage of %s: %v", e.ID, down) }
func (d *eventPrinter) LoadInSlowStart(*Endpoint, float64, float64) {}
func (d *eventPrinter) OverloadedInSlowStart(e *Endpoint, knowing float64) {
	d.print("%s overloaded in slow start, %.0f%% of the load from senders that saw it fail", e.ID, 100*knowing)
}
func (d *eventPrinter) Fault(t *Fault, on bool, parts int) {
	d.print("%s on: %v, affects %d", t.Kind, on, parts)
}
func (d *eventPrinter) Sender(SenderNo, bool)      {}
func (d *eventPrinter) Unavailable(SenderNo, bool) {}

// newPrintedWorld returns the printer of a new world with one partner of one endpoint and two senders that serve. Almost no
// client hands a message in, so that only the test's calls are printed.
func newPrintedWorld(change func(*Spec)) *eventPrinter {
	s := DefaultSpec()
	s.Seconds, s.Senders, s.Load.Rate = 60, 2, 0.001
	s.Network = Network{SameMS: Pair{10, 10}, CrossMS: Pair{10, 10}}
	s.Discovery.DelayMS = Pair{100, 100}
	s.Classes = []Class{{Name: "w", LatencyObjectiveMS: 1000, DeadlineMS: 9000}}
	s.Partners = []PartnerKind{{Name: "k", Endpoints: Pair{1, 1}, MeanMS: Pair{50, 50}, Sigma: 1e-9, LeastRate: 20}}
	change(&s)
	s.Defaults()
	if p := s.Check(); p != nil {
		panic(p)
	}
	d := &eventPrinter{ran: map[choice.MessageID]int{}, statuses: map[int64]int{}}
	w, err := New(&s, 1, d, d, nil)
	if err != nil {
		panic(err)
	}
	d.w = w
	w.SetServing(0, true)
	w.SetServing(1, true)
	return d
}

// until advances the world to a time in milliseconds.
func (d *eventPrinter) until(ms int) *eventPrinter {
	d.w.Advance(Time(ms) * Millisecond)
	return d
}

// call sends one message on the connection c, or on a new one if c is nil, and returns the connection.
func (d *eventPrinter) call(c *Conn, id string) *Conn {
	h := &HandIn{ID: choice.MessageID(id), Request: &Request{No: RequestNo(len(d.w.byMessage) + 1), Class: &d.w.Spec.Classes[0], Deadline: 1 << 40}, Deadline: 1 << 40}
	d.w.byMessage[h.ID] = h
	if c == nil {
		c = d.w.Dial(0, "p0-0", 0)
		d.w.Advance(d.w.Now() + 21*Millisecond)
	}
	d.w.Send(c, []choice.MessageID{h.ID}, false)
	return c
}
