package choice

import "fmt"

// No new call goes to a draining endpoint from the turn in which the drain is reported. Messages for it go to other
// endpoints.
func ExampleSender_draining() {
	host := startSender(testSettings()).accept(0, 1, "p").end(Errored, 0, "a", "p")
	host.update(Entry{Endpoint: "a", Destination: 1, Stage: Draining}, Entry{Endpoint: "b", Destination: 1})
	host.advance(Second)
	// Output:
	// 0.0     attempt p to a
	// 86.4    attempt p to b
}

// An endpoint of another zone without calls is ranked below one of the sender's own zone.
func ExampleSender_zones() {
	host := startSender(testSettings())
	host.sender.UpdateEndpoints([]Entry{{Endpoint: "far", Destination: 1, Zone: 1}, {Endpoint: "near", Destination: 1}}, true)
	host.advance(50*Millisecond).accept(0, 1, "p")
	// Output:
	// 50.0    attempt p to near
}

// An endpoint without a recent successful call gets no more calls at a time than an unknown one, until it answers.
func ExampleSender_idleConcurrency() {
	host := startSender(testSettings())
	host.endpoint("a").concurrencyLimit = 8
	host.accept(0, 1, "p").end(Done, 0, "a", "p").advance(3*Second).accept(0, 1, "q", "r", "s", "t")
	host.advance(100*Millisecond).end(Done, 0, "a", "t")
	// Output:
	// 0.0     attempt p to a
	// 3000.0  attempt t to a
	// 3000.0  attempt s to a
	// 3100.0  attempt r to a
	// 3100.0  attempt q to a
}

// A sender that stalls for two seconds then receives answers, timers and a drain all at once. An endpoint that answered
// in time must not be ejected, and nothing may be sent to the draining one.
func ExampleSender_stalledSender() {
	host := startSender(orderedSettings())
	host.update(Entry{Endpoint: "b", Destination: 1, Rating: 10})
	host.accept(0, 1, "p", "q").accept(0, 2, "r")
	host.clock += 2 * Second
	host.update(Entry{Endpoint: "a", Destination: 1, Stage: Draining})
	for _, id := range []MessageID{"p", "q", "r"} {
		host.sender.AttemptEnded(Outcome{Message: id, Duration: 100 * Millisecond, Result: Done, Final: true})
	}
	host.accept(0, 1, "late").accept(0, 2, "other").advance(100 * Millisecond)
	fmt.Println("drained endpoint kept:", host.sender.endpoints["a"] != nil, "ejected:", host.endpoint("b").ejected, host.endpoint("c").ejected)
	// Output:
	// 0.0     attempt q to a
	// 0.0     attempt p to a
	// 0.0     attempt r to c
	// 2000.0  attempt late to b
	// 2000.0  attempt other to c
	// drained endpoint kept: false ejected: false false
}
