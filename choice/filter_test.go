package choice

import (
	"fmt"
	"strings"
)

// two opens a sender with a near and a far endpoint of one destination, the near one ranked first; what is named near
// may only go there, and what is named far only to the far one.
func two(set Settings) *desk {
	d := open(set)
	d.s.UpdateEndpoints([]Entry{{Endpoint: "near", Destination: 3, Kind: 1, Rating: 10}, {Endpoint: "far", Destination: 3, Kind: 1, Zone: 1, Rating: 10}}, false)
	d.barred = func(n MessageID, e EndpointID) bool {
		return strings.HasPrefix(string(n), "near") && e == "far" || strings.HasPrefix(string(n), "far") && e == "near"
	}
	return d
}

// A message goes where it may and nowhere else, also where another rides by; what is barred nowhere goes as ever. The
// answer that stands when it is sent is what counts.
func ExampleSender_allowed() {
	d := two(plain())
	d.take(0, 3, "far1", "near1", "any", "far2")
	d.barred = func(MessageID, EndpointID) bool { return true }
	d.take(0, 3, "later").run(100 * Millisecond)
	d.barred = nil
	d.run(50 * Millisecond)
	// Output:
	// 0.0     dispatch far2 to far
	// 0.0     dispatch any to near
	// 0.0     dispatch near1 to near
	// 0.0     dispatch far1 to far
	// 150.0   dispatch later to near
}

// Near is down: what may only go there waits, and tries it as any trial does, held to the cold budget; what waits behind
// it and may go far does so at once.
func ExampleSender_allowedOutage() {
	set := plain()
	set.Probing = false
	d := two(set)
	d.take(0, 3, "near1").ended(ConnectFailed, 0, "near", "near1").run(100 * Millisecond)
	d.s.eject(d.s.endpoints["near"])
	d.take(0, 3, "far1", "near2", "near3").ended(Done, 0, "far", "far1").run(2 * Second)
	d.ended(ConnectFailed, 0, "near", "near3").run(3 * Second)
	fmt.Println("room left for a trial:", d.s.coldReady(d.s.endpoints["near"]))
	// Output:
	// 0.0     dispatch near1 to near
	// 100.0   dispatch far1 to far
	// 350.0   dispatch near3 to near
	// 1350.0  dispatch near2 to near
	// 2550.0  dispatch near3 to near
	// 4150.0  dispatch near1 to near
	// room left for a trial: false
}

// However many newer ones wait that may only go where no room is, one behind them goes where it may; past a bound it
// waits until some of them are over.
func ExampleSender_allowedBehind() {
	for _, newer := range []int{lookPast - 1, lookPast} {
		set := plain()
		set.InFlightLimit = 40
		d := two(set)
		d.mute = true
		d.s.halt(d.s.endpoints["near"], Second, false)
		d.s.endpoints["far"].route = newRoute(0) // a route of its own
		d.s.Taken(Message{ID: "far", Key: NoKey, Destination: 3, Deadline: 6 * Second})
		for i := range newer {
			d.s.Taken(Message{ID: MessageID(fmt.Sprint("near", i)), Key: NoKey, Destination: 3, Deadline: 6 * Second})
		}
		d.s.TurnEnd()
		fmt.Println(newer, "newer, sent:", d.tries["far"] == 1)
	}
	// Output:
	// 15 newer, sent: true
	// 16 newer, sent: false
}

// What may have run in one zone and is known there alone may not be repeated elsewhere: a plan that sends it away would
// leave it nowhere to go.
func ExampleSender_allowedKnownInOneZone() {
	set := plain()
	set.Classes[1].ZoneGroup = true
	d := two(set)
	d.s.Taken(Message{ID: "far1", Class: 1, Key: NoKey, Destination: 3, Deadline: 6 * Second, MayRun: true})
	d.s.TurnEnd()
	d.take(1, 3, "far2")
	// Output:
	// 0.0     dispatch far1 to near
	// 0.0     dispatch far2 to far
}
