// Package recall implements a region's summary of learned state. Large processes of the region contribute what they have learned
// of endpoints, and small processes, which evict learned state, get it back from the summary. Of each endpoint the summary
// stores the newest learned state.
//
// The package does no I/O and reads no clock. A Summary is bounded by its number of destinations. Learned state carries its age
// and the zone where it was learned; the process that receives it discounts it by its age (Discount). It is never passed on
// with an age below its true one.
package recall

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/indexheap"
	"flaxcove/internal/cluster/view"
)

const (
	defaultMaxDestinations = 4096 // in a Summary
	maxEndpoints           = 64   // of a destination
)

// EndpointState is the learned state of one endpoint, as processes send it to each other.
type EndpointState struct {
	Endpoint choice.EndpointID `json:"e"`
	Mean     float64           `json:"m"` // this and the next five fields are those of choice.LearnedState
	Dev      float64           `json:"v,omitempty"`
	Past     float64           `json:"p,omitempty"`
	Seen     float64           `json:"s,omitempty"`
	Limit    float64           `json:"l,omitempty"`
	Wait     choice.Time       `json:"w,omitempty"` // as of when the state was learned, Age ago
	Age      time.Duration     `json:"a"`
	Zone     view.Zone         `json:"z"` // of the process that learned it; calls from other zones have other latencies
}

// DestinationState is the learned state of the endpoints of one destination.
type DestinationState struct {
	Destination choice.DestinationID `json:"d"`
	Endpoints   []EndpointState      `json:"l"`
}

// Summary stores the learned state of a region's destinations. NewSummary creates one. It is not safe for concurrent use.
type Summary struct {
	maxDestinations int
	entries         map[choice.DestinationID]*entry
	oldest          indexheap.Heap[*entry] // all entries, the one with the lowest newestAt first
	// voidSince has the times at which destinations were forgotten. State learned up to then is not accepted. It has at most
	// maxDestinations entries.
	voidSince map[choice.DestinationID]view.Uptime
}

// entry is the learned state of one destination.
type entry struct {
	destination choice.DestinationID
	endpoints   []storedState // sorted by endpoint
	newestAt    view.Uptime   // the highest learnedAt of the endpoints
	heapIndex   int           // in Summary.oldest
}

// storedState is the learned state of one endpoint, with the time at which it was learned in place of its age.
type storedState struct {
	learnedAt view.Uptime
	state     EndpointState // Age is 0
}

// NewSummary returns an empty summary that stores at most maxDestinations destinations; 0 means 4096.
func NewSummary(maxDestinations int) *Summary {
	return &Summary{
		maxDestinations: cmp.Or(max(maxDestinations, 0), defaultMaxDestinations),
		entries:         map[choice.DestinationID]*entry{},
		voidSince:       map[choice.DestinationID]view.Uptime{},
	}
}

// Put stores the learned state of a destination, with ages as of now. Of each endpoint the newest state is retained, whatever
// the order of calls. State that is invalid or older than MaxAge is ignored.
func (s *Summary) Put(now view.Uptime, destination DestinationState) {
	for _, l := range destination.Endpoints[:min(len(destination.Endpoints), maxEndpoints)] {
		if valid(l) && l.Age <= MaxAge {
			s.put(destination.Destination, storedState{now - l.Age, l})
		}
	}
}

// put stores the learned state of one endpoint, unless the destination was forgotten since it was learned.
func (s *Summary) put(d choice.DestinationID, l storedState) {
	l.state.Age = 0
	if since, found := s.voidSince[d]; found && l.learnedAt <= since {
		return
	}
	e := s.entryFor(d, l.learnedAt)
	if e == nil || !e.put(l) {
		return
	}
	if l.learnedAt > e.newestAt {
		e.newestAt = l.learnedAt
		heap.Fix(&s.oldest, e.heapIndex)
	}
}

// entryFor returns the entry of a destination, and adds it if there is none. If the summary is full, the new entry replaces the
// oldest one; if that is not older than learnedAt, entryFor returns nil.
func (s *Summary) entryFor(d choice.DestinationID, learnedAt view.Uptime) *entry {
	if e := s.entries[d]; e != nil {
		return e
	}
	if len(s.entries) >= s.maxDestinations {
		if s.oldest[0].newestAt >= learnedAt {
			return nil
		}
		delete(s.entries, heap.Pop(&s.oldest).(*entry).destination)
	}
	e := &entry{destination: d, newestAt: learnedAt}
	s.entries[d] = e
	heap.Push(&s.oldest, e)
	return e
}

// put stores the learned state of an endpoint and returns true, or returns false if the stored state is the same or
// newer. If there are more than maxEndpoints endpoints, the one with the oldest state is dropped.
func (e *entry) put(l storedState) bool {
	i, found := slices.BinarySearchFunc(e.endpoints, l.state.Endpoint, func(stored storedState, id choice.EndpointID) int {
		return cmp.Compare(stored.state.Endpoint, id)
	})
	if found {
		if !newer(l, e.endpoints[i]) {
			return false
		}
		e.endpoints[i] = l
		return true
	}
	e.endpoints = slices.Insert(e.endpoints, i, l)
	if len(e.endpoints) > maxEndpoints {
		e.dropOldest()
	}
	return true
}

// dropOldest removes the endpoint with the oldest learned state.
func (e *entry) dropOldest() {
	oldest := 0
	for i := range e.endpoints {
		if newer(e.endpoints[oldest], e.endpoints[i]) {
			oldest = i
		}
	}
	e.endpoints = slices.Delete(e.endpoints, oldest, oldest+1)
}

// newer reports whether a replaces b. If both were learned at the same time, their contents decide, so that the result does not
// depend on the order in which they arrive.
func newer(a, b storedState) bool {
	x, y := a.state, b.state
	return cmp.Or(
		cmp.Compare(a.learnedAt, b.learnedAt),
		cmp.Compare(x.Seen, y.Seen),
		cmp.Compare(x.Mean, y.Mean),
		cmp.Compare(x.Dev, y.Dev),
		cmp.Compare(x.Past, y.Past),
		cmp.Compare(x.Limit, y.Limit),
		cmp.Compare(x.Wait, y.Wait),
		cmp.Compare(x.Zone, y.Zone),
		cmp.Compare(x.Endpoint, y.Endpoint)) > 0
}

// valid reports whether the numbers of learned state are possible.
func valid(state EndpointState) bool {
	for _, v := range [...]float64{state.Mean, state.Dev, state.Past, state.Seen, state.Limit} {
		if !(v >= 0) || math.IsInf(v, 1) {
			return false
		}
	}
	return state.Age >= 0 && state.Wait >= 0 && state.Wait < math.MaxInt32
}

// Lookup returns the learned state of a destination that is not older than MaxAge, with ages as of now. It returns false if there
// is none.
func (s *Summary) Lookup(now view.Uptime, d choice.DestinationID) (DestinationState, bool) {
	out := DestinationState{Destination: d}
	if e := s.entries[d]; e != nil {
		for _, stored := range e.endpoints {
			if l := stored.state; now-stored.learnedAt <= MaxAge {
				l.Age = max(0, now-stored.learnedAt)
				out.Endpoints = append(out.Endpoints, l)
			}
		}
	}
	return out, len(out.Endpoints) > 0
}

// Forget drops the learned state of a destination. State that was learned up to now is not accepted afterwards either, as it may
// still be on its way here.
func (s *Summary) Forget(now view.Uptime, d choice.DestinationID) {
	if e := s.entries[d]; e != nil {
		heap.Remove(&s.oldest, e.heapIndex)
		delete(s.entries, d)
	}
	for other, when := range s.voidSince {
		if now-when > MaxAge { // state older than MaxAge is not accepted in any case
			delete(s.voidSince, other)
		}
	}
	if _, found := s.voidSince[d]; found || len(s.voidSince) < s.maxDestinations {
		s.voidSince[d] = now
	}
}

// Len returns the number of destinations with learned state.
func (s *Summary) Len() int { return len(s.entries) }

// Less reports whether the entry is dropped before the other one if the summary is full. It implements indexheap.Item.
func (e *entry) Less(other *entry) bool {
	return e.newestAt < other.newestAt || e.newestAt == other.newestAt && e.destination < other.destination
}

// SetIndex stores the index in the heap. It implements indexheap.Item.
func (e *entry) SetIndex(i int) { e.heapIndex = i }
