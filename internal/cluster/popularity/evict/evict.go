// Package evict chooses which cached destinations a small process evicts, to stay within a number and within bytes.
//
// The package is pure. Those of the lowest priority weight go first: a destination's score, multiplied by what it would cost
// to learn it again, for each byte it takes. A protected destination (clusterapi.Held.InUse) is never chosen; if that leaves
// a bound exceeded, the selection says so.
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
	// callsToLearn is from how many answers on learned state is about as good as it gets: it then has twice the weight of a
	// destination without any. Package choice weighs a call by one over those seen.
	callsToLearn = 16
	// returnWindow is for how long a destination that was evicted and loaded again has a higher weight, and returnFactor how
	// much higher: it was evicted in error, and evicting it again would make it alternate with another.
	// Simulated (size_test.go): with 2 hit rates are up to 0.007 above those with 1.
	returnWindow = time.Minute
	returnFactor = 2.0
	minScore     = 1e-3   // messages; so that cost and bytes count among destinations without a score
	maxTracked   = 2048   // destinations in each of an evictor's tables
	baseBytes    = 1024.0 // added to all sizes: a destination costs that much to cache in any form
)

// Bounds are what may be cached; 0 is no bound.
type Bounds struct {
	Destinations int
	Bytes        int
}

// Selection is what Choose says.
type Selection struct {
	Evict         []choice.DestinationID // the lowest weight first
	BoundExceeded bool                   // by protected destinations
}

// Evictor remembers which destinations were evicted and loaded again. It is for one goroutine at a time.
type Evictor struct {
	evictedAt  map[choice.DestinationID]view.Uptime // within returnWindow, at most maxTracked
	returnedAt map[choice.DestinationID]view.Uptime // those of the cached destinations that were loaded again
}

// New returns an evictor that remembers nothing.
func New() *Evictor {
	return &Evictor{evictedAt: map[choice.DestinationID]view.Uptime{}, returnedAt: map[choice.DestinationID]view.Uptime{}}
}

// Loaded records that a destination is cached that was not before.
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

// Evicted records an eviction.
func (e *Evictor) Evicted(now view.Uptime, d choice.DestinationID) {
	delete(e.returnedAt, d)
	if _, tracked := e.evictedAt[d]; !tracked && len(e.evictedAt) >= maxTracked {
		e.expire(now)
		if len(e.evictedAt) >= maxTracked {
			return // not tracked, and so not favoured if it returns
		}
	}
	e.evictedAt[d] = now
}

func (e *Evictor) expire(now view.Uptime) {
	for _, m := range []map[choice.DestinationID]view.Uptime{e.evictedAt, e.returnedAt} {
		for d, when := range m {
			if now-when > returnWindow {
				delete(m, d)
			}
		}
	}
}

type candidate struct {
	held   clusterapi.Held
	weight float64
}

// Choose selects what to evict so that the rest is within bounds. score is of each destination, as of now.
func (e *Evictor) Choose(now view.Uptime, held []clusterapi.Held, b Bounds,
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

// candidates are the destinations that may be evicted, the lowest weight first.
func (e *Evictor) candidates(now view.Uptime, held []clusterapi.Held, score func(choice.DestinationID) float64) []candidate {
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

// priorityWeight is what is lost with a destination, for each byte it takes.
func (e *Evictor) priorityWeight(now view.Uptime, h clusterapi.Held, score float64) float64 {
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
