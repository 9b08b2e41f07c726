package world

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

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

// An endpoint works on one call at a time. A further call waits in the queue, and the one after it is refused because the
// queue is full.
func ExampleWorld() {
	d := newPrintedWorld(func(s *Spec) { s.Partners[0].Queue = 1 })
	a, b := d.call(nil, "a"), d.call(nil, "b")
	c := d.call(nil, "c")
	d.until(500)
	d.w.CloseBySender(a)
	d.w.CloseBySender(b)
	d.w.CloseBySender(c)
	// Output:
	// 20.0    connection 1 up
	// 41.0    connection 2 up
	// 62.0    connection 3 up
	// 80.9    a executed at p0-0
	// 80.9    a delivered
	// 83.0    answer on 3: 503, wait 0 ms, incomplete false, malformed false
	// 90.9    answer on 1: 200, wait 0 ms, incomplete false, malformed false
	// 130.9   b executed at p0-0
	// 130.9   b delivered
	// 140.9   answer on 2: 200, wait 0 ms, incomplete false, malformed false
}

// A crash resets open connections, and new ones are refused. After the crash the endpoint is in slow start, and too much
// load takes it down again.
func ExampleWorld_crash() {
	d := newPrintedWorld(func(s *Spec) {
		s.Faults = []Fault{{Kind: "crash", At: 1, Seconds: 2}}
		s.Partners[0].Queue = 100
	})
	c := d.call(nil, "a")
	d.until(990)
	d.call(c, "lost")
	d.until(2000)
	d.w.Dial(0, "p0-0", 0)
	d.until(4000)
	d.mute = true
	for i := range 30 {
		d.call(nil, fmt.Sprint("again", i))
		if d.w.Endpoints[0].inOutage {
			fmt.Println("down after", i+1, "calls in", d.w.Now()/Millisecond-4000, "ms")
			break
		}
	}
	// Output:
	// 20.0    connection 1 up
	// 80.9    a executed at p0-0
	// 80.9    a delivered
	// 90.9    answer on 1: 200, wait 0 ms, incomplete false, malformed false
	// 1000.0  crash on: true, affects 1
	// 1000.0  outage of p0-0: true
	// 1010.0  connection 1 down, reset
	// 2020.0  connection 2 down, refused
	// 3000.0  crash on: false, affects 1
	// 3000.0  outage of p0-0: false
	// down after 28 calls in 588 ms
}

// Updates of the list reach each sender after a delay and in order. While discovery is silent no update is sent; the changes
// of that time follow when it answers again.
func ExampleWorld_list() {
	d := newPrintedWorld(func(s *Spec) {
		s.Partners[0].Count = 2
		s.Changes = []ListEvent{{Change: "drain", At: 1, Selector: Selector{Partners: []int{0}}}, {Change: "remove", At: 5, Selector: Selector{Partners: []int{0}}}}
		s.Faults = []Fault{{Kind: "discovery_silent", At: 4, Seconds: 3}}
	})
	d.w.Watch(0, 0)
	d.until(10000)
	// Output:
	// 1.0     update for 0, version 1, full true: p0-0 ready, p1-0 ready
	// 1100.0  update for 0, version 2, full false: p0-0 draining
	// 4000.0  discovery_silent on: true, affects 2
	// 4000.0  list of 0 failed
	// 4000.0  list of 1 failed
	// 7000.0  discovery_silent on: false, affects 2
	// 7000.0  update for 0, version 3, full false: p0-0 gone
}

// Faults may overlap: the end of one does not end the effect of another. Datagrams are lost while a fault of the kind
// notes_lost is active.
func ExampleWorld_faults() {
	d := newPrintedWorld(func(s *Spec) {
		s.Faults = []Fault{{Kind: "shut", At: 1, Seconds: 4}, {Kind: "shut", At: 2, Seconds: 1}, {Kind: "notes_lost", At: 1, Seconds: 2}}
	})
	d.until(1500)
	d.w.SendDatagram(0, 1, []byte("lost"))
	d.until(4000)
	d.w.SendDatagram(0, 1, []byte("heard"))
	d.call(nil, "a")
	d.until(6000)
	// Output:
	// 1000.0  shut on: true, affects 1
	// 1000.0  outage of p0-0: true
	// 1000.0  notes_lost on: true, affects 2
	// 2000.0  shut on: true, affects 1
	// 3000.0  shut on: false, affects 1
	// 3000.0  notes_lost on: false, affects 2
	// 4010.0  datagram from 0 to 1: heard
	// 4020.0  connection 1 up
	// 4041.0  answer on 1: 503, wait 0 ms, incomplete false, malformed false
	// 5000.0  shut on: false, affects 1
	// 5000.0  outage of p0-0: false
}

// A Retry-After counts from the time when it reaches the sender. If the sender closes the connection while the answer is on
// its way, the answer is not received and its Retry-After does not count.
func ExampleWorld_crossing() {
	for _, crosses := range []bool{false, true} {
		d := newPrintedWorld(func(s *Spec) {
			s.Partners[0].RetryAfterShare = 1
			s.Faults = []Fault{{Kind: "refusing", Seconds: 50, Amount: 1}}
		})
		c := d.call(nil, "a")
		d.until(35)
		if crosses {
			d.w.CloseBySender(c) // the refusal left at 31 ms and would arrive at 41 ms
		}
		d.until(100)
	}
	// Output:
	// 0.0     refusing on: true, affects 1
	// 20.0    connection 1 up
	// 41.0    Retry-After until 362
	// 41.0    answer on 1: 429, wait 331 ms, incomplete false, malformed false
	// 0.0     refusing on: true, affects 1
	// 20.0    connection 1 up
}

// Each kind of fault that refuses calls has its pattern: refusals in bursts, refusals of the first calls after a pause,
// refusals of calls that were executed, and refusals under a limit that alternates.
func ExampleWorld_refusals() {
	for _, t := range []Fault{{Kind: "refusing_bursts", Amount: 0.5, Every: 1}, {Kind: "refusing_first", Amount: 2, Every: 1},
		{Kind: "lying", Amount: 1}, {Kind: "limit_swings", Amount: 0.01, Every: 2}} {
		t.Seconds = 50
		d := newPrintedWorld(func(s *Spec) {
			s.Faults = []Fault{t}
			s.Partners[0].Limit, s.Partners[0].LimitTimes, s.Partners[0].LeastRate, s.Partners[0].IdleS = "span", Pair{1, 1}, 20, 20
		})
		d.mute = true
		fmt.Print(t.Kind, ":")
		for _, at := range []int{100, 300, 600, 900, 1100, 1300, 2900, 3000, 3100} {
			d.until(at)
			c := d.call(nil, fmt.Sprint(at))
			d.until(at + 150)
			fmt.Printf(" %d", d.statuses[c.No])
		}
		fmt.Println(" executed", len(d.ran))
	}
	// Output:
	// refusing_bursts: 503 503 200 200 503 503 200 503 503 executed 3
	// refusing_first: 503 503 200 200 200 200 503 503 200 executed 5
	// lying: 503 503 503 503 503 503 503 503 503 executed 9
	// limit_swings: 200 200 200 200 200 503 200 200 503 executed 7
}

// A limit of either form admits no more calls than its rate allows over any period, and a call after the wait that it
// returned is admitted.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := &limit{perSecond: rapid.Float64Range(1, 50).Draw(r, "rate")}
		if rapid.Bool().Draw(r, "span") {
			l.span = Time(rapid.IntRange(1, 3).Draw(r, "length")) * Second
		}
		took, now := 0, Time(0)
		for now < 30*Second {
			ok, wait := l.take(now, 1, false)
			if ok {
				took++
				now += Time(rapid.IntRange(1, 500).Draw(r, "gap"))
				continue
			}
			now += wait
			if again, _ := l.take(now, 1, false); !again {
				r.Fatalf("take refused a call after the wait of %d that it had returned", wait)
			}
			took++
		}
		burst := max(1, l.perSecond*0.4)
		if l.span > 0 {
			burst = l.perSecond * float64(l.span) / float64(Second)
		}
		if most := l.perSecond*float64(now)/float64(Second) + burst + 2; l.perSecond >= 1 && float64(took) > most*1.01+float64(now/Second) {
			r.Fatalf("%d calls admitted, the limit allows at most %g", took, most)
		}
	})
}
