package choice

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// cold is a play with the settings of a large fleet's days.
func cold(senders int, capacity float64) play {
	p := play{set: plain(), senders: senders, dests: 16, ends: 1, capacity: capacity, rating: capacity, demand: 0.6, seed: 1}
	p.set.FallMultiple, p.set.Fall, p.set.InFlightLimit = 2.5, 1500*Millisecond, 16
	return p
}

// What all senders that met an outage do together stays within N + 2 root N + 2 in every span of the fall's length, over
// more than a thousand returns: however many they are, whoever has how much to send, and also where all hear of
// replaced endpoints at one moment. Windows of which a third came from senders that had no way to know are counted,
// and only told: restarted ones, and those that had nothing to send there in the outage.
func TestReturnsOfFleets(t *testing.T) {
	kinds := []struct {
		name string
		set  func(p *play)
	}{
		{"thin", func(p *play) { p.demand = 0.25 }},
		{"even", func(p *play) {}},
		{"skewed", func(p *play) { p.skew = 0.9 }},
		{"dense", func(p *play) { p.demand = 1.5 }},
		{"replaced", func(p *play) { p.ends, p.demand, p.replaced = 2, 1, true }},
		{"restarted", func(p *play) { p.demand, p.restarts = 1, 0.3 }},
	}
	for _, senders := range []int{2, 6, 20, 30, 80, 300} {
		t.Run(fmt.Sprint(senders), func(t *testing.T) {
			t.Parallel()
			returns, over, blamed, most, worst := 0, 0, 0, 0.0, 0.0
			for _, kind := range kinds {
				for i, capacity := range []float64{3, 20} {
					p := cold(senders, capacity)
					p.seed = uint64(i + 1)
					kind.set(&p)
					back, _ := p.outage()
					for _, at := range back {
						returns, most, worst = returns+1, max(most, at.excess), max(worst, at.blamed)
						over, blamed = over+int(one(at.excess > 0)), blamed+int(one(at.blamed > 0))
						if at.blamed > 0 {
							t.Errorf("%s, %v a second, seed %d: %.1f calls too many at %s", kind.name, capacity, p.seed, at.blamed, at.id)
						}
					}
				}
			}
			t.Logf("%d returns: %d over, by %.1f at most; by those that knew %d, by %.1f", returns, over, most, blamed, worst)
		})
	}
}

// Settings of others, also absent or extreme: the budget stays a number, nothing spins, what came back is called again,
// and a fleet is not let through at once, unless that is what it is told.
func TestReturnsUnderOddSettings(t *testing.T) {
	classes := func(p *play, n int, r Repeat) {
		w := p.set.Classes[0]
		w.Repeat = r
		p.set.Classes = nil
		for range n {
			p.set.Classes = append(p.set.Classes, w)
		}
	}
	odds := map[string]func(p *play){
		"no fall span":             func(p *play) { p.set.Fall = 0 },
		"tiny fall span":           func(p *play) { p.set.Fall = 1 },
		"endless fall span":        func(p *play) { p.set.Fall = forever },
		"no multiple":              func(p *play) { p.set.FallMultiple = 0 },
		"negative multiple":        func(p *play) { p.set.FallMultiple = -1 },
		"extreme multiple":         func(p *play) { p.set.FallMultiple = math.MaxFloat64 },
		"no cold time":             func(p *play) { p.set.SlowStart = 0 },
		"long cold time":           func(p *play) { p.set.SlowStart = 100 * Second },
		"nothing when cold":        func(p *play) { p.set.SlowStartFrom = 0 },
		"all when cold":            func(p *play) { p.set.SlowStartFrom = 1 },
		"none of the four":         func(p *play) { p.set.Fall, p.set.FallMultiple, p.set.SlowStart, p.set.SlowStartFrom = 0, 0, 0, 0 },
		"no rating":                func(p *play) { p.set.Rating = RatingNone },
		"a rating of zero":         func(p *play) { p.rating = 0 },
		"a rating below one call":  func(p *play) { p.rating, p.capacity = 0.1, 0.1; p.demand = 30 },
		"extreme rating":           func(p *play) { p.rating = math.MaxFloat64 },
		"extreme, nothing if cold": func(p *play) { p.rating, p.set.FallMultiple, p.set.SlowStartFrom = math.MaxFloat64, 1e300, 0 },
		"one class":                func(p *play) { classes(p, 1, Idempotent) },
		"twenty classes":           func(p *play) { classes(p, 20, Keyed) },
		"single-use alone":         func(p *play) { classes(p, 3, NonIdempotent) },
		"nothing single-use":       func(p *play) { classes(p, 3, Idempotent) },
	}
	for _, name := range inOrder(odds) {
		for _, senders := range []int{3, 80} {
			t.Run(fmt.Sprint(name, " ", senders), func(t *testing.T) {
				p := cold(senders, 8)
				p.dests, p.demand = 4, 1.5
				odds[name](&p)
				if p.set.SlowStart > 30*Second {
					p.demand = 0.5
				}
				back, f := p.outage()
				calls, rush := 0, 0
				for _, at := range back {
					calls, rush = calls+at.calls, max(rush, at.rush)
				}
				if extreme := strings.HasPrefix(name, "extreme"); senders > smallFleet && rush > senders/2 && !extreme {
					t.Errorf("%d of %d senders call in the first second", rush, senders)
				}
				if calls == 0 {
					t.Error("nothing is called any more")
				}
				if most := 2000 * senders * int(1+seconds(f.now)/10); f.happened > most {
					t.Errorf("%d events, at most %d expected", f.happened, most)
				}
				for _, h := range f.seats {
					for _, id := range inOrder(h.s.endpoints) {
						if b := h.s.endpoints[id].cold; math.IsNaN(b.rate) || math.IsNaN(b.level) || b.rate < 0 || b.level > 1 {
							t.Errorf("budget %v", b)
						}
					}
				}
			})
		}
	}
}

// What n the settings allow bounds the mean of all: never beyond it by more than a fifth, never by a deviation less than
// asked for, and where few senders cannot get there with all buckets full, by as much.
func TestColdMean(t *testing.T) {
	for _, senders := range []float64{1, 2, 8, 9, 30, 300, 1e5} {
		s := &Sender{senders: senders, fall: 1.5}
		last := 0.0
		for _, n := range []float64{math.Inf(-1), -1, 0, 0.01, 0.3, 1, 4, 10, 30, 100, 1e4, 1e9, math.Inf(1)} {
			mean, in := s.coldMean(n), min(max(0, n), unpaced*1.5)
			most := in + 2*math.Sqrt(in) + 2
			if !(mean > 0 && mean >= last && mean <= coldPart*max(in, 1/handful)) {
				t.Errorf("%v senders, %v allowed: %v on average", senders, n, mean)
			}
			if mean+senders > most+1e-9 && mean+coldLuck*math.Sqrt(mean) > most*(1+1e-9) {
				t.Errorf("%v senders, %v allowed: %v on average may go beyond %v", senders, n, mean, most)
			}
			last = mean
		}
	}
}

// A destination that shuts while it is cold opens to a fleet at one moment. What each may send to those of its endpoints
// that it did not ask has piled up until then, and must not leave at once.
func TestOpensCold(t *testing.T) {
	p := cold(80, 10)
	p.set.Senders, p.set.Probing = p.senders, false
	at := map[EndpointID]int{}
	for i := range p.senders {
		d := &desk{tries: map[MessageID]int{}, mute: true}
		d.s = Start(d, SenderID(fmt.Sprint(i)), 7, p.set)
		d.s.UpdateEndpoints([]Entry{{Endpoint: "a", Destination: 1, Rating: 20}, {Endpoint: "b", Destination: 1, Rating: 20}}, true)
		d.clock = 20 * Second
		for _, id := range []EndpointID{"a", "b"} {
			e := d.s.endpoints[id]
			d.s.now = d.clock
			d.s.eject(e)
			d.s.comeBack(e, d.clock)
			e.cold.level = 1 // it had nothing to send for long
		}
		d.take(0, 1, "first").ended(Full, 4*Second, "a", "first").take(0, 1, "p", "q", "r").run(5 * Second)
		for id, e := range d.s.endpoints {
			at[id] += e.calls
		}
	}
	n := 2.5 * 10 * (0.2 + 0.8*0.5) * 1.5 // allowed at the end of the span, were it cold from before the wait
	for id, calls := range at {
		if most := n + 2*math.Sqrt(n) + 2; float64(calls) > most {
			t.Errorf("%d calls at once at %s, %.0f fell it", calls, id, most)
		}
	}
}
