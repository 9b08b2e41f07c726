package choice

import "fmt"

// Messages of one order key are sent one after another in the order accepted, and the key pauses after a time-out.
func ExampleSender_order() {
	host := startSender(testSettings()).accept(3, 2, "first", "second", "third").end(Done, 0, "c", "first")
	host.advance(100*Millisecond).end(TimedOut, 0, "c", "second").advance(400*Millisecond).end(Done, 0, "c", "second")
	host.advance(2*Second).end(Done, 0, "c", "third")
	fmt.Println(len(host.sender.keyQueues), "keys")
	// Output:
	// 0.0     attempt first to c
	// 0.0     attempt second to c
	// 222.1   attempt second to c
	// 1100.0  attempt third to c
	// 0 keys
}

// Outcomes, probe results, withdrawals and timers are ignored if they refer to something unknown or already over.
func ExampleSender_unknownOrOver() {
	host := startSender(testSettings()).accept(0, 1, "p")
	host.sender.Withdraw("p")
	host.sender.Withdraw("p")
	host.end(TimedOut, 0, "a", "p").end(TimedOut, 0, "a", "p", "unknown")
	host.sender.ProbeEnded("unknown", Done)
	host.sender.TimerFired(999)
	host.advance(7 * Second)
	fmt.Println(len(host.sender.messages), "messages", len(host.sender.timers.pending), "timers", len(host.sender.calls), "calls")
	// Output:
	// 0.0     attempt p to a
	// 0 messages 0 timers 0 calls
}

// If answers report limits, the destination has none, and other calls have just succeeded, rejections mean that too
// many calls were in flight. The concurrency limit falls, the rate stays, and no endpoint is ejected.
func ExampleSender_fullQueue() {
	host := startSender(testSettings())
	a := host.endpoint("a")
	a.destination.kind.reportsLimits, a.concurrencyLimit = true, 4
	host.accept(0, 1, "p", "q", "r", "s").advance(200*Millisecond).end(Done, 0, "a", "s").end(Rejected, 0, "a", "p", "q")
	fmt.Println("limit:", a.concurrencyLimit, "rate unlimited:", a.route.limiter.rate > 1000, "ejected:", a.ejected)
	host.end(Done, 0, "a", "r").accept(0, 1, "t", "u").advance(100 * Millisecond)
	// Output:
	// 0.0     attempt s to a
	// 0.0     attempt r to a
	// 0.0     attempt q to a
	// 0.0     attempt p to a
	// limit: 1 rate unlimited: true ejected: false
	// 200.0   attempt u to a
	// 200.0   attempt t to a
}

// A message that is shed lets the next message of its key be queued, which can be the one just being accepted. That one
// must not be queued twice, or it would be sent again after its end.
func ExampleSender_shedWithinAKey() {
	set := testSettings()
	set.MaxOpen, set.InFlightLimit = 20, 0 // nothing is sent, so the backlog stays
	host := startSender(set)
	take := func(id MessageID, key OrderKey, to DestinationID) {
		host.sender.Accept(Message{ID: id, Class: 3, Key: key, Destination: to, Deadline: host.clock + 6*Second})
	}
	for i := range 16 {
		take(MessageID(fmt.Sprint(i)), OrderKey(6+i), DestinationID(1+i%2))
	}
	take("old", 5, 9)
	host.clock = 3 * Second
	take("new", 5, 1)
	queued := 0
	for _, l := range host.destination(1).queues {
		for elem := l.Front(); elem != nil; elem = elem.Next() {
			queued += countIf(elem.Value.(*message).ID == "new")
		}
	}
	fmt.Println("times queued:", queued, "queued in all:", host.destination(1).queued)
	// Output:
	// 3000.0  shed old
	// times queued: 1 queued in all: 9
}

// A sender whose backlog is nearly full sheds the messages that would stay open for longest, so that a healthy
// destination is still served.
func ExampleSender_backlogFull() {
	set := testSettings()
	set.MaxOpen = 6
	host := startSender(set).accept(0, 9, "p", "q", "r", "s", "t").accept(0, 2, "healthy", "too")
	fmt.Println(len(host.sender.messages), "open")
	// Output:
	// 0.0     shed p
	// 0.0     shed q
	// 0.0     attempt too to c
	// 0.0     attempt healthy to c
	// 5 open
}

// A destination that takes no calls may fill most of the backlog but never all of it: messages for other destinations
// are still accepted.
func ExampleSender_backlogOfOneDestination() {
	set := testSettings()
	set.InFlightLimit = 0 // nothing is sent
	host := startSender(set)
	host.mute = true
	for i := range 400 {
		host.accept(0, 9, MessageID(fmt.Sprint("stuck", i)))
	}
	stuck := len(host.sender.messages)
	for i := range 10 {
		host.accept(0, 1, MessageID(fmt.Sprint("other", i)))
	}
	fmt.Println("open for the stuck destination:", stuck, "of", set.MaxOpen, "open for another:", host.destination(1).openMessages)
	// Output:
	// open for the stuck destination: 93 of 100 open for another: 10
}
