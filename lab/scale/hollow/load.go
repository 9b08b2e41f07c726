// Package hollow is a synthetic sender for the control part of a member: it reports the digests of a sender with a given message
// rate and answers the cluster's orders.
//
// It sends no message and opens no socket. Its observations are derived from a seed and the time (load.go, which is pure);
// sender.go reports them. internal/cluster implements the cluster's protocol.
package hollow

import (
	"math"
	"math/rand/v2"

	"flaxcove/choice"
	"flaxcove/internal/sender/clusterapi"
	"flaxcove/lab/scale/fleet"
)

// Load describes the world that the senders of a fleet observe.
type Load struct {
	Destinations  int     `json:"destinations"`
	Zones         int     `json:"zones"`    // number of zones of the fleet
	Rate          float64 `json:"rate"`     // messages per second at one sender
	Down          float64 `json:"down"`     // share of the destinations that are down at any time
	OutageS       float64 `json:"outage_s"` // duration of an outage of a destination in seconds
	EndpointZones int     `json:"ends"`     // number of zones in which a destination has an endpoint
	Seed          uint64  `json:"seed"`
}

// Parameters of digests, as in internal/sender, and of the observations.
const (
	digestsPerSecond = 2
	fullListEvery    = 10   // number of consecutive digests in which each listed locality is reported once
	maxLocalities    = 8192 // largest number of listed localities that are reported
	// probeShare is the share of the messages for a destination that is down that are sent regardless; the others wait.
	probeShare = 0.2
	rating     = 4 // weight of an endpoint in the list, in calls per second
)

// DownAt reports whether all endpoints of a destination are down at a time of the run, in seconds. Each destination is down
// for OutageS once in a period of OutageS/Down seconds. The phases are evenly spread, so that about the same share is down at
// all times.
func (l *Load) DownAt(d choice.DestinationID, seconds float64) bool {
	if l.Down <= 0 {
		return false
	}
	phase := float64(mix(uint64(d), l.Seed)>>11) / (1 << 53)
	_, part := math.Modf(phase + seconds*l.Down/l.OutageS)
	return part < l.Down
}

// zoneOf returns the zone of endpoint number end of a destination.
func (l *Load) zoneOf(d choice.DestinationID, end int) int {
	first := int(mix(uint64(d), l.Seed+1) % uint64(l.Zones))
	return (first + end*max(1, l.Zones/max(1, l.EndpointZones))) % l.Zones
}

// mix returns a hash of two numbers. It uses the finalizer of splitmix64.
func mix(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b*0xbf58476d1ce4e5b9 + 0x94d049bb133111eb
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// locality identifies the endpoints of a destination in a zone.
type locality struct {
	destination choice.DestinationID
	zone        int
}

// observations generates the observations of one sender. It belongs to one goroutine.
type observations struct {
	load    *Load
	zone    int // zone of the sender
	rng     *rand.Rand
	digests int
	listed  [fullListEvery][]locality    // by the number of the digest, modulo fullListEvery, that reports them
	waiting map[choice.DestinationID]int // number of waiting messages for each destination that is down
}

// newObservations returns the observations of sender no in a zone.
func newObservations(load *Load, zone int, no uint64) *observations {
	s := &observations{load: load, zone: zone, rng: rand.New(rand.NewPCG(load.Seed, no)), waiting: map[choice.DestinationID]int{}}
	left := maxLocalities
	for d := range load.Destinations {
		for end := range load.EndpointZones {
			if left--; left < 0 {
				return s
			}
			of := (fullListEvery - d%fullListEvery) % fullListEvery
			s.listed[of] = append(s.listed[of], locality{choice.DestinationID(d), load.zoneOf(choice.DestinationID(d), end)})
		}
	}
	return s
}

// digest returns the sender's next digest, at a time of the run in seconds; zoneFails reports whether a zone's endpoints do not
// answer.
func (s *observations) digest(seconds float64, zoneFails func(zone int) bool) clusterapi.Digest {
	rows := map[locality]*clusterapi.DigestRow{}
	row := func(at locality) *clusterapi.DigestRow {
		r := rows[at]
		if r == nil {
			r = &clusterapi.DigestRow{Destination: at.destination, Zone: string(fleet.ZoneName(at.zone)), Endpoints: 1, Rating: rating}
			rows[at] = r
		}
		return r
	}
	s.digests++
	for _, at := range s.listed[s.digests%fullListEvery] {
		row(at)
	}
	for range s.drawMessageCount() {
		s.drawMessage(seconds, zoneFails, row)
	}
	for d, n := range s.waiting {
		if !s.load.DownAt(d, seconds) {
			delete(s.waiting, d)
			continue
		}
		row(locality{d, s.load.zoneOf(d, 0)}).Waiting = n
	}
	d := clusterapi.Digest{Rows: make([]clusterapi.DigestRow, 0, len(rows))}
	for _, r := range rows {
		d.Rows = append(d.Rows, *r)
	}
	return d
}

// drawMessageCount draws the number of messages since the last digest: a Poisson count, approximated by a normal distribution.
func (s *observations) drawMessageCount() int {
	mean := s.load.Rate / digestsPerSecond
	return max(0, int(math.Round(mean+math.Sqrt(mean)*s.rng.NormFloat64())))
}

// drawMessage draws one message and counts it as sent or waiting.
func (s *observations) drawMessage(seconds float64, zoneFails func(zone int) bool, row func(locality) *clusterapi.DigestRow) {
	d := choice.DestinationID(s.rng.IntN(s.load.Destinations))
	down := s.load.DownAt(d, seconds)
	if down && s.rng.Float64() >= probeShare {
		s.waiting[d]++
		return
	}
	zone := s.calledZone(d)
	r := row(locality{d, zone})
	r.Sent++
	if down || zoneFails(zone) {
		r.Failed++
		r.Unanswered++
		return
	}
	r.Done++
}

// calledZone returns the zone in which the sender calls a destination: its own if the destination has an endpoint there, or else
// one that depends on the destination and the sender's zone.
func (s *observations) calledZone(d choice.DestinationID) int {
	for end := range s.load.EndpointZones {
		if zone := s.load.zoneOf(d, end); zone == s.zone {
			return zone
		}
	}
	return s.load.zoneOf(d, int(mix(uint64(d), uint64(s.zone))%uint64(max(1, s.load.EndpointZones))))
}
