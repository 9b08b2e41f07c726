package sender

// This file works out what the endpoint list says of each destination and zone, for the rows of digests.

import (
	"maps"
	"slices"

	"flaxcove/choice"
)

// listing is what the endpoint list says of a destination in a zone. Endpoints that drain or are gone are left out, as
// they get nothing new.
type listing struct {
	kind      choice.KindNo
	endpoints []*endpoint // by id
	rating    float64     // sum of theirs
}

// readEndpointList makes the listings anew after a change of the list, and adds rows for those that differ from before or
// are gone.
func (s *Sender) readEndpointList() {
	s.listChanged = false
	before := s.listings
	s.listings, s.firstZone = map[destinationZone]*listing{}, map[choice.DestinationID]string{}
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		if e := s.endpoints[id]; e.ready {
			s.addListed(e)
		}
	}
	for at, l := range s.listings {
		if !l.equal(before[at]) {
			s.row(at)
		}
	}
	for at := range before {
		if s.listings[at] == nil {
			s.row(at)
		}
	}
}

// addListed adds an endpoint to the listings, unless they are full.
func (d *digestState) addListed(e *endpoint) {
	at := destinationZone{e.destination, e.zoneName}
	l := d.listings[at]
	if l == nil {
		if len(d.listings) >= maxDigestRows {
			return
		}
		l = &listing{}
		d.listings[at] = l
	}
	l.kind, l.endpoints, l.rating = e.kind, append(l.endpoints, e), l.rating+e.rating
	if zone, known := d.firstZone[e.destination]; !known || e.zoneName < zone {
		d.firstZone[e.destination] = e.zoneName
	}
}

// equal reports whether rows of both listings would say the same.
func (l *listing) equal(other *listing) bool {
	return other != nil && l.kind == other.kind && len(l.endpoints) == len(other.endpoints) && l.rating == other.rating
}

// limit is the latest limit that any of the endpoints reported; where endpoints of the kind are routes of their own, it is
// the sum of their limits.
func (l *listing) limit(kinds []choice.Kind) (limit float64) {
	latest := choice.Time(-1)
	apart := kindOf(kinds, l.kind).SeparateRoutes
	for _, e := range l.endpoints {
		if apart {
			limit += e.reportedLimit
		} else if e.reportedLimitAt > latest {
			latest, limit = e.reportedLimitAt, e.reportedLimit
		}
	}
	return limit
}
