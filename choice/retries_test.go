package choice

// Which message goes when, how often it is tried again, and when it has its end.

import "fmt"

// The one slot goes to the fresh tier, newest first, before the retry that was due earlier.
func ExampleSender_tiers() {
	set := plain()
	set.InFlightLimit = 1
	d := open(set).take(0, 1, "old").ended(Errored, 0, "a", "old").take(2, 2, "holds")
	d.run(300*Millisecond).take(0, 1, "x", "y").ended(Done, 0, "c", "holds").ended(Done, 0, "a", "y")
	d.ended(Done, 0, "a", "x")
	// Output:
	// 0.0     dispatch old to a
	// 0.0     dispatch holds to c
	// 300.0   dispatch y to a
	// 300.0   dispatch x to a
	// 300.0   dispatch old to a
}

// Retry waits differ by chance, under ceilings that double up to the cap; the first is a quarter second.
func ExampleSender_jitter() {
	d := open(plain())
	d.mute = true
	for try := 1; try <= 4; try++ {
		longest, shortest := Time(0), Time(1<<60)
		for i := range 40 {
			n := &message{Message: Message{ID: MessageID(fmt.Sprint(i))}, tries: try,
				d: d.s.byID[1]}
			n.Deadline = 60 * Second
			d.s.again(n)
			longest, shortest = max(longest, n.dueAt), min(shortest, n.dueAt)
		}
		fmt.Println("try", try, "from", shortest, "to", longest)
	}
	// Output:
	// try 1 from 4 to 2490
	// try 2 from 121 to 4615
	// try 3 from 129 to 9625
	// try 4 from 16 to 19705
}

// What was refused drains through a quarter of the slots: two here, the third when one is free.
func ExampleSender_lane() {
	d := open(plain())
	d.s.endpoints["a"].limit = 8
	d.take(0, 1, "p", "q", "r").ended(Full, 0, "a", "p", "q", "r")
	d.run(2*Second).ended(Done, 0, "a", "p").run(2 * Second)
	// Output:
	// 0.0     dispatch r to a
	// 0.0     dispatch q to a
	// 0.0     dispatch p to a
	// 51.6    dispatch r to a
	// 86.4    dispatch p to a
	// 2000.0  dispatch q to a
}

// Single-use: a time-out is final, a refusal is not. Keyed: again only inside the repeat window.
func ExampleSender_repeatability() {
	d := open(plain()).take(2, 1, "once").ended(Full, 0, "a", "once").run(Second)
	d.ended(TimedOut, 0, "a", "once").take(1, 2, "token").ended(TimedOut, 0, "c", "token").run(Second)
	d.run(2500*Millisecond).ended(TimedOut, 0, "c", "token")
	// Output:
	// 0.0     dispatch once to a
	// 73.8    dispatch once to a
	// 1000.0  give up once
	// 1000.0  dispatch token to c
	// 1157.9  dispatch token to c
	// 3450.0  probe c
	// 4500.0  give up token
}

// A message that no attempt can serve in time is answered at once: shed, as none ever ran.
func ExampleSender_deadline() {
	open(plain()).take(0, 9, "nowhere").run(7 * Second)
	// Output:
	// 5490.1  shed nowhere
}

// In a large fleet two failures with nothing answered lately ejected all endpoints of the route, and each
// refusal halves the pace before it: many senders that try in turn, or again and again, are a storm.
func ExampleSender_storm() {
	set := plain()
	set.Senders = 50
	d := open(set).run(3 * Second)
	d.s.UpdateEndpoints([]Entry{{Endpoint: "b", Destination: 1}, {Endpoint: "b2", Destination: 1}}, false)
	d.run(50*Millisecond).take(0, 1, "p").ended(ConnectFailed, 0, "a", "p").run(300 * Millisecond)
	d.ended(ConnectFailed, 0, "b", "p")
	fmt.Println("aside:", d.s.endpoints["a"].ejected, d.s.endpoints["b"].ejected, d.s.endpoints["b2"].ejected)
	d.take(0, 2, "q")
	for range 2 {
		d.ended(Full, 0, "c", "q").run(4 * Second)
		fmt.Printf("pace: %.3f\n", d.s.byID[2].route.pace.rate)
	}
	// Output:
	// 3050.0  dispatch p to a
	// 3075.7  dispatch p to b
	// aside: true true true
	// 3350.0  dispatch q to c
	// pace: 0.182
	// 8540.1  shed p
	// 8840.1  shed q
	// pace: 0.196
}

// A return counts from midway between the last failure seen and the first answer: in a large fleet the two lie
// far apart, and counting from the answer would starve what has long been back.
func ExampleSender_midway() {
	set := plain()
	set.Senders = 50
	d := open(set).run(3*Second).take(1, 1, "p").ended(Errored, 0, "a", "p").run(Second)
	d.s.endpoints["a"].cold.level = 1
	d.take(0, 1, "q").ended(Done, 0, "a", "q")
	fmt.Println("cold from:", d.s.endpoints["a"].coldFrom)
	// Output:
	// 3000.0  dispatch p to a
	// 4000.0  dispatch q to a
	// cold from: 35000
}

// Where a call stays without an answer while others have theirs, single-use messages wait until some more are done;
// those that may be repeated find that out.
func ExampleSender_doubt() {
	d := open(plain()).take(0, 1, "lost").run(Millisecond).take(0, 1, "p").ended(Done, 0, "a", "p").run(2 * Second)
	d.take(2, 1, "single")
	for _, id := range []MessageID{"1", "2", "3", "4", "5", "6"} {
		d.run(10*Millisecond).take(0, 1, id).ended(Done, 0, "a", id)
	}
	// Output:
	// 0.0     dispatch lost to a
	// 1.0     dispatch p to a
	// 2011.0  dispatch 1 to a
	// 2021.0  dispatch 2 to a
	// 2031.0  dispatch 3 to a
	// 2041.0  dispatch 4 to a
	// 2051.0  dispatch 5 to a
	// 2061.0  dispatch 6 to a
	// 2061.0  dispatch single to a
}

// A call that its message's deadline cut short tells nothing of the endpoint: a single-use message still goes there at
// once. Nor does a message that the host ended alone, while the others of its call are still waited for.
func ExampleSender_cutShort() {
	for _, left := range []Time{100 * Millisecond, 5 * Second} {
		d := open(plain())
		d.take(0, 1, "first").ended(Done, 0, "a", "first")
		d.s.endpoints["a"].mean = float64(20 * Millisecond)
		d.s.Taken(Message{ID: "late", Key: NoKey, Destination: 1, Deadline: d.clock + left})
		d.take(0, 1, "other").ended(Done, 0, "a", "other")
		d.clock += 1 // answered since
		d.take(0, 1, "another").ended(Done, 0, "a", "another")
		d.clock += min(left, 2*Second) - 6*Millisecond
		d.ended(TimedOut, 0, "a", "late").take(2, 1, "order")
	}
	d := open(plain())
	d.take(0, 2, "p", "q")
	d.s.Ended(Outcome{Message: "p", Endpoint: "c", Result: Cancelled})
	fmt.Println("calls out:", len(d.s.calls), "judged:", d.s.calls[0].judged)
	// Output:
	// 0.0     dispatch first to a
	// 0.0     dispatch other to a
	// 0.0     dispatch late to a
	// 0.1     dispatch another to a
	// 94.1    give up late
	// 94.1    dispatch order to a
	// 0.0     dispatch first to a
	// 0.0     dispatch other to a
	// 0.0     dispatch late to a
	// 0.1     dispatch another to a
	// 0.0     dispatch q to c
	// 0.0     dispatch p to c
	// calls out: 1 judged: false
}
