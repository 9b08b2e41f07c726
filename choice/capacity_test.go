package choice

// Benchmarks behind docs/CAPACITY.md: what the module holds and how long it takes, by destinations and open messages.

import (
	"fmt"
	"testing"

	"flaxcove/lab/capacity/bench"
)

// silentHost takes all that the module asks for and does nothing; its clock stands.
type silentHost struct {
	clock Time
	timer TimerID
}

func (h *silentHost) Now() Time                           { return h.clock }
func (h *silentHost) Allowed(MessageID, EndpointID) bool  { return true }
func (h *silentHost) Attempt(MessageID, EndpointID, Time) {}
func (h *silentHost) Shed(MessageID, Time)                {}
func (h *silentHost) Fail(MessageID)                      {}
func (h *silentHost) Probe(EndpointID)                    {}
func (h *silentHost) CloseIdle(EndpointID)                {}
func (h *silentHost) Tell([]byte)                         {}
func (h *silentHost) Timer(_ Time, id TimerID)            { h.timer = id }
func (h *silentHost) Forget(TimerID)                      {}

const (
	capacityZones     = 8
	capacityEndpoints = 2 // a destination
	// capacityDown is 2.7% of 61,000 destinations.
	capacityDown = 1647
)

// capacitySettings are those of a fleet of 660 with one kind and the three repeats.
func capacitySettings(maxOpen int) Settings {
	set := plain()
	set.Senders, set.InFlightLimit, set.MaxOpen = 660, 1024, maxOpen
	set.Probing = false
	for i := range set.Classes {
		set.Classes[i].Deadline = 3600 * Second
	}
	return set
}

// capacityList is a whole list; its endpoints lie in two of the zones.
func capacityList(destinations int, stage Stage) []Entry {
	all := make([]Entry, 0, capacityEndpoints*destinations)
	for d := range destinations {
		for e := range capacityEndpoints {
			all = append(all, Entry{Endpoint: EndpointID(fmt.Sprintf("endpoint-%06d-%d", d, e)), Stage: stage,
				Destination: DestinationID(d), Zone: ZoneNo((d + e) % capacityZones), Rating: 100})
		}
	}
	return all
}

func capacityMessage(i, destinations int) Message {
	return Message{ID: MessageID(fmt.Sprintf("message-%012d", i)), Class: 0, Account: -1, Key: NoKey,
		Destination: DestinationID(i % destinations), Deadline: 3600 * Second}
}

// BenchmarkCapacityList is a whole list told again to a sender that has it, and what the sender holds for it.
func BenchmarkCapacityList(b *testing.B) {
	bench.Sizes(b, "destinations", []int{610, 6_100, 61_000, 610_000}, func(b *testing.B, n int) {
		list := capacityList(n, Ready)
		var s *Sender
		heap := bench.Heap(func() any {
			s = Start(&silentHost{}, "s", 7, capacitySettings(1000))
			s.UpdateEndpoints(list, true)
			return s
		})
		for b.Loop() {
			s.UpdateEndpoints(list, true)
		}
		b.ReportMetric(heap, "heap-B")
	})
}

// BenchmarkCapacityChange is one destination's change told to a sender that holds so many.
func BenchmarkCapacityChange(b *testing.B) {
	bench.Sizes(b, "destinations", []int{610, 6_100, 61_000}, func(b *testing.B, n int) {
		s := Start(&silentHost{}, "s", 7, capacitySettings(1000))
		list := capacityList(n, Ready)
		s.UpdateEndpoints(list, true)
		for b.Loop() {
			s.UpdateEndpoints(list[:capacityEndpoints], false)
		}
	})
}

// BenchmarkCapacityTick is the module's tick as all destinations are to be looked at, as after a whole list.
func BenchmarkCapacityTick(b *testing.B) {
	bench.Sizes(b, "destinations", []int{610, 6_100, 61_000}, func(b *testing.B, n int) {
		s := Start(&silentHost{}, "s", 7, capacitySettings(1000))
		s.UpdateEndpoints(capacityList(n, Ready), true)
		for b.Loop() {
			for _, d := range s.byID {
				s.stir(d)
			}
			s.TimerDue(tickTimer)
		}
	})
}

// withOpen is a sender that holds so many messages of destinations none of whose endpoints may be used.
func withOpen(open, destinations, maxOpen int) (*Sender, *silentHost) {
	h := &silentHost{}
	s := Start(h, "s", 7, capacitySettings(maxOpen))
	s.UpdateEndpoints(capacityList(destinations, Draining), true)
	for i := range open {
		s.Taken(capacityMessage(i, destinations))
	}
	return s, h
}

// BenchmarkCapacityOpen is one more message taken and withdrawn beside so many open ones, and what those take.
func BenchmarkCapacityOpen(b *testing.B) {
	bench.Sizes(b, "open", []int{1_000, 10_000, 100_000, 1_000_000}, func(b *testing.B, n int) {
		var s *Sender
		heap := bench.Heap(func() any {
			s, _ = withOpen(n, capacityDown, 10*n)
			return s
		})
		one := capacityMessage(n, capacityDown)
		for b.Loop() {
			s.Taken(one)
			s.Withdrawn(one.ID)
		}
		b.ReportMetric(heap, "heap-B")
	})
}

// capacityFull is of MaxOpen, past crowdFrom.
const capacityFull = 0.9

// BenchmarkCapacityFull is one more message taken as nine tenths of the room are taken, where each may have to find
// what is turned away in its place.
func BenchmarkCapacityFull(b *testing.B) {
	bench.Sizes(b, "open", []int{1_000, 10_000, 100_000}, func(b *testing.B, n int) {
		s, _ := withOpen(n, capacityDown, 10*n)
		// Only now: filled up to here at its own bound, each of the last would have looked through all before it.
		s.set.MaxOpen = int(float64(n) / capacityFull)
		i := n
		for b.Loop() {
			i++
			one := capacityMessage(i, capacityDown)
			s.Taken(one)
			s.Withdrawn(one.ID)
		}
	})
}

// BenchmarkCapacityWaiting is one message taken, sent and done at a well destination, while messages wait for so many
// that may not be sent to.
func BenchmarkCapacityWaiting(b *testing.B) {
	bench.Sizes(b, "waiting", []int{16, 165, 1_647, 16_470}, func(b *testing.B, n int) {
		s, _ := withOpen(4*n, n, 100*n+1000)
		well := DestinationID(n)
		s.UpdateEndpoints([]Entry{{Endpoint: "well", Destination: well, Rating: 1e6}}, false)
		one := capacityMessage(0, 1)
		one.Destination = well
		i := 0
		for b.Loop() {
			i++
			one.ID = MessageID(fmt.Sprint(i))
			s.Taken(one)
			s.TurnEnd()
			s.Ended(Outcome{Message: one.ID, Endpoint: "well", Took: 20 * Millisecond, Result: Done, Final: true})
		}
		if len(s.held) != 4*n {
			b.Fatalf("%d held, not %d: the one was not delivered", len(s.held), 4*n)
		}
	})
}
