package choice

import "fmt"

// A probe that the host cancelled leaves the pause before the next trial unchanged, whereas a failed probe doubles it.
// In neither case is another probe sent at once.
func ExampleSender_ProbeEnded_cancelled() {
	for _, result := range []Result{Cancelled, ConnectFailed} {
		set := testSettings()
		set.SlowStart = 0
		host := startSender(set).advance(3*Second).accept(0, 1, "p")
		host.end(Errored, 0, "a", "p").advance(Second)
		before := host.endpoint("a").trialPause
		host.sender.ProbeEnded("a", result)
		fmt.Println("ejected:", host.endpoint("a").ejected, "pause before:", before, "after:", host.endpoint("a").trialPause)
		host.advance(Second)
	}
	// Output:
	// 3000.0  attempt p to a
	// 3250.0  probe a
	// ejected: true pause before: 3000 after: 3000
	// 4300.0  probe a
	// 3000.0  attempt p to a
	// 3250.0  probe a
	// ejected: true pause before: 3000 after: 6000
	// 4550.0  probe a
}

// Two failures eject an endpoint. A passed probe shows that its process runs, and a trial call then shows whether it
// answers calls, since an unavailable destination answers probes as well. After that, a growing budget limits the calls
// during slow start.
func ExampleSender_readmission() {
	host := startSender(testSettings()).accept(0, 1, "p", "q").end(Errored, 0, "a", "p", "q").advance(600 * Millisecond)
	host.sender.ProbeEnded("a", Done)
	host.advance(3*Second).accept(0, 1, "r", "s", "t", "u").end(Rejected, 0, "a", "p", "q").advance(5 * Second)
	host.sender.ProbeEnded("a", Done)
	host.advance(4 * Second)
	// Output:
	// 0.0     attempt q to a
	// 0.0     attempt p to a
	// 250.0   probe a
	// 650.0   attempt p to a
	// 1350.0  probe a
	// 5490.1  fail p
	// 5490.1  fail q
	// 8650.0  attempt u to a
	// 9090.1  shed r
	// 9090.1  shed s
	// 9090.1  shed t
}

// Unanswered calls lower the concurrency limit of an endpoint and then eject it. Other endpoints are not affected.
func ExampleSender_unanswered() {
	host := startSender(testSettings()).accept(2, 1, "p", "q", "r").accept(2, 2, "other").end(Done, 0, "c", "other")
	host.advance(2500*Millisecond).accept(2, 2, "more")
	fmt.Println("ejected:", host.endpoint("a").ejected, "calls in flight:", host.endpoint("a").inFlight)
	// Output:
	// 0.0     attempt r to a
	// 0.0     attempt q to a
	// 0.0     attempt other to c
	// 2500.0  attempt more to c
	// ejected: true calls in flight: 2
}

// If probes are not allowed, a single attempt serves as the trial of an ejected endpoint.
func ExampleSender_trial() {
	set := testSettings()
	set.Probing = false
	host := startSender(set).accept(2, 1, "p", "q").end(Errored, 0, "a", "p", "q").accept(2, 1, "once").advance(300 * Millisecond)
	host.accept(0, 1, "again").advance(4 * Second)
	// Output:
	// 0.0     attempt q to a
	// 0.0     attempt p to a
	// 0.0     fail p
	// 0.0     fail q
	// 300.0   attempt again to a
}

// An ejected endpoint that answers again within 1.5 s of its last answer was not down and needs no slow start. One
// without answers for longer may have restarted.
func ExampleSender_shortEjection() {
	for _, pause := range []Time{200 * Millisecond, 1600 * Millisecond} {
		host := startSender(testSettings())
		host.mute = true
		a := host.endpoint("a")
		host.accept(0, 1, "p").end(Done, 0, "a", "p").accept(2, 1, "q", "r").end(Reset, 0, "a", "q", "r")
		wasEjected := a.ejected
		host.advance(pause)
		host.sender.readmit(a, host.clock)
		fmt.Println("ejected before:", wasEjected, "after:", a.ejected, "slow start:", host.clock < a.slowStartAt+host.sender.settings.SlowStart)
	}
	// Output:
	// ejected before: true after: false slow start: false
	// ejected before: true after: false slow start: true
}

// Answers that can't be parsed do not eject an endpoint with recent successful calls.
func ExampleSender_unreadableAnswers() {
	host := startSender(testSettings()).accept(0, 1, "p").end(Done, 0, "a", "p")
	for _, id := range []MessageID{"q", "r"} {
		host.accept(2, 1, id).end(Unreadable, 0, "a", id)
	}
	fmt.Println("ejected:", host.endpoint("a").ejected)
	host.advance(recentSuccessSpan+tickInterval).accept(2, 1, "s").end(Unreadable, 0, "a", "s")
	fmt.Println("ejected:", host.endpoint("a").ejected)
	// Output:
	// 0.0     attempt p to a
	// 0.0     attempt q to a
	// 0.0     fail q
	// 0.0     attempt r to a
	// 0.0     fail r
	// ejected: false
	// 2050.0  attempt s to a
	// 2050.0  fail s
	// ejected: true
}

// One failure ejects an endpoint without recent successful calls. The slow start budget does not fill during a
// Retry-After: the senders of a large fleet receive the same one, and would overload the destination when it ends.
func ExampleSender_singleFailureInFleet() {
	set := testSettings()
	set.Senders = 50
	host := startSender(set).advance(3*Second).accept(1, 1, "p").end(Errored, 0, "a", "p")
	fmt.Println("ejected:", host.endpoint("a").ejected)
	host.accept(1, 2, "q").end(Rejected, 5*Second, "c", "q").advance(5 * Second)
	fmt.Printf("budget after the pause: %.2f, filling from %d\n", host.endpoint("c").slowStart.tokens, host.endpoint("c").slowStart.updatedAt)
	// Output:
	// 3000.0  attempt p to a
	// ejected: true
	// 3000.0  attempt q to c
	// 5995.1  fail p
	// budget after the pause: 0.72, filling from 81046
}

// At a thousand calls a second, some consecutive calls fail by chance, which must not eject an endpoint. A crash is
// still noticed within a few calls.
func ExampleSender_failuresByChance() {
	for _, rate := range []int{2, 100, 1000} {
		host := startSender(testSettings())
		host.mute = true
		random := newRandomSource("luck", 1)
		sent := steadyCalls(host, callLoad{"n", rate, 1, "a"}, 20, func(int) (Result, Time) {
			if random.fraction("fails") < 0.06 {
				return Errored, 0
			}
			return Done, 0
		})
		crash := steadyCalls(host, callLoad{"c", rate, 1, "a"}, 2, func(int) (Result, Time) { return ConnectFailed, 0 })
		fmt.Printf("%d a second: %.0f%% sent, then %d calls to a crashed endpoint\n", rate, 5*float64(sent)/float64(rate), crash)
	}
	// Output:
	// 2 a second: 100% sent, then 2 calls to a crashed endpoint
	// 100 a second: 100% sent, then 5 calls to a crashed endpoint
	// 1000 a second: 100% sent, then 7 calls to a crashed endpoint
}

// Slow start counts from midway between the last failure and the first answer. The two are far apart in a large fleet,
// and counting from the answer would starve an endpoint that has been back for long.
func ExampleSender_slowStartFromMidway() {
	set := testSettings()
	set.Senders = 50
	host := startSender(set).advance(3*Second).accept(1, 1, "p").end(Errored, 0, "a", "p").advance(Second)
	host.endpoint("a").slowStart.tokens = 1
	host.accept(0, 1, "q").end(Done, 0, "a", "q")
	fmt.Println("slow start from:", host.endpoint("a").slowStartAt)
	// Output:
	// 3000.0  attempt p to a
	// 4000.0  attempt q to a
	// slow start from: 35000
}

// While a call stays unanswered and others are answered, non-idempotent messages wait until some more calls succeed.
// Messages that may be repeated are sent meanwhile.
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

// A call that was cut short by its message's deadline is not informative about the endpoint: a non-idempotent message
// still goes there at once. Neither is a message that the host cancelled alone, while the others of its call are in
// flight.
func ExampleSender_cutShortByDeadline() {
	for _, left := range []Time{100 * Millisecond, 5 * Second} {
		host := startSender(testSettings())
		host.accept(0, 1, "first").end(Done, 0, "a", "first")
		host.endpoint("a").mean = float64(20 * Millisecond)
		host.sender.Accept(Message{ID: "late", Key: NoKey, Destination: 1, Deadline: host.clock + left})
		host.accept(0, 1, "other").end(Done, 0, "a", "other")
		host.clock += 1 // answered after the other calls were sent
		host.accept(0, 1, "another").end(Done, 0, "a", "another")
		host.clock += min(left, 2*Second) - 6*Millisecond
		host.end(TimedOut, 0, "a", "late").accept(2, 1, "order")
	}
	host := startSender(testSettings())
	host.accept(0, 2, "p", "q")
	host.sender.AttemptEnded(Outcome{Message: "p", Endpoint: "c", Result: Cancelled})
	fmt.Println("calls in flight:", len(host.sender.calls), "outcome counted:", host.sender.calls[0].outcomeCounted)
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
	// calls in flight: 1 outcome counted: false
}
