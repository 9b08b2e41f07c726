// Package hollow stands in for a sender beside a member's control part: it reports digests as a sender at a given rate
// would, and answers the cluster's orders.
//
// It sends no message and opens no socket. What a sender observes is drawn from a seed and the time (load.go, pure);
// sender.go reports it. The cluster's protocol is internal/cluster's.
package hollow

import (
	"math"
	"math/rand/v2"

	"flaxcove/choice"
	"flaxcove/internal/sender/clusterapi"
	"flaxcove/lab/scale/fleet"
)

// Load describes what the senders of a fleet observe of the world.
type Load struct {
	Destinations int     `json:"destinations"`
	Zones        int     `json:"zones"`
	Rate         float64 `json:"rate"` // messages a second at one sender
	Down         float64 `json:"down"` // share of the destinations that is down
	OutageS      float64 `json:"outage_s"`
	Ends         int     `json:"ends"` // zones in which a destination has an endpoint
	Seed         uint64  `json:"seed"`
}

// Constants of internal/sender's digests.
const (
	digestsPerSecond = 2
	fullListEvery    = 10   // digests in which each listed locality is reported once
	maxPlaces        = 8192 // listed localities that are reported
	// probeShare is the share of messages for a destination that is down that are sent all the same; the rest wait.
	probeShare = 0.2
	rating     = 4 // weight of an endpoint in the list, in calls a second
)

// DownAt reports whether all endpoints of a destination are down at a time of the run, in seconds. Each destination is down
// once in a period of OutageS/Down seconds, evenly spread, so that the share is the same at all times.
func (l *Load) DownAt(d choice.DestinationID, seconds float64) bool {
	if l.Down <= 0 {
		return false
	}
	phase := float64(mix(uint64(d), l.Seed)>>11) / (1 << 53)
	_, part := math.Modf(phase + seconds*l.Down/l.OutageS)
	return part < l.Down
}

// zoneOf is the zone of a destination's endpoint, by the endpoint's number.
func (l *Load) zoneOf(d choice.DestinationID, end int) int {
	first := int(mix(uint64(d), l.Seed+1) % uint64(l.Zones))
	return (first + end*max(1, l.Zones/max(1, l.Ends))) % l.Zones
}

// mix is a hash of two numbers (the finalizer of splitmix64).
func mix(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b*0xbf58476d1ce4e5b9 + 0x94d049bb133111eb
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

type place struct {
	destination choice.DestinationID
	zone        int
}

// observations is what one sender has observed. It belongs to one goroutine.
type observations struct {
	load    *Load
	zone    int // the sender's own
	chance  *rand.Rand
	digests int
	listed  [fullListEvery][]place       // by the digest in which they are reported
	waiting map[choice.DestinationID]int // messages that wait for destinations that are down
}

func newObservations(load *Load, zone int, no uint64) *observations {
	s := &observations{load: load, zone: zone, chance: rand.New(rand.NewPCG(load.Seed, no)), waiting: map[choice.DestinationID]int{}}
	left := maxPlaces
	for d := range load.Destinations {
		for end := range load.Ends {
			if left--; left < 0 {
				return s
			}
			of := (fullListEvery - d%fullListEvery) % fullListEvery
			s.listed[of] = append(s.listed[of], place{choice.DestinationID(d), load.zoneOf(choice.DestinationID(d), end)})
		}
	}
	return s
}

// digest is the sender's digest at a time of the run; fallen reports whether a zone's endpoints do not answer.
func (s *observations) digest(seconds float64, fallen func(zone int) bool) clusterapi.Digest {
	rows := map[place]*clusterapi.Row{}
	row := func(at place) *clusterapi.Row {
		r := rows[at]
		if r == nil {
			r = &clusterapi.Row{Destination: at.destination, Zone: string(fleet.ZoneName(at.zone)), Endpoints: 1, Rating: rating}
			rows[at] = r
		}
		return r
	}
	s.digests++
	for _, at := range s.listed[s.digests%fullListEvery] {
		row(at)
	}
	for range s.messages() {
		s.message(seconds, fallen, row)
	}
	for d, n := range s.waiting {
		if !s.load.DownAt(d, seconds) {
			delete(s.waiting, d)
			continue
		}
		row(place{d, s.load.zoneOf(d, 0)}).Waiting = n
	}
	d := clusterapi.Digest{Rows: make([]clusterapi.Row, 0, len(rows))}
	for _, r := range rows {
		d.Rows = append(d.Rows, *r)
	}
	return d
}

// messages draws how many messages came since the last digest: a Poisson count, approximated by a normal distribution.
func (s *observations) messages() int {
	mean := s.load.Rate / digestsPerSecond
	return max(0, int(math.Round(mean+math.Sqrt(mean)*s.chance.NormFloat64())))
}

// message draws one message, which is sent or waits.
func (s *observations) message(seconds float64, fallen func(zone int) bool, row func(place) *clusterapi.Row) {
	d := choice.DestinationID(s.chance.IntN(s.load.Destinations))
	down := s.load.DownAt(d, seconds)
	if down && s.chance.Float64() >= probeShare {
		s.waiting[d]++
		return
	}
	zone := s.near(d)
	r := row(place{d, zone})
	r.Sent++
	if down || fallen(zone) {
		r.Failed++
		r.Unanswered++
		return
	}
	r.Done++
}

// near is the zone in which a destination is called: the sender's own if there is an endpoint.
func (s *observations) near(d choice.DestinationID) int {
	for end := range s.load.Ends {
		if zone := s.load.zoneOf(d, end); zone == s.zone {
			return zone
		}
	}
	return s.load.zoneOf(d, int(mix(uint64(d), uint64(s.zone))%uint64(max(1, s.load.Ends))))
}
