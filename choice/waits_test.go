package choice

// What is heeded of refusals: waits that are told, limits that are guessed.

import "fmt"

// A Retry-After holds back first attempts, too; another destination goes on.
func ExampleSender_retryAfter() {
	host := startSender(testSettings()).accept(0, 1, "p").end(Full, 900*Millisecond, "a", "p")
	host.accept(0, 1, "q").accept(0, 2, "other").advance(1200 * Millisecond)
	// Output:
	// 0.0     attempt p to a
	// 0.0     attempt other to c
	// 1050.0  attempt q to a
	// 1050.0  attempt p to a
}

// The messages of one call may get their Retry-After at different times; the last one counts.
func ExampleSender_retryAfterOfBulkCall() {
	host := startSender(testSettings()).accept(0, 2, "p", "q").end(Full, 500*Millisecond, "c", "p")
	host.advance(100*Millisecond).end(Full, 500*Millisecond, "c", "q").accept(0, 2, "r").advance(700 * Millisecond)
	// Output:
	// 0.0     attempt q to c
	// 0.0     attempt p to c
	// 650.0   attempt r to c
	// 650.0   attempt p to c
	// 650.0   attempt q to c
}

// A long Retry-After is that of a shut destination: once it opens, what was waiting goes out bit by bit, also to
// endpoints that were not asked, and although a call from before was done meanwhile.
func ExampleSender_longRetryAfter() {
	host := startSender(testSettings())
	host.sender.ListNews([]Entry{{Endpoint: "b", Destination: 1, Rating: 10}}, false)
	host.accept(0, 1, "p", "q", "r").end(Full, 3*Second, "a", "p").end(Done, 0, "a", "q").accept(2, 1, "s", "t", "u", "v")
	host.advance(6 * Second)
	// Output:
	// 0.0     attempt r to a
	// 0.0     attempt q to a
	// 0.0     attempt p to b
	// 3200.0  attempt v to a
	// 3200.0  attempt u to b
	// 4200.0  attempt t to b
	// 5250.0  probe a
	// 5490.1  shed p
	// 5790.1  shed s
}

// Rejections without a Retry-After, with nothing done for two seconds, pause the route for a guess that doubles.
func ExampleSender_guessedWait() {
	host := startSender(testSettings()).advance(2100*Millisecond).accept(0, 1, "p", "q").end(Full, 0, "a", "p", "q")
	host.advance(900*Millisecond).end(Full, 0, "a", "p", "q").advance(2 * Second)
	fmt.Println("guess:", host.sender.destinations[1].route.guessedWait)
	// Output:
	// 2100.0  attempt q to a
	// 2100.0  attempt p to a
	// 3950.0  attempt p to a
	// guess: 3000
}

// A rejection with the allowance used up is a limit: the endpoint stays in use, at a lower rate.
func ExampleSender_limit() {
	host := startSender(testSettings()).accept(0, 1, "p", "q").advance(3 * Second)
	for _, id := range []MessageID{"p", "q"} {
		host.sender.Ended(Outcome{Message: id, Endpoint: "a", Result: Full, Report: Report{true, 0.1, 4}})
	}
	fmt.Println("ejected:", host.sender.endpoints["a"].ejected, "pace:", host.sender.endpoints["a"].route.limiter.rate)
	host.advance(Second)
	// Output:
	// 0.0     attempt q to a
	// 0.0     attempt p to a
	// 2550.0  probe a
	// ejected: false pace: 2
	// 3016.2  attempt p to a
	// 3400.0  attempt q to a
}

// A sender that keeps to its part of a reported limit and is rejected again and again halves its rate, and halves it
// again: where rejected calls use the limit up, all senders at their parts would have nothing done for as long as there
// is demand. A report of free capacity brings the part back at once.
func ExampleSender_limitUsedUp() {
	set := testSettings()
	set.Senders, set.Probing = 80, false
	host := startSender(set)
	host.mute = true
	host.accept(0, 1, "first").end(Done, 0, "a", "first")
	tell := func(id MessageID, result Result, left float64) {
		host.advance(1100*Millisecond).accept(0, 1, id).sender.Ended(Outcome{Message: id, Attempt: host.attempts[id] - 1, Endpoint: "a", Result: result,
			Final: result == Done, Report: Report{Known: true, Left: left, Limit: 80}})
		fmt.Printf("%v, %.1f left: pace %.2f\n", [...]string{"done", "", "refused"}[result], left, host.sender.destinations[1].route.limiter.rate)
	}
	for i, id := range []MessageID{"p", "q", "r", "s", "t"} {
		host.sender.destinations[1].route.limiter.tokens = 1 // else it waits for its turn at that pace
		tell(id, [...]Result{Full, Full, Full, Done, Done}[i], [...]float64{0, 0, 0, 0.1, 0.5}[i])
		host.sender.Withdrawn(id)
	}
	// Output:
	// refused, 0.0 left: pace 1.00
	// refused, 0.0 left: pace 0.50
	// refused, 0.0 left: pace 0.26
	// done, 0.1 left: pace 0.28
	// done, 0.5 left: pace 1.00
}
