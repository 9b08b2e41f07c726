package size

// This file counts the observations that a sender reports in its digests and enforces the routing guide. It leaves all other
// decisions to the policy.

import (
	"cmp"
	"slices"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/apply"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
	"flaxcove/lab/sim"
)

// fullListEvery is the number of consecutive digests in which each destination is reported at least once, as in
// internal/sender.
const fullListEvery = 10

// countingSender is both the host of a policy and the policy of the engine. It counts what internal/sender counts for its
// digests and forbids endpoints that the guide of its process forbids.
type countingSender struct {
	choice.Host
	policy            sim.Policy
	zone              choice.ZoneNo
	settings          choice.Settings
	shortestObjective choice.Time // shortest latency objective of all classes
	values            *valueTally
	process           *process // nil without the cluster

	open    map[choice.MessageID]choice.Message
	entries map[choice.EndpointID]*entry
	byDest  map[choice.DestinationID][]*entry
	escape  bool                                            // without a plan for a destination, allow all of its endpoints while those at home fail
	rows    map[healthreport.Locality]*clusterapi.DigestRow // counts since the last digest
	listed  map[healthreport.Locality]*listing
	changed bool // the endpoint list changed since the last digest
	digests uint64
}

// entry is an endpoint of the list with the last reported limit and the time of that report.
type entry struct {
	choice.Entry
	limit   float64
	limitAt choice.Time
	failed  choice.Time // time of the last unanswered call; 0 after a call was answered
}

// listing summarizes the ready endpoints of a locality.
type listing struct {
	kind      choice.KindNo
	endpoints []*entry // sorted by id
	rating    float64
}

// newCountingSender returns a countingSender. The caller sets its policy, escape and process.
func newCountingSender(h choice.Host, set choice.Settings, g *valueTally) *countingSender {
	c := &countingSender{Host: h, zone: set.Zone, settings: set, values: g, open: map[choice.MessageID]choice.Message{},
		entries: map[choice.EndpointID]*entry{}, byDest: map[choice.DestinationID][]*entry{}, rows: map[healthreport.Locality]*clusterapi.DigestRow{}, listed: map[healthreport.Locality]*listing{}}
	for i, w := range set.Classes {
		if i == 0 || w.LatencyObjective < c.shortestObjective {
			c.shortestObjective = w.LatencyObjective
		}
	}
	return c
}

// The following methods override methods of the embedded choice.Host.

// Allowed reports whether the routing guide in force at this process allows an endpoint for a message.
func (c *countingSender) Allowed(n choice.MessageID, e choice.EndpointID) bool {
	if c.process == nil {
		return true
	}
	g, en := c.process.inForce(), c.entries[e]
	return g == nil || en == nil || g.Allowed(n, en.Destination, en.Zone) || c.escape && c.homeFails(g, n, en)
}

// homeFails reports whether the guide has no plan for a destination and all endpoints that it allows have failed here, the last
// time within twice the shortest latency objective.
func (c *countingSender) homeFails(g *apply.Guide, n choice.MessageID, en *entry) bool {
	if g.Planned(en.Destination) {
		return false
	}
	for _, other := range c.byDest[en.Destination] {
		if other.Stage == choice.Ready && (other.failed == 0 || c.Now()-other.failed > 2*c.shortestObjective) && g.Allowed(n, other.Destination, other.Zone) {
			return false
		}
	}
	return true
}

// Shed forgets a message that the policy sheds.
func (c *countingSender) Shed(id choice.MessageID, comeBackIn choice.Time) {
	delete(c.open, id)
	c.Host.Shed(id, comeBackIn)
}

// Fail forgets a message that the policy fails.
func (c *countingSender) Fail(id choice.MessageID) {
	delete(c.open, id)
	c.Host.Fail(id)
}

// The following methods implement sim.Policy: they count and pass each event on to the policy.

func (c *countingSender) UpdateEndpoints(entries []choice.Entry, whole bool) {
	if whole {
		for _, e := range c.entries {
			e.Stage = choice.Gone
		}
	}
	for _, e := range entries {
		if c.entries[e.Endpoint] == nil {
			c.entries[e.Endpoint] = &entry{}
			c.byDest[e.Destination] = append(c.byDest[e.Destination], c.entries[e.Endpoint])
		}
		c.entries[e.Endpoint].Entry = e
	}
	c.changed = true
	c.policy.UpdateEndpoints(entries, whole)
}

func (c *countingSender) Accept(n choice.Message) {
	c.open[n.ID] = n
	c.policy.Accept(n)
}

func (c *countingSender) Withdraw(id choice.MessageID) {
	delete(c.open, id)
	c.policy.Withdraw(id)
}

func (c *countingSender) AttemptEnded(o choice.Outcome) {
	n := c.open[o.Message]
	if o.Final {
		delete(c.open, o.Message)
	}
	if o.Final && o.Result == choice.Done {
		w := &c.settings.Classes[n.Class]
		asked := n.Deadline - w.Deadline
		c.values.delivered(asked, w.Value*w.ValueShare(c.Now()-asked, c.settings.Halving))
	}
	if e := c.entries[o.Endpoint]; e != nil && c.process != nil {
		c.recordOutcome(e, o)
	}
	c.policy.AttemptEnded(o)
}

func (c *countingSender) ProbeEnded(e choice.EndpointID, r choice.Result) { c.policy.ProbeEnded(e, r) }
func (c *countingSender) TimerFired(id choice.TimerID)                    { c.policy.TimerFired(id) }
func (c *countingSender) TurnEnd()                                        { c.policy.TurnEnd() }
func (c *countingSender) MaySend(e choice.EndpointID, messages ...choice.MessageID) bool {
	return c.policy.MaySend(e, messages...)
}

// recordOutcome counts the end of a call as internal/sender does. It assumes that each call carries one message.
func (c *countingSender) recordOutcome(e *entry, o choice.Outcome) {
	if o.Report.Known {
		e.limit, e.limitAt = o.Report.Limit, c.Now()
	}
	switch o.Result {
	case choice.TimedOut, choice.ConnectFailed, choice.Reset:
		e.failed = c.Now()
	case choice.Done, choice.Rejected, choice.Errored, choice.Unreadable:
		e.failed = 0
	}
	r := c.row(localityOf(e))
	r.Sent++
	switch o.Result {
	case choice.Done:
		r.Done++
	case choice.Rejected:
		r.Rejected++
	case choice.Errored, choice.Reset, choice.Unreadable:
		r.Failed++
	case choice.ConnectFailed:
		r.Failed, r.Unanswered = r.Failed+1, r.Unanswered+1
	case choice.TimedOut:
		if o.Duration >= c.shortestObjective {
			r.Failed, r.Unanswered = r.Failed+1, r.Unanswered+1
		}
	}
}

// localityOf returns the locality of an endpoint.
func localityOf(e *entry) healthreport.Locality {
	return healthreport.Locality{Destination: e.Destination, Zone: zoneName(int(e.Zone))}
}

// row returns the row of a locality in the next digest, and adds one if there is none.
func (c *countingSender) row(at healthreport.Locality) *clusterapi.DigestRow {
	r := c.rows[at]
	if r == nil {
		r = &clusterapi.DigestRow{Destination: at.Destination, Zone: string(at.Zone)}
		c.rows[at] = r
	}
	return r
}

// digest returns the counts since the last digest. It omits waiting messages, which failover does not use.
func (c *countingSender) digest() clusterapi.Digest {
	if c.changed {
		c.updateListed()
	}
	c.digests++
	for at := range c.listed {
		if (uint64(at.Destination)+c.digests)%fullListEvery == 0 {
			c.row(at)
		}
	}
	var d clusterapi.Digest
	for at, r := range c.rows {
		if l := c.listed[at]; l != nil {
			r.Kind, r.Endpoints, r.Rating, r.Limit = l.kind, len(l.endpoints), l.rating, l.limit(c.settings.Kinds)
		}
		d.Rows = append(d.Rows, *r)
	}
	slices.SortFunc(d.Rows, func(a, b clusterapi.DigestRow) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Zone, b.Zone))
	})
	clear(c.rows)
	return d
}

// updateListed rebuilds the listings from the endpoint list. It adds a row for each locality whose number of endpoints changed.
func (c *countingSender) updateListed() {
	c.changed = false
	old := c.listed
	c.listed = map[healthreport.Locality]*listing{}
	for _, e := range c.entries {
		if e.Stage != choice.Ready {
			continue
		}
		l := c.listed[localityOf(e)]
		if l == nil {
			l = &listing{}
			c.listed[localityOf(e)] = l
		}
		l.kind, l.endpoints, l.rating = e.Kind, append(l.endpoints, e), l.rating+e.Rating
	}
	for at, l := range c.listed {
		slices.SortFunc(l.endpoints, func(a, b *entry) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
		if was := old[at]; was == nil || len(was.endpoints) != len(l.endpoints) {
			c.row(at)
		}
	}
	for at := range old {
		if c.listed[at] == nil {
			c.row(at)
		}
	}
}

// limit returns the reported rate limit of a locality: the sum over its endpoints if each has its own limit, or else the
// limit in the latest report.
func (l *listing) limit(kinds []choice.Kind) (limit float64) {
	latest := choice.Time(-1)
	for _, e := range l.endpoints {
		if kinds[l.kind].SeparateRoutes {
			limit += e.limit
		} else if e.limitAt > latest {
			latest, limit = e.limitAt, e.limit
		}
	}
	return limit
}

// local returns the sender's part of the input for compiling a routing guide: its zone and the zones of all destinations.
func (c *countingSender) local(numbers map[view.Zone]choice.ZoneNo) apply.Local {
	l := apply.Local{Zone: zoneName(int(c.zone)), Numbers: numbers, Listed: map[choice.DestinationID][]choice.ZoneNo{}}
	for at := range c.listed {
		l.Listed[at.Destination] = append(l.Listed[at.Destination], numbers[at.Zone])
	}
	for _, zones := range l.Listed {
		slices.Sort(zones)
	}
	return l
}
