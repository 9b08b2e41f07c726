package choice

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkConfigure measures for how long a change of settings blocks a sender: the turn with the change, and the next
// tick, which refreshes all destinations.
func BenchmarkConfigure(b *testing.B) {
	value := func(set *Settings, i int) { set.Classes[0].Value = float64(2 + i%2) }
	objective := func(set *Settings, i int) { set.Classes[0].LatencyObjective = Time(1+i%2) * Second / 2 }
	for _, size := range []struct {
		name               string
		change             func(*Settings, int)
		destinations, open int
	}{
		{"value", value, 610, 1_000}, {"value", value, 6_100, 10_000}, {"value", value, 61_000, 100_000},
		{"objective", objective, 610, 1_000}, {"objective", objective, 6_100, 10_000}, {"objective", objective, 61_000, 100_000},
	} {
		b.Run(fmt.Sprintf("%s/%dDestinations%dOpen", size.name, size.destinations, size.open), func(b *testing.B) {
			set := testSettings()
			set.MaxOpen, set.InFlightLimit = 2*size.open, 0 // nothing is sent
			host := &fakeHost{attempts: map[MessageID]int{}, mute: true}
			host.sender = NewSender(host, "s", 7, set)
			var list []Entry
			for i := range 2 * size.destinations {
				list = append(list, Entry{Endpoint: EndpointID(fmt.Sprint("endpoint", i)), Destination: DestinationID(i / 2), Rating: 10})
			}
			host.sender.UpdateEndpoints(list, true)
			for i := range size.open {
				host.sender.Accept(Message{ID: MessageID(fmt.Sprint("message", i)), Key: NoKey, Destination: DestinationID(i % size.destinations),
					Deadline: host.clock + 6*Second})
			}
			host.sender.TimerFired(tickTimer)
			var turn, tick time.Duration
			for i := range b.N {
				size.change(&set, i)
				began := time.Now()
				host.sender.Configure(set)
				turn += time.Since(began)
				began = time.Now()
				host.sender.TimerFired(tickTimer)
				tick += time.Since(began)
			}
			b.ReportMetric(float64(turn.Microseconds())/1e3/float64(b.N), "ms/turn")
			b.ReportMetric(float64(tick.Microseconds())/1e3/float64(b.N), "ms/tick")
		})
	}
}
