package choice

import (
	"fmt"
	"math"
	"slices"
)

// calls plays seconds of steady calls at one endpoint of a sender; result says how each ends. It tells how many left.
func calls(d *desk, a second, seconds int, result func(i int) (Result, Time)) (sent int) {
	for i := range a.rate * seconds {
		d.run(Second / Time(a.rate))
		id := MessageID(fmt.Sprint(a.name, i))
		before := d.tries[id]
		d.take(2, a.to, id) // single-use, so that nothing but what is played here is sent
		if d.tries[id] > before {
			sent++
			r, wait := result(i)
			d.ended(r, wait, a.at, id)
		}
	}
	return sent
}

type second struct {
	name string
	rate int
	to   DestinationID
	at   EndpointID
}

// A told wait that comes anew halts the route and is enough: the pace stays what it was. Told again at once it counts.
func ExampleSender_toldWait() {
	d := open(plain())
	d.mute = true
	d.take(0, 1, "p").ended(Done, 0, "a", "p").run(3 * Second)
	r := d.s.byID[1].route
	told := func(id MessageID) {
		d.take(0, 1, id).ended(Full, 200*Millisecond, "a", id)
		fmt.Println("halted for", (r.haltUntil-d.clock)/Millisecond, "ms, unpaced", r.pace.rate >= unpaced)
		d.run(500 * Millisecond)
	}
	d.s.endpoints["a"].limit = 8
	told("q")
	told("r")
	// Output:
	// halted for 222 ms, unpaced true
	// halted for 215 ms, unpaced false
}

// Of a thousand calls a second some fail in a row by chance, and no endpoint is ejected for that; a crash still is
// told within a few calls.
func ExampleSender_failsByChance() {
	for _, rate := range []int{2, 100, 1000} {
		d := open(plain())
		d.mute = true
		luck := newChance("luck", 1)
		well := calls(d, second{"n", rate, 1, "a"}, 20, func(int) (Result, Time) {
			if luck.share("fails") < 0.06 {
				return Errored, 0
			}
			return Done, 0
		})
		crash := calls(d, second{"c", rate, 1, "a"}, 2, func(int) (Result, Time) { return ConnectFailed, 0 })
		fmt.Printf("%d a second: %.0f%% sent, then %d calls into a crash\n", rate, 5*float64(well)/float64(rate), crash)
	}
	// Output:
	// 2 a second: 100% sent, then 2 calls into a crash
	// 100 a second: 100% sent, then 5 calls into a crash
	// 1000 a second: 100% sent, then 7 calls into a crash
}

// One bad machine of two: what it refuses is its own. The route keeps its pace, and the machine ranks last.
func ExampleSender_badMachine() {
	set := plain()
	set.Kinds[0].BundleMax = 1
	d := open(set)
	d.mute = true
	d.s.UpdateEndpoints([]Entry{{Endpoint: "b", Destination: 1, Rating: 10}}, false)
	a, b := d.s.endpoints["a"], d.s.endpoints["b"]
	r, low := a.route, unpaced
	to := map[EndpointID]int{}
	for i := range 2000 {
		d.run(10 * Millisecond)
		id := MessageID(fmt.Sprint(i))
		d.take(0, 1, id)
		for _, e := range []*endpoint{a, b} {
			if n := d.s.held[id]; n != nil && n.out != nil && n.out.e == e {
				to[e.id]++
				if e == b && i%2 == 0 {
					d.ended(Full, 0, "b", id)
				} else {
					d.ended(Done, 0, e.id, id)
				}
			}
		}
		low = min(low, r.pace.rate)
	}
	d.s.settled(d.s.byID[1])
	fmt.Println("well:", to["a"] > 10*to["b"], "ranked first:", d.s.byID[1].ranked[0].id, "pace kept:", low >= 90)
	// Output:
	// well: true ranked first: a pace kept: true
}

// A destination whose calls all fail gets first sends and few retries on top: slots' worth, and a trickle.
func ExampleSender_retryBudget() {
	set := plain()
	set.InFlightLimit = 4
	d := open(set)
	d.mute = true
	dest := d.s.byID[1]
	firsts, retries, last := 0, 0, map[MessageID]int{}
	for i := range 600 {
		d.run(20 * Millisecond)
		d.take(0, 1, MessageID(fmt.Sprint(i)))
		d.s.endpoints["a"].ejected, d.s.endpoints["a"].fails = false, 0 // what would end it all sooner is left out
		var ids []string
		for id, n := range d.s.held {
			if n.out != nil {
				ids = append(ids, string(id))
			}
		}
		slices.Sort(ids)
		for _, id := range ids {
			n := MessageID(id)
			if last[n] != d.tries[n] {
				firsts, retries = firsts+int(one(d.tries[n] == 1)), retries+int(one(d.tries[n] > 1))
			}
			last[n] = d.tries[n]
			d.ended(Errored, 0, "a", n)
			last[n] = d.tries[n]
		}
	}
	most := float64(set.InFlightLimit) + 12/seconds(d.s.cap) + 1
	fmt.Println("retries within the budget:", float64(retries) <= most, "left", math.Floor(dest.again.level) <= float64(set.InFlightLimit), firsts > 0)
	// Output:
	// retries within the budget: true left true true
}

// A destination that takes nothing may hold most of the room, never all: others are still taken on.
func ExampleSender_heldMost() {
	set := plain()
	set.InFlightLimit = 0 // nothing leaves
	d := open(set)
	d.mute = true
	for i := range 400 {
		d.take(0, 9, MessageID(fmt.Sprint("stuck", i)))
	}
	stuck := len(d.s.held)
	for i := range 10 {
		d.take(0, 1, MessageID(fmt.Sprint("other", i)))
	}
	fmt.Println("stuck ones held:", stuck, "of", set.MaxOpen, "others held:", d.s.byID[1].held)
	// Output:
	// stuck ones held: 93 of 100 others held: 10
}

// An endpoint that answered nothing lately holds no more calls than an unknown one, until it answers.
func ExampleSender_idleRoom() {
	d := open(plain())
	d.s.endpoints["a"].limit = 8
	d.take(0, 1, "p").ended(Done, 0, "a", "p").run(3*Second).take(0, 1, "q", "r", "s", "t")
	d.run(100*Millisecond).ended(Done, 0, "a", "t")
	// Output:
	// 0.0     dispatch p to a
	// 3000.0  dispatch t to a
	// 3000.0  dispatch s to a
	// 3100.0  dispatch r to a
	// 3100.0  dispatch q to a
}

// A pace that was halved wrongly is back in seconds at any rate; few calls show little room, and take longest.
func ExampleSender_halvedWrongly() {
	for _, rate := range []int{1, 100, 5000} {
		d := open(plain())
		r := d.s.byID[1].route
		r.pace.rate, r.pace.level, r.lastCut = float64(rate)/2, 0, 0
		now := Time(0)
		for r.pace.rate < float64(rate) {
			now += Second / Time(2*rate)
			if r.ready(now) {
				r.pace.level--
				r.seen++
			}
		}
		fmt.Printf("%d a second: back after %.0f s\n", rate, seconds(now))
	}
	// Output:
	// 1 a second: back after 13 s
	// 100 a second: back after 8 s
	// 5000 a second: back after 8 s
}
