package choice

// Which endpoint a message goes to: drains, outages and returns, zones, slowness, and what is known from before.

import "fmt"

// Nothing new goes to a draining endpoint from the turn in which it is reported; what it would have got goes elsewhere.
func ExampleSender_draining() {
	host := startSender(testSettings()).accept(0, 1, "p").end(Errored, 0, "a", "p")
	host.sender.ListNews([]Entry{{Endpoint: "a", Destination: 1, Stage: Draining}, {Endpoint: "b", Destination: 1}}, false)
	host.advance(Second)
	// Output:
	// 0.0     attempt p to a
	// 86.4    attempt p to b
}

// Two failures eject an endpoint. A probe shows that its process runs, and one trial call whether calls are answered: a
// shut destination answers probes, too. Then a growing budget bounds all that is sent while it warms up.
func ExampleSender_readmission() {
	host := startSender(testSettings()).accept(0, 1, "p", "q").end(Errored, 0, "a", "p", "q").advance(600 * Millisecond)
	host.sender.Probed("a", Done)
	host.advance(3*Second).accept(0, 1, "r", "s", "t", "u").end(Full, 0, "a", "p", "q").advance(5 * Second)
	host.sender.Probed("a", Done)
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

// Calls that stay unanswered lower the concurrency limit of an endpoint, and then eject it; other endpoints go on.
func ExampleSender_unanswered() {
	host := startSender(testSettings()).accept(2, 1, "p", "q", "r").accept(2, 2, "other").end(Done, 0, "c", "other")
	host.advance(2500*Millisecond).accept(2, 2, "more")
	fmt.Println("ejected:", host.sender.endpoints["a"].ejected, "calls out:", host.sender.endpoints["a"].inFlight)
	// Output:
	// 0.0     attempt r to a
	// 0.0     attempt q to a
	// 0.0     attempt other to c
	// 2500.0  attempt more to c
	// ejected: true calls out: 2
}

// Where probes are not allowed, a single attempt tries an ejected endpoint.
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

// An endpoint of another zone without calls ranks behind one of the sender's own zone.
func ExampleSender_zones() {
	host := startSender(testSettings())
	host.sender.ListNews([]Entry{{Endpoint: "far", Destination: 1, Zone: 1}, {Endpoint: "near", Destination: 1}}, true)
	host.advance(50*Millisecond).accept(0, 1, "p")
	// Output:
	// 50.0    attempt p to near
}

// Where a full connection table is answered, connections that fail show an outage and nothing else: the idle connection
// to a well endpoint stays. Where a full table makes connecting fail, idle connections to that kind are closed.
func ExampleSender_connectFailures() {
	for _, tellsFull := range []bool{true, false} {
		set := testSettings()
		set.Senders, set.ConnIdle, set.TellsFull = 80, 10*Second, tellsFull
		host := startSender(set)
		host.sender.ListNews([]Entry{{Endpoint: "d", Destination: 3}}, false)
		host.printClosings, host.mute = true, true
		for i := range 4 {
			id := MessageID(fmt.Sprint("down", i))
			host.advance(2*Second).accept(0, 1, id).end(ConnectFailed, 0, "a", id)
			host.sender.Withdrawn(id)
		}
		host.mute = false
		host.accept(0, 3, "well").end(Done, 0, "d", "well")
	}
	// Output:
	// 8000.0  attempt well to d
	// 8000.0  attempt well to d
	// 8000.0  close d
}

// A share that is rejected whatever the load costs little; a limit is found and kept, also with such a share on top.
func ExampleSender_adjustRate() {
	play := func(what string, offered int, noise, limit float64) {
		host := startSender(testSettings())
		s, route := host.sender, host.sender.destinations[1].route
		allowance, sent, rejected, late := 0.0, 0, 0, 60*Second
		for i := range offered * 60 {
			now := Time(i) * Second / Time(offered)
			s.now, host.clock = now, now
			allowance = min(max(1, limit/5), allowance+limit/float64(offered))
			if !route.ready(now) {
				continue
			}
			route.limiter.tokens--
			route.sent.count(now, rateWindow)
			route.answered++
			isRejected := s.random.fraction("x") < noise || limit > 0 && allowance < 1
			if isRejected {
				s.adjustRate(s.destinations[1], route)
			} else {
				allowance--
			}
			if now >= late/2 {
				sent++
				rejected += countIf(isRejected)
			}
		}
		fmt.Printf("%s: %d a second sent of %d, %d%% of them refused\n", what, sent/30, offered, 100*rejected/max(1, sent))
	}
	play("noise of 1%", 200, 0.01, 0)
	play("noise of 6%", 200, 0.06, 0)
	play("noise of 6% at a low rate", 5, 0.06, 0)
	play("noise of 20%", 200, 0.2, 0)
	play("a limit of 100", 200, 0, 100)
	play("a limit of 100 and noise of 6%", 200, 0.06, 100)
	play("a limit of 2", 10, 0, 2)
	// Output:
	// noise of 1%: 200 a second sent of 200, 1% of them refused
	// noise of 6%: 200 a second sent of 200, 6% of them refused
	// noise of 6% at a low rate: 4 a second sent of 5, 6% of them refused
	// noise of 20%: 200 a second sent of 200, 20% of them refused
	// a limit of 100: 105 a second sent of 200, 5% of them refused
	// a limit of 100 and noise of 6%: 94 a second sent of 200, 6% of them refused
	// a limit of 2: 1 a second sent of 10, 17% of them refused
}

// An endpoint that was ejected but answers again within 1.5 s of its last answer was not down: it needs no slow start.
// One that was quiet for longer may have restarted.
func ExampleSender_shortEjection() {
	for _, pause := range []Time{200 * Millisecond, 1600 * Millisecond} {
		host := startSender(testSettings())
		host.mute = true
		a := host.sender.endpoints["a"]
		host.accept(0, 1, "p").end(Done, 0, "a", "p").accept(2, 1, "q", "r").end(Reset, 0, "a", "q", "r")
		wasEjected := a.ejected
		host.advance(pause)
		host.sender.readmit(a, host.clock)
		fmt.Println(wasEjected, a.ejected, "slow start:", host.clock < a.slowStartAt+host.sender.settings.Cold)
	}
	// Output:
	// true false slow start: false
	// true false slow start: true
}

// Answers that can't be understood do not eject an endpoint that has just answered others.
func ExampleSender_unreadableAnswers() {
	host := startSender(testSettings()).accept(0, 1, "p").end(Done, 0, "a", "p")
	for _, id := range []MessageID{"q", "r"} {
		host.accept(2, 1, id).end(Spoilt, 0, "a", id)
	}
	fmt.Println("ejected:", host.sender.endpoints["a"].ejected)
	host.advance(recentSuccessSpan+tickInterval).accept(2, 1, "s").end(Spoilt, 0, "a", "s")
	fmt.Println("ejected:", host.sender.endpoints["a"].ejected)
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

// One failure is enough where nothing was done lately, and the slow start budget does not fill during a Retry-After:
// the senders of a large fleet get the same one, and would overload the destination as it opens.
func ExampleSender_singleFailureInFleet() {
	set := testSettings()
	set.Senders = 50
	host := startSender(set).advance(3*Second).accept(1, 1, "p").end(Errored, 0, "a", "p")
	fmt.Println("ejected:", host.sender.endpoints["a"].ejected)
	host.accept(1, 2, "q").end(Full, 5*Second, "c", "q").advance(5 * Second)
	fmt.Printf("budget once open: %.2f, from %d\n", host.sender.endpoints["c"].slowStart.tokens, host.sender.endpoints["c"].slowStart.updatedAt)
	// Output:
	// 3000.0  attempt p to a
	// ejected: true
	// 3000.0  attempt q to c
	// 5995.1  fail p
	// budget once open: 0.72, from 81046
}

// A sender whose backlog fills up sheds what would stay for longest, so that a well destination keeps its service.
func ExampleSender_backlogFull() {
	set := testSettings()
	set.MaxOpen = 6
	host := startSender(set).accept(0, 9, "p", "q", "r", "s", "t").accept(0, 2, "healthy", "too")
	fmt.Println(len(host.sender.messages), "held")
	// Output:
	// 0.0     shed p
	// 0.0     shed q
	// 0.0     attempt too to c
	// 0.0     attempt healthy to c
	// 5 held
}

// What an earlier incarnation of the sender may have sent: a non-idempotent message fails, a keyed one is sent again
// within its window and zone, an idempotent one at once. An order key pauses first, since its call may still be
// running.
func Example_earlierIncarnation() {
	host := startSender(testSettings())
	for i, id := range []MessageID{"replayable", "tokened", "single-use"} {
		host.sender.Taken(Message{ID: id, Class: ClassNo(i), Destination: 1, Deadline: 6 * Second, MayRun: true})
	}
	host.sender.Taken(Message{ID: "out of its window", Class: 1, Destination: 1, Deadline: 6 * Second, MayRun: true, RanAt: -3 * Second})
	host.sender.Taken(Message{ID: "in order", Class: 3, Key: 5, Destination: 1, Deadline: 6 * Second, MayRun: true})
	host.sender.Taken(Message{ID: "next of its key", Class: 3, Key: 5, Destination: 1, Deadline: 6 * Second})
	host.sender.TurnEnd()
	host.end(Done, 0, "a", "replayable", "tokened").advance(Second).end(Done, 0, "a", "in order")
	// Output:
	// 0.0     fail single-use
	// 0.0     fail out of its window
	// 0.0     attempt tokened to a
	// 0.0     attempt replayable to a
	// 1000.0  attempt in order to a
	// 1000.0  attempt next of its key to a
}
