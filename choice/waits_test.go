package choice

// What is heeded of refusals: waits that are told, limits that are guessed.

import "fmt"

// A told wait stops first sends too; another destination goes on.
func ExampleSender_wait() {
	d := open(plain()).take(0, 1, "p").ended(Full, 900*Millisecond, "a", "p")
	d.take(0, 1, "q").take(0, 2, "other").run(1200 * Millisecond)
	// Output:
	// 0.0     dispatch p to a
	// 0.0     dispatch other to c
	// 1050.0  dispatch q to a
	// 1050.0  dispatch p to a
}

// The messages of one call may be told waits at different times; the last one counts.
func ExampleSender_waitOfBundle() {
	d := open(plain()).take(0, 2, "p", "q").ended(Full, 500*Millisecond, "c", "p")
	d.run(100*Millisecond).ended(Full, 500*Millisecond, "c", "q").take(0, 2, "r").run(700 * Millisecond)
	// Output:
	// 0.0     dispatch q to c
	// 0.0     dispatch p to c
	// 650.0   dispatch r to c
	// 650.0   dispatch p to c
	// 650.0   dispatch q to c
}

// A long told wait is that of a shut destination: once it opens, what was held goes out bit by bit, also
// to endpoints that were not asked, and although a call from before was answered meanwhile.
func ExampleSender_longWait() {
	d := open(plain())
	d.s.UpdateEndpoints([]Entry{{Endpoint: "b", Destination: 1, Rating: 10}}, false)
	d.take(0, 1, "p", "q", "r").ended(Full, 3*Second, "a", "p").ended(Done, 0, "a", "q").take(2, 1, "s", "t", "u", "v")
	d.run(6 * Second)
	// Output:
	// 0.0     dispatch r to a
	// 0.0     dispatch q to a
	// 0.0     dispatch p to b
	// 3200.0  dispatch v to a
	// 3200.0  dispatch u to b
	// 4200.0  dispatch t to b
	// 5250.0  probe a
	// 5490.1  shed p
	// 5790.1  shed s
}

// Refusals that tell no wait, with nothing done for two seconds, halt the route for a guess that doubles.
func ExampleSender_untoldWait() {
	d := open(plain()).run(2100*Millisecond).take(0, 1, "p", "q").ended(Full, 0, "a", "p", "q")
	d.run(900*Millisecond).ended(Full, 0, "a", "p", "q").run(2 * Second)
	fmt.Println("guess:", d.s.byID[1].route.guess)
	// Output:
	// 2100.0  dispatch q to a
	// 2100.0  dispatch p to a
	// 3950.0  dispatch p to a
	// guess: 3000
}

// A refusal with the allowance used up is a limit: the endpoint stays in use, at a slower pace.
func ExampleSender_limit() {
	d := open(plain()).take(0, 1, "p", "q").run(3 * Second)
	for _, id := range []MessageID{"p", "q"} {
		d.s.Ended(Outcome{Message: id, Endpoint: "a", Result: Full, Report: Report{true, 0.1, 4}})
	}
	fmt.Println("aside:", d.s.endpoints["a"].ejected, "pace:", d.s.endpoints["a"].route.pace.rate)
	d.run(Second)
	// Output:
	// 0.0     dispatch q to a
	// 0.0     dispatch p to a
	// 2550.0  probe a
	// aside: false pace: 2
	// 3016.2  dispatch p to a
	// 3400.0  dispatch q to a
}

// Who keeps to its part of a reported limit and is refused again and again halves its pace, and halves it again:
// where refused calls use the limit up, all at their parts would have nothing done for as long as there is demand. A
// report of room brings the part back at once.
func ExampleSender_limitUsedUp() {
	set := plain()
	set.Senders, set.Probing = 80, false
	d := open(set)
	d.mute = true
	d.take(0, 1, "first").ended(Done, 0, "a", "first")
	tell := func(id MessageID, result Result, left float64) {
		d.run(1100*Millisecond).take(0, 1, id).s.Ended(Outcome{Message: id, Attempt: d.tries[id] - 1, Endpoint: "a", Result: result,
			Final: result == Done, Report: Report{Known: true, Left: left, Limit: 80}})
		fmt.Printf("%v, %.1f left: pace %.2f\n", [...]string{"done", "", "refused"}[result], left, d.s.byID[1].route.pace.rate)
	}
	for i, id := range []MessageID{"p", "q", "r", "s", "t"} {
		d.s.byID[1].route.pace.level = 1 // else it waits for its turn at that pace
		tell(id, [...]Result{Full, Full, Full, Done, Done}[i], [...]float64{0, 0, 0, 0.1, 0.5}[i])
		d.s.Withdrawn(id)
	}
	// Output:
	// refused, 0.0 left: pace 1.00
	// refused, 0.0 left: pace 0.50
	// refused, 0.0 left: pace 0.26
	// done, 0.1 left: pace 0.28
	// done, 0.5 left: pace 1.00
}
