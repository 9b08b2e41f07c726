package world

import "fmt"

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

// A second copy of an answer leaves within ten milliseconds after it, unless another call has reached the endpoint on the
// connection by then. Where the network is slow, it may cross that call on its way.
func ExampleWorld_secondAnswers() {
	for _, oneWayMS := range []float64{10, 0.2} {
		d := newPrintedWorld(func(s *Spec) {
			s.Faults = []Fault{{Kind: "second_answers", Seconds: 50, Amount: 1}}
			s.Network = Network{SameMS: Pair{oneWayMS, oneWayMS}, CrossMS: Pair{10, 10}}
		})
		d.mute = true
		c := d.call(nil, "a")
		for d.statuses[c.No] == 0 {
			d.until(int(d.w.Now()/Millisecond) + 1)
		}
		d.mute = false
		d.call(c, "b")
		d.until(int(d.w.Now()/Millisecond) + 30)
	}
	// Output:
	// 100.0   call 2 answered again 200
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
