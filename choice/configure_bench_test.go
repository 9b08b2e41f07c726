package choice

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkConfigure is how long a sender stands still for a change of its settings: the turn in which it comes, and the
// next tick, which looks at all destinations.
func BenchmarkConfigure(b *testing.B) {
	gain := func(set *Settings, i int) { set.Classes[0].Value = float64(2 + i%2) }
	contract := func(set *Settings, i int) { set.Classes[0].LatencyObjective = Time(1+i%2) * Second / 2 }
	for _, size := range []struct {
		name               string
		change             func(*Settings, int)
		destinations, open int
	}{
		{"gain", gain, 610, 1_000}, {"gain", gain, 6_100, 10_000}, {"gain", gain, 61_000, 100_000},
		{"contract", contract, 610, 1_000}, {"contract", contract, 6_100, 10_000}, {"contract", contract, 61_000, 100_000},
	} {
		b.Run(fmt.Sprintf("%s/%dDestinations%dOpen", size.name, size.destinations, size.open), func(b *testing.B) {
			set := plain()
			set.MaxOpen, set.InFlightLimit = 2*size.open, 0 // nothing leaves
			d := &desk{tries: map[MessageID]int{}, mute: true}
			d.s = Start(d, "s", 7, set)
			var list []Entry
			for i := range 2 * size.destinations {
				list = append(list, Entry{Endpoint: EndpointID(fmt.Sprint("endpoint", i)), Destination: DestinationID(i / 2), Rating: 10})
			}
			d.s.UpdateEndpoints(list, true)
			for i := range size.open {
				d.s.Taken(Message{ID: MessageID(fmt.Sprint("notice", i)), Key: NoKey, Destination: DestinationID(i % size.destinations),
					Deadline: d.clock + 6*Second})
			}
			d.s.TimerDue(tickTimer)
			var turn, next time.Duration
			for i := range b.N {
				size.change(&set, i)
				began := time.Now()
				d.s.Configure(set)
				turn += time.Since(began)
				began = time.Now()
				d.s.TimerDue(tickTimer)
				next += time.Since(began)
			}
			b.ReportMetric(float64(turn.Microseconds())/1e3/float64(b.N), "ms/turn")
			b.ReportMetric(float64(next.Microseconds())/1e3/float64(b.N), "ms/tick")
		})
	}
}
