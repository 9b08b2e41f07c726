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
	"flaxcove/internal/sender/together"
)

// This file is the sender's side: its digests become sightings, which go into this process's tables and to its zone's
// head, and what it lists is known to the guide. The loop only puts a digest into a queue.

const (
	seenPath   = "/evidence"
	seenFor    = 400 * time.Millisecond
	digestsHas = 8 // in the queue; a digest is lost beyond, and its counts with it
	// calmEach is how often a row that tells of nothing wrong is told again: half of what package weigh believes.
	calmEach = 2 * time.Second
	// listedFor is how long a place counts as listed unless told again; the sender tells each within five seconds.
	listedFor = 15 * time.Second
	mostSeen  = 4096 // rows in one message
	// spanOf is what a share of failures is taken over: in the model of failover a fall shows after 1.5 s, with 2 s after 3.
	spanOf = time.Second
)

// counted is what a node makes of its sender's digests. All but queue and known belong to one goroutine.
type counted struct {
	queue  chan together.Digest
	known  atomic.Pointer[apply.Local]
	lost   atomic.Uint64
	zones  map[view.Zone]choice.ZoneNo
	window *digest.Window
	listed map[healthreport.Locality]view.Now
	told   map[healthreport.Locality]telling
}

// telling is what the zone's head was told of a place last.
type telling struct {
	at  view.Now
	ill bool
}

func (c *counted) init(n *Node) {
	c.queue, c.zones = make(chan together.Digest, digestsHas), map[view.Zone]choice.ZoneNo{}
	for zone, no := range n.o.Zones {
		c.zones[view.Zone(zone)] = no
	}
	c.listed, c.told = map[healthreport.Locality]view.Now{}, map[healthreport.Locality]telling{}
	c.window = digest.Make(n.self.Name, n.self.Zone, spanOf, n.o.Settings.Bounds.Destinations, n.Now())
	c.known.Store(&apply.Local{Zone: n.self.Zone, Numbers: c.zones})
}

func (c *counted) local() apply.Local { return *c.known.Load() }

// Digest takes a sender's digest; it never waits.
func (n *Node) Digest(d together.Digest) {
	select {
	case n.counted.queue <- d:
	default:
		n.counted.lost.Add(1)
	}
}

// Guide is what is decided in common, nil for nothing.
func (n *Node) Guide() together.Guide {
	if n.uses.failover == nil {
		return nil
	}
	return n.uses.failover.Guide()
}

// Woke asks the region what it knows of a destination.
func (n *Node) Woke(d choice.DestinationID) {
	if n.uses.popularity != nil {
		n.uses.popularity.Woke(d)
	}
}

// feed takes digests until ctx ends.
func (n *Node) feed(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-n.counted.queue:
			n.take(ctx, d)
		}
	}
}

func (n *Node) take(ctx context.Context, d together.Digest) {
	c, now := &n.counted, n.Now()
	if n.uses.purge != nil {
		n.uses.purge.Longest(d.Longest)
	}
	if n.uses.popularity != nil {
		n.uses.popularity.Digest(d)
	}
	if n.uses.failover == nil {
		return
	}
	c.list(now, d.Rows, n.self.Zone)
	all := c.window.Take(now, d)
	// The tables keep what they are handed.
	n.saw.Add(now, slices.Clone(all))
	head := n.Soon().ZoneHead(n.self.Zone)
	if head == "" || head == n.self.Name {
		return
	}
	if tell := c.due(now, all); len(tell) > 0 {
		call, cancel := context.WithTimeout(ctx, seenFor)
		defer cancel()
		if n.link.Call(call, head, seenPath, tell, nil) != nil {
			clear(c.told) // told anew next time, perhaps to another head
		}
	}
}

// list keeps where endpoints are listed.
func (c *counted) list(now view.Now, rows []together.Row, zone view.Zone) {
	changed := false
	for _, r := range rows {
		place := healthreport.Locality{Destination: r.Destination, Zone: view.Zone(r.Zone)}
		if _, is := c.listed[place]; r.Endpoints > 0 {
			c.listed[place], changed = now, changed || !is
		} else if is {
			delete(c.listed, place)
			changed = true
		}
	}
	for place, at := range c.listed {
		if now-at > listedFor {
			delete(c.listed, place)
			changed = true
		}
	}
	if !changed {
		return
	}
	local := &apply.Local{Zone: zone, Numbers: c.zones, Listed: map[choice.DestinationID][]choice.ZoneNo{}}
	for place := range c.listed {
		if no, known := c.zones[place.Zone]; known {
			local.Listed[place.Destination] = append(local.Listed[place.Destination], no)
		}
	}
	for d := range maps.Keys(local.Listed) {
		slices.Sort(local.Listed[d])
	}
	c.known.Store(local)
}

// due are the rows to be told now: those that tell of failures at once, and what has just got well; the rest at times.
func (c *counted) due(now view.Now, all []healthreport.Sample) (tell []healthreport.Sample) {
	for _, s := range all {
		last, ill := c.told[s.Locality], s.Failed > 0
		if (ill || ill != last.ill || last.at == 0 || now-last.at >= calmEach) && len(tell) < mostSeen {
			tell = append(tell, s)
			c.told[s.Locality] = telling{now, ill}
		}
	}
	maps.DeleteFunc(c.told, func(_ healthreport.Locality, t telling) bool { return now-t.at > listedFor })
	return tell
}

// serveSeen takes what another process of the zone saw.
func (n *Node) serveSeen() {
	n.link.Handle(seenPath, func(_ context.Context, from view.Life, body []byte) (any, error) {
		var all []healthreport.Sample
		if err := json.Unmarshal(body, &all); err != nil {
			return nil, fmt.Errorf("evidence of %s: %w", from.Name, err)
		}
		for _, s := range all {
			if s.Witness != from.Name {
				return nil, fmt.Errorf("evidence of %s: field w: tells of %q", from.Name, s.Witness)
			}
		}
		n.saw.Add(n.Now(), all)
		return nil, nil
	})
}
