package evict

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/count"
	"flaxcove/internal/cluster/popularity/merge"
	"flaxcove/internal/cluster/popularity/score"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// This file measures hit rates at realistic size, in simulated time. There are two regions of eight senders, one of which in each
// region is small and caches 3% of the destinations. A ranking is four seconds old when the next one arrives, which is the
// delay of two levels of the tree. Each region has its own popularity, which shifts every 50 s, and one of them has a flash crowd.

const (
	destinations  = 1200
	capacity      = destinations * 3 / 100 // of the small sender's cache
	senders       = 8
	perSecond     = 20  // messages per second at each sender
	seconds       = 100 // simulated time
	warmupSeconds = 20  // at the start, in which hits are not counted
)

// arrivals holds the messages that are submitted at the senders of a region, and which destinations have the highest true rates.
type arrivals struct {
	of  [senders][]int // destination of the message at each step, by sender
	top [][]bool       // whether a destination is among the first capacity ones, by second
}

// drawArrivals draws the arrivals of a region. The popularity of destinations follows a power law with exponent skew.
func drawArrivals(rng *rand.Rand, skew float64, crowd bool) (d arrivals) {
	ranks := rng.Perm(destinations)
	sum, sums := 0.0, make([]float64, destinations)
	for i := range sums {
		sum += math.Pow(float64(i+1), -skew)
		sums[i] = sum
	}
	for s := range seconds {
		if s > 0 && s%50 == 0 { // two fifths of the hundred most popular ones exchange their ranks with others
			for i := range 100 {
				if rng.IntN(5) < 2 {
					j := 100 + rng.IntN(destinations-100)
					ranks[i], ranks[j] = ranks[j], ranks[i]
				}
			}
		}
		flash := crowd && s >= 70 && s < 90
		top, held := make([]bool, destinations), ranks[:capacity]
		if flash {
			held = append(slices.Clone(ranks[:capacity-5]), ranks[destinations-5:]...)
		}
		for _, id := range held {
			top[id] = true
		}
		d.top = append(d.top, top)
		for range perSecond {
			for p := range d.of {
				at, _ := slices.BinarySearch(sums, rng.Float64()*sum)
				id := ranks[at]
				if flash && rng.IntN(5) == 0 {
					id = ranks[destinations-1-rng.IntN(5)]
				}
				d.of[p] = append(d.of[p], id)
			}
		}
	}
	return d
}

// The policies that are compared.
const (
	withRegion  = iota // this package, with the region's rankings
	isolated           // this package, without any ranking
	lru                // least recently used first
	lfu                // least frequently used first, with counts of all destinations ever requested, not only of cached ones
	knowsFuture        // optimal with knowledge of all future requests
	knowsRates         // optimal with knowledge of the true rates of each second
	policies
)

// smallSender is the small sender of a region, simulated under all policies.
type smallSender struct {
	requests []int // destination of each step
	next     []int // for each step, the next one with the same destination
	counts   *count.Table
	bounds   Bounds
	caches   [policies]cache
	evictors [2]*Evictor // of the policies withRegion and isolated
	rankings [2]*score.Table
	last     [destinations]int     // step of the last request, by destination
	total    [destinations]float64 // number of requests, by destination
}

func newSmallSender(requests []int, counts *count.Table, bounds Bounds, ranking *score.Table) *smallSender {
	s := &smallSender{requests: requests, next: nextRequests(requests), counts: counts, bounds: bounds,
		evictors: [2]*Evictor{New(), New()}, rankings: [2]*score.Table{ranking, score.NewTable(count.HalfLife)}}
	for p := range s.caches {
		s.caches[p].index = map[choice.DestinationID]int{}
	}
	return s
}

// nextRequests returns for each request the index of the next one for the same destination.
func nextRequests(requests []int) []int {
	next := make([]int, len(requests))
	var at [destinations]int
	for i := range at {
		at[i] = math.MaxInt32
	}
	for i := len(requests) - 1; i >= 0; i-- {
		next[i], at[requests[i]] = at[requests[i]], i
	}
	return next
}

// step simulates one request under all policies. hot marks the destinations that have the highest true rates now.
func (s *smallSender) step(step, bytes int, counted bool, hot []bool) {
	now, n := stepTime(step), s.requests[step]
	id := choice.DestinationID(n)
	s.last[n], s.total[n] = step, s.total[n]+1
	for p := range s.evictors {
		if s.caches[p].request(id, bytes, counted) {
			s.evict(now, p, id)
		}
	}
	play := func(policy int, value func(h *clusterapi.HeldState) float64) {
		if s.caches[policy].request(id, bytes, counted) {
			s.caches[policy].evictLowest(s.bounds, value)
		}
	}
	play(lru, func(h *clusterapi.HeldState) float64 { return float64(s.last[h.Destination]) })
	play(lfu, func(h *clusterapi.HeldState) float64 {
		return s.total[h.Destination] + float64(s.last[h.Destination])/1e9
	})
	play(knowsFuture, func(h *clusterapi.HeldState) float64 {
		return -float64(min(math.MaxInt32, s.next[s.last[h.Destination]])-step) * float64(h.Bytes)
	})
	play(knowsRates, func(h *clusterapi.HeldState) float64 {
		value := float64(s.last[h.Destination])
		if hot[h.Destination] {
			value += 1e12
		}
		return value
	})
}

// evict evicts what exceeds the bounds after a destination was loaded, as an Evictor selects it.
func (s *smallSender) evict(now view.Uptime, policy int, loaded choice.DestinationID) {
	e, c := s.evictors[policy], &s.caches[policy]
	e.Loaded(now, loaded)
	selection := e.Choose(now, c.held, s.bounds, func(d choice.DestinationID) float64 {
		return s.rankings[policy].Score(now, d, s.counts.Estimate(now, d))
	})
	for _, d := range selection.Evict {
		e.Evicted(now, d)
		c.drop(d)
	}
}

// regionCounts holds the counts of all senders of a region and its ranking.
type regionCounts struct {
	instances []view.Instance
	tables    [senders]*count.Table
	merged    *merge.Table
	ranking   *score.Table
}

func newRegionCounts() *regionCounts {
	r := &regionCounts{merged: merge.NewTable(count.HalfLife), ranking: score.NewTable(count.HalfLife)}
	for p := range r.tables {
		r.tables[p] = count.NewTable(count.Bounds{})
		r.instances = append(r.instances, view.Instance{Name: view.Name(fmt.Sprint("p", p)), Incarnation: 1})
	}
	r.merged.SetReporters(r.instances[1:])
	return r
}

// step counts the messages of one step, and makes a ranking every four seconds.
func (r *regionCounts) step(step int, arrived *arrivals) {
	now := stepTime(step)
	for p := range r.tables {
		n := arrived.of[p][step]
		r.tables[p].Add(now, []clusterapi.ClientCount{{Destination: choice.DestinationID(n), Client: fmt.Sprint(n % 7), Messages: 1}})
	}
	if step%(4*perSecond) == 0 {
		r.rank(now, uint64(step+1))
	}
}

// rank merges the counts of all senders to a new ranking.
func (r *regionCounts) rank(now view.Uptime, seq uint64) {
	for p := 1; p < senders; p++ {
		r.merged.Put(now, merge.NewDigest(r.instances[p], seq, 1, r.tables[p].Top(now, merge.MaxRows)))
	}
	rows, processes := r.merged.Sum(now, r.tables[0].Top(now, merge.MaxRows))
	ranking := score.Ranking{Version: score.Version{Coordinator: r.instances[0], Seq: seq}, Region: "r", Processes: processes}
	ranking.Destinations, ranking.Messages = merge.Columns(rows)
	r.ranking.Update(now, "r", ranking)
}

// stepTime returns the simulated time of a step.
func stepTime(step int) view.Uptime { return view.Uptime(step) * time.Second / perSecond }

// simulate returns the hit rate of each policy over both regions. If sized is true, destinations differ in size and the bound is in
// bytes, otherwise it is on their number.
func simulate(seed uint64, skew float64, sized bool) (share [policies]float64) {
	bounds := Bounds{Destinations: capacity}
	size := func(int) int { return 2048 }
	if sized {
		bounds = Bounds{Bytes: capacity * 2560}
		size = func(id int) int { return 1024 * (1 + id%4) }
	}
	counted := 0
	for region := range 2 {
		arrived := drawArrivals(rand.New(rand.NewPCG(seed, uint64(region))), skew, region == 0)
		counts := newRegionCounts()
		small := newSmallSender(arrived.of[senders-1], counts.tables[senders-1], bounds, counts.ranking)
		for step := range seconds * perSecond {
			counts.step(step, &arrived)
			warm := step >= warmupSeconds*perSecond
			if warm {
				counted++
			}
			small.step(step, size(small.requests[step]), warm, arrived.top[step/perSecond])
		}
		for p := range small.caches {
			share[p] += float64(small.caches[p].hits)
		}
	}
	for p := range share {
		share[p] /= float64(counted)
	}
	return share
}

var seeds = flag.Int("seeds", 1, "number of seeds of TestHitRateAtSize; the hit rates in the docs are of 5")

// TestHitRateAtSize checks that the hit rate of this package exceeds those of LRU and LFU, and is close to those of the optimal
// policies.
func TestHitRateAtSize(t *testing.T) {
	t.Log("sized skew seed | with region, isolated | LRU, LFU | knows future, knows rates | fraction of each of these")
	for i, skew := range []float64{0.8, 1.0, 1.2} {
		for seed := range uint64(*seeds) {
			for _, sized := range []bool{false, true} {
				if *seeds == 1 && sized != (skew == 1) { // half of the combinations, to save time
					continue
				}
				s := simulate(seed+1, skew, sized)
				best, known := s[withRegion]/s[knowsFuture], s[withRegion]/s[knowsRates]
				t.Logf("%5v %.1f %d | %.3f %.3f | %.3f %.3f | %.3f %.3f | %.2f %.2f", sized, skew, seed+1, s[withRegion], s[isolated],
					s[lru], s[lfu], s[knowsFuture], s[knowsRates], best, known)
				if s[withRegion] < s[lru]+0.04 || s[withRegion] < s[lfu]+0.005 {
					t.Error("the hit rate is not sufficiently above those of LRU and LFU")
				}
				// The objective is 0.9 of the optimum. A policy that knows the true rates but not the requests does not reach it.
				if best < [...]float64{0.68, 0.77, 0.85}[i] || known < 0.86 {
					t.Error("the fraction of the optimal hit rate is below its lower bound")
				}
			}
		}
	}
}
