package choice

import "fmt"

// ordered settings: class 0 is idempotent, 1 keyed in its zone, 2 single-use in order, 3 idempotent in order.
func ordered() Settings {
	set := plain()
	set.KeyRest = 300 * Millisecond
	set.Classes[1].ZoneGroup, set.Classes[2].ByArrival = true, true
	return set
}

// keyed hands in one message with a key of its own choice, and leaves the turn open.
func (d *desk) keyed(id MessageID, class ClassNo, key OrderKey, to DestinationID) *desk {
	d.s.Taken(Message{ID: id, Class: class, Key: key, Destination: to, Deadline: d.clock + d.s.set.Classes[class].Deadline})
	return d
}

// Whatever becomes of a key's head, the next goes after it, one at a time: at once where no call can still run, after the
// rest where one may. A refused head keeps its turn; what is over is answered in the turn that decides it.
func ExampleSender_headOfKey() {
	for _, end := range []struct {
		name   string
		result Result
	}{{"done", Done}, {"refused", Full}, {"error", Errored}, {"time-out", TimedOut}, {"reset", Reset}, {"cancelled", Cancelled}} {
		d := open(ordered())
		d.keyed("head", 2, 7, 2).keyed("next", 2, 7, 2).keyed("last", 2, 7, 2).s.TurnEnd()
		fmt.Println(end.name)
		d.clock += 10 * Millisecond
		d.ended(end.result, 0, "c", "head").run(500 * Millisecond)
	}
	fmt.Println("withdrawn while it waits, then while it is out")
	d := open(ordered())
	d.keyed("head", 2, 7, 2).s.TurnEnd()
	d.keyed("waits", 2, 7, 2).keyed("next", 2, 7, 2).s.Withdrawn("waits")
	d.s.Withdrawn("head")
	d.run(10*Millisecond).ended(Done, 0, "c", "head")
	// Output:
	// 0.0     dispatch head to c
	// done
	// 10.0    dispatch next to c
	// 0.0     dispatch head to c
	// refused
	// 25.0    dispatch head to c
	// 0.0     dispatch head to c
	// error
	// 10.0    give up head
	// 10.0    dispatch next to c
	// 0.0     dispatch head to c
	// time-out
	// 10.0    give up head
	// 310.0   dispatch next to c
	// 0.0     dispatch head to c
	// reset
	// 10.0    give up head
	// 310.0   dispatch next to c
	// 0.0     dispatch head to c
	// cancelled
	// 10.0    give up head
	// 310.0   dispatch next to c
	// withdrawn while it waits, then while it is out
	// 0.0     dispatch head to c
	// 10.0    dispatch next to c
}

// A head that no attempt serves in time is shed when its time is over, which frees the next at once; one handed in again
// joins at the end of its key.
func ExampleSender_headWithoutTime() {
	d := open(ordered())
	d.s.UpdateEndpoints([]Entry{{Endpoint: "c", Destination: 2, Kind: 1, Stage: Draining}}, false)
	d.keyed("head", 3, 7, 2).s.TurnEnd()
	d.run(2*Second).keyed("next", 3, 7, 1).keyed("again", 3, 7, 1).s.TurnEnd()
	d.run(4*Second).ended(Done, 0, "a", "next")
	// Output:
	// 5490.1  shed head
	// 5490.1  dispatch next to a
	// 6000.0  dispatch again to a
}

// Heads of several keys, of two ordered classes, share a call; two of one key never do, whatever their classes.
func ExampleSender_keysInABundle() {
	d := open(ordered())
	d.keyed("a1", 2, 7, 2).keyed("b1", 3, 8, 2).keyed("a2", 3, 7, 2).keyed("b2", 2, 8, 2).s.TurnEnd()
	fmt.Println(len(d.s.calls), "call")
	d.ended(Done, 0, "c", "a1", "b1")
	// Output:
	// 0.0     dispatch a1 to c
	// 0.0     dispatch b1 to c
	// 1 call
	// 0.0     dispatch b2 to c
	// 0.0     dispatch a2 to c
}

// A key's turn holds over destinations too.
func ExampleSender_keyOverDestinations() {
	d := open(ordered())
	d.keyed("here", 2, 7, 1).keyed("there", 2, 7, 2).s.TurnEnd()
	d.run(10*Millisecond).ended(Done, 0, "a", "here")
	// Output:
	// 0.0     dispatch here to a
	// 10.0    dispatch there to c
}

// A keyed message that may have run in a zone whose endpoint drains goes to no other zone, though one is free there,
// and is answered when its window ends.
func ExampleSender_zoneDrained() {
	set := ordered()
	set.Probing = false
	d := open(set)
	d.s.UpdateEndpoints([]Entry{{Endpoint: "far", Destination: 1, Zone: 1, Rating: 10}}, false)
	d.take(1, 1, "token").run(10*Millisecond).ended(Errored, 0, "a", "token")
	d.s.UpdateEndpoints([]Entry{{Endpoint: "a", Destination: 1, Stage: Draining}}, false)
	d.take(0, 1, "other").run(6 * Second)
	// Output:
	// 0.0     dispatch token to a
	// 10.0    dispatch other to far
	// 2995.1  give up token
}

// A told wait binds the route: one of those apart, or all endpoints of a destination that shares its limit.
func ExampleSender_waitsOfRoutes() {
	for _, apart := range []bool{true, false} {
		set := ordered()
		set.Kinds[0].Apart = apart
		d := open(set)
		d.s.UpdateEndpoints([]Entry{{Endpoint: "b", Destination: 1, Rating: 10}}, false)
		d.take(0, 1, "p").ended(Full, 900*Millisecond, "a", "p").take(0, 1, "q")
		fmt.Println("apart:", apart)
	}
	// Output:
	// 0.0     dispatch p to a
	// 0.0     dispatch q to b
	// apart: true
	// 0.0     dispatch p to a
	// apart: false
}

// A sender that stood still for two seconds finds answers, timers and a drain at once: the endpoint that answered in
// time is not blamed, and nothing goes to the one that drains.
func ExampleSender_stalled() {
	d := open(ordered())
	d.s.UpdateEndpoints([]Entry{{Endpoint: "b", Destination: 1, Rating: 10}}, false)
	d.take(0, 1, "p", "q").take(0, 2, "r")
	d.clock += 2 * Second
	d.s.UpdateEndpoints([]Entry{{Endpoint: "a", Destination: 1, Stage: Draining}}, false)
	for _, id := range []MessageID{"p", "q", "r"} {
		d.s.Ended(Outcome{Message: id, Took: 100 * Millisecond, Result: Done, Final: true})
	}
	d.take(0, 1, "late").take(0, 2, "other").run(100 * Millisecond)
	fmt.Println("known of the drained one:", d.s.endpoints["a"] != nil, "aside:", d.s.endpoints["b"].ejected, d.s.endpoints["c"].ejected)
	// Output:
	// 0.0     dispatch q to a
	// 0.0     dispatch p to a
	// 0.0     dispatch r to c
	// 2000.0  dispatch late to b
	// 2000.0  dispatch other to c
	// known of the drained one: false aside: false false
}
