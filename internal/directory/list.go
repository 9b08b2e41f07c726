package directory

// This file defines the form of the list and converts its entries for the deciding module choice. An entry that cannot be
// read is left out.

import (
	"hash/crc32"

	"flaxcove/choice"
)

// List is one message of discovery: all entries, or those that changed.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Entries []Entry `json:"servers"`
}

// Entry is one endpoint.
type Entry struct {
	ID          string  `json:"id"`
	Addr        string  `json:"addr"`
	Zone        string  `json:"zone"`
	Kind        string  `json:"kind"`
	Destination float64 `json:"cell"`
	State       string  `json:"state"`
	Weight      float64 `json:"weight"`
}

// NameNumbers convert the list's names of zones and kinds into the numbers that choice uses.
type NameNumbers struct {
	Zones map[string]choice.ZoneNo
	Kinds map[string]choice.KindNo
}

// Zone is a zone's number. A zone that the settings do not name gets a number of its own, so that it is not mistaken for
// another: an idempotency key known in one zone only must not be sent again in another.
func (n *NameNumbers) Zone(name string) choice.ZoneNo {
	no, known := n.Zones[name]
	if !known && name != "" && len(n.Zones) > 0 {
		return -1 - choice.ZoneNo(crc32.ChecksumIEEE([]byte(name)))
	}
	return no
}

// stages are the words of an entry's state.
var stages = map[string]choice.Stage{"up": choice.Ready, "draining": choice.Draining, "removed": choice.Gone}

// Complete is the list with complete entries where one ends an endpoint's service by its id alone: the other fields are those
// of an earlier entry of the list, or of the entry that known returns. Without them the entry would name a destination that
// was never listed. An entry of an unknown endpoint changes nothing and is left out.
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

// endsServiceByID reports whether an entry drains or removes an endpoint and gives no more than its id.
func (e *Entry) endsServiceByID() bool {
	stage, known := stages[e.State]
	return known && stage != choice.Ready && e.Addr == "" && e.ID != ""
}

// Entries are those of a list as choice reads them. Ones that cannot be read are left out and counted.
func (n *NameNumbers) Entries(l List) (entries []choice.Entry, unread int) {
	for _, e := range l.Entries {
		stage, known := stages[e.State]
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
