package size

// This file counts what a sender reports in its digests, and applies the routing guide. Decisions are the policy's.

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

// wholeEvery is in how many digests each destination is reported at least once, as in internal/sender.
const wholeEvery = 10

// countingSender stands between the engine and a policy: it counts what internal/sender counts for its digests, and forbids
// what its process's guide forbids. Without the cluster it has no process.
type countingSender struct {
	choice.Host
	policy   sim.Policy
	zone     choice.ZoneNo
	set      choice.Settings
	shortest choice.Time // shortest latency objective of all classes
	values   *values
	proc     *process // nil without the cluster

	open    map[choice.MessageID]choice.Message
	entries map[choice.EndpointID]*entry
	byDest  map[choice.DestinationID][]*entry
	escape  bool                                      // where no plan says otherwise, past a home that this sender sees fail
	seen    map[healthreport.Locality]*clusterapi.Row // since the last digest
	listed  map[healthreport.Locality]*listing
	changed bool
	digests uint64
}

type entry struct {
	choice.Entry
	limit   float64
	limitAt choice.Time
	failed  choice.Time // when a call last had no answer; 0 once one has
}

type listing struct {
	kind   choice.KindNo
	ends   []*entry // by id
	rating float64
}

func newCountingSender(h choice.Host, set choice.Settings, g *values) *countingSender {
	c := &countingSender{Host: h, zone: set.Zone, set: set, values: g, open: map[choice.MessageID]choice.Message{},
		entries: map[choice.EndpointID]*entry{}, byDest: map[choice.DestinationID][]*entry{}, seen: map[healthreport.Locality]*clusterapi.Row{}, listed: map[healthreport.Locality]*listing{}}
	for i, w := range set.Classes {
		if i == 0 || w.LatencyObjective < c.shortest {
			c.shortest = w.LatencyObjective
		}
	}
	return c
}

// The following methods implement the part of choice.Host that the engine does not.

// Allowed asks the routing guide in force at this process.
func (c *countingSender) Allowed(n choice.MessageID, e choice.EndpointID) bool {
	if c.proc == nil {
		return true
	}
	g, en := c.proc.inForce(), c.entries[e]
	return g == nil || en == nil || g.Allowed(n, en.Destination, en.Zone) || c.escape && c.ejectedHome(g, n, en)
}

// ejectedHome reports whether this sender sees all endpoints fail that the guide limits a message to without a plan.
func (c *countingSender) ejectedHome(g *apply.Guide, n choice.MessageID, en *entry) bool {
	if g.Planned(en.Destination) {
		return false
	}
	for _, other := range c.byDest[en.Destination] {
		if other.Stage == choice.Ready && (other.failed == 0 || c.Now()-other.failed > 2*c.shortest) && g.Allowed(n, other.Destination, other.Zone) {
			return false
		}
	}
	return true
}

func (c *countingSender) Shed(id choice.MessageID, comeBackIn choice.Time) {
	delete(c.open, id)
	c.Host.Shed(id, comeBackIn)
}

func (c *countingSender) Fail(id choice.MessageID) {
	delete(c.open, id)
	c.Host.Fail(id)
}

// The following methods implement sim.Policy.

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

func (c *countingSender) Taken(n choice.Message) {
	c.open[n.ID] = n
	c.policy.Taken(n)
}

func (c *countingSender) Withdrawn(id choice.MessageID) {
	delete(c.open, id)
	c.policy.Withdrawn(id)
}

func (c *countingSender) Ended(o choice.Outcome) {
	n := c.open[o.Message]
	if o.Final {
		delete(c.open, o.Message)
	}
	if o.Final && o.Result == choice.Done {
		w := &c.set.Classes[n.Class]
		asked := n.Deadline - w.Deadline
		c.values.delivered(asked, w.Value*w.ValueShare(c.Now()-asked, c.set.Halving))
	}
	if e := c.entries[o.Endpoint]; e != nil && c.proc != nil {
		c.saw(e, o)
	}
	c.policy.Ended(o)
}

func (c *countingSender) Probed(e choice.EndpointID, r choice.Result) { c.policy.Probed(e, r) }
func (c *countingSender) TimerDue(id choice.TimerID)                  { c.policy.TimerDue(id) }
func (c *countingSender) TurnEnd()                                    { c.policy.TurnEnd() }
func (c *countingSender) Open(e choice.EndpointID, messages ...choice.MessageID) bool {
	return c.policy.Open(e, messages...)
}

// saw counts the end of a call as internal/sender does. It relies on calls that carry one message each.
func (c *countingSender) saw(e *entry, o choice.Outcome) {
	if o.Report.Known {
		e.limit, e.limitAt = o.Report.Limit, c.Now()
	}
	switch o.Result {
	case choice.TimedOut, choice.ConnectFailed, choice.Reset:
		e.failed = c.Now()
	case choice.Done, choice.Rejected, choice.Errored, choice.Unreadable:
		e.failed = 0
	}
	r := c.row(placeOf(e))
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
		if o.Took >= c.shortest {
			r.Failed, r.Unanswered = r.Failed+1, r.Unanswered+1
		}
	}
}

func placeOf(e *entry) healthreport.Locality {
	return healthreport.Locality{Destination: e.Destination, Zone: zoneName(int(e.Zone))}
}

func (c *countingSender) row(at healthreport.Locality) *clusterapi.Row {
	r := c.seen[at]
	if r == nil {
		r = &clusterapi.Row{Destination: at.Destination, Zone: string(at.Zone)}
		c.seen[at] = r
	}
	return r
}

// digest returns what was counted since the last digest. It leaves waiting messages out, which failover does not use.
func (c *countingSender) digest() clusterapi.Digest {
	if c.changed {
		c.readList()
	}
	c.digests++
	for at := range c.listed {
		if (uint64(at.Destination)+c.digests)%wholeEvery == 0 {
			c.row(at)
		}
	}
	var d clusterapi.Digest
	for at, r := range c.seen {
		if l := c.listed[at]; l != nil {
			r.Kind, r.Endpoints, r.Rating, r.Limit = l.kind, len(l.ends), l.rating, l.limit(c.set.Kinds)
		}
		d.Rows = append(d.Rows, *r)
	}
	slices.SortFunc(d.Rows, func(a, b clusterapi.Row) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Zone, b.Zone))
	})
	clear(c.seen)
	return d
}

func (c *countingSender) readList() {
	c.changed = false
	old := c.listed
	c.listed = map[healthreport.Locality]*listing{}
	for _, e := range c.entries {
		if e.Stage != choice.Ready {
			continue
		}
		l := c.listed[placeOf(e)]
		if l == nil {
			l = &listing{}
			c.listed[placeOf(e)] = l
		}
		l.kind, l.ends, l.rating = e.Kind, append(l.ends, e), l.rating+e.Rating
	}
	for at, l := range c.listed {
		slices.SortFunc(l.ends, func(a, b *entry) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
		if was := old[at]; was == nil || len(was.ends) != len(l.ends) {
			c.row(at)
		}
	}
	for at := range old {
		if c.listed[at] == nil {
			c.row(at)
		}
	}
}

func (l *listing) limit(kinds []choice.Kind) (limit float64) {
	heard := choice.Time(-1)
	for _, e := range l.ends {
		if kinds[l.kind].SeparateRoutes {
			limit += e.limit
		} else if e.limitAt > heard {
			heard, limit = e.limitAt, e.limit
		}
	}
	return limit
}

// local is the part of a process's state that its routing guide is compiled with.
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
