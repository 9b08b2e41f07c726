// Package count counts the messages that clients submit for each destination at one process, in bounded memory.
//
// The package does no I/O and reads no clock. Counts decay with a half-life, so that a count is a rate in which recent messages
// have more weight. Rows are assigned to destinations by the space-saving algorithm (Metwally, Agrawal, El Abbadi, 2005): a
// destination without a row replaces the one with the lowest count, and inherits that count as the amount by which its own may
// be too high. Estimates exclude this amount, because otherwise each new destination would appear popular. A single client
// cannot make a destination popular, see Bounds.ClientShare.
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

// HalfLife is the default half-life of counts. In simulations (TestHitRateAtSize of package evict) the hit rates with 30 s are
// 0.004 to 0.008 higher than with a minute. With 20 s they are 0.005 higher still, but the simulated popularity shifts every
// 50 s, which favours short half-lives.
const HalfLife = 30 * time.Second

// Defaults of Bounds.
const (
	// defaultDestinations is above the 3,000 destinations of the largest simulated cluster, so that counts there are exact. A
	// table of this size takes about 1 MB.
	defaultDestinations = 4096
	defaultClientShare  = 0.25 // a quarter of what all other clients add
	// defaultClientAllowance is the default of ClientAllowance. Messages beyond the allowance count by their logarithm: a
	// client that submits a hundred times the allowance counts as less than six times the allowance. With a fixed limit instead,
	// all destinations with a single client had the same count if they were worth caching, which reduced the hit rate by up to
	// 0.06 (simulated, TestHitRateAtSize of package evict).
	defaultClientAllowance = 1.0 / 400
)

const (
	minClientAllowance  = 2.0  // the lowest client allowance, for a process that has counted hardly any messages
	minReportedMessages = 0.05 // messages; Top omits rows with less
	// maxClients is the number of clients that have separate counts in a row. If more than four clients each submit many
	// messages, the destination is not made popular by a single client.
	maxClients = 4
	// rebaseAfterHalfLives is the age of baseTime, in half-lives, from which on counts are rescaled. They grow by a factor of
	// 2^40 until then, which is far below the limit of a float64.
	rebaseAfterHalfLives = 40
)

// Bounds are the bounds of a Table. A field that is zero stands for its default.
type Bounds struct {
	Destinations int           // number of rows
	HalfLife     time.Duration // of counts
	// ClientShare and ClientAllowance limit how much the messages of one client count for a destination. They count in full
	// up to the allowance, which is the fraction ClientAllowance of all messages in the table, and beyond it by their
	// logarithm. In addition, they count up to the fraction ClientShare of the messages of the destination's other clients.
	ClientShare, ClientAllowance float64
}

// Row is a destination and the decayed number of messages submitted for it.
type Row struct {
	Destination choice.DestinationID
	Messages    float64
}

// Table counts messages by destination and client. NewTable creates one. It is not safe for concurrent use.
type Table struct {
	bounds   Bounds
	baseTime view.Uptime // all counts are scaled as of this time, so that decay does not change their order
	rows     map[choice.DestinationID]*row
	byCount  indexheap.Heap[*row] // all rows, the lowest count first
	total    float64              // messages for all destinations, including those without a row
}

// row is the count of one destination. Its numbers are scaled as of Table.baseTime.
type row struct {
	id           choice.DestinationID
	count        float64       // never less than the number of messages submitted
	overestimate float64       // the amount by which count may be too high
	clients      []clientCount // at most maxClients
	heapIndex    int           // in Table.byCount
}

// clientCount is the number of messages that one client submitted. The client is identified by the hash of its name, as names
// can have any length.
type clientCount struct {
	client   uint64
	messages float64
}

// NewTable returns an empty table.
func NewTable(b Bounds) *Table {
	b.Destinations = cmp.Or(max(b.Destinations, 0), defaultDestinations)
	b.HalfLife = cmp.Or(max(b.HalfLife, 0), HalfLife)
	b.ClientShare, b.ClientAllowance = cmp.Or(b.ClientShare, defaultClientShare), cmp.Or(b.ClientAllowance, defaultClientAllowance)
	return &Table{bounds: b, rows: map[choice.DestinationID]*row{}}
}

// Decay returns the fraction of a count that is left at an age, with a half-life. It is 1 for a negative age.
func Decay(age, half time.Duration) float64 { return math.Exp2(-float64(max(age, 0)) / float64(half)) }

// Add counts messages that were submitted up to now.
func (t *Table) Add(now view.Uptime, all []clusterapi.ClientCount) {
	if now-t.baseTime > rebaseAfterHalfLives*t.bounds.HalfLife {
		t.rebase(now)
	}
	scale := 1 / Decay(now-t.baseTime, t.bounds.HalfLife)
	for _, c := range all {
		if c.Messages > 0 {
			t.add(c, float64(c.Messages)*scale)
		}
	}
}

// add counts messages, given as a number scaled as of baseTime, and assigns a row to the destination if it has none.
func (t *Table) add(c clusterapi.ClientCount, messages float64) {
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

// addClient adds to a client's count. If there are maxClients other clients, it replaces the one with the lowest count, whose
// messages remain in the row's count but are no longer attributed to a client.
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

// rebase sets baseTime to now and rescales all counts.
func (t *Table) rebase(now view.Uptime) {
	scale := Decay(now-t.baseTime, t.bounds.HalfLife)
	t.baseTime, t.total = now, t.total*scale
	for _, r := range t.byCount { // the order of the heap is unchanged
		r.count, r.overestimate = r.count*scale, r.overestimate*scale
		for i := range r.clients {
			r.clients[i].messages *= scale
		}
	}
}

// Top returns the rows with the most messages in descending order, at most limit of them. The caller owns the slice.
func (t *Table) Top(now view.Uptime, limit int) []Row {
	scale := Decay(now-t.baseTime, t.bounds.HalfLife)
	allowance := t.clientAllowance(scale)
	all := make([]Row, 0, len(t.byCount))
	for _, r := range t.byCount {
		if n := r.boundedCount(scale, allowance, t.bounds.ClientShare); n >= minReportedMessages {
			all = append(all, Row{r.id, n})
		}
	}
	slices.SortFunc(all, CompareRows)
	return slices.Clip(all[:min(len(all), limit)])
}

// Estimate returns a lower bound of the number of messages submitted for a destination, with each client limited by its bound.
// It is 0 for a destination without a row.
func (t *Table) Estimate(now view.Uptime, d choice.DestinationID) float64 {
	r := t.rows[d]
	if r == nil {
		return 0
	}
	scale := Decay(now-t.baseTime, t.bounds.HalfLife)
	return r.boundedCount(scale, t.clientAllowance(scale), t.bounds.ClientShare)
}

// clientAllowance returns the number of messages of a client that count in full.
func (t *Table) clientAllowance(scale float64) float64 {
	return max(minClientAllowance, t.bounds.ClientAllowance*t.total*scale)
}

// boundedCount returns a row's count without its overestimate, and with each client limited by its bound.
func (r *row) boundedCount(scale, allowance, share float64) float64 {
	certain := (r.count - r.overestimate) * scale
	bounded := certain
	for _, c := range r.clients {
		if n := c.messages * scale; n > allowance {
			bounded -= max(0, n-allowance*(1+math.Log(n/allowance))-share*max(0, certain-n))
		}
	}
	return max(0, bounded)
}

// Total returns the decayed number of messages submitted for all destinations.
func (t *Table) Total(now view.Uptime) float64 {
	return t.total * Decay(now-t.baseTime, t.bounds.HalfLife)
}

// CompareRows orders rows by descending number of messages, and rows with equal numbers by destination.
func CompareRows(a, b Row) int {
	return cmp.Or(cmp.Compare(b.Messages, a.Messages), cmp.Compare(a.Destination, b.Destination))
}

// Less reports whether the row is replaced before the other one. It implements indexheap.Item.
func (r *row) Less(other *row) bool {
	return r.count < other.count || r.count == other.count && r.id < other.id
}

// SetIndex stores the index in the heap. It implements indexheap.Item.
func (r *row) SetIndex(i int) { r.heapIndex = i }
