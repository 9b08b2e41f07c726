package choice

import "fmt"

// A withdrawn message is neither sent again nor answered, whatever its state. It frees its place in the in-flight limit
// when its call ends, and the messages behind it in its key queue continue.
func ExampleSender_Withdraw() {
	run := func(name string, set Settings, do func(host *fakeHost)) {
		fmt.Println(name)
		host := startSender(set)
		do(host)
		host.advance(7 * Second)
		if s := host.sender; countOpenState(s) > 0 {
			fmt.Println("left over state:", s.messages, s.calls, s.timers.pending, s.keyQueues, s.queuedDestinations)
		}
	}
	withdraw := func(host *fakeHost, id MessageID) *fakeHost {
		host.sender.Withdraw(id)
		host.sender.TurnEnd()
		return host
	}
	run("queued", testSettings(), func(host *fakeHost) {
		host.sender.Accept(Message{ID: "p", Key: NoKey, Destination: 1, Deadline: 6 * Second})
		withdraw(host, "p")
	})
	run("in the queue of rejected retries", testSettings(), func(host *fakeHost) {
		host.accept(0, 1, "p", "q").end(Rejected, 500*Millisecond, "a", "p", "q").advance(300 * Millisecond)
		fmt.Println("queued:", host.destination(1).queues[1].Len())
		withdraw(withdraw(host, "p"), "q")
	})
	run("waiting for a retry", testSettings(), func(host *fakeHost) { withdraw(host.accept(1, 1, "p").end(Errored, 0, "a", "p"), "p") })
	run("behind the first of its key, and the first while in flight", orderedSettings(), func(host *fakeHost) {
		host.acceptKeyed("head", 2, 7, 2).sender.TurnEnd()
		withdraw(withdraw(host.acceptKeyed("next", 2, 7, 2).acceptKeyed("last", 2, 7, 2), "next"), "head")
		host.advance(50*Millisecond).end(Done, 0, "c", "head").end(Done, 0, "c", "last")
	})
	run("the first of its key, while queued", orderedSettings(), func(host *fakeHost) {
		withdraw(host.acceptKeyed("head", 2, 7, 2).acceptKeyed("next", 2, 7, 2), "head").end(Done, 0, "c", "next")
	})
	run("the first of its key, while it may be running", orderedSettings(), func(host *fakeHost) {
		host.acceptKeyed("head", 3, 7, 2).sender.TurnEnd()
		withdraw(host.acceptKeyed("next", 3, 7, 2).end(Reset, 0, "c", "head"), "head").advance(400*Millisecond).end(Done, 0, "c", "next")
	})
	for _, end := range []Result{Done, Rejected, Errored, TimedOut, NotRun} {
		run(fmt.Sprint("in flight in a bulk call, result ", end), testSettings(), func(host *fakeHost) {
			withdraw(host.accept(0, 2, "p", "q"), "p").end(end, 0, "c", "p")
			fmt.Println("calls in flight:", len(host.sender.calls))
			host.end(Done, 0, "c", "q")
		})
	}
	// Output:
	// queued
	// in the queue of rejected retries
	// 0.0     attempt q to a
	// 0.0     attempt p to a
	// queued: 2
	// waiting for a retry
	// 0.0     attempt p to a
	// behind the first of its key, and the first while in flight
	// 0.0     attempt head to c
	// 50.0    attempt last to c
	// the first of its key, while queued
	// 0.0     attempt next to c
	// the first of its key, while it may be running
	// 0.0     attempt head to c
	// 300.0   attempt next to c
	// in flight in a bulk call, result 0
	// 0.0     attempt q to c
	// 0.0     attempt p to c
	// calls in flight: 1
	// in flight in a bulk call, result 2
	// 0.0     attempt q to c
	// 0.0     attempt p to c
	// calls in flight: 1
	// in flight in a bulk call, result 1
	// 0.0     attempt q to c
	// 0.0     attempt p to c
	// calls in flight: 1
	// in flight in a bulk call, result 3
	// 0.0     attempt q to c
	// 0.0     attempt p to c
	// calls in flight: 1
	// in flight in a bulk call, result 7
	// 0.0     attempt q to c
	// 0.0     attempt p to c
	// calls in flight: 1
}
