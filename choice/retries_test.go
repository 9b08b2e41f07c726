package choice

// Which message goes when, how often it is tried again, and when it has its end.

import "fmt"

// The one call in flight goes to first attempts, newest first, before the retry that was due earlier.
func ExampleSender_firstAttemptsFirst() {
	set := testSettings()
	set.InFlightLimit = 1
	host := startSender(set).accept(0, 1, "old").end(Errored, 0, "a", "old").accept(2, 2, "holds")
	host.advance(300*Millisecond).accept(0, 1, "x", "y").end(Done, 0, "c", "holds").end(Done, 0, "a", "y")
	host.end(Done, 0, "a", "x")
	// Output:
	// 0.0     attempt old to a
	// 0.0     attempt holds to c
	// 300.0   attempt y to a
	// 300.0   attempt x to a
	// 300.0   attempt old to a
}

// Backoffs differ by chance, under ceilings that double up to a cap; the first ceiling is a quarter second.
func ExampleSender_jitter() {
	host := startSender(testSettings())
	host.mute = true
	for try := 1; try <= 4; try++ {
		longest, shortest := Time(0), Time(1<<60)
		for i := range 40 {
			msg := &message{Message: Message{ID: MessageID(fmt.Sprint(i))}, attempts: try,
				destination: host.sender.destinations[1]}
			msg.Deadline = 60 * Second
			host.sender.scheduleRetry(msg)
			longest, shortest = max(longest, msg.retryAt), min(shortest, msg.retryAt)
		}
		fmt.Println("try", try, "from", shortest, "to", longest)
	}
	// Output:
	// try 1 from 4 to 2490
	// try 2 from 121 to 4615
	// try 3 from 129 to 9625
	// try 4 from 16 to 19705
}

// Rejected messages are retried in a quarter of the in-flight limit: two here, and the third when one is done.
func ExampleSender_rejectedRetries() {
	host := startSender(testSettings())
	host.sender.endpoints["a"].concurrencyLimit = 8
	host.accept(0, 1, "p", "q", "r").end(Full, 0, "a", "p", "q", "r")
	host.advance(2*Second).end(Done, 0, "a", "p").advance(2 * Second)
	// Output:
	// 0.0     attempt r to a
	// 0.0     attempt q to a
	// 0.0     attempt p to a
	// 51.6    attempt r to a
	// 86.4    attempt p to a
	// 2000.0  attempt q to a
}

// A non-idempotent message fails at a time-out and is retried after a rejection. A keyed one is retried only within its
// repeat window.
func ExampleSender_repeats() {
	host := startSender(testSettings()).accept(2, 1, "once").end(Full, 0, "a", "once").advance(Second)
	host.end(TimedOut, 0, "a", "once").accept(1, 2, "token").end(TimedOut, 0, "c", "token").advance(Second)
	host.advance(2500*Millisecond).end(TimedOut, 0, "c", "token")
	// Output:
	// 0.0     attempt once to a
	// 73.8    attempt once to a
	// 1000.0  fail once
	// 1000.0  attempt token to c
	// 1157.9  attempt token to c
	// 3450.0  probe c
	// 4500.0  fail token
}

// A message that no attempt can serve in time is answered at once: it is shed, as none ever ran.
func ExampleSender_deadline() {
	startSender(testSettings()).accept(0, 9, "nowhere").advance(7 * Second)
	// Output:
	// 5490.1  shed nowhere
}

// In a large fleet two failures with nothing done lately eject all endpoints of the route, and each rejection halves
// the rate: many senders that try one endpoint after another, or again and again, are a storm.
func ExampleSender_retryStorm() {
	set := testSettings()
	set.Senders = 50
	host := startSender(set).advance(3 * Second)
	host.sender.ListNews([]Entry{{Endpoint: "b", Destination: 1}, {Endpoint: "b2", Destination: 1}}, false)
	host.advance(50*Millisecond).accept(0, 1, "p").end(ConnectFailed, 0, "a", "p").advance(300 * Millisecond)
	host.end(ConnectFailed, 0, "b", "p")
	fmt.Println("ejected:", host.sender.endpoints["a"].ejected, host.sender.endpoints["b"].ejected, host.sender.endpoints["b2"].ejected)
	host.accept(0, 2, "q")
	for range 2 {
		host.end(Full, 0, "c", "q").advance(4 * Second)
		fmt.Printf("pace: %.3f\n", host.sender.destinations[2].route.limiter.rate)
	}
	// Output:
	// 3050.0  attempt p to a
	// 3075.7  attempt p to b
	// ejected: true true true
	// 3350.0  attempt q to c
	// pace: 0.182
	// 8540.1  shed p
	// 8840.1  shed q
	// pace: 0.196
}

// Slow start counts from midway between the last failure seen and the first answer: in a large fleet the two lie far
// apart, and counting from the answer would starve an endpoint that has long been back.
func ExampleSender_slowStartFromMidway() {
	set := testSettings()
	set.Senders = 50
	host := startSender(set).advance(3*Second).accept(1, 1, "p").end(Errored, 0, "a", "p").advance(Second)
	host.sender.endpoints["a"].slowStart.tokens = 1
	host.accept(0, 1, "q").end(Done, 0, "a", "q")
	fmt.Println("slow start from:", host.sender.endpoints["a"].slowStartAt)
	// Output:
	// 3000.0  attempt p to a
	// 4000.0  attempt q to a
	// slow start from: 35000
}

// Where a call stays unanswered while others are answered, non-idempotent messages wait until some more are done; those
// that may be repeated find that out.
func ExampleSender_nonIdempotentAfterUnanswered() {
	host := startSender(testSettings()).accept(0, 1, "lost").advance(Millisecond).accept(0, 1, "p").end(Done, 0, "a", "p").advance(2 * Second)
	host.accept(2, 1, "single")
	for _, id := range []MessageID{"1", "2", "3", "4", "5", "6"} {
		host.advance(10*Millisecond).accept(0, 1, id).end(Done, 0, "a", id)
	}
	// Output:
	// 0.0     attempt lost to a
	// 1.0     attempt p to a
	// 2011.0  attempt 1 to a
	// 2021.0  attempt 2 to a
	// 2031.0  attempt 3 to a
	// 2041.0  attempt 4 to a
	// 2051.0  attempt 5 to a
	// 2061.0  attempt 6 to a
	// 2061.0  attempt single to a
}

// A call that its message's deadline cut short says nothing of the endpoint: a non-idempotent message still goes there
// at once. Nor does a message that the host ended alone, while the others of its call are still in flight.
func ExampleSender_cutShortByDeadline() {
	for _, left := range []Time{100 * Millisecond, 5 * Second} {
		host := startSender(testSettings())
		host.accept(0, 1, "first").end(Done, 0, "a", "first")
		host.sender.endpoints["a"].mean = float64(20 * Millisecond)
		host.sender.Taken(Message{ID: "late", Key: NoKey, Destination: 1, Deadline: host.clock + left})
		host.accept(0, 1, "other").end(Done, 0, "a", "other")
		host.clock += 1 // answered since
		host.accept(0, 1, "another").end(Done, 0, "a", "another")
		host.clock += min(left, 2*Second) - 6*Millisecond
		host.end(TimedOut, 0, "a", "late").accept(2, 1, "order")
	}
	host := startSender(testSettings())
	host.accept(0, 2, "p", "q")
	host.sender.Ended(Outcome{Message: "p", Endpoint: "c", Result: Cancelled})
	fmt.Println("calls out:", len(host.sender.calls), "judged:", host.sender.calls[0].judged)
	// Output:
	// 0.0     attempt first to a
	// 0.0     attempt other to a
	// 0.0     attempt late to a
	// 0.1     attempt another to a
	// 94.1    fail late
	// 94.1    attempt order to a
	// 0.0     attempt first to a
	// 0.0     attempt other to a
	// 0.0     attempt late to a
	// 0.1     attempt another to a
	// 0.0     attempt q to c
	// 0.0     attempt p to c
	// calls out: 1 judged: false
}
