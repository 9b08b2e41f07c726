package choice

// What connections and bulk calls do to decisions.

import "fmt"

// Sends of one turn to one endpoint share a call: five messages of a kind that bundles three.
func ExampleSender_bundle() {
	d := open(plain()).take(2, 2, "p", "q", "r", "s", "t")
	fmt.Println(len(d.s.calls), "slots")
	d.ended(Done, 0, "c", "p", "q")
	fmt.Println(len(d.s.calls), "slots")
	d.ended(Done, 0, "c", "r")
	fmt.Println(len(d.s.calls), "slot")
	// Output:
	// 0.0     dispatch t to c
	// 0.0     dispatch s to c
	// 0.0     dispatch r to c
	// 0.0     dispatch q to c
	// 0.0     dispatch p to c
	// 2 slots
	// 1 slots
	// 1 slot
}

// Idle links stay until connections of their kind fail: a fleet's links fill a table. Then those little used
// are closed, to any zone.
func ExampleSender_links() {
	set := plain()
	set.ConnIdle = Second
	d := open(set)
	d.links = true
	d.take(0, 1, "p").ended(Done, 0, "a", "p")
	d.s.kinds[0].short = 0.5
	d.run(Second).take(0, 1, "r").ended(Done, 0, "a", "r")
	d.s.endpoints["a"].zone = 1
	d.take(0, 1, "s").ended(Done, 0, "a", "s")
	// Output:
	// 0.0     dispatch p to a
	// 1000.0  dispatch r to a
	// 1000.0  close a
	// 1000.0  dispatch s to a
	// 1000.0  close a
}

// Calls reset on kept links show no outage, and while they are many, a single-use message gets a new link.
func ExampleSender_keptLinks() {
	d := open(plain())
	d.links = true
	d.take(0, 1, "o").ended(Done, 0, "a", "o")
	for _, id := range []MessageID{"p", "q"} {
		d.take(2, 1, id)
		d.s.Ended(Outcome{Message: id, Endpoint: "a", Result: Reset, Reused: true})
	}
	fmt.Println("aside:", d.s.endpoints["a"].ejected)
	// Output:
	// 0.0     dispatch o to a
	// 0.0     dispatch p to a
	// 0.0     give up p
	// 0.0     close a
	// 0.0     dispatch q to a
	// 0.0     give up q
	// aside: false
}

// A new link that is refused and ended found no place: what idles at others of the kind is closed, and the pace
// knows nothing of it, however often. Refusals on links that stay are a limit's.
func ExampleSender_fullTable() {
	for _, closed := range []bool{true, false} {
		set := plain()
		set.Senders, set.ConnIdle = 300, 10*Second
		d := open(set)
		d.s.UpdateEndpoints([]Entry{{Endpoint: "d", Destination: 3}}, false)
		d.take(0, 1, "first").take(0, 3, "other").ended(Done, 0, "a", "first").ended(Done, 0, "d", "other")
		d.run(2 * Second).links = true
		for _, id := range []MessageID{"p", "q", "r"} {
			d.take(0, 1, id).s.Ended(Outcome{Message: id, Endpoint: "a", Result: Full, Closed: closed})
			d.s.Withdrawn(id)
			d.run(2 * Second)
		}
		fmt.Println("pace cut:", d.s.byID[1].route.pace.rate < 100)
	}
	// Output:
	// 0.0     dispatch first to a
	// 0.0     dispatch other to d
	// 2000.0  dispatch p to a
	// 2000.0  close d
	// 2000.0  close a
	// 4000.0  dispatch q to a
	// 4000.0  close d
	// 4000.0  close a
	// 6000.0  dispatch r to a
	// 6000.0  close d
	// 6000.0  close a
	// pace cut: false
	// 0.0     dispatch first to a
	// 0.0     dispatch other to d
	// 2000.0  dispatch p to a
	// 4000.0  dispatch q to a
	// pace cut: true
}

// A wait is heeded whatever came with it: a shut destination may tell one as it ends a connection beyond its table.
func ExampleSender_fullTableWait() {
	set := plain()
	set.Senders, set.Probing = 300, false
	d := open(set)
	d.take(0, 1, "first").ended(Done, 0, "a", "first")
	d.take(0, 1, "p").s.Ended(Outcome{Message: "p", Endpoint: "a", Result: Full, Closed: true, Wait: 2 * Second})
	d.run(Second).take(0, 1, "q").run(2 * Second)
	// Output:
	// 0.0     dispatch first to a
	// 0.0     dispatch p to a
	// 2200.0  dispatch q to a
	// 2200.0  dispatch p to a
}

// A connection may take longer to come up than a destination knows a token: the repeat must not leave then.
func ExampleSender_Open() {
	d := open(plain())
	d.mute = true
	d.take(1, 1, "t").ended(Errored, 0, "a", "t").run(2 * Second)
	for d.clock < 4*Second {
		fmt.Println(d.clock/Millisecond, d.s.Open("a", "t"), d.s.Open("a"))
		d.clock += 900 * Millisecond
	}
	// Output:
	// 2000 true true
	// 2900 true true
	// 3800 false true
}

// A connection may take so long that a wait or a drain is told before the attempt can leave on it.
func Example_open() {
	d := open(plain()).take(0, 1, "one")
	fmt.Println(d.s.Open("a"), d.s.Open("b"), d.s.Open("nobody"))
	d.ended(Full, 300*Millisecond, "a", "one")
	fmt.Println(d.s.Open("a"))
	d.mute = true
	d.run(400 * Millisecond)
	fmt.Println(d.s.Open("a"))
	d.s.UpdateEndpoints([]Entry{{Endpoint: "a", Destination: 1, Stage: Draining}}, false)
	fmt.Println(d.s.Open("a"))
	// Output:
	// 0.0     dispatch one to a
	// true false false
	// false
	// true
	// false
}
