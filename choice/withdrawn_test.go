package choice

import "fmt"

// A message withdrawn in whatever state is neither sent again nor answered, its place in the in-flight limit is free
// once its call has ended, and those behind it in its key go on.
func ExampleSender_Withdrawn() {
	play := func(what string, set Settings, do func(host *fakeHost)) {
		fmt.Println(what)
		host := startSender(set)
		do(host)
		host.advance(7 * Second)
		if s := host.sender; openState(s) > 0 {
			fmt.Println("left over:", s.messages, s.calls, s.timers.pending, s.keyQueues, s.withQueued)
		}
	}
	drop := func(host *fakeHost, id MessageID) *fakeHost {
		host.sender.Withdrawn(id)
		host.sender.TurnEnd()
		return host
	}
	play("queued", testSettings(), func(host *fakeHost) {
		host.sender.Taken(Message{ID: "p", Key: NoKey, Destination: 1, Deadline: 6 * Second})
		drop(host, "p")
	})
	play("in a lane", testSettings(), func(host *fakeHost) {
		host.accept(0, 1, "p", "q").end(Rejected, 500*Millisecond, "a", "p", "q").advance(300 * Millisecond)
		fmt.Println("there:", host.destination(1).queues[1].Len())
		drop(drop(host, "p"), "q")
	})
	play("waiting for a retry", testSettings(), func(host *fakeHost) { drop(host.accept(1, 1, "p").end(Errored, 0, "a", "p"), "p") })
	play("behind its key's head, and the head while out", orderedSettings(), func(host *fakeHost) {
		host.acceptKeyed("head", 2, 7, 2).sender.TurnEnd()
		drop(drop(host.acceptKeyed("next", 2, 7, 2).acceptKeyed("last", 2, 7, 2), "next"), "head")
		host.advance(50*Millisecond).end(Done, 0, "c", "head").end(Done, 0, "c", "last")
	})
	play("the head, queued", orderedSettings(), func(host *fakeHost) {
		drop(host.acceptKeyed("head", 2, 7, 2).acceptKeyed("next", 2, 7, 2), "head").end(Done, 0, "c", "next")
	})
	play("a head that may run", orderedSettings(), func(host *fakeHost) {
		host.acceptKeyed("head", 3, 7, 2).sender.TurnEnd()
		drop(host.acceptKeyed("next", 3, 7, 2).end(Reset, 0, "c", "head"), "head").advance(400*Millisecond).end(Done, 0, "c", "next")
	})
	for _, end := range []Result{Done, Rejected, Errored, TimedOut, NotRun} {
		play(fmt.Sprint("out, in a call with another, ended ", end), testSettings(), func(host *fakeHost) {
			drop(host.accept(0, 2, "p", "q"), "p").end(end, 0, "c", "p")
			fmt.Println("calls out:", len(host.sender.calls))
			host.end(Done, 0, "c", "q")
		})
	}
	// Output:
	// queued
	// in a lane
	// 0.0     attempt q to a
	// 0.0     attempt p to a
	// there: 2
	// waiting for a retry
	// 0.0     attempt p to a
	// behind its key's head, and the head while out
	// 0.0     attempt head to c
	// 50.0    attempt last to c
	// the head, queued
	// 0.0     attempt next to c
	// a head that may run
	// 0.0     attempt head to c
	// 300.0   attempt next to c
	// out, in a call with another, ended 0
	// 0.0     attempt q to c
	// 0.0     attempt p to c
	// calls out: 1
	// out, in a call with another, ended 2
	// 0.0     attempt q to c
	// 0.0     attempt p to c
	// calls out: 1
	// out, in a call with another, ended 1
	// 0.0     attempt q to c
	// 0.0     attempt p to c
	// calls out: 1
	// out, in a call with another, ended 3
	// 0.0     attempt q to c
	// 0.0     attempt p to c
	// calls out: 1
	// out, in a call with another, ended 7
	// 0.0     attempt q to c
	// 0.0     attempt p to c
	// calls out: 1
}
