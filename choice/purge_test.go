package choice

import "fmt"

// Withdrawn in whatever state, a message is neither sent again nor answered, its slot is free once its call has ended, and
// those behind it in its key go on.
func ExampleSender_Withdrawn() {
	play := func(what string, set Settings, do func(d *desk)) {
		fmt.Println(what)
		d := open(set)
		do(d)
		d.run(7 * Second)
		if len(d.s.held)+len(d.s.calls)+len(d.s.alarms.of)+len(d.s.lines)+len(d.s.waiting) > 0 {
			fmt.Println("left over:", d.s.held, d.s.calls, d.s.alarms.of, d.s.lines, d.s.waiting)
		}
	}
	drop := func(d *desk, id MessageID) *desk {
		d.s.Withdrawn(id)
		d.s.TurnEnd()
		return d
	}
	play("queued", plain(), func(d *desk) {
		d.s.Taken(Message{ID: "p", Key: NoKey, Destination: 1, Deadline: 6 * Second})
		drop(d, "p")
	})
	play("in a lane", plain(), func(d *desk) {
		d.take(0, 1, "p", "q").ended(Full, 500*Millisecond, "a", "p", "q").run(300 * Millisecond)
		fmt.Println("there:", d.s.byID[1].queues[1].Len())
		drop(drop(d, "p"), "q")
	})
	play("waiting for a retry", plain(), func(d *desk) { drop(d.take(1, 1, "p").ended(Errored, 0, "a", "p"), "p") })
	play("behind its key's head, and the head while out", ordered(), func(d *desk) {
		d.keyed("head", 2, 7, 2).s.TurnEnd()
		drop(drop(d.keyed("next", 2, 7, 2).keyed("last", 2, 7, 2), "next"), "head")
		d.run(50*Millisecond).ended(Done, 0, "c", "head").ended(Done, 0, "c", "last")
	})
	play("the head, queued", ordered(), func(d *desk) {
		drop(d.keyed("head", 2, 7, 2).keyed("next", 2, 7, 2), "head").ended(Done, 0, "c", "next")
	})
	play("a head that may run", ordered(), func(d *desk) {
		d.keyed("head", 3, 7, 2).s.TurnEnd()
		drop(d.keyed("next", 3, 7, 2).ended(Reset, 0, "c", "head"), "head").run(400*Millisecond).ended(Done, 0, "c", "next")
	})
	for _, end := range []Result{Done, Full, Errored, TimedOut, Moot} {
		play(fmt.Sprint("out, in a call with another, ended ", end), plain(), func(d *desk) {
			drop(d.take(0, 2, "p", "q"), "p").ended(end, 0, "c", "p")
			fmt.Println("calls out:", len(d.s.calls))
			d.ended(Done, 0, "c", "q")
		})
	}
	// Output:
	// queued
	// in a lane
	// 0.0     dispatch q to a
	// 0.0     dispatch p to a
	// there: 2
	// waiting for a retry
	// 0.0     dispatch p to a
	// behind its key's head, and the head while out
	// 0.0     dispatch head to c
	// 50.0    dispatch last to c
	// the head, queued
	// 0.0     dispatch next to c
	// a head that may run
	// 0.0     dispatch head to c
	// 300.0   dispatch next to c
	// out, in a call with another, ended 0
	// 0.0     dispatch q to c
	// 0.0     dispatch p to c
	// calls out: 1
	// out, in a call with another, ended 2
	// 0.0     dispatch q to c
	// 0.0     dispatch p to c
	// calls out: 1
	// out, in a call with another, ended 1
	// 0.0     dispatch q to c
	// 0.0     dispatch p to c
	// calls out: 1
	// out, in a call with another, ended 3
	// 0.0     dispatch q to c
	// 0.0     dispatch p to c
	// calls out: 1
	// out, in a call with another, ended 7
	// 0.0     dispatch q to c
	// 0.0     dispatch p to c
	// calls out: 1
}

// What was learnt of a partner that has moved is void: its time, its room, its pace and its wait are those of a new one,
// or as told.
func ExampleSender_Void() {
	for _, l := range []*LearnedState{nil, {Mean: 700, Dev: 100, Past: 600, Seen: 9, Limit: 4, Wait: Second}} {
		d := open(plain()).take(0, 1, "p").ended(Done, 0, "a", "p")
		d.s.endpoints["a"].limit = 8
		d.take(0, 1, "q").s.Ended(Outcome{Message: "q", Endpoint: "a", Result: Full, Wait: 2 * Second, Report: Report{Known: true, Limit: 50}})
		d.take(0, 1, "r").s.byID[1].route.pace.rate = 1
		d.s.Void("a", l)
		d.s.Void("unknown", l)
		e, r := d.s.endpoints["a"], d.s.byID[1].route
		fmt.Println(d.s.LearnedState("a"), "calls at once:", e.limit, "paced:", r.pace.rate < unpaced, "rated:", r.rating*d.s.ratingPart)
		d.run(1500 * Millisecond)
	}
	// Output:
	// 0.0     dispatch p to a
	// 0.0     dispatch q to a
	// {5000 5000 5000 0 0 0} calls at once: 2 paced: false rated: 5
	// 50.0    dispatch r to a
	// 189.1   dispatch q to a
	// 0.0     dispatch p to a
	// 0.0     dispatch q to a
	// {700 100 600 9 4 10000} calls at once: 2 paced: false rated: 5
	// 1000.0  dispatch r to a
	// 1000.0  dispatch q to a
}

// An outage under way is not lifted: what is ejected stays so, a shut partner's wait stays, the cold budget is not
// larger, and a limit that others tell counts only once it is over.
func ExampleSender_Void_outage() {
	set := plain()
	set.Probing = false
	sent := func(void bool) int {
		d := open(set)
		d.mute = true
		d.s.byID[1].route.rating, d.s.byID[1].route.limit = 0, 50
		d.s.eject(d.s.endpoints["a"])
		d.run(2 * Second)
		for i := range 200 {
			if void {
				d.s.Void("a", &LearnedState{Mean: 100, Dev: 10, Past: 100, Seen: 99, Limit: 1000})
			}
			id := MessageID(fmt.Sprint(i))
			d.take(0, 1, id).run(40 * Millisecond)
			for id, tries := range d.tries {
				if n := d.s.held[id]; n != nil && n.out != nil && tries > 0 {
					d.ended(Done, 0, "a", id)
				}
			}
		}
		all := 0
		for _, tries := range d.tries {
			all += tries
		}
		return all
	}
	before, after := sent(false), sent(true)
	fmt.Println("sent in the return:", before > 10, "more where voided:", after > before)
	d := open(set)
	d.take(0, 1, "p").ended(Full, 4*Second, "a", "p")
	d.s.Void("a", nil)
	d.take(0, 1, "q").run(5 * Second)
	// Output:
	// sent in the return: true more where voided: false
	// 0.0     dispatch p to a
	// 4200.0  dispatch q to a
}

// What is held for a destination may be forgotten unless something is under way there.
func ExampleSender_Holds() {
	show := func(what string, d *desk, id DestinationID) {
		calls, pinned := d.s.Holds(id)
		fmt.Println(what, calls, pinned)
	}
	d := open(plain())
	d.mute = true
	show("unknown:", d, 9)
	show("new:", d, 2)
	show("open:", d.take(0, 2, "p"), 2)
	show("known:", d.ended(Done, 0, "c", "p"), 2)
	show("to be sent again:", d.take(0, 2, "q").ended(Errored, 0, "c", "q"), 2)
	d.run(Second)
	show("over:", d.ended(Done, 0, "c", "q"), 2)
	show("told to wait:", d.take(0, 2, "r").ended(Full, Second, "c", "r"), 2)
	d.s.Withdrawn("r")
	show("withdrawn, the wait goes on:", d, 2)
	show("the wait is over:", d.run(2*Second), 2)
	d.s.eject(d.s.endpoints["c"])
	show("set aside:", d, 2)
	d.s.comeBack(d.s.endpoints["c"], d.clock)
	show("cold:", d, 2)
	show("warm:", d.run(11*Second), 2)
	d.s.UpdateEndpoints([]Entry{{Endpoint: "c", Destination: 2, Kind: 1, Stage: Draining}}, false)
	show("draining:", d, 2)
	d = open(ordered())
	d.mute = true
	d.keyed("head", 3, 7, 2).s.TurnEnd()
	d.ended(Reset, 0, "c", "head").s.Withdrawn("head")
	show("the key rests:", d, 2)
	show("rested:", d.run(Second), 2)
	// Output:
	// unknown: 0 false
	// new: 0 false
	// open: 0 true
	// known: 1 false
	// to be sent again: 1 true
	// over: 2 false
	// told to wait: 2 true
	// withdrawn, the wait goes on: 2 true
	// the wait is over: 2 false
	// set aside: 2 true
	// cold: 2 true
	// warm: 2 false
	// draining: 2 true
	// the key rests: 0 true
	// rested: 0 false
}
