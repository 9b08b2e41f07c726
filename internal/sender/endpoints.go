package sender

// This file maintains the endpoints that discovery lists.

import (
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/directory"
)

// emptyDestinationGrace is how long messages are still accepted for a destination that has lost its last endpoint.
const emptyDestinationGrace = time.Minute

// endpoint is an endpoint of the list at one address and for one destination. It is dropped once it is gone and has no
// links. The loop owns it.
type endpoint struct {
	id          choice.EndpointID
	addr        string // host:port; "" if the list names none
	destination choice.DestinationID
	zone        choice.ZoneNo
	zoneName    string          // unlike zone, it stays valid when new settings renumber the zones
	listed      directory.Entry // its latest entry
	gone        bool            // no longer listed at this address and for this destination

	// Values of its entry, for digests.
	kind   choice.KindNo
	rating float64
	ready  bool // it takes new messages

	// Measured for digests: when a call last ended with an answer, and the limit in the latest load report, in calls a
	// second.
	lastAnswerAt, reportedLimitAt choice.Time
	reportedLimit                 float64

	callTimes callTimes // of its successful calls

	idle      []*link // the link used last is at the end
	linkCount int     // idle links, busy links and dials in progress
}

// routing is the part of a Sender that holds the endpoints and the pending requests of package choice.
type routing struct {
	endpoints    map[choice.EndpointID]*endpoint
	starting     []*call                   // calls that begin at the end of this turn
	startingByID map[choice.CallID]*call   // the same calls, without probes
	connected    []connectedCall           // calls that are sent at the end of this turn
	choiceTimers map[choice.TimerID]*timer // timers of package choice; each is removed when it fires or is cancelled
	// destinationSeen holds when each destination last had an endpoint, as of the last update and since the start. An entry
	// is removed after emptyDestinationGrace.
	destinationSeen map[choice.DestinationID]time.Duration
	listReceived    bool // this process has received a list from discovery
}

// init makes the tables.
func (r *routing) init() {
	r.endpoints = map[choice.EndpointID]*endpoint{}
	r.destinationSeen = map[choice.DestinationID]time.Duration{}
	r.choiceTimers = map[choice.TimerID]*timer{}
	r.startingByID = map[choice.CallID]*call{}
}

// updateEndpoints applies a full endpoint list or an update of it. stale says that the list comes from the configuration,
// not from discovery.
func (s *Sender) updateEndpoints(l directory.List, stale bool) {
	l = l.Complete(func(id string) (directory.Entry, bool) {
		e := s.endpoints[choice.EndpointID(id)]
		if e == nil {
			return directory.Entry{}, false
		}
		return e.listed, true
	})
	entries, unread := s.numbering.Entries(l)
	if unread > 0 {
		s.log.Warn("endpoint list has unreadable entries, which are ignored", zap.Int("unread", unread), zap.Int64("version", l.Version))
	}
	if l.Full && unread > 0 && len(entries) == 0 {
		return // no entry is readable: applying the list would remove all endpoints
	}
	if l.Full {
		for _, e := range s.endpoints {
			e.gone, e.ready = true, false
		}
	}
	latest := map[choice.EndpointID]directory.Entry{}
	for _, entry := range l.Entries {
		latest[choice.EndpointID(entry.ID)] = entry
	}
	for i := range entries {
		s.updateEndpoint(&entries[i], latest[entries[i].Endpoint])
	}
	s.listChanged = true
	s.dropGone()
	s.log.Debug("endpoint list applied", zap.Bool("full", l.Full), zap.Bool("stale", stale), zap.Any("entries", l.Entries))
	s.listApplied(l.Version, !stale)
	s.choice.UpdateEndpoints(entries, l.Full)
}

// updateEndpoint applies one entry, and adds to it the learned state and the outage of an earlier process. listed is the same entry as
// discovery sent it.
func (s *Sender) updateEndpoint(entry *choice.Entry, listed directory.Entry) {
	entry.LearnedState = s.takeLearned(*entry, listed)
	entry.Impairment = s.takeOutage(*entry, listed)
	entry.Unproven = s.isUnproven(entry)
	e := s.endpoints[entry.Endpoint]
	if e != nil && listed.StartedMS == 0 {
		listed.StartedMS = e.listed.StartedMS // an entry without the field
	}
	if e != nil && (listed.Addr != e.addr || entry.Destination != e.destination || listed.StartedMS > e.listed.StartedMS) {
		// The entry describes another endpoint with the same id, or a new process of it. Connections to the old endpoint, and
		// calls that wait for one, belong to its old address, destination or process: they stay with the old endpoint, which is
		// dropped after them.
		e.gone = true
		s.closeIdleLinks(e, endpointMoved)
		e = nil
	}
	if e == nil {
		e = &endpoint{id: entry.Endpoint}
		s.endpoints[e.id] = e
	}
	if entry.LearnedState != nil {
		e.lastAnswerAt = s.learnedAt
	}
	e.addr, e.zoneName, e.listed = listed.Addr, listed.Zone, listed
	e.zone = entry.Zone
	e.destination, e.gone = entry.Destination, entry.Stage == choice.Gone
	e.kind, e.rating, e.ready = entry.Kind, entry.Rating, entry.Stage == choice.Ready
}

// dropGone drops endpoints that are gone, and destinations that have had no endpoint for emptyDestinationGrace.
func (s *Sender) dropGone() {
	now := s.sinceStart()
	for _, e := range s.endpoints {
		if e.gone {
			s.closeIdleLinks(e, endpointUnlisted)
			s.dropIfUnused(e)
		} else {
			s.destinationSeen[e.destination] = now
		}
	}
	for id, at := range s.destinationSeen {
		if now-at > emptyDestinationGrace {
			delete(s.destinationSeen, id)
		}
	}
}

// dropIfUnused drops an endpoint that is gone and has no links.
func (s *Sender) dropIfUnused(e *endpoint) {
	if e.gone && e.linkCount == 0 && s.endpoints[e.id] == e {
		delete(s.endpoints, e.id)
	}
}

// kindOf returns the kind of endpoint with a number, or the one with the nearest number if kinds has no such number.
func kindOf(kinds []choice.Kind, no choice.KindNo) choice.Kind {
	return kinds[max(0, min(int(no), len(kinds)-1))]
}
