package directory

// This file owns the list's form and its translation into the module's words. It must never pass on an entry that it
// could not read.

import (
	"hash/crc32"

	"flaxcove/choice"
)

// List is one message of discovery: all entries, or those that changed.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Entry is one endpoint.
type Entry struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   float64 `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

// Names turn the list's words into the module's numbers.
type Names struct {
	Zones map[string]choice.ZoneNo
	Kinds map[string]choice.KindNo
}

// Zone is a zone's number. One that the settings do not name has a number of its own, so that it is taken for no
// other: what is known in one zone alone must not be repeated in another.
func (n *Names) Zone(name string) choice.ZoneNo {
	no, known := n.Zones[name]
	if !known && name != "" && len(n.Zones) > 0 {
		return -1 - choice.ZoneNo(crc32.ChecksumIEEE([]byte(name)))
	}
	return no
}

var stages = map[string]choice.Stage{"up": choice.Ready, "draining": choice.Draining, "removed": choice.Gone}

// Filled is the list with what entries leave out that end an endpoint's service by its id alone: the rest stands as the
// list has it before, or as known has it. Taken as they are they would name a destination that nobody told of. Ones of
// endpoints that nobody knows change nothing and are left out.
func (l List) Filled(known func(id string) (Entry, bool)) List {
	before, filled := map[string]Entry{}, make([]Entry, 0, len(l.Servers))
	for _, e := range l.Servers {
		if stage, read := stages[e.State]; read && stage != choice.Ready && e.Addr == "" && e.ID != "" {
			was, found := before[e.ID]
			if !found {
				was, found = known(e.ID)
			}
			if !found {
				continue
			}
			was.State = e.State
			e = was
		}
		before[e.ID] = e
		filled = append(filled, e)
	}
	l.Servers = filled
	return l
}

// Entries are those of a list as the module takes them. Ones that cannot be read are left out and counted.
func (n *Names) Entries(l List) (entries []choice.Entry, unread int) {
	for _, e := range l.Servers {
		stage, known := stages[e.State]
		if !known || e.ID == "" || e.Addr == "" && stage == choice.Ready {
			unread++
			continue
		}
		entries = append(entries, choice.Entry{Endpoint: choice.EndpointID(e.ID), Stage: stage,
			Destination: choice.DestinationID(e.Cell), Kind: n.Kinds[e.Kind], Zone: n.Zone(e.Zone), Rating: e.Weight})
	}
	return entries, unread
}
