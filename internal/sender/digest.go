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
	digestInterval = 500 * time.Millisecond
	// A row is told where calls ended, messages wait, or the list says something else of the place than before; in so
	// many digests each is told once anyhow, a part of the destinations at a time.
	fullDigestEvery = 10
	// Further ones are left out until the next digest, and counted (digest_left_out).
	maxDigestRows   = 8192
	maxDigestCounts = 4096
)

// destinationZone is the endpoints of a destination in a zone.
type destinationZone struct {
	destination choice.DestinationID
	zone        string
}

type clientCount struct {
	destination choice.DestinationID
	host        string
}

type digestState struct {
	rows             map[destinationZone]*together.Row // since the last digest
	submissions      map[clientCount]uint64            // likewise
	listings         map[destinationZone]*listing
	firstZone        map[choice.DestinationID]string // the zone in whose row is told what waits
	digests          uint64
	listChanged      bool        // the list, since it was read for rows
	longestDeadline  choice.Time // deadline, from the moment of taking on
	shortestContract choice.Time // contract time of all classes
	leftOut          int64
}

func (w *digestState) init(s *Sender) {
	w.rows, w.submissions, w.listChanged = map[destinationZone]*together.Row{}, map[clientCount]uint64{}, true
	w.includeClasses(s.cfg.Settings.Classes)
	for _, n := range s.pending {
		w.includeMessage(n, s.Now())
	}
}

// includeClasses takes the spans of classes. What was taken on with a longer time is still there.
func (w *digestState) includeClasses(classes []choice.Class) {
	for i, of := range classes {
		w.longestDeadline = max(w.longestDeadline, of.Deadline)
		if i == 0 || of.ContractTime < w.shortestContract {
			w.shortestContract = of.ContractTime
		}
	}
}

// includeMessage minds the longest time that any message was given: clients may ask for more than their class's deadline.
func (w *digestState) includeMessage(n *message, now choice.Time) {
	w.longestDeadline = max(w.longestDeadline, n.Deadline-cmp.Or(n.acceptedAt, now))
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
	r := s.row(destinationZone{c.endpoint.destination, c.endpoint.zoneName})
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
		if now-c.beganAt >= s.shortestContract { // else it was cut short by the message's own deadline
			r.Failed, r.Silent = r.Failed+1, r.Silent+1
		}
	}
}

// row is what is counted of a place; nil where the table is full.
func (w *digestState) row(at destinationZone) *together.Row {
	r := w.rows[at]
	if r == nil {
		if len(w.rows) >= maxDigestRows {
			w.leftOut++
			return nil
		}
		r = &together.Row{Destination: at.destination, Zone: at.zone}
		w.rows[at] = r
	}
	return r
}

// countSubmission counts a message as its client is told +OK, and so once: what was refused before and came again was not counted
// then, and an id that is owed or has ended is not taken on again. A program is the address that its connection came
// from, without the port: all programs of one machine, or behind one relay, are one.
func (s *Sender) countSubmission(n *message) {
	if s.cluster == nil {
		return
	}
	s.includeMessage(n, n.acceptedAt)
	host := n.reply.client.peer
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	p := clientCount{n.Destination, host}
	if _, known := s.submissions[p]; !known && len(s.submissions) >= maxDigestCounts {
		s.leftOut++
		return
	}
	s.submissions[p]++
}

// sendDigest hands over what was counted, and begins anew.
func (s *Sender) sendDigest() {
	s.after(digestInterval, s.sendDigest)
	if s.listChanged {
		s.readEndpointList()
	}
	s.digests++
	for at := range s.listings {
		if (uint64(at.destination)+s.digests)%fullDigestEvery == 0 {
			s.row(at)
		}
	}
	for d, n := range s.waitingByDestination() {
		if r := s.row(destinationZone{d, s.firstZone[d]}); r != nil {
			r.Held = n
		}
	}
	d := together.Digest{Longest: time.Duration(config.Nanoseconds(s.longestDeadline))}
	for at, r := range s.rows {
		if l := s.listings[at]; l != nil {
			r.Kind, r.Endpoints, r.Rating = l.kind, len(l.ends), l.rating
			r.Limit = l.limit(s.cfg.Settings.Kinds)
		}
		d.Rows = append(d.Rows, *r)
	}
	slices.SortFunc(d.Rows, func(a, b together.Row) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), strings.Compare(a.Zone, b.Zone))
	})
	for p, n := range s.submissions {
		d.Counts = append(d.Counts, together.Count{Destination: p.destination, Program: p.host, Messages: n})
	}
	slices.SortFunc(d.Counts, func(a, b together.Count) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), strings.Compare(a.Program, b.Program))
	})
	clear(s.rows)
	clear(s.submissions)
	s.cluster.Digest(d)
}

// listing is what the list says of a place. Endpoints that drain or are gone are not among it: they take nothing new.
type listing struct {
	kind   choice.KindNo
	ends   []*endpoint // by id
	rating float64
}

// readEndpointList works out anew what the list says, once it has changed, and has those rows told of which it says something
// else now, or nothing any more.
func (s *Sender) readEndpointList() {
	s.listChanged = false
	old := s.listings
	s.listings, s.firstZone = map[destinationZone]*listing{}, map[choice.DestinationID]string{}
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		e := s.endpoints[id]
		at := destinationZone{e.destination, e.zoneName}
		if !e.ready || len(s.listings) >= maxDigestRows && s.listings[at] == nil {
			continue
		}
		l := s.listings[at]
		if l == nil {
			l = &listing{}
			s.listings[at] = l
		}
		l.kind, l.ends, l.rating = e.kind, append(l.ends, e), l.rating+e.rating
		if zone, known := s.firstZone[e.destination]; !known || e.zoneName < zone {
			s.firstZone[e.destination] = e.zoneName
		}
	}
	for at, l := range s.listings {
		if was := old[at]; was == nil || was.kind != l.kind || len(was.ends) != len(l.ends) || was.rating != l.rating {
			s.row(at)
		}
	}
	for at := range old {
		if s.listings[at] == nil {
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

// waitingByDestination counts the messages that wait by destination: held, and no call of theirs is out.
func (s *Sender) waitingByDestination() map[choice.DestinationID]int {
	held := map[choice.DestinationID]int{}
	for _, n := range s.pending {
		if n.ending.kind == endNone && n.inFlight == nil {
			held[n.Destination]++
		}
	}
	return held
}
