package choice

// Which endpoint a message goes to: drains, outages and returns, zones, slowness, and what is known from before.

import "fmt"

// Nothing new goes to a draining endpoint from the turn it is told; what is held goes elsewhere.
func ExampleSender_drain() {
	d := open(plain()).take(0, 1, "p").ended(Errored, 0, "a", "p")
	d.s.UpdateEndpoints([]Entry{{Endpoint: "a", Destination: 1, Stage: Draining}, {Endpoint: "b", Destination: 1}}, false)
	d.run(Second)
	// Output:
	// 0.0     dispatch p to a
	// 86.4    dispatch p to b
}

// Two failures set an endpoint aside. A probe shows that the process runs, one trial call that calls are
// answered: a shut destination answers probes. Then a budget that grows bounds all sends while it warms.
func ExampleSender_return() {
	d := open(plain()).take(0, 1, "p", "q").ended(Errored, 0, "a", "p", "q").run(600 * Millisecond)
	d.s.Probed("a", Done)
	d.run(3*Second).take(0, 1, "r", "s", "t", "u").ended(Full, 0, "a", "p", "q").run(5 * Second)
	d.s.Probed("a", Done)
	d.run(4 * Second)
	// Output:
	// 0.0     dispatch q to a
	// 0.0     dispatch p to a
	// 250.0   probe a
	// 650.0   dispatch p to a
	// 1350.0  probe a
	// 5490.1  give up p
	// 5490.1  give up q
	// 8650.0  dispatch u to a
	// 9090.1  shed r
	// 9090.1  shed s
	// 9090.1  shed t
}

// Calls gone unanswered shrink what an endpoint may hold, then set it aside; others go on.
func ExampleSender_silence() {
	d := open(plain()).take(2, 1, "p", "q", "r").take(2, 2, "other").ended(Done, 0, "c", "other")
	d.run(2500*Millisecond).take(2, 2, "more")
	fmt.Println("aside:", d.s.endpoints["a"].ejected, "calls out:", d.s.endpoints["a"].calls)
	// Output:
	// 0.0     dispatch r to a
	// 0.0     dispatch q to a
	// 0.0     dispatch other to c
	// 2500.0  dispatch more to c
	// aside: true calls out: 2
}

// Where probes are forbidden a single attempt tries the endpoint.
func ExampleSender_trial() {
	set := plain()
	set.Probing = false
	d := open(set).take(2, 1, "p", "q").ended(Errored, 0, "a", "p", "q").take(2, 1, "once").run(300 * Millisecond)
	d.take(0, 1, "again").run(4 * Second)
	// Output:
	// 0.0     dispatch q to a
	// 0.0     dispatch p to a
	// 0.0     give up p
	// 0.0     give up q
	// 300.0   dispatch again to a
}

// An endpoint of another zone not seen yet ranks behind one of the own zone.
func ExampleSender_zones() {
	d := open(plain())
	d.s.UpdateEndpoints([]Entry{{Endpoint: "far", Destination: 1, Zone: 1}, {Endpoint: "near", Destination: 1}}, true)
	d.run(50*Millisecond).take(0, 1, "p")
	// Output:
	// 50.0    dispatch p to near
}

// Where full tables are answered, connections that fail show an outage and nothing else: the healthy endpoint's
// link stays. On a wire where a full table fails connections too, links of that kind go.
func ExampleSender_outageOfAKind() {
	for _, told := range []bool{true, false} {
		set := plain()
		set.Senders, set.ConnIdle, set.TellsFull = 80, 10*Second, told
		d := open(set)
		d.s.UpdateEndpoints([]Entry{{Endpoint: "d", Destination: 3}}, false)
		d.links, d.mute = true, true
		for i := range 4 {
			id := MessageID(fmt.Sprint("down", i))
			d.run(2*Second).take(0, 1, id).ended(ConnectFailed, 0, "a", id)
			d.s.Withdrawn(id)
		}
		d.mute = false
		d.take(0, 3, "well").ended(Done, 0, "d", "well")
	}
	// Output:
	// 8000.0  dispatch well to d
	// 8000.0  dispatch well to d
	// 8000.0  close d
}

// A share that is refused whatever the load costs little; a limit is found and kept, also with noise on top.
func ExampleSender_slowDown() {
	play := func(what string, offered int, noise, limit float64) {
		d := open(plain())
		s, r := d.s, d.s.byID[1].route
		room, sent, full, late := 0.0, 0, 0, 60*Second
		for i := range offered * 60 {
			now := Time(i) * Second / Time(offered)
			s.now, d.clock = now, now
			room = min(max(1, limit/5), room+limit/float64(offered))
			if !r.ready(now) {
				continue
			}
			r.pace.level--
			r.load.count(now, loadSpan)
			r.seen++
			refused := s.chance.share("x") < noise || limit > 0 && room < 1
			if refused {
				s.slowDown(s.byID[1], r)
			} else {
				room--
			}
			if now >= late/2 {
				sent++
				full += int(one(refused))
			}
		}
		fmt.Printf("%s: %d a second sent of %d, %d%% of them refused\n", what, sent/30, offered, 100*full/max(1, sent))
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

// An endpoint that was ejected but answers again within 1.5 s of its last answer was not down: it keeps no cold
// budget. One that was quiet for longer may have restarted.
func ExampleSender_blink() {
	for _, pause := range []Time{200 * Millisecond, 1600 * Millisecond} {
		d := open(plain())
		d.mute = true
		a := d.s.endpoints["a"]
		d.take(0, 1, "p").ended(Done, 0, "a", "p").take(2, 1, "q", "r").ended(Reset, 0, "a", "q", "r")
		aside := a.ejected
		d.run(pause)
		d.s.comeBack(a, d.clock)
		fmt.Println(aside, a.ejected, "cold:", d.clock < a.coldFrom+d.s.set.SlowStart)
	}
	// Output:
	// true false cold: false
	// true false cold: true
}

// Spoilt answers do not set an endpoint aside that has just answered others: it has run them.
func ExampleSender_spoilt() {
	d := open(plain()).take(0, 1, "p").ended(Done, 0, "a", "p")
	for _, id := range []MessageID{"q", "r"} {
		d.take(2, 1, id).ended(Spoilt, 0, "a", id)
	}
	fmt.Println("aside:", d.s.endpoints["a"].ejected)
	d.run(quietFor+tick).take(2, 1, "s").ended(Spoilt, 0, "a", "s")
	fmt.Println("aside:", d.s.endpoints["a"].ejected)
	// Output:
	// 0.0     dispatch p to a
	// 0.0     dispatch q to a
	// 0.0     give up q
	// 0.0     dispatch r to a
	// 0.0     give up r
	// aside: false
	// 2050.0  dispatch s to a
	// 2050.0  give up s
	// aside: true
}

// One failure is enough where nothing was answered lately, and what may be sent once a told wait is over
// does not pile up during it: a large fleet is told alike, and would push over what opens.
func ExampleSender_fleet() {
	set := plain()
	set.Senders = 50
	d := open(set).run(3*Second).take(1, 1, "p").ended(Errored, 0, "a", "p")
	fmt.Println("aside:", d.s.endpoints["a"].ejected)
	d.take(1, 2, "q").ended(Full, 5*Second, "c", "q").run(5 * Second)
	fmt.Printf("budget once open: %.2f, from %d\n", d.s.endpoints["c"].cold.level, d.s.endpoints["c"].cold.at)
	// Output:
	// 3000.0  dispatch p to a
	// aside: true
	// 3000.0  dispatch q to c
	// 5995.1  give up p
	// budget once open: 0.72, from 81046
}

// A crowded sender sheds what would take up room for longest, so a healthy destination keeps its service.
func ExampleSender_crowded() {
	set := plain()
	set.MaxOpen = 6
	d := open(set).take(0, 9, "p", "q", "r", "s", "t").take(0, 2, "healthy", "too")
	fmt.Println(len(d.s.held), "held")
	// Output:
	// 0.0     shed p
	// 0.0     shed q
	// 0.0     dispatch too to c
	// 0.0     dispatch healthy to c
	// 5 held
}

// What an earlier life of the sender may have run: a single-use message is given up, a keyed one goes out again
// within its window and zone, an idempotent one at once. A key rests first, since its call may still be running.
func Example_earlierLife() {
	d := open(plain())
	for i, id := range []MessageID{"replayable", "tokened", "single-use"} {
		d.s.Taken(Message{ID: id, Class: ClassNo(i), Destination: 1, Deadline: 6 * Second, MayRun: true})
	}
	d.s.Taken(Message{ID: "out of its window", Class: 1, Destination: 1, Deadline: 6 * Second, MayRun: true, RanAt: -3 * Second})
	d.s.Taken(Message{ID: "in order", Class: 3, Key: 5, Destination: 1, Deadline: 6 * Second, MayRun: true})
	d.s.Taken(Message{ID: "next of its key", Class: 3, Key: 5, Destination: 1, Deadline: 6 * Second})
	d.s.TurnEnd()
	d.ended(Done, 0, "a", "replayable", "tokened").run(Second).ended(Done, 0, "a", "in order")
	// Output:
	// 0.0     give up single-use
	// 0.0     give up out of its window
	// 0.0     dispatch tokened to a
	// 0.0     dispatch replayable to a
	// 1000.0  dispatch in order to a
	// 1000.0  dispatch next of its key to a
}
