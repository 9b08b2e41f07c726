package choice

import (
	"fmt"
	"slices"
	"sort"
)

// desk is a host that prints what the module asks for, with the clock in milliseconds.
type fakeHost struct {
	sender        *Sender
	clock         Time
	timers        []fakeTimer // emptied as they fire
	mute          bool
	printClosings bool // print closings too
	attempts      map[MessageID]int
	barred        func(MessageID, EndpointID) bool // nil for nothing
}

type fakeTimer struct {
	at Time
	id TimerID
}

// plain settings: class 0 is idempotent, 1 keyed, 2 single-use, 3 idempotent in order.
func testSettings() Settings {
	w := func(r Repeat, order bool) Class {
		return Class{Repeat: r, RepeatWindow: 3 * Second, ContractTime: Second, Deadline: 6 * Second,
			Value: 1 + float64(r), LateValue: 0.1, ByArrival: order}
	}
	return Settings{Senders: 2, InFlightLimit: 8, MaxOpen: 100, MaxAttempts: 6,
		Classes: []Class{w(Idempotent, false), w(Keyed, false), w(SingleUse, false), w(Idempotent, true)},
		Kinds:   []Kind{{BundleMax: 1}, {BundleMax: 3}}, Turn: 5 * Millisecond, Probing: true, Rating: RatingExact,
		FallMultiple: 2, Fall: 2 * Second, ColdFrom: 0.2, Cold: 10 * Second, KeyRest: Second}
}

// open starts a sender whose list holds a and b at destination 1 and c at destination 2.
func startSender(set Settings) *fakeHost {
	d := &fakeHost{attempts: map[MessageID]int{}}
	d.sender = Start(d, "s", 7, set)
	d.sender.ListNews([]Entry{{Endpoint: "a", Destination: 1, Rating: 10}, {Endpoint: "b", Destination: 1, Stage: Gone, Rating: 10},
		{Endpoint: "c", Destination: 2, Kind: 1, Rating: 10}}, true)
	d.sender.TurnEnd()
	return d
}

func (d *fakeHost) accept(class ClassNo, to DestinationID, ids ...MessageID) *fakeHost {
	for _, id := range ids {
		d.sender.Taken(Message{ID: id, Class: class, Key: 5, Destination: to,
			Deadline: d.clock + d.sender.settings.Classes[class].Deadline})
	}
	d.sender.TurnEnd()
	return d
}

// ended tells an outcome of each message's latest attempt, told 200 ms after its send.
func (d *fakeHost) end(result Result, wait Time, at EndpointID, ids ...MessageID) *fakeHost {
	for _, id := range ids {
		d.sender.Ended(Outcome{Message: id, Attempt: d.attempts[id] - 1, Endpoint: at, Took: 200 * Millisecond,
			Result: result, Final: result == Done, Wait: wait})
	}
	d.sender.TurnEnd()
	return d
}

// run lets the clock go on for a span, firing timers in order.
func (d *fakeHost) advance(span Time) *fakeHost {
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
		d.sender.TimerDue(next.id)
		d.sender.TurnEnd()
	}
}

func (d *fakeHost) printf(format string, args ...any) {
	if !d.mute {
		fmt.Printf("%-7.1f "+format+"\n", append([]any{float64(d.clock) / float64(Millisecond)}, args...)...)
	}
}

func (d *fakeHost) Now() Time { return d.clock }
func (d *fakeHost) Allowed(n MessageID, e EndpointID) bool {
	return d.barred == nil || !d.barred(n, e)
}
func (d *fakeHost) Attempt(n MessageID, to EndpointID, timeOut Time) {
	d.attempts[n]++
	d.printf("dispatch %s to %s", n, to)
}
func (d *fakeHost) Shed(n MessageID, in Time) { d.printf("shed %s", n) }
func (d *fakeHost) Fail(n MessageID)          { d.printf("give up %s", n) }
func (d *fakeHost) Probe(e EndpointID)        { d.printf("probe %s", e) }
func (d *fakeHost) Tell(note []byte)          { d.printf("tell %x", note) }
func (d *fakeHost) CloseIdle(e EndpointID) {
	if d.printClosings {
		d.printf("close %s", e)
	}
}
func (d *fakeHost) Timer(in Time, id TimerID) {
	d.timers = append(d.timers, fakeTimer{d.clock + in, id})
}

func (d *fakeHost) Forget(id TimerID) {
	d.timers = slices.DeleteFunc(d.timers, func(t fakeTimer) bool { return t.id == id })
}
