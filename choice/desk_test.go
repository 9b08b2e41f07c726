package choice

import (
	"fmt"
	"slices"
	"sort"
)

// desk is a host that prints what the module asks for, with the clock in milliseconds.
type desk struct {
	s      *Sender
	clock  Time
	timers []deskTimer // emptied as they fire
	mute   bool
	links  bool // print closings too
	tries  map[MessageID]int
	barred func(MessageID, EndpointID) bool // nil for nothing
}

type deskTimer struct {
	at Time
	id TimerID
}

// plain settings: class 0 is idempotent, 1 keyed, 2 single-use, 3 idempotent in order.
func plain() Settings {
	w := func(r Repeat, order bool) Class {
		return Class{Repeat: r, RepeatWindow: 3 * Second, LatencyObjective: Second, Deadline: 6 * Second,
			Value: 1 + float64(r), LateValue: 0.1, ByArrival: order}
	}
	return Settings{Senders: 2, InFlightLimit: 8, MaxOpen: 100, MaxAttempts: 6,
		Classes: []Class{w(Idempotent, false), w(Keyed, false), w(NonIdempotent, false), w(Idempotent, true)},
		Kinds:   []Kind{{BundleMax: 1}, {BundleMax: 3}}, Turn: 5 * Millisecond, Probing: true, Rating: RatingExact,
		FallMultiple: 2, Fall: 2 * Second, SlowStartFrom: 0.2, SlowStart: 10 * Second, KeyRest: Second}
}

// open starts a sender whose list holds a and b at destination 1 and c at destination 2.
func open(set Settings) *desk {
	d := &desk{tries: map[MessageID]int{}}
	d.s = Start(d, "s", 7, set)
	d.s.UpdateEndpoints([]Entry{{Endpoint: "a", Destination: 1, Rating: 10}, {Endpoint: "b", Destination: 1, Stage: Gone, Rating: 10},
		{Endpoint: "c", Destination: 2, Kind: 1, Rating: 10}}, true)
	d.s.TurnEnd()
	return d
}

func (d *desk) take(class ClassNo, to DestinationID, ids ...MessageID) *desk {
	for _, id := range ids {
		d.s.Taken(Message{ID: id, Class: class, Key: 5, Destination: to,
			Deadline: d.clock + d.s.set.Classes[class].Deadline})
	}
	d.s.TurnEnd()
	return d
}

// ended tells an outcome of each message's latest attempt, told 200 ms after its send.
func (d *desk) ended(result Result, wait Time, at EndpointID, ids ...MessageID) *desk {
	for _, id := range ids {
		d.s.Ended(Outcome{Message: id, Attempt: d.tries[id] - 1, Endpoint: at, Took: 200 * Millisecond,
			Result: result, Final: result == Done, Wait: wait})
	}
	d.s.TurnEnd()
	return d
}

// run lets the clock go on for a span, firing timers in order.
func (d *desk) run(span Time) *desk {
	end := d.clock + span
	for {
		sort.SliceStable(d.timers, func(i, j int) bool { return d.timers[i].at < d.timers[j].at })
		if d.timers[0].at > end {
			d.clock = end
			return d
		}
		next := d.timers[0]
		d.timers = d.timers[1:]
		d.clock = max(d.clock, next.at)
		d.s.TimerDue(next.id)
		d.s.TurnEnd()
	}
}

func (d *desk) print(format string, args ...any) {
	if !d.mute {
		fmt.Printf("%-7.1f "+format+"\n", append([]any{float64(d.clock) / float64(Millisecond)}, args...)...)
	}
}

func (d *desk) Now() Time { return d.clock }
func (d *desk) Allowed(n MessageID, e EndpointID) bool {
	return d.barred == nil || !d.barred(n, e)
}
func (d *desk) Attempt(n MessageID, to EndpointID, timeOut Time) {
	d.tries[n]++
	d.print("dispatch %s to %s", n, to)
}
func (d *desk) Shed(n MessageID, in Time) { d.print("shed %s", n) }
func (d *desk) Fail(n MessageID)          { d.print("give up %s", n) }
func (d *desk) Probe(e EndpointID)        { d.print("probe %s", e) }
func (d *desk) Tell(note []byte)          { d.print("tell %x", note) }
func (d *desk) CloseIdle(e EndpointID) {
	if d.links {
		d.print("close %s", e)
	}
}
func (d *desk) Timer(in Time, id TimerID) { d.timers = append(d.timers, deskTimer{d.clock + in, id}) }

func (d *desk) Forget(id TimerID) {
	d.timers = slices.DeleteFunc(d.timers, func(t deskTimer) bool { return t.id == id })
}
