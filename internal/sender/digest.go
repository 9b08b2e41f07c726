package sender

// This file collects the digests that a sender reports to its cluster twice a second: calls and their results by
// destination and zone, and messages by destination and client. A sender that has not joined a cluster collects none. Each
// table has a size limit and is emptied with each digest.

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
	// fullDigestEvery is the number of digests in which each row of the endpoint list is sent at least once. A row is also
	// sent if calls ended, messages wait, or its part of the endpoint list has changed.
	fullDigestEvery = 10
	// Limits of the rows and counts of one digest. Those beyond the limits are left out until the next digest, and
	// counted (digest_left_out).
	maxDigestRows   = 8192
	maxDigestCounts = 4096
)

// destinationZone is the key of a row: the endpoints of a destination in one zone.
type destinationZone struct {
	destination choice.DestinationID
	zone        string
}

// submitter is the key of a count: the messages that one client host submits for a destination.
type submitter struct {
	destination choice.DestinationID
	host        string
}

// digestState is the part of a Sender that collects the next digest.
type digestState struct {
	rows              map[destinationZone]*clusterapi.DigestRow // since the last digest
	submissions       map[submitter]uint64                      // messages since the last digest
	listings          map[destinationZone]*listing              // summary of the endpoint list
	firstZone         map[choice.DestinationID]string           // the zone in whose row the waiting messages are counted
	digests           uint64                                    // number of digests so far
	listChanged       bool                                      // the endpoint list has changed since listings was built
	longestDeadline   choice.Time                               // longest time from acceptance to deadline so far
	shortestObjective choice.Time                               // shortest latency objective of a class of the current settings
	leftOut           int64                                     // rows and counts left out so far
}

// init prepares the first digest of a sender that joins a cluster.
func (d *digestState) init(s *Sender) {
	d.rows, d.submissions, d.listChanged = map[destinationZone]*clusterapi.DigestRow{}, map[submitter]uint64{}, true
	d.includeClasses(s.cfg.Settings.Classes)
	for _, m := range s.pending {
		d.includeMessage(m, s.Now())
	}
}

// includeClasses updates longestDeadline and shortestObjective for new settings. The classes of earlier settings still
// count for longestDeadline, as their messages may be pending; shortestObjective is that of the new settings alone.
func (d *digestState) includeClasses(classes []choice.Class) {
	for i, class := range classes {
		d.longestDeadline = max(d.longestDeadline, class.Deadline)
		if i == 0 || class.LatencyObjective < d.shortestObjective {
			d.shortestObjective = class.LatencyObjective
		}
	}
}

// includeMessage updates longestDeadline for a message: clients may ask for a longer deadline than that of the class.
func (d *digestState) includeMessage(m *message, now choice.Time) {
	d.longestDeadline = max(d.longestDeadline, m.Deadline-cmp.Or(m.acceptedAt, now))
}

// countCall counts the end of a call in its row, once for all its messages. It does not count a call that was not sent for
// a reason of this process, as that says nothing about the endpoint.
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
		if now-c.beganAt >= s.shortestObjective { // else the deadline of its messages was too close
			r.Failed, r.Unanswered = r.Failed+1, r.Unanswered+1
		}
	}
}

// row returns the row of a destination and zone, adding it if needed; nil if the table is full.
func (d *digestState) row(key destinationZone) *clusterapi.DigestRow {
	r := d.rows[key]
	if r == nil {
		if len(d.rows) >= maxDigestRows {
			d.leftOut++
			return nil
		}
		r = &clusterapi.DigestRow{Destination: key.destination, Zone: key.zone}
		d.rows[key] = r
	}
	return r
}

// countSubmission counts a message when its client is answered +OK, and therefore once: a rejected message is not counted,
// and one that is pending or has ended is not accepted again. Clients are distinguished by address without the port, so
// all clients of one machine, or behind one proxy, count as one.
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

// sendDigest passes the collected digest to the cluster, empties the tables, and sets the timer for the next digest.
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
	s.cluster.ReportDigest(d)
}

// addDueRows adds the rows of some listed destinations, so that all rows are sent within fullDigestEvery digests.
func (d *digestState) addDueRows() {
	d.digests++
	for key := range d.listings {
		if (uint64(key.destination)+d.digests)%fullDigestEvery == 0 {
			d.row(key)
		}
	}
}

// addWaiting adds the number of waiting messages, which are pending and have no call in flight, to one row of each
// destination.
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

// digestRows returns the rows, completed from the endpoint list and sorted by destination and zone.
func (d *digestState) digestRows(kinds []choice.Kind) (rows []clusterapi.DigestRow) {
	for key, r := range d.rows {
		if l := d.listings[key]; l != nil {
			r.Kind, r.Endpoints, r.Rating = l.kind, len(l.endpoints), l.rating
			r.Limit = l.limit(kinds)
		}
		rows = append(rows, *r)
	}
	slices.SortFunc(rows, func(a, b clusterapi.DigestRow) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), strings.Compare(a.Zone, b.Zone))
	})
	return rows
}

// digestCounts returns the counts of submitted messages, sorted by destination and client.
func (d *digestState) digestCounts() (counts []clusterapi.ClientCount) {
	for from, n := range d.submissions {
		counts = append(counts, clusterapi.ClientCount{Destination: from.destination, Client: from.host, Messages: n})
	}
	slices.SortFunc(counts, func(a, b clusterapi.ClientCount) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), strings.Compare(a.Client, b.Client))
	})
	return counts
}
