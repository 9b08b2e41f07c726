package sender

// This file counts what a sender reports to its cluster twice a second: calls and their results by destination and zone,
// messages by destination and client. Nothing of it runs in a sender that has not joined one. Each table is emptied by the
// digest and bounded until then.

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/sender/clusterapi"
)

const (
	digestInterval = 500 * time.Millisecond
	// fullDigestEvery is in how many digests each listed row is sent once. Others are sent where calls ended, messages
	// wait, or the endpoint list has changed.
	fullDigestEvery = 10
	// Rows and counts beyond these are left out until the next digest, and counted (digest_left_out).
	maxDigestRows   = 8192
	maxDigestCounts = 4096
)

// destinationZone names the endpoints of a destination in a zone.
type destinationZone struct {
	destination choice.DestinationID
	zone        string
}

// submitter names the messages that one client host submits for a destination.
type submitter struct {
	destination choice.DestinationID
	host        string
}

// digestState is the part of a Sender that holds the next digest.
type digestState struct {
	rows             map[destinationZone]*clusterapi.Row // since the last digest
	submissions      map[submitter]uint64                // since the last digest
	listings         map[destinationZone]*listing
	firstZone        map[choice.DestinationID]string // the zone in whose row the waiting messages are counted
	digests          uint64
	listChanged      bool        // since listings was made
	longestDeadline  choice.Time // from acceptance, of all classes and messages so far
	shortestContract choice.Time // contract time of all classes so far
	leftOut          int64
}

func (d *digestState) init(s *Sender) {
	d.rows, d.submissions, d.listChanged = map[destinationZone]*clusterapi.Row{}, map[submitter]uint64{}, true
	d.includeClasses(s.cfg.Settings.Classes)
	for _, m := range s.pending {
		d.includeMessage(m, s.Now())
	}
}

// includeClasses takes the times of classes into account. Those of earlier settings still count, as their messages may be
// pending.
func (d *digestState) includeClasses(classes []choice.Class) {
	for i, class := range classes {
		d.longestDeadline = max(d.longestDeadline, class.Deadline)
		if i == 0 || class.LatencyObjective < d.shortestContract {
			d.shortestContract = class.LatencyObjective
		}
	}
}

// includeMessage takes a message's deadline into account: clients may ask for more than their class's.
func (d *digestState) includeMessage(m *message, now choice.Time) {
	d.longestDeadline = max(d.longestDeadline, m.Deadline-cmp.Or(m.acceptedAt, now))
}

// countCall counts how a call ended, once however many messages it carried. A call that was not sent for a reason of this
// process says nothing of its endpoint.
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
	case choice.Rejected:
		r.Rejected++
	case choice.Errored, choice.Reset, choice.Unreadable:
		r.Failed++
	case choice.ConnectFailed:
		r.Failed, r.Unanswered = r.Failed+1, r.Unanswered+1
	case choice.TimedOut:
		if now-c.beganAt >= s.shortestContract { // else the message's own deadline cut it short
			r.Failed, r.Unanswered = r.Failed+1, r.Unanswered+1
		}
	}
}

// row returns the row of a destination and zone, nil where the table is full.
func (d *digestState) row(at destinationZone) *clusterapi.Row {
	r := d.rows[at]
	if r == nil {
		if len(d.rows) >= maxDigestRows {
			d.leftOut++
			return nil
		}
		r = &clusterapi.Row{Destination: at.destination, Zone: at.zone}
		d.rows[at] = r
	}
	return r
}

// countSubmission counts a message as its client is answered +OK, and so once: a rejected one was not counted before, and
// one that is pending or has ended is not accepted again. Clients are told apart by their address without the port: all of
// one machine, or behind one proxy, are one.
func (s *Sender) countSubmission(m *message) {
	if s.cluster == nil {
		return
	}
	s.includeMessage(m, m.acceptedAt)
	host := m.reply.client.peer
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	from := submitter{m.Destination, host}
	if _, known := s.submissions[from]; !known && len(s.submissions) >= maxDigestCounts {
		s.leftOut++
		return
	}
	s.submissions[from]++
}

// sendDigest hands over what was counted, and begins anew.
func (s *Sender) sendDigest() {
	s.after(digestInterval, s.sendDigest)
	if s.listChanged {
		s.readEndpointList()
	}
	s.addDueRows()
	s.addWaiting()
	d := clusterapi.Digest{
		Longest: time.Duration(config.Nanoseconds(s.longestDeadline)),
		Rows:    s.digestRows(s.cfg.Settings.Kinds),
		Counts:  s.digestCounts(),
	}
	clear(s.rows)
	clear(s.submissions)
	s.cluster.Digest(d)
}

// addDueRows adds rows for a part of the listed destinations, so that all are sent within fullDigestEvery digests.
func (d *digestState) addDueRows() {
	d.digests++
	for at := range d.listings {
		if (uint64(at.destination)+d.digests)%fullDigestEvery == 0 {
			d.row(at)
		}
	}
}

// addWaiting counts the messages that wait: pending, with no call in flight.
func (s *Sender) addWaiting() {
	waiting := map[choice.DestinationID]int{}
	for _, m := range s.pending {
		if m.ending.kind == endNone && m.inFlight == nil {
			waiting[m.Destination]++
		}
	}
	for d, n := range waiting {
		if r := s.row(destinationZone{d, s.firstZone[d]}); r != nil {
			r.Waiting = n
		}
	}
}

// digestRows are the rows with what the endpoint list says, in order.
func (d *digestState) digestRows(kinds []choice.Kind) (rows []clusterapi.Row) {
	for at, r := range d.rows {
		if l := d.listings[at]; l != nil {
			r.Kind, r.Endpoints, r.Rating = l.kind, len(l.endpoints), l.rating
			r.Limit = l.limit(kinds)
		}
		rows = append(rows, *r)
	}
	slices.SortFunc(rows, func(a, b clusterapi.Row) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), strings.Compare(a.Zone, b.Zone))
	})
	return rows
}

// digestCounts are the counts of messages, in order.
func (d *digestState) digestCounts() (counts []clusterapi.Count) {
	for from, n := range d.submissions {
		counts = append(counts, clusterapi.Count{Destination: from.destination, Client: from.host, Messages: n})
	}
	slices.SortFunc(counts, func(a, b clusterapi.Count) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), strings.Compare(a.Client, b.Client))
	})
	return counts
}
