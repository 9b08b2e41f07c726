package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/evidence/digest"
	"flaxcove/internal/cluster/failover/apply"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/jsonsize"
	"flaxcove/internal/sender/clusterapi"
)

// This file processes the sender's digests. They become health samples, which are added to this process's tables and
// sent to the zone's coordinator, and they tell the routing plan which destinations the sender lists in which zones.
// The sender's loop only puts a digest into a queue.

const (
	evidencePath    = "/evidence"
	evidenceTimeout = 400 * time.Millisecond // bounds sending one message
	digestQueueSize = 8                      // further digests are dropped, and their counts with them
	// healthyInterval is the time between two reports of a locality without failures. It is less than half of the age up
	// to which package assess considers a report (assess.Bounds.MaxAge), so that at least two reports are sent in that
	// time.
	healthyInterval = 2 * time.Second
	// listingTTL is how long a locality counts as listed after the sender last reported it. The sender reports each one
	// every five seconds.
	listingTTL       = 15 * time.Second
	maxReportSamples = 4096 // samples reported at a time
	// maxSamplesBytes is the length in JSON of the longest message with samples. It is a quarter of the link's limit, so that the
	// message is read well within evidenceTimeout.
	maxSamplesBytes = 256 << 10
	// sampleSpan is the time over which a failure rate is computed. In the failover model an outage is detected after
	// 1.5 s; with a span of 2 s it was detected after 3 s.
	sampleSpan = time.Second
)

// digestFeed processes the digests of a node's sender. The fields queue, listing and dropped are safe for concurrent
// use; the others belong to the goroutine of consumeDigests.
type digestFeed struct {
	queue       chan clusterapi.Digest
	listing     atomic.Pointer[apply.Local]
	dropped     atomic.Uint64 // digests dropped because the queue was full
	zoneNumbers map[view.Zone]choice.ZoneNo
	window      *digest.Window
	listedAt    map[healthreport.Locality]view.Uptime // when the sender last listed endpoints there
	reported    map[healthreport.Locality]lastReport
}

// lastReport describes the sample of a locality that was last sent to the zone's coordinator.
type lastReport struct {
	sentAt  view.Uptime // when it was sent
	failing bool        // the sample had failures
}

// init initializes the feed of node n.
func (f *digestFeed) init(n *Node) {
	f.queue = make(chan clusterapi.Digest, digestQueueSize)
	f.zoneNumbers = map[view.Zone]choice.ZoneNo{}
	for zone, no := range n.opts.Zones {
		f.zoneNumbers[view.Zone(zone)] = no
	}
	f.listedAt, f.reported = map[healthreport.Locality]view.Uptime{}, map[healthreport.Locality]lastReport{}
	f.window = digest.NewWindow(n.self.Name, n.self.Zone, sampleSpan, n.opts.Settings.Bounds.Destinations, n.Now())
	f.listing.Store(&apply.Local{Zone: n.self.Zone, Numbers: f.zoneNumbers})
}

// local returns the zones in which the sender lists endpoints, by destination.
func (f *digestFeed) local() apply.Local { return *f.listing.Load() }

// ReportDigest queues a digest of the sender. It never waits: if the queue is full, the digest is dropped and counted.
func (n *Node) ReportDigest(d clusterapi.Digest) {
	select {
	case n.digests.queue <- d:
	default:
		n.digests.dropped.Add(1)
	}
}

// RoutingPlan returns the routing plan in force; nil if there is none.
func (n *Node) RoutingPlan() clusterapi.RoutingPlan {
	if n.subsystems.failover == nil {
		return nil
	}
	return n.subsystems.failover.Guide()
}

// RequestLearnedState asks the region for its learned state of a destination. It does nothing if the popularity feature
// is off.
func (n *Node) RequestLearnedState(d choice.DestinationID) {
	if n.subsystems.popularity != nil {
		n.subsystems.popularity.RequestLearnedState(d)
	}
}

// consumeDigests handles queued digests until ctx ends.
func (n *Node) consumeDigests(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-n.digests.queue:
			n.handleDigest(ctx, d)
		}
	}
}

// handleDigest passes a digest to the subsystems that use it. With failover enabled it also adds the digest's samples
// to this process's tables and reports them to the zone's coordinator.
func (n *Node) handleDigest(ctx context.Context, d clusterapi.Digest) {
	feed, now := &n.digests, n.Now()
	if n.subsystems.purge != nil {
		n.subsystems.purge.SetLongestDeadline(d.Longest)
	}
	if n.subsystems.popularity != nil {
		n.subsystems.popularity.AddCounts(d)
	}
	if n.subsystems.failover == nil {
		return
	}
	feed.updateListing(now, d.Rows, n.self.Zone)
	samples := feed.window.Add(now, d)
	n.evidence.Add(now, slices.Clone(samples)) // a copy, as Add takes ownership of its argument
	n.reportSamples(ctx, now, samples)
}

// reportSamples sends the samples that are due to the zone's coordinator, unless this process is the coordinator.
func (n *Node) reportSamples(ctx context.Context, now view.Uptime, samples []healthreport.Sample) {
	coordinator := n.TreeWithoutSuspected().ZoneCoordinator(n.self.Zone)
	if coordinator == "" || coordinator == n.self.Name {
		return
	}
	due := n.digests.dueSamples(now, samples)
	if len(due) == 0 {
		return
	}
	for len(due) > 0 {
		fitting := jsonsize.Prefix(due, maxSamplesBytes)
		if n.sendSamples(ctx, coordinator, due[:fitting]) != nil {
			clear(n.digests.reported) // all localities are due again next time, possibly at another coordinator
			return
		}
		due = due[fitting:]
	}
}

// sendSamples sends one message with samples to the zone's coordinator.
func (n *Node) sendSamples(ctx context.Context, coordinator view.Name, samples []healthreport.Sample) error {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	return n.link.Call(ctx, coordinator, evidencePath, samples, nil)
}

// updateListing updates the localities in which the sender lists endpoints, and publishes them if they changed.
func (f *digestFeed) updateListing(now view.Uptime, rows []clusterapi.DigestRow, zone view.Zone) {
	changed := false
	for _, r := range rows {
		locality := healthreport.Locality{Destination: r.Destination, Zone: view.Zone(r.Zone)}
		if _, known := f.listedAt[locality]; r.Endpoints > 0 {
			f.listedAt[locality], changed = now, changed || !known
		} else if known {
			delete(f.listedAt, locality)
			changed = true
		}
	}
	for locality, at := range f.listedAt {
		if now-at > listingTTL {
			delete(f.listedAt, locality)
			changed = true
		}
	}
	if changed {
		f.publishListing(zone)
	}
}

// publishListing makes the current listing available to the routing plan.
func (f *digestFeed) publishListing(zone view.Zone) {
	local := &apply.Local{Zone: zone, Numbers: f.zoneNumbers, Listed: map[choice.DestinationID][]choice.ZoneNo{}}
	for locality := range f.listedAt {
		if no, known := f.zoneNumbers[locality.Zone]; known {
			local.Listed[locality.Destination] = append(local.Listed[locality.Destination], no)
		}
	}
	for d := range maps.Keys(local.Listed) {
		slices.Sort(local.Listed[d])
	}
	f.listing.Store(local)
}

// dueSamples returns the samples to report now, maxReportSamples at most. A sample with failures, and the first one of
// its locality without failures after that, is due at once; other samples are due every healthyInterval.
func (f *digestFeed) dueSamples(now view.Uptime, samples []healthreport.Sample) (due []healthreport.Sample) {
	for _, s := range samples {
		last, failing := f.reported[s.Locality], s.Failed > 0
		isDue := failing || failing != last.failing || last.sentAt == 0 || now-last.sentAt >= healthyInterval
		if isDue && len(due) < maxReportSamples {
			due = append(due, s)
			f.reported[s.Locality] = lastReport{now, failing}
		}
	}
	maps.DeleteFunc(f.reported, func(_ healthreport.Locality, last lastReport) bool { return now-last.sentAt > listingTTL })
	return due
}

// serveEvidence registers the handler that adds the samples of another process of the zone to this process's tables.
func (n *Node) serveEvidence() {
	n.link.Handle(evidencePath, func(_ context.Context, from view.Instance, body []byte) (any, error) {
		var samples []healthreport.Sample
		if err := json.Unmarshal(body, &samples); err != nil {
			return nil, fmt.Errorf("cannot decode health report from %q: %w", from.Name, err)
		}
		for _, s := range samples {
			if s.Reporter != from.Name {
				return nil, fmt.Errorf("health report rejected: the caller is %q, but field w of a sample names %q", from.Name, s.Reporter)
			}
		}
		n.evidence.Add(n.Now(), samples)
		return nil, nil
	})
}
