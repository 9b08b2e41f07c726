// Package count counts how many messages clients hand in for each destination at one process, in bounded memory.
//
// The package is pure. Counts decay with a half-life, so that a count is a rate weighted towards now. Which destinations
// have a row is settled by the space-saving algorithm (Metwally, Agrawal, El Abbadi, 2005): a destination without a row
// takes the row of the lowest count, and inherits that count as the amount by which its own may be too high. Reported is
// only what was certainly handed in: an estimate that includes an inherited count would make each newcomer popular. One
// client alone must never make a destination popular: see Bounds.ClientShare.
package count

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/indexheap"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// HalfLife is the default half-life of counts. In simulations (TestHitRateAtSize of package evict) 30 s has hit rates 0.004 to
// 0.008 above those of a minute. 20 s had 0.005 more, but rankings that shift each 50 s favour short half-lives; it is a
// guess.
const HalfLife = 30 * time.Second

// Defaults of Bounds.
const (
	defaultDestinations = 4096 // over the 3,000 of the largest fleet drawn, where counts are exact; about 1 MB
	defaultClientShare  = 0.25 // stated: a quarter of what all others add
	// defaultClientFloor: where a destination has one client, a bound without the logarithm gave all destinations worth
	// caching the same count, and cost up to 0.06 of the hit rate (simulated, TestHitRateAtSize of package evict). A
	// hundred times the floor counts as less than six times.
	defaultClientFloor = 1.0 / 400
)

const (
	minFloorMessages = 2.0  // the floor at a process that counted next to nothing
	minReported      = 0.05 // messages; rows with less are left out of Top
	// maxClients is for how many clients a row has counts of their own; more than four that each send much are not one
	// client.
	maxClients = 4
	// rebaseAfter is in half-lives: 2^40 is far from what a float64 can hold.
	rebaseAfter = 40
)

// Bounds are a table's; zero values stand for the defaults.
type Bounds struct {
	Destinations int
	HalfLife     time.Duration
	// ClientShare is what one client may add to a destination, as a share of what all other clients add to it.
	// ClientFloor is what it may add beside that, as a share of all that was counted here: so much counts in full, and
	// what is beyond by its logarithm.
	ClientShare, ClientFloor float64
}

// Row is a destination and how many messages were handed in for it, decayed.
type Row struct {
	Destination choice.DestinationID
	Messages    float64
}

// Table is for one goroutine at a time.
type Table struct {
	bounds   Bounds
	baseTime view.Uptime // counts are scaled to this time, so that decay changes no order
	rows     map[choice.DestinationID]*row
	byCount  indexheap.Heap[*row]
	total    float64
}

type row struct {
	id           choice.DestinationID
	count        float64       // never less than what was handed in
	overestimate float64       // by how much count may be too high
	clients      []clientCount // at most maxClients
	heapIndex    int           // in Table.byCount
}

// clientCount is what one client handed in. A client is stored as a hash, since names may be of any length.
type clientCount struct {
	client   uint64
	messages float64
}

// NewTable takes bounds; zero values stand for the defaults.
func NewTable(b Bounds) *Table {
	b.Destinations = cmp.Or(max(b.Destinations, 0), defaultDestinations)
	b.HalfLife = cmp.Or(max(b.HalfLife, 0), HalfLife)
	b.ClientShare, b.ClientFloor = cmp.Or(b.ClientShare, defaultClientShare), cmp.Or(b.ClientFloor, defaultClientFloor)
	return &Table{bounds: b, rows: map[choice.DestinationID]*row{}}
}

// Decay is what is left of a count after a span; all of it if the span is negative.
func Decay(age, half time.Duration) float64 { return math.Exp2(-float64(max(age, 0)) / float64(half)) }

// Add counts what clients handed in up to now.
func (t *Table) Add(now view.Uptime, all []clusterapi.Count) {
	if now-t.baseTime > rebaseAfter*t.bounds.HalfLife {
		t.rebase(now)
	}
	scale := 1 / Decay(now-t.baseTime, t.bounds.HalfLife)
	for _, c := range all {
		if c.Messages > 0 {
			t.add(c, float64(c.Messages)*scale)
		}
	}
}

func (t *Table) add(c clusterapi.Count, messages float64) {
	t.total += messages
	r := t.rows[c.Destination]
	switch {
	case r != nil:
		r.count += messages
		heap.Fix(&t.byCount, r.heapIndex)
	case len(t.rows) < t.bounds.Destinations:
		r = &row{id: c.Destination, count: messages}
		t.rows[r.id] = r
		heap.Push(&t.byCount, r)
	default:
		r = t.byCount[0]
		delete(t.rows, r.id)
		r.id, r.overestimate, r.clients = c.Destination, r.count, r.clients[:0]
		r.count += messages
		t.rows[r.id] = r
		heap.Fix(&t.byCount, 0)
	}
	r.addClient(xxhash.Sum64String(c.Client), messages)
}

// addClient adds to a client's count. Where all are taken the lowest is replaced: its messages count on, as those of
// others.
func (r *row) addClient(client uint64, messages float64) {
	lowest := 0
	for i := range r.clients {
		if r.clients[i].client == client {
			r.clients[i].messages += messages
			return
		}
		if r.clients[i].messages < r.clients[lowest].messages {
			lowest = i
		}
	}
	if len(r.clients) < maxClients {
		r.clients = append(r.clients, clientCount{client, messages})
		return
	}
	r.clients[lowest] = clientCount{client, messages}
}

// rebase scales all counts to the time now.
func (t *Table) rebase(now view.Uptime) {
	scale := Decay(now-t.baseTime, t.bounds.HalfLife)
	t.baseTime, t.total = now, t.total*scale
	for _, r := range t.byCount { // the order of the heap stays
		r.count, r.overestimate = r.count*scale, r.overestimate*scale
		for i := range r.clients {
			r.clients[i].messages *= scale
		}
	}
}

// Top returns the destinations with most messages, the most first, at most limit; the caller owns the slice.
func (t *Table) Top(now view.Uptime, limit int) []Row {
	scale := Decay(now-t.baseTime, t.bounds.HalfLife)
	floor := t.clientFloor(scale)
	all := make([]Row, 0, len(t.byCount))
	for _, r := range t.byCount {
		if n := r.boundedCount(scale, floor, t.bounds.ClientShare); n >= minReported {
			all = append(all, Row{r.id, n})
		}
	}
	slices.SortFunc(all, CompareRows)
	return slices.Clip(all[:min(len(all), limit)])
}

// Estimate is what was certainly handed in for one destination, with each client held to its bound.
func (t *Table) Estimate(now view.Uptime, d choice.DestinationID) float64 {
	r := t.rows[d]
	if r == nil {
		return 0
	}
	scale := Decay(now-t.baseTime, t.bounds.HalfLife)
	return r.boundedCount(scale, t.clientFloor(scale), t.bounds.ClientShare)
}

func (t *Table) clientFloor(scale float64) float64 {
	return max(minFloorMessages, t.bounds.ClientFloor*t.total*scale)
}

// boundedCount is a row's count with each client held to its bound.
func (r *row) boundedCount(scale, floor, share float64) float64 {
	certain := (r.count - r.overestimate) * scale
	bounded := certain
	for _, c := range r.clients {
		if n := c.messages * scale; n > floor {
			bounded -= max(0, n-floor*(1+math.Log(n/floor))-share*max(0, certain-n))
		}
	}
	return max(0, bounded)
}

// Total is how many messages were handed in for all destinations.
func (t *Table) Total(now view.Uptime) float64 {
	return t.total * Decay(now-t.baseTime, t.bounds.HalfLife)
}

// CompareRows has the most popular first, and of two alike the lower id.
func CompareRows(a, b Row) int {
	return cmp.Or(cmp.Compare(b.Messages, a.Messages), cmp.Compare(a.Destination, b.Destination))
}

// Less has the row first that is evicted first.
func (r *row) Less(other *row) bool {
	return r.count < other.count || r.count == other.count && r.id < other.id
}

// SetIndex is called by the heap.
func (r *row) SetIndex(i int) { r.heapIndex = i }
