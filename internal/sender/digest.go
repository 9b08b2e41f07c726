package sender

// This file counts what a sender hands over twice a second: calls and their ends by destination and zone, messages by
// destination and program. Nothing of it runs in a sender that is not joined. It decides nothing, and must never grow:
// each table is emptied by the digest, and bounded until then.

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/sender/together"
)

const (
	digestEvery = 500 * time.Millisecond
	// A row is told where calls ended, messages wait, or the list says something else of the place than before; in so
	// many digests each is told once anyhow, a part of the destinations at a time.
	wholeEvery = 10
	// Further ones are left out until the next digest, and counted (digest_left_out).
	mostPlaces = 8192
	mostCounts = 4096
)

// place is the endpoints of a destination in a zone.
type place struct {
	dest choice.DestinationID
	zone string
}

type program struct {
	dest choice.DestinationID
	host string
}

type watching struct {
	seen     map[place]*together.Row // since the last digest
	handed   map[program]uint64      // likewise
	listed   map[place]*listing
	first    map[choice.DestinationID]string // the zone in whose row is told what waits
	digests  uint64
	changed  bool        // the list, since it was read for rows
	longest  choice.Time // deadline, from the moment of taking on
	shortest choice.Time // contract time of all classes
	leftOut  int64
}

func (w *watching) init(s *Sender) {
	w.seen, w.handed, w.changed = map[place]*together.Row{}, map[program]uint64{}, true
	w.mind(s.cfg.Settings.Classes)
	for _, n := range s.pending {
		w.tookOn(n, s.Now())
	}
}

// mind takes the spans of classes. What was taken on with a longer time is still there.
func (w *watching) mind(classes []choice.Class) {
	for i, of := range classes {
		w.longest = max(w.longest, of.Deadline)
		if i == 0 || of.ContractTime < w.shortest {
			w.shortest = of.ContractTime
		}
	}
}

// tookOn minds the longest time that any message was given: clients may ask for more than their class's deadline.
func (w *watching) tookOn(n *message, now choice.Time) {
	w.longest = max(w.longest, n.Deadline-cmp.Or(n.acceptedAt, now))
}

// countCall counts how a call ended, once however many messages it carried. What never left for reasons of our own (no room
// for a link, a wait that came meanwhile, a process that stood still) tells nothing of its endpoint.
func (s *Sender) countCall(c *call, a answer) {
	now := s.Now()
	if s.cluster == nil || c.localFailure {
		return
	}
	if a.result != choice.ConnectFailed {
		c.endpoint.lastAnswerAt = now
	}
	if report := a.loadReport(); report.Known {
		c.endpoint.reportedLimit, c.endpoint.reportedLimitAt = report.Limit, now
	}
	r := s.row(place{c.endpoint.destination, c.endpoint.zoneName})
	if r == nil {
		return
	}
	r.Sent++
	switch a.result {
	case choice.Done:
		r.Done++
	case choice.Full:
		r.Refused++
	case choice.Errored, choice.Reset, choice.Spoilt:
		r.Failed++
	case choice.ConnectFailed:
		r.Failed, r.Silent = r.Failed+1, r.Silent+1
	case choice.TimedOut:
		if now-c.beganAt >= s.shortest { // else it was cut short by the message's own deadline
			r.Failed, r.Silent = r.Failed+1, r.Silent+1
		}
	}
}

// row is what is counted of a place; nil where the table is full.
func (w *watching) row(at place) *together.Row {
	r := w.seen[at]
	if r == nil {
		if len(w.seen) >= mostPlaces {
			w.leftOut++
			return nil
		}
		r = &together.Row{Destination: at.dest, Zone: at.zone}
		w.seen[at] = r
	}
	return r
}

// handIn counts a message as its client is told +OK, and so once: what was refused before and came again was not counted
// then, and an id that is owed or has ended is not taken on again. A program is the address that its connection came
// from, without the port: all programs of one machine, or behind one relay, are one.
func (s *Sender) handIn(n *message) {
	if s.cluster == nil {
		return
	}
	s.tookOn(n, n.acceptedAt)
	host := n.reply.client.peer
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	p := program{n.Destination, host}
	if _, known := s.handed[p]; !known && len(s.handed) >= mostCounts {
		s.leftOut++
		return
	}
	s.handed[p]++
}

// digest hands over what was counted, and begins anew.
func (s *Sender) digest() {
	s.after(digestEvery, s.digest)
	if s.changed {
		s.readList()
	}
	s.digests++
	for at := range s.listed {
		if (uint64(at.dest)+s.digests)%wholeEvery == 0 {
			s.row(at)
		}
	}
	for d, n := range s.waitFor() {
		if r := s.row(place{d, s.first[d]}); r != nil {
			r.Held = n
		}
	}
	d := together.Digest{Longest: time.Duration(config.Nanoseconds(s.longest))}
	for at, r := range s.seen {
		if l := s.listed[at]; l != nil {
			r.Kind, r.Endpoints, r.Rating = l.kind, len(l.ends), l.rating
			r.Limit = l.limit(s.cfg.Settings.Kinds)
		}
		d.Rows = append(d.Rows, *r)
	}
	slices.SortFunc(d.Rows, func(a, b together.Row) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), strings.Compare(a.Zone, b.Zone))
	})
	for p, n := range s.handed {
		d.Counts = append(d.Counts, together.Count{Destination: p.dest, Program: p.host, Messages: n})
	}
	slices.SortFunc(d.Counts, func(a, b together.Count) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), strings.Compare(a.Program, b.Program))
	})
	clear(s.seen)
	clear(s.handed)
	s.cluster.Digest(d)
}

// listing is what the list says of a place. Endpoints that drain or are gone are not among it: they take nothing new.
type listing struct {
	kind   choice.KindNo
	ends   []*endpoint // by id
	rating float64
}

// readList works out anew what the list says, once it has changed, and has those rows told of which it says something
// else now, or nothing any more.
func (s *Sender) readList() {
	s.changed = false
	old := s.listed
	s.listed, s.first = map[place]*listing{}, map[choice.DestinationID]string{}
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		e := s.endpoints[id]
		at := place{e.destination, e.zoneName}
		if !e.ready || len(s.listed) >= mostPlaces && s.listed[at] == nil {
			continue
		}
		l := s.listed[at]
		if l == nil {
			l = &listing{}
			s.listed[at] = l
		}
		l.kind, l.ends, l.rating = e.kind, append(l.ends, e), l.rating+e.rating
		if zone, known := s.first[e.destination]; !known || e.zoneName < zone {
			s.first[e.destination] = e.zoneName
		}
	}
	for at, l := range s.listed {
		if was := old[at]; was == nil || was.kind != l.kind || len(was.ends) != len(l.ends) || was.rating != l.rating {
			s.row(at)
		}
	}
	for at := range old {
		if s.listed[at] == nil {
			s.row(at)
		}
	}
}

// limit is the one last told by any of the endpoints there; of endpoints that are routes apart, the sum of theirs.
func (l *listing) limit(kinds []choice.Kind) (limit float64) {
	heard := choice.Time(-1)
	for _, e := range l.ends {
		if apart := kinds[max(0, min(int(l.kind), len(kinds)-1))].Apart; apart {
			limit += e.reportedLimit
		} else if e.reportedLimitAt > heard {
			heard, limit = e.reportedLimitAt, e.reportedLimit
		}
	}
	return limit
}

// waitFor counts the messages that wait by destination: held, and no call of theirs is out.
func (s *Sender) waitFor() map[choice.DestinationID]int {
	held := map[choice.DestinationID]int{}
	for _, n := range s.pending {
		if n.ending.kind == endNone && n.inFlight == nil {
			held[n.Destination]++
		}
	}
	return held
}
