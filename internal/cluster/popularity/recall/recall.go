// Package recall is a region's summary of learned state: what its larger processes have learned of endpoints, the newest of
// each, for the small processes that evicted theirs.
//
// The package is pure, and bounded by destinations. Each lesson carries its age and the zone where it was learned; what is
// handed back is discounted by age (discount.go). A lesson is never passed on as younger than it is.
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
	defaultMaxDestinations = 4096
	maxEndpoints           = 64 // of a destination
)

// Lesson is the learned state of one endpoint on its way between processes; a destination's lessons travel together.
type Lesson struct {
	Endpoint choice.EndpointID `json:"e"`
	Mean     float64           `json:"m"` // all as in choice.LearnedState
	Dev      float64           `json:"v,omitempty"`
	Past     float64           `json:"p,omitempty"`
	Seen     float64           `json:"s,omitempty"`
	Limit    float64           `json:"l,omitempty"`
	Wait     choice.Time       `json:"w,omitempty"` // left when it was learned, Age ago
	Age      time.Duration     `json:"a"`
	Zone     view.Zone         `json:"z"` // of the process that learned it: calls from elsewhere take other times
}

// Lessons are those of one destination.
type Lessons struct {
	Destination choice.DestinationID `json:"d"`
	All         []Lesson             `json:"l"`
}

// Summary is for one goroutine at a time.
type Summary struct {
	maxDestinations int
	entries         map[choice.DestinationID]*entry
	oldest          indexheap.Heap[*entry]
	// voidSince is when destinations were forgotten: older lessons are void. At most maxDestinations.
	voidSince map[choice.DestinationID]view.Uptime
}

type entry struct {
	destination choice.DestinationID
	lessons     []storedLesson // by endpoint
	newestAt    view.Uptime
	heapIndex   int // in oldest
}

type storedLesson struct {
	learnedAt view.Uptime
	lesson    Lesson // without its age
}

// NewSummary takes how many destinations it stores at most; 0 for the package's own bound.
func NewSummary(maxDestinations int) *Summary {
	return &Summary{
		maxDestinations: cmp.Or(max(maxDestinations, 0), defaultMaxDestinations),
		entries:         map[choice.DestinationID]*entry{},
		voidSince:       map[choice.DestinationID]view.Uptime{},
	}
}

// Put stores lessons whose ages are as of now. Of one endpoint the newest stays, in whatever order they arrive.
func (s *Summary) Put(now view.Uptime, all Lessons) {
	for _, l := range all.All[:min(len(all.All), maxEndpoints)] {
		if valid(l) && l.Age <= MaxAge {
			s.put(all.Destination, storedLesson{now - l.Age, l})
		}
	}
}

func (s *Summary) put(d choice.DestinationID, l storedLesson) {
	l.lesson.Age = 0
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

// entryFor returns the entry of a destination. A new one replaces the oldest where the summary is full; nil if a lesson
// learned at that time is older than all.
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

// put stores a lesson unless a newer one of its endpoint is there; beyond maxEndpoints the oldest is dropped.
func (e *entry) put(l storedLesson) bool {
	i, found := slices.BinarySearchFunc(e.lessons, l.lesson.Endpoint, func(stored storedLesson, id choice.EndpointID) int {
		return cmp.Compare(stored.lesson.Endpoint, id)
	})
	if found {
		if !newer(l, e.lessons[i]) {
			return false
		}
		e.lessons[i] = l
		return true
	}
	e.lessons = slices.Insert(e.lessons, i, l)
	if len(e.lessons) > maxEndpoints {
		e.dropOldest()
	}
	return true
}

func (e *entry) dropOldest() {
	oldest := 0
	for i := range e.lessons {
		if newer(e.lessons[oldest], e.lessons[i]) {
			oldest = i
		}
	}
	e.lessons = slices.Delete(e.lessons, oldest, oldest+1)
}

// newer settles which of two lessons of one endpoint stays, also where both are as old: any rule will do that does not
// depend on their order.
func newer(a, b storedLesson) bool {
	x, y := a.lesson, b.lesson
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

func valid(l Lesson) bool {
	for _, v := range [...]float64{l.Mean, l.Dev, l.Past, l.Seen, l.Limit} {
		if !(v >= 0) || math.IsInf(v, 1) {
			return false
		}
	}
	return l.Age >= 0 && l.Wait >= 0 && l.Wait < math.MaxInt32
}

// Lookup is what is known of a destination, ages as of now; false if nothing young enough is.
func (s *Summary) Lookup(now view.Uptime, d choice.DestinationID) (Lessons, bool) {
	out := Lessons{Destination: d}
	if e := s.entries[d]; e != nil {
		for _, stored := range e.lessons {
			if l := stored.lesson; now-stored.learnedAt <= MaxAge {
				l.Age = max(0, now-stored.learnedAt)
				out.All = append(out.All, l)
			}
		}
	}
	return out, len(out.All) > 0
}

// Forget drops a destination: what was learned of it up to now is void, also what is still on its way here.
func (s *Summary) Forget(now view.Uptime, d choice.DestinationID) {
	if e := s.entries[d]; e != nil {
		heap.Remove(&s.oldest, e.heapIndex)
		delete(s.entries, d)
	}
	for other, when := range s.voidSince {
		if now-when > MaxAge { // lessons so old are not taken anyway
			delete(s.voidSince, other)
		}
	}
	if _, found := s.voidSince[d]; found || len(s.voidSince) < s.maxDestinations {
		s.voidSince[d] = now
	}
}

// Len is how many destinations something is known of.
func (s *Summary) Len() int { return len(s.entries) }

// Less has the entry first that is dropped first.
func (e *entry) Less(other *entry) bool {
	return e.newestAt < other.newestAt || e.newestAt == other.newestAt && e.destination < other.destination
}

// SetIndex is called by the heap.
func (e *entry) SetIndex(i int) { e.heapIndex = i }
