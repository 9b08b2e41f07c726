package directory

// This file defines the JSON format of the list and converts its entries for package choice. Invalid entries are left
// out.

import (
	"hash/crc32"

	"flaxcove/choice"
)

// List is one message of discovery: either the full list of endpoints or the entries that changed.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"` // Entries holds all endpoints, not only the changed ones
	Entries []Entry `json:"servers"`
}

// Entry describes one endpoint.
type Entry struct {
	ID          string  `json:"id"`
	Addr        string  `json:"addr"` // host:port
	Zone        string  `json:"zone"`
	Kind        string  `json:"kind"`
	Destination float64 `json:"cell"`
	State       string  `json:"state"` // up, draining or removed
	Weight      float64 `json:"weight"`
	// StartedMS is the Unix time in milliseconds at which the endpoint last started; 0 for long ago. With the address it tells
	// one process from the next.
	StartedMS float64 `json:"started_ms"`
}

// NameNumbers converts names of zones and kinds in the list into the numbers that package choice uses.
type NameNumbers struct {
	Zones map[string]choice.ZoneNo
	Kinds map[string]choice.KindNo
}

// Zone returns the number of a zone. A zone that the settings do not name gets a negative number computed from its name,
// so that it is not mistaken for another zone: an idempotency key that is known in one zone only must not be sent again
// in another. The number is 0 for an empty name, and for every name if the settings name no zone.
func (n *NameNumbers) Zone(name string) choice.ZoneNo {
	no, known := n.Zones[name]
	if !known && name != "" && len(n.Zones) > 0 {
		return -1 - choice.ZoneNo(crc32.ChecksumIEEE([]byte(name)))
	}
	return no
}

// stageByState maps the words of an entry's state field to constants of package choice.
var stageByState = map[string]choice.Stage{"up": choice.Ready, "draining": choice.Draining, "removed": choice.Gone}

// Complete returns a copy of l in which entries that drain or remove an endpoint and give only its id have all fields.
// The other fields come from an earlier entry of the list or from the entry that known returns. Without them the entry
// would name a destination that the endpoint was never listed for. Such an entry of an unknown endpoint has no effect
// and is left out.
func (l List) Complete(known func(id string) (Entry, bool)) List {
	earlier := map[string]Entry{}
	filled := make([]Entry, 0, len(l.Entries))
	for _, e := range l.Entries {
		if e.endsServiceByID() {
			complete, found := earlier[e.ID]
			if !found {
				complete, found = known(e.ID)
			}
			if !found {
				continue
			}
			complete.State = e.State
			e = complete
		}
		earlier[e.ID] = e
		filled = append(filled, e)
	}
	l.Entries = filled
	return l
}

// endsServiceByID reports whether an entry drains or removes an endpoint and has an id but no address.
func (e *Entry) endsServiceByID() bool {
	stage, known := stageByState[e.State]
	return known && stage != choice.Ready && e.Addr == "" && e.ID != ""
}

// Entries converts the entries of a list for package choice. It leaves out entries with an unknown state, without an id,
// or without an address if the state is up, and returns their number as unread.
func (n *NameNumbers) Entries(l List) (entries []choice.Entry, unread int) {
	for _, e := range l.Entries {
		stage, known := stageByState[e.State]
		if !known || e.ID == "" || e.Addr == "" && stage == choice.Ready {
			unread++
			continue
		}
		entries = append(entries, choice.Entry{
			Endpoint:    choice.EndpointID(e.ID),
			Destination: choice.DestinationID(e.Destination),
			Kind:        n.Kinds[e.Kind],
			Zone:        n.Zone(e.Zone),
			Rating:      e.Weight,
			Stage:       stage,
		})
	}
	return entries, unread
}
