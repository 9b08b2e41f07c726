// Package evict chooses which cached destinations a small process evicts to stay within bounds on their number and bytes.
//
// The package does no I/O and reads no clock. Destinations with the lowest priority weight are evicted first. The weight is the
// destination's score multiplied by the cost of learning its state again, divided by the bytes it takes. A protected destination
// (clusterapi.HeldState.InUse) is never chosen. If a bound remains exceeded for that reason, the Selection says so.
package evict

import (
	"cmp"
	"math"
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

const (
	// callsToLearn is the number of answers after which learned state hardly improves, since package choice weights an answer
	// by one over the number seen. From there on a destination has twice the weight of one without learned state.
	callsToLearn = 16
	// returnWindow is the time within which a destination that is loaded again after its eviction counts as returned, and
	// for which it then has a higher weight. Without that, it could alternate with another destination of similar weight.
	returnWindow = time.Minute
	// returnFactor is the factor by which the weight of a returned destination is raised. In simulations (size_test.go) hit
	// rates with 2 are up to 0.007 higher than with 1.
	returnFactor = 2.0
	minScore     = 1e-3   // messages; lowest score, so that cost and bytes decide between destinations without a score
	maxTracked   = 2048   // destinations in each map of an Evictor
	baseBytes    = 1024.0 // added to the size of each destination, as the fixed cost of caching one
)

// Bounds limit the destinations that are cached. A field that is 0 sets no limit.
type Bounds struct {
	Destinations int // number of destinations
	Bytes        int // sum of clusterapi.HeldState.Bytes
}

// Selection is the result of Evictor.Choose.
type Selection struct {
	Evict         []choice.DestinationID // by ascending priority weight
	BoundExceeded bool                   // a bound remains exceeded because of protected destinations
}

// Evictor chooses destinations to evict. It tracks which destinations were evicted and loaded again. New creates one. It is not
// safe for concurrent use.
type Evictor struct {
	evictedAt  map[choice.DestinationID]view.Uptime // time of the last eviction; at most maxTracked entries
	returnedAt map[choice.DestinationID]view.Uptime // time at which a returned destination was loaded again; at most maxTracked entries
}

// New returns an Evictor without any history.
func New() *Evictor {
	return &Evictor{evictedAt: map[choice.DestinationID]view.Uptime{}, returnedAt: map[choice.DestinationID]view.Uptime{}}
}

// Loaded records that a destination was added to the cache.
func (e *Evictor) Loaded(now view.Uptime, d choice.DestinationID) {
	if when, evicted := e.evictedAt[d]; evicted && now-when <= returnWindow {
		if len(e.returnedAt) >= maxTracked {
			e.expire(now)
		}
		if len(e.returnedAt) < maxTracked {
			e.returnedAt[d] = now
		}
	}
	delete(e.evictedAt, d)
}

// Evicted records that a destination was evicted.
func (e *Evictor) Evicted(now view.Uptime, d choice.DestinationID) {
	delete(e.returnedAt, d)
	if _, tracked := e.evictedAt[d]; !tracked && len(e.evictedAt) >= maxTracked {
		e.expire(now)
		if len(e.evictedAt) >= maxTracked {
			return // not tracked, so its weight is not raised if it is loaded again
		}
	}
	e.evictedAt[d] = now
}

// expire drops the entries that are older than returnWindow.
func (e *Evictor) expire(now view.Uptime) {
	for _, m := range []map[choice.DestinationID]view.Uptime{e.evictedAt, e.returnedAt} {
		for d, when := range m {
			if now-when > returnWindow {
				delete(m, d)
			}
		}
	}
}

// candidate is a destination that may be evicted, with its priority weight.
type candidate struct {
	held   clusterapi.HeldState
	weight float64
}

// Choose selects destinations to evict, so that the others are within the bounds. held lists all cached destinations, and score
// returns the score of a destination as of now.
func (e *Evictor) Choose(now view.Uptime, held []clusterapi.HeldState, b Bounds,
	score func(choice.DestinationID) float64) (s Selection) {
	number, bytes := len(held), 0
	for i := range held {
		bytes += max(held[i].Bytes, 0)
	}
	exceeded := func() bool {
		return b.Destinations > 0 && number > b.Destinations || b.Bytes > 0 && bytes > b.Bytes
	}
	if !exceeded() {
		return s
	}
	for _, c := range e.candidates(now, held, score) {
		if !exceeded() {
			break
		}
		number, bytes = number-1, bytes-max(c.held.Bytes, 0)
		s.Evict = append(s.Evict, c.held.Destination)
	}
	s.BoundExceeded = exceeded()
	return s
}

// candidates returns the destinations that may be evicted, by ascending priority weight.
func (e *Evictor) candidates(now view.Uptime, held []clusterapi.HeldState, score func(choice.DestinationID) float64) []candidate {
	all := make([]candidate, 0, len(held))
	for _, h := range held {
		if !h.InUse {
			all = append(all, candidate{h, e.priorityWeight(now, h, score(h.Destination))})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.held.Destination, b.held.Destination))
	})
	return all
}

// priorityWeight returns the priority weight of a destination. Scores and numbers of calls that are invalid count as the lowest
// possible ones.
func (e *Evictor) priorityWeight(now view.Uptime, h clusterapi.HeldState, score float64) float64 {
	if !(score >= minScore) || math.IsInf(score, 0) {
		score = minScore
	}
	calls := h.Calls
	if !(calls > 0) {
		calls = 0
	}
	weight := score * (1 + min(calls, callsToLearn)/callsToLearn) / (baseBytes + float64(max(h.Bytes, 0)))
	if when, returned := e.returnedAt[h.Destination]; returned && now-when <= returnWindow {
		weight *= returnFactor
	}
	return weight
}
