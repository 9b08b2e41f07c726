package choice

import (
	"fmt"
	"math"
)

func noted() Settings {
	set := plain()
	set.Senders, set.Probing, set.Notes, set.ConnIdle = 80, false, true, 10*Second
	return set
}

// Who meets a used-up limit rests the route and tells all; who hears of it rests the route as well, and goes on
// elsewhere. A note that names nothing known, or is cut short, does nothing.
func ExampleSender_Heard() {
	d := open(noted()).take(0, 1, "p")
	d.s.Ended(Outcome{Message: "p", Endpoint: "a", Result: Full, Report: Report{Known: true, Limit: 8}})
	d.take(0, 1, "q").run(1600 * Millisecond)
	fmt.Println("another")
	d = open(noted())
	for _, note := range [][]byte{{}, {1}, {1, 2}, {1, 2, 3}, {1, 2, 3, 4}, write("c", noteUnit)} {
		d.s.Heard(note)
	}
	d.take(0, 2, "r").take(0, 1, "s").run(1600 * Millisecond)
	// Output:
	// 0.0     dispatch p to a
	// 0.0     tell 43be01
	// 700.0   dispatch q to a
	// 700.0   dispatch p to a
	// another
	// 0.0     dispatch s to a
	// 700.0   dispatch r to c
}

// Who finds no place at an endpoint tells so, once in two seconds; who has a link idle there gives it up.
func ExampleSender_Heard_place() {
	d := open(noted()).take(0, 1, "p", "q").ended(ConnectFailed, 0, "a", "p", "q")
	d = open(noted()).take(0, 1, "r").ended(Done, 0, "a", "r")
	d.links = true
	d.s.Heard(write("a", 0))
	d.s.Heard(write("a", 0))
	// Output:
	// 0.0     dispatch q to a
	// 0.0     dispatch p to a
	// 0.0     tell 43be00
	// 0.0     dispatch r to a
	// 0.0     close a
}

// In a fleet with notes the calls done at a kind pay for retries there: where nothing is done, the budget of one
// kind ends, whatever the number of its destinations.
func ExampleSender_kindPays() {
	d := open(noted())
	d.mute = true
	d.s.UpdateEndpoints([]Entry{{Endpoint: "e", Destination: 3}, {Endpoint: "f", Destination: 4}}, false)
	d.take(0, 1, "p").take(0, 3, "q").take(0, 4, "r")
	for i, id := range []MessageID{"p", "q", "r"} {
		d.ended(Errored, 0, EndpointID("aef"[i:i+1]), id)
	}
	d.run(400 * Millisecond)
	fmt.Println("dispatches:", d.tries["p"]+d.tries["q"]+d.tries["r"])
	// Output:
	// dispatches: 5
}

// What replaces the endpoints of a destination that is out joins it as out: it is tried as one that may be cold, where
// it would take all that waits at once.
func ExampleSender_replacedWhileOut() {
	set := plain()
	set.Senders, set.Probing = 80, false
	d := open(set).run(3*Second).take(0, 1, "p").ended(ConnectFailed, 0, "a", "p").take(0, 1, "q", "r")
	d.s.UpdateEndpoints([]Entry{{Endpoint: "a", Destination: 1, Stage: Gone}, {Endpoint: "new", Destination: 1, Rating: 10}}, false)
	d.run(100 * Millisecond)
	d.s.UpdateEndpoints([]Entry{{Endpoint: "newer", Destination: 1, Rating: 10}}, false)
	d.run(100 * Millisecond)
	fmt.Println(d.s.endpoints["new"].ejected, d.s.endpoints["newer"].ejected)
	// Output:
	// 3000.0  dispatch p to a
	// true true
}

// What joins a destination that has come back and is still cold is as cold as the rest, with a budget begun by chance: all
// senders hear of it at one moment, and empty ones would all be full at one moment, too.
func ExampleSender_replacedWhileCold() {
	set := plain()
	set.Senders, set.Probing = 80, false
	d := open(set).run(3*Second).take(0, 1, "p").ended(ConnectFailed, 0, "a", "p")
	a := d.s.endpoints["a"]
	d.run(2 * Second)
	d.s.comeBack(a, d.clock)
	d.s.UpdateEndpoints([]Entry{{Endpoint: "new", Destination: 1, Rating: 10}, {Endpoint: "a", Destination: 1, Stage: Draining}}, false)
	e := d.s.endpoints["new"]
	fmt.Println("aside:", e.ejected, "as cold:", e.coldFrom == a.coldFrom, "budget:", math.Round(100*e.cold.level)/100)
	d.take(0, 1, "q", "r", "s")
	// Output:
	// 3000.0  dispatch p to a
	// aside: false as cold: true budget: 0.22
}

// In a fleet a call to an endpoint where none was done yet gets the time-out of its kind, not that of half a contract
// time: many such calls, unanswered, would hold the few slots for as long as a message lives.
func ExampleSender_likeItsKind() {
	for _, senders := range []int{80, 2} {
		set := noted()
		set.Senders = senders
		d := open(set)
		d.mute = true
		d.s.UpdateEndpoints([]Entry{{Endpoint: "e", Destination: 3}}, false)
		for i := range 40 {
			id := MessageID(fmt.Sprint(i))
			d.take(0, 1, id).ended(Done, 0, "a", id)
		}
		d.take(0, 3, "first")
		fmt.Println(senders, "senders:", seconds(d.s.timeOut(d.s.held["first"], d.s.endpoints["e"])), "s")
	}
	// Output:
	// 80 senders: 1 s
	// 2 senders: 5.5 s
}
