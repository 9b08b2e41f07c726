package size

// This file declares the simulated worlds and their faults. They must not depend on the mode.

import (
	"flaxcove/lab/load"
	"flaxcove/lab/world"
)

// Case is a world with faults. Region returns the region of a zone, both counted from 0.
type Case struct {
	Name     string
	Spec     *world.Spec
	Region   func(zone int) int
	From, To float64 // start of the first fault and end of the last, in seconds
}

// calmWorld returns a world without faults. Each partner has an endpoint in each of four consecutive zones, the most that a
// spec can express. With four zones it has an endpoint in each zone; with twelve, where every fourth zone belongs to the same
// region, it has one in each region. One kind of partner has a rate limit at each endpoint, the other only a capacity.
func calmWorld(senders, zones, partners int, rate, seconds float64) *world.Spec {
	s := world.DefaultSpec()
	s.Name, s.Seconds, s.Senders, s.Zones = "size", seconds, senders, zones
	s.Network.SameMS, s.Network.CrossMS = world.Pair{1, 3}, world.Pair{30, 40}
	s.Load = load.Spec{Rate: rate, Zipf: 0.7, SenderSkew: 0}
	s.Classes = []world.Class{
		{Name: "status", Repeat: world.Idempotent, Share: 3, LatencyObjectiveMS: 800, DeadlineMS: 5000, Value: 1, LateValue: 0.1},
		{Name: "order", Repeat: world.NonIdempotent, Share: 1, LatencyObjectiveMS: 3000, DeadlineMS: 9000, Value: 3, LateValue: 0.5},
	}
	s.Partners = []world.PartnerKind{
		{Name: "told", Count: partners / 2, Endpoints: world.Pair{4, 4}, MeanMS: world.Pair{40, 100}, Reports: true,
			RetryAfterShare: 0.5, Limit: "rate", LimitTimes: world.Pair{1.6, 2.6}, SeparateRoutes: true, LeastRate: 16},
		{Name: "untold", Count: partners - partners/2, Endpoints: world.Pair{4, 4}, MeanMS: world.Pair{40, 100},
			Reports: true, RetryAfterShare: 0.5, Headroom: world.Pair{1.6, 3}, LeastRate: 16},
	}
	s.Defaults()
	return &s
}

// silent returns a fault during which the endpoints of a zone, counted from 0, do not answer.
func silent(zone int, at, seconds float64) world.Fault {
	return world.Fault{Kind: "silent", At: at, Seconds: seconds, Selector: world.Selector{Zone: zone + 1}}
}

// newCase returns a case with the given world and faults.
func newCase(name string, s *world.Spec, region func(int) int, from, to float64, all ...world.Fault) Case {
	s.Faults = all
	s.Defaults()
	return Case{Name: name, Spec: s, Region: region, From: from, To: to}
}

func regionOfHalves(zone int) int    { return zone / 2 } // two regions of two consecutive zones each, for four zones
func regionByRemainder(zone int) int { return zone % 4 } // four regions, for any number of zones

func sixtySenders(seconds float64) *world.Spec { return calmWorld(60, 4, 24, 1200, seconds) }

// Small returns an outage of a zone with 20 senders, which takes little enough time for regular test runs.
func Small() Case {
	return newCase("zone gone, small", calmWorld(20, 4, 6, 160, 34), regionOfHalves, 7, 15, silent(0, 7, 8))
}

// ZoneGone returns the main case: zone 0 of four does not answer for twelve seconds.
func ZoneGone() Case {
	return newCase("zone gone", sixtySenders(45), regionOfHalves, 10, 22, silent(0, 10, 12))
}

// Cases returns all other cases with sixty senders.
func Cases() []Case {
	failing := func(zone int, at, seconds float64) world.Fault {
		return world.Fault{Kind: "failing", At: at, Seconds: seconds, Amount: 0.95, Selector: world.Selector{Zone: zone + 1}}
	}
	weak := func(zone int) world.Fault {
		return world.Fault{Kind: "throttled", At: 8, Seconds: 20, Amount: 0.6, Selector: world.Selector{Zone: zone + 1}}
	}
	half := silent(0, 10, 12)
	for i := 0; i < 24; i += 2 {
		half.Selector.Partners = append(half.Selector.Partners, i)
	}
	var flaps []world.Fault
	for at := 10.0; at < 70; at += 4 {
		flaps = append(flaps, silent(0, at, 2))
	}
	return []Case{
		newCase("zone fails all calls", sixtySenders(45), regionOfHalves, 10, 22, failing(0, 10, 12)),
		newCase("region gone, one zone weak", sixtySenders(50), regionOfHalves, 8, 28, silent(0, 10, 12), silent(1, 10, 12), weak(2)),
		newCase("half a zone gone", sixtySenders(45), regionOfHalves, 10, 22, half),
		newCase("two zones one after the other", sixtySenders(60), regionOfHalves, 10, 34, silent(0, 10, 12), silent(1, 22, 12)),
		newCase("zone flaps each 2 s for a minute", sixtySenders(95), regionOfHalves, 10, 70, flaps...),
		newCase("all zones gone", sixtySenders(45), regionOfHalves, 10, 18, silent(0, 10, 8), silent(1, 10, 8), silent(2, 10, 8), silent(3, 10, 8)),
		newCase("what was moved to fails as well", sixtySenders(50), regionOfHalves, 10, 26, silent(0, 10, 16), silent(1, 15, 7)),
	}
}

// Large returns a short outage of a zone, with the given number of senders in twelve zones of four regions.
func Large(senders int) Case {
	return newCase("zone gone, 12 zones", calmWorld(senders, 12, 60, 5*float64(senders), 32), regionByRemainder, 8, 16, silent(0, 8, 8))
}
