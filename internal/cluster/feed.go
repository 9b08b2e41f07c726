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
	"flaxcove/internal/sender/clusterapi"
)

// This file connects the sender: its digests become health samples, which go into this process's tables and to its zone's
// coordinator, and what it lists is available to the routing plan. The sender's loop only puts a digest into a queue.

const (
	evidencePath    = "/evidence"
	evidenceTimeout = 400 * time.Millisecond
	digestQueueSize = 8 // further digests are dropped, and their counts with them
	// healthyInterval is how often a sample without failures is reported: twice in the time for which package assess
	// considers one.
	healthyInterval = 2 * time.Second
	// listingTTL is how long a place counts as listed after the sender last reported it, which it does every five seconds.
	listingTTL       = 15 * time.Second
	maxReportSamples = 4096 // in one report
	// sampleSpan is what a failure rate is taken over: in the model of failover an outage shows after 1.5 s, with 2 s
	// after 3.
	sampleSpan = time.Second
)

// digestFeed processes the digests of a node's sender. All but queue, listing and dropped belong to one goroutine.
type digestFeed struct {
	queue       chan clusterapi.Digest
	listing     atomic.Pointer[apply.Local]
	dropped     atomic.Uint64
	zoneNumbers map[view.Zone]choice.ZoneNo
	window      *digest.Window
	listedAt    map[healthreport.Locality]view.Uptime
	reported    map[healthreport.Locality]lastReport
}

// lastReport is what the zone's coordinator was last sent of a place.
type lastReport struct {
	at      view.Uptime
	failing bool
}

// init prepares the feed of a node.
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

// local returns which destinations the sender lists in which zones.
func (f *digestFeed) local() apply.Local { return *f.listing.Load() }

// Digest takes a sender's digest; it never waits.
func (n *Node) Digest(d clusterapi.Digest) {
	select {
	case n.digests.queue <- d:
	default:
		n.digests.dropped.Add(1)
	}
}

// Guide returns the routing plan in force, nil for none.
func (n *Node) Guide() clusterapi.Guide {
	if n.subsystems.failover == nil {
		return nil
	}
	return n.subsystems.failover.Guide()
}

// Woke asks the region for its learned state of a destination.
func (n *Node) Woke(d choice.DestinationID) {
	if n.subsystems.popularity != nil {
		n.subsystems.popularity.Woke(d)
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

// handleDigest passes a digest to the subsystems that need it, and its samples to this process's tables and to the zone's
// coordinator.
func (n *Node) handleDigest(ctx context.Context, d clusterapi.Digest) {
	feed, now := &n.digests, n.Now()
	if n.subsystems.purge != nil {
		n.subsystems.purge.SetLongestDeadline(d.Longest)
	}
	if n.subsystems.popularity != nil {
		n.subsystems.popularity.Digest(d)
	}
	if n.subsystems.failover == nil {
		return
	}
	feed.updateListing(now, d.Rows, n.self.Zone)
	samples := feed.window.Take(now, d)
	n.evidence.Add(now, slices.Clone(samples)) // a copy, as the tables own what they are handed
	n.reportSamples(ctx, now, samples)
}

// reportSamples sends the zone's coordinator the samples that are due.
func (n *Node) reportSamples(ctx context.Context, now view.Uptime, samples []healthreport.Sample) {
	coordinator := n.TreeWithoutSuspected().ZoneHead(n.self.Zone)
	if coordinator == "" || coordinator == n.self.Name {
		return
	}
	due := n.digests.dueSamples(now, samples)
	if len(due) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	if n.link.Call(ctx, coordinator, evidencePath, due, nil) != nil {
		clear(n.digests.reported) // all is due again next time, perhaps for another coordinator
	}
}

// updateListing follows in which zones the sender lists endpoints of a destination.
func (f *digestFeed) updateListing(now view.Uptime, rows []clusterapi.Row, zone view.Zone) {
	changed := false
	for _, r := range rows {
		place := healthreport.Locality{Destination: r.Destination, Zone: view.Zone(r.Zone)}
		if _, known := f.listedAt[place]; r.Endpoints > 0 {
			f.listedAt[place], changed = now, changed || !known
		} else if known {
			delete(f.listedAt, place)
			changed = true
		}
	}
	for place, at := range f.listedAt {
		if now-at > listingTTL {
			delete(f.listedAt, place)
			changed = true
		}
	}
	if changed {
		f.publishListing(zone)
	}
}

// publishListing makes the present listing available to the routing plan.
func (f *digestFeed) publishListing(zone view.Zone) {
	local := &apply.Local{Zone: zone, Numbers: f.zoneNumbers, Listed: map[choice.DestinationID][]choice.ZoneNo{}}
	for place := range f.listedAt {
		if no, known := f.zoneNumbers[place.Zone]; known {
			local.Listed[place.Destination] = append(local.Listed[place.Destination], no)
		}
	}
	for d := range maps.Keys(local.Listed) {
		slices.Sort(local.Listed[d])
	}
	f.listing.Store(local)
}

// dueSamples returns the samples to be reported now: at once those with failures, and the first without any after them;
// the others every healthyInterval.
func (f *digestFeed) dueSamples(now view.Uptime, samples []healthreport.Sample) (due []healthreport.Sample) {
	for _, s := range samples {
		last, failing := f.reported[s.Locality], s.Failed > 0
		isDue := failing || failing != last.failing || last.at == 0 || now-last.at >= healthyInterval
		if isDue && len(due) < maxReportSamples {
			due = append(due, s)
			f.reported[s.Locality] = lastReport{now, failing}
		}
	}
	maps.DeleteFunc(f.reported, func(_ healthreport.Locality, last lastReport) bool { return now-last.at > listingTTL })
	return due
}

// serveEvidence stores what another process of the zone observed.
func (n *Node) serveEvidence() {
	n.link.Handle(evidencePath, func(_ context.Context, from view.Life, body []byte) (any, error) {
		var samples []healthreport.Sample
		if err := json.Unmarshal(body, &samples); err != nil {
			return nil, fmt.Errorf("evidence of %s: %w", from.Name, err)
		}
		for _, s := range samples {
			if s.Reporter != from.Name {
				return nil, fmt.Errorf("evidence of %s: field w: tells of %q", from.Name, s.Reporter)
			}
		}
		n.evidence.Add(n.Now(), samples)
		return nil, nil
	})
}
