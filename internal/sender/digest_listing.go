package sender

// This file summarizes the endpoint list by destination and zone, for the rows of digests.

import (
	"maps"
	"slices"

	"flaxcove/choice"
)

// listing summarizes the listed endpoints of a destination in a zone. It excludes endpoints that drain or are gone, as they
// get no new messages.
type listing struct {
	kind      choice.KindNo // of the last endpoint by id
	endpoints []*endpoint   // sorted by id
	rating    float64       // sum of the endpoints' ratings
}

// readEndpointList rebuilds the listings after a change of the endpoint list, and adds rows for the listings that have
// changed or are gone.
func (s *Sender) readEndpointList() {
	s.listChanged = false
	before := s.listings
	s.listings, s.firstZone = map[destinationZone]*listing{}, map[choice.DestinationID]string{}
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		if e := s.endpoints[id]; e.ready {
			s.addListed(e)
		}
	}
	for key, l := range s.listings {
		if !l.equal(before[key]) {
			s.row(key)
		}
	}
	for key := range before {
		if s.listings[key] == nil {
			s.row(key)
		}
	}
}

// addListed adds an endpoint to the listings, unless they are full.
func (d *digestState) addListed(e *endpoint) {
	key := destinationZone{e.destination, e.zoneName}
	l := d.listings[key]
	if l == nil {
		if len(d.listings) >= maxDigestRows {
			return
		}
		l = &listing{}
		d.listings[key] = l
	}
	l.kind, l.endpoints, l.rating = e.kind, append(l.endpoints, e), l.rating+e.rating
	if zone, known := d.firstZone[e.destination]; !known || e.zoneName < zone {
		d.firstZone[e.destination] = e.zoneName
	}
}

// equal reports whether both listings yield the same row. other may be nil.
func (l *listing) equal(other *listing) bool {
	return other != nil && l.kind == other.kind && len(l.endpoints) == len(other.endpoints) && l.rating == other.rating
}

// limit returns the most recent limit reported by any of the endpoints, in calls a second. If each endpoint of the kind is
// a route of its own, it returns the sum of their limits.
func (l *listing) limit(kinds []choice.Kind) (limit float64) {
	latest := choice.Time(-1)
	separate := kindOf(kinds, l.kind).SeparateRoutes
	for _, e := range l.endpoints {
		if separate {
			limit += e.reportedLimit
		} else if e.reportedLimitAt > latest {
			latest, limit = e.reportedLimitAt, e.reportedLimit
		}
	}
	return limit
}
