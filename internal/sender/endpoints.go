package sender

// This file owns the endpoints as discovery lists them.

import (
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/directory"
)

// emptyDestinationGrace is how long messages for a destination without endpoints are still accepted.
const emptyDestinationGrace = time.Minute

// endpoint is one of the list; it is dropped once it is gone and has no links.
type endpoint struct {
	id          choice.EndpointID
	addr        string
	destination choice.DestinationID
	zone        choice.ZoneNo
	zoneName    string          // stays where other settings number zones anew
	listed      directory.Entry // its latest entry
	bulkMax     int             // messages of one call
	gone        bool            // not listed any more, at this address and for this destination

	// Of its entry, for digests.
	kind   choice.KindNo
	rating float64
	ready  bool

	// Counted for digests: when a call last ended with an answer, and the limit last reported.
	lastAnswerAt, reportedLimitAt choice.Time
	reportedLimit                 float64

	turnCall  *call // the one that this turn's messages share
	idle      []*link
	linkCount int // idle, busy and coming up
}

// routing is the part of a Sender that holds endpoints and what package choice has asked for.
type routing struct {
	endpoints    map[choice.EndpointID]*endpoint
	starting     []*call                   // calls that begin at the end of this turn
	connected    []connectedCall           // calls that are sent at the end of this turn
	choiceTimers map[choice.TimerID]*timer // of package choice; each is removed as it fires or is forgotten
	// destinationSeen is when a destination last had an endpoint, as of the last update. It is removed after
	// emptyDestinationGrace.
	destinationSeen map[choice.DestinationID]time.Duration
	listReceived    bool // discovery has answered this process
}

func (r *routing) init() {
	r.endpoints = map[choice.EndpointID]*endpoint{}
	r.destinationSeen = map[choice.DestinationID]time.Duration{}
	r.choiceTimers = map[choice.TimerID]*timer{}
}

// updateEndpoints applies a list, or a change of the list. A stale one is from the configuration, not from discovery.
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
		s.log.Warn("list: entries left out", zap.Int("unread", unread), zap.Int64("version", l.Version))
	}
	if l.Full && unread > 0 && len(entries) == 0 {
		return // nothing in it could be read: to apply it would leave no endpoint
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
	s.log.Debug("list", zap.Bool("full", l.Full), zap.Bool("stale", stale), zap.Any("entries", l.Entries))
	s.listReceived = s.listReceived || !stale
	s.choice.UpdateEndpoints(entries, l.Full)
}

// updateEndpoint applies one entry, and adds to it what an earlier process learned of the endpoint.
func (s *Sender) updateEndpoint(entry *choice.Entry, listed directory.Entry) {
	entry.LearnedState = s.takeLearned(*entry, listed.Addr)
	e := s.endpoints[entry.Endpoint]
	if e != nil && (listed.Addr != e.addr || entry.Destination != e.destination) {
		// It is another endpoint of the same id. Connections to the one before, and calls that wait for one, would reach
		// its old address or be for its old destination: they stay with it, and it is dropped after them.
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
	e.zone, e.bulkMax = entry.Zone, s.bulkMaxOf(entry.Kind)
	e.destination, e.gone = entry.Destination, entry.Stage == choice.Gone
	e.kind, e.rating, e.ready = entry.Kind, entry.Rating, entry.Stage == choice.Ready
}

// dropGone drops endpoints that are gone, and destinations that have had none for emptyDestinationGrace.
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

func (s *Sender) dropIfUnused(e *endpoint) {
	if e.gone && e.linkCount == 0 && s.endpoints[e.id] == e {
		delete(s.endpoints, e.id)
	}
}

// bulkMaxOf is how many messages one call to a kind of endpoint may carry.
func (s *Sender) bulkMaxOf(kind choice.KindNo) int {
	return kindOf(s.cfg.Settings.Kinds, kind).BulkMax
}

// kindOf is a kind of endpoint by number; the nearest one for a number that the settings do not have.
func kindOf(kinds []choice.Kind, no choice.KindNo) choice.Kind {
	return kinds[max(0, min(int(no), len(kinds)-1))]
}
