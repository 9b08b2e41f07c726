package sender

// This file routes: it is the module's choice.Host on sockets, and it owns the list of endpoints as discovery
// told it and the calls that the turn has laid up. It must never decide where or when a message goes, nor let
// anything leave before the turn is written down.

import (
	"math"
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/directory"
)

// endpoint is one of the list; it leaves once it is gone and has neither links nor calls.
type endpoint struct {
	id          choice.EndpointID
	addr        string
	destination choice.DestinationID
	zone        choice.ZoneNo
	// zoneName outlasts the settings that number it.
	zoneName string
	listed   directory.Entry // as the list has it
	bulkMax  int
	gone     bool
	// Of the list, as it is told to a cluster.
	kind   choice.KindNo
	rating float64
	ready  bool
	// When a call there last ended with an answer, what limit was last told and when; counted with a cluster alone.
	lastAnswerAt, reportedLimitAt choice.Time
	reportedLimit                 float64
	turnCall                      *call // the one that this turn's messages share
	idle                          []*link
	linkCount                     int // idle, busy and coming up
}

type routing struct {
	endpoints    map[choice.EndpointID]*endpoint
	starting     []*call                   // of this turn
	connected    []connectedCall           // likewise; they leave with its end
	moduleTimers map[choice.TimerID]*timer // the module's; each leaves as it fires or is forgotten
	// When a destination last had an endpoint, as of the last news; it leaves once that is emptyDestinationGrace ago.
	destinationSeen map[choice.DestinationID]time.Duration
	listReceived    bool // discovery has spoken to this process
}

// emptyDestinationGrace is how long messages for a destination without endpoints are still taken on.
const emptyDestinationGrace = time.Minute

func (r *routing) init() {
	r.endpoints, r.destinationSeen = map[choice.EndpointID]*endpoint{}, map[choice.DestinationID]time.Duration{}
	r.moduleTimers = map[choice.TimerID]*timer{}
}

func (s *Sender) updateEndpoints(l directory.List, stale bool) {
	l = l.Filled(func(id string) (directory.Entry, bool) {
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
		return // nothing in it could be read: to obey it would leave nobody to send to
	}
	if l.Full {
		for _, e := range s.endpoints {
			e.gone, e.ready = true, false
		}
	}
	latest := map[choice.EndpointID]directory.Entry{} // the last of each counts
	for _, entry := range l.Servers {
		latest[choice.EndpointID(entry.ID)] = entry
	}
	for i, entry := range entries {
		listed := latest[entry.Endpoint]
		entries[i].Learnt = s.takeLearned(entry, listed.Addr)
		e := s.endpoints[entry.Endpoint]
		if e != nil && (listed.Addr != e.addr || entry.Destination != e.destination) {
			// It is another one by the same name. Connections to the one before, and calls that wait for one, would reach
			// the place that was left, or for the destination that was left: they stay with it and end with what is out.
			e.gone = true
			s.closeIdleLinks(e, endpointMoved)
			e = nil
		}
		if e == nil {
			e = &endpoint{id: entry.Endpoint}
			s.endpoints[e.id] = e
		}
		if entries[i].Learnt != nil {
			e.lastAnswerAt = s.learnedAt
		}
		e.addr, e.zoneName, e.listed = listed.Addr, listed.Zone, listed
		e.zone, e.bulkMax = entry.Zone, s.bulkMaxOf(entry.Kind)
		e.destination, e.gone = entry.Destination, entry.Stage == choice.Gone
		e.kind, e.rating, e.ready = entry.Kind, entry.Rating, entry.Stage == choice.Ready
	}
	s.listChanged = true
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
	s.log.Debug("list", zap.Bool("full", l.Full), zap.Bool("stale", stale), zap.Any("entries", l.Servers))
	s.listReceived = s.listReceived || !stale
	s.module.ListNews(entries, l.Full)
}

func (s *Sender) dropIfUnused(e *endpoint) {
	if e.gone && e.linkCount == 0 && s.endpoints[e.id] == e {
		delete(s.endpoints, e.id)
	}
}

// Attempt lays a message into a call of this turn. Messages to one endpoint share one, up to what its kind takes.
func (s *Sender) Attempt(id choice.MessageID, to choice.EndpointID, timeOut choice.Time) {
	n, e := s.pending[id], s.endpoints[to]
	if e == nil {
		// Gone from the list with its last link while the module still held it: the call finds nobody there.
		e = &endpoint{id: to, gone: true, bulkMax: 1}
	}
	c := e.turnCall
	if c == nil || len(c.messages) >= e.bulkMax {
		c = &call{s: s, endpoint: e, beganAt: s.Now()}
		if e.turnCall == nil || e.bulkMax > 1 {
			e.turnCall = c
		}
		s.starting = append(s.starting, c)
	}
	c.messages = append(c.messages, n)
	c.timeout = max(c.timeout, timeOut)
	n.inFlight = c
	n.attempts++
	s.counts.attempts++
	s.log.Debug("dispatch", zap.String("id", string(id)), zap.String("to", string(to)), zap.Int("try", n.attempts),
		zap.Float64("within_ms", float64(timeOut)/float64(choice.Millisecond)))
}

// Shed ends a message that has never run: by refusing it where the client still waits, else by the platform.
func (s *Sender) Shed(id choice.MessageID, comeBackIn choice.Time) {
	ms := int64(math.Ceil(float64(comeBackIn) / float64(choice.Millisecond)))
	s.endMessage(s.pending[id], ending{kind: endShed, retryMS: ms})
}

func (s *Sender) Fail(id choice.MessageID) { s.endMessage(s.pending[id], ending{kind: endFailed}) }

func (s *Sender) Probe(id choice.EndpointID) {
	c := &call{s: s, endpoint: s.endpoints[id], beganAt: s.Now(), probe: true, timeout: s.cfg.Settings.DialTimeout + probeTimeout}
	if c.endpoint == nil {
		c.endpoint = &endpoint{id: id, gone: true}
	}
	s.counts.probes++
	s.starting = append(s.starting, c)
}

func (s *Sender) CloseIdle(id choice.EndpointID) {
	if e := s.endpoints[id]; e != nil {
		s.closeIdleLinks(e, notNeeded)
	}
}

func (s *Sender) Timer(in choice.Time, id choice.TimerID) {
	s.moduleTimers[id] = s.after(time.Duration(config.Nanoseconds(in)), func() {
		delete(s.moduleTimers, id)
		s.module.TimerDue(id)
	})
}

func (s *Sender) Forget(id choice.TimerID) {
	s.cancelTimer(s.moduleTimers[id])
	delete(s.moduleTimers, id)
}
