package choice

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// largeFleetPlan is a plan with settings as they are in a large fleet.
func largeFleetPlan(senders int, capacity float64) outagePlan {
	p := outagePlan{
		set: testSettings(), senders: senders, destinations: 16, endpointsEach: 1,
		capacity: capacity, rating: capacity, demand: 0.6, seed: 1,
	}
	p.set.OverloadMultiple, p.set.OverloadWindow, p.set.InFlightLimit = 2.5, 1500*Millisecond, 16
	return p
}

// What all senders that met an outage do together stays within N + 2 sqrt(N) + 2 in every overload window, over more
// than a thousand outages: however many they are, whoever has how much to send, and also where all hear of replaced
// endpoints at one moment. Windows of which a third came from senders that had no way to know are counted and only
// logged: restarted ones, and those that had nothing to send there in the outage.
func TestSlowStartOfFleets(t *testing.T) {
	kinds := []struct {
		name string
		set  func(p *outagePlan)
	}{
		{"thin", func(p *outagePlan) { p.demand = 0.25 }},
		{"even", func(p *outagePlan) {}},
		{"skewed", func(p *outagePlan) { p.skew = 0.9 }},
		{"dense", func(p *outagePlan) { p.demand = 1.5 }},
		{"replaced", func(p *outagePlan) { p.endpointsEach, p.demand, p.replaced = 2, 1, true }},
		{"restarted", func(p *outagePlan) { p.demand, p.restarts = 1, 0.3 }},
	}
	for _, senders := range []int{2, 6, 20, 30, 80, 300} {
		t.Run(fmt.Sprint(senders), func(t *testing.T) {
			t.Parallel()
			returns, over, blamed := 0, 0, 0
			mostExcess, mostBlamed := 0.0, 0.0
			for _, kind := range kinds {
				for i, capacity := range []float64{3, 20} {
					p := largeFleetPlan(senders, capacity)
					p.seed = uint64(i + 1)
					kind.set(&p)
					back, _ := p.run()
					for _, ep := range back {
						returns++
						over += countIf(ep.excess > 0)
						blamed += countIf(ep.awareExcess > 0)
						mostExcess = max(mostExcess, ep.excess)
						mostBlamed = max(mostBlamed, ep.awareExcess)
						if ep.awareExcess > 0 {
							t.Errorf("%s, %v a second, seed %d: %.1f calls too many at %s",
								kind.name, capacity, p.seed, ep.awareExcess, ep.id)
						}
					}
				}
			}
			t.Logf("%d returns: %d over, by %.1f at most; of these %d by aware senders, by %.1f at most",
				returns, over, mostExcess, blamed, mostBlamed)
		})
	}
}

// Settings of other customers, also absent or extreme: the budget stays a number, nothing spins, endpoints that came
// back are called again, and a fleet is not let through at once, unless the settings say so.
func TestSlowStartUnderExtremeSettings(t *testing.T) {
	classes := func(p *outagePlan, n int, r Repeat) {
		w := p.set.Classes[0]
		w.Repeat = r
		p.set.Classes = nil
		for range n {
			p.set.Classes = append(p.set.Classes, w)
		}
	}
	odds := map[string]func(p *outagePlan){
		"no fall span":      func(p *outagePlan) { p.set.OverloadWindow = 0 },
		"tiny fall span":    func(p *outagePlan) { p.set.OverloadWindow = 1 },
		"endless fall span": func(p *outagePlan) { p.set.OverloadWindow = forever },
		"no multiple":       func(p *outagePlan) { p.set.OverloadMultiple = 0 },
		"negative multiple": func(p *outagePlan) { p.set.OverloadMultiple = -1 },
		"extreme multiple":  func(p *outagePlan) { p.set.OverloadMultiple = math.MaxFloat64 },
		"no cold time":      func(p *outagePlan) { p.set.SlowStart = 0 },
		"long cold time":    func(p *outagePlan) { p.set.SlowStart = 100 * Second },
		"nothing when cold": func(p *outagePlan) { p.set.SlowStartFrom = 0 },
		"all when cold":     func(p *outagePlan) { p.set.SlowStartFrom = 1 },
		"none of the four": func(p *outagePlan) {
			p.set.OverloadWindow, p.set.OverloadMultiple, p.set.SlowStart, p.set.SlowStartFrom = 0, 0, 0, 0
		},
		"no rating":                func(p *outagePlan) { p.set.Rating = RatingNone },
		"a rating of zero":         func(p *outagePlan) { p.rating = 0 },
		"a rating below one call":  func(p *outagePlan) { p.rating, p.capacity = 0.1, 0.1; p.demand = 30 },
		"extreme rating":           func(p *outagePlan) { p.rating = math.MaxFloat64 },
		"extreme, nothing if cold": func(p *outagePlan) { p.rating, p.set.OverloadMultiple, p.set.SlowStartFrom = math.MaxFloat64, 1e300, 0 },
		"one class":                func(p *outagePlan) { classes(p, 1, Idempotent) },
		"twenty classes":           func(p *outagePlan) { classes(p, 20, Keyed) },
		"single-use alone":         func(p *outagePlan) { classes(p, 3, NonIdempotent) },
		"nothing single-use":       func(p *outagePlan) { classes(p, 3, Idempotent) },
	}
	for _, name := range sortedKeys(odds) {
		for _, senders := range []int{3, 80} {
			t.Run(fmt.Sprint(name, " ", senders), func(t *testing.T) {
				p := largeFleetPlan(senders, 8)
				p.destinations, p.demand = 4, 1.5
				odds[name](&p)
				if p.set.SlowStart > 30*Second {
					p.demand = 0.5
				}
				back, f := p.run()
				calls, rush := 0, 0
				for _, ep := range back {
					calls, rush = calls+ep.calls, max(rush, ep.firstSecond)
				}
				if extreme := strings.HasPrefix(name, "extreme"); senders > smallFleetSize && rush > senders/2 && !extreme {
					t.Errorf("%d of %d senders call in the first second", rush, senders)
				}
				if calls == 0 {
					t.Error("nothing is called any more")
				}
				if most := 2000 * senders * int(1+seconds(f.now)/10); f.eventCount > most {
					t.Errorf("%d events, at most %d expected", f.eventCount, most)
				}
				for _, h := range f.hosts {
					for _, id := range sortedKeys(h.sender.endpoints) {
						if b := h.sender.endpoints[id].slowStart; math.IsNaN(b.rate) || math.IsNaN(b.tokens) || b.rate < 0 || b.tokens > 1 {
							t.Errorf("budget %v", b)
						}
					}
				}
			})
		}
	}
}

// The mean of all senders follows what the settings allow: never beyond it by more than a fifth, never by fewer
// deviations below the overload than asked for, and where few senders cannot get there with all budgets full, below it
// by as much.
func TestSlowStartMean(t *testing.T) {
	for _, senders := range []float64{1, 2, 8, 9, 30, 300, 1e5} {
		s := &Sender{fleetSize: senders, overloadWindow: 1.5}
		last := 0.0
		for _, n := range []float64{math.Inf(-1), -1, 0, 0.01, 0.3, 1, 4, 10, 30, 100, 1e4, 1e9, math.Inf(1)} {
			mean, in := s.slowStartMean(n), min(max(0, n), unlimitedRate*1.5)
			most := in + 2*math.Sqrt(in) + 2
			if !(mean > 0 && mean >= last && mean <= slowStartShare*max(in, 1/fewCalls)) {
				t.Errorf("%v senders, %v allowed: %v on average", senders, n, mean)
			}
			if mean+senders > most+1e-9 && mean+slowStartDeviations*math.Sqrt(mean) > most*(1+1e-9) {
				t.Errorf("%v senders, %v allowed: %v on average may go beyond %v", senders, n, mean, most)
			}
			last = mean
		}
	}
}

// A destination that shuts during slow start opens to a fleet at one moment. What each sender may send to those of its
// endpoints that it did not ask has piled up until then, and must not all be sent at once.
func TestReopensInSlowStart(t *testing.T) {
	p := largeFleetPlan(80, 10)
	p.set.Senders, p.set.Probing = p.senders, false
	at := map[EndpointID]int{}
	for i := range p.senders {
		host := &fakeHost{attempts: map[MessageID]int{}, mute: true}
		host.sender = Start(host, SenderID(fmt.Sprint(i)), 7, p.set)
		host.sender.UpdateEndpoints([]Entry{{Endpoint: "a", Destination: 1, Rating: 20}, {Endpoint: "b", Destination: 1, Rating: 20}}, true)
		host.clock = 20 * Second
		for _, id := range []EndpointID{"a", "b"} {
			ep := host.endpoint(id)
			host.sender.now = host.clock
			host.sender.eject(ep)
			host.sender.readmit(ep, host.clock)
			ep.slowStart.tokens = 1 // it had nothing to send for long
		}
		host.accept(0, 1, "first").end(Rejected, 4*Second, "a", "first").accept(0, 1, "p", "q", "r").advance(5 * Second)
		for id, ep := range host.sender.endpoints {
			at[id] += ep.inFlight
		}
	}
	n := 2.5 * 10 * (0.2 + 0.8*0.5) * 1.5 // allowed at the end of the span, were it cold from before the wait
	for id, calls := range at {
		if most := n + 2*math.Sqrt(n) + 2; float64(calls) > most {
			t.Errorf("%d calls at once at %s, %.0f fell it", calls, id, most)
		}
	}
}
