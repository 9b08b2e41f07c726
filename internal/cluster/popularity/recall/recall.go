// Package recall is a region's summary: what its larger processes have learnt of endpoints, the newest of each, for
// the small ones that let go of it.
//
// Pure. Bounded by destinations; each lesson with its age and the zone it was learnt in. What is given back is weighed
// by age (trust.go). It must never pass a lesson on as younger than it is.
package recall

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/view"
)

const (
	mostDestinations = 4096
	mostEndpoints    = 64 // of a destination
)

// Lesson is one on its way; a destination's lessons travel together.
type Lesson struct {
	Endpoint choice.EndpointID `json:"e"`
	Mean     float64           `json:"m"` // all as in choice.LearnedState
	Dev      float64           `json:"v,omitempty"`
	Past     float64           `json:"p,omitempty"`
	Seen     float64           `json:"s,omitempty"`
	Limit    float64           `json:"l,omitempty"`
	Wait     choice.Time       `json:"w,omitempty"` // left when it was learnt, Age ago
	Age      time.Duration     `json:"a"`
	Zone     view.Zone         `json:"z"` // where who learnt it is: calls from elsewhere take other times
}

// Lessons are those of one destination.
type Lessons struct {
	Destination choice.DestinationID `json:"d"`
	All         []Lesson             `json:"l"`
}

// Summary is for one goroutine at a time.
type Summary struct {
	most   int
	of     map[choice.DestinationID]*entry
	oldest entries
	// void are destinations whose lessons are void, and since when; at most as many as most.
	void map[choice.DestinationID]view.Now
}

type entry struct {
	d    choice.DestinationID
	all  []kept // by endpoint
	last view.Now
	no   int // in oldest
}

type kept struct {
	at view.Now
	l  Lesson // without its age
}

// Make takes how many destinations it holds at most; 0 for the package's own bound.
func Make(most int) *Summary {
	return &Summary{most: cmp.Or(max(most, 0), mostDestinations), of: map[choice.DestinationID]*entry{},
		void: map[choice.DestinationID]view.Now{}}
}

// Put takes lessons whose ages are of now. Of one endpoint the newest stays, however they come.
func (s *Summary) Put(now view.Now, all Lessons) {
	for _, l := range all.All[:min(len(all.All), mostEndpoints)] {
		if sound(l) && l.Age <= MostAge {
			s.put(all.Destination, kept{now - l.Age, l})
		}
	}
}

func (s *Summary) put(d choice.DestinationID, k kept) {
	k.l.Age = 0
	if since, is := s.void[d]; is && k.at <= since {
		return
	}
	e := s.of[d]
	if e == nil {
		if len(s.of) >= s.most {
			if s.oldest[0].last >= k.at {
				return
			}
			delete(s.of, heap.Pop(&s.oldest).(*entry).d)
		}
		e = &entry{d: d, last: k.at}
		s.of[d] = e
		heap.Push(&s.oldest, e)
	}
	i, known := slices.BinarySearchFunc(e.all, k.l.Endpoint, func(k kept, id choice.EndpointID) int {
		return cmp.Compare(k.l.Endpoint, id)
	})
	switch {
	case known && newer(k, e.all[i]):
		e.all[i] = k
	case known:
		return
	default:
		e.all = slices.Insert(e.all, i, k)
		if len(e.all) > mostEndpoints {
			low := 0
			for j := range e.all {
				if newer(e.all[low], e.all[j]) {
					low = j
				}
			}
			e.all = slices.Delete(e.all, low, low+1)
		}
	}
	if k.at > e.last {
		e.last = k.at
		heap.Fix(&s.oldest, e.no)
	}
}

// newer settles which of two of one endpoint stays, also where both are as old: any rule that hangs on no order.
func newer(a, b kept) bool {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.l.Seen, b.l.Seen), cmp.Compare(a.l.Mean, b.l.Mean),
		cmp.Compare(a.l.Dev, b.l.Dev), cmp.Compare(a.l.Past, b.l.Past), cmp.Compare(a.l.Limit, b.l.Limit),
		cmp.Compare(a.l.Wait, b.l.Wait), cmp.Compare(a.l.Zone, b.l.Zone), cmp.Compare(a.l.Endpoint, b.l.Endpoint)) > 0
}

func sound(l Lesson) bool {
	for _, v := range [...]float64{l.Mean, l.Dev, l.Past, l.Seen, l.Limit} {
		if !(v >= 0) || math.IsInf(v, 1) {
			return false
		}
	}
	return l.Age >= 0 && l.Wait >= 0 && l.Wait < math.MaxInt32
}

// Of is what is known of a destination, ages as of now; false where nothing young enough is.
func (s *Summary) Of(now view.Now, d choice.DestinationID) (Lessons, bool) {
	out := Lessons{Destination: d}
	if e := s.of[d]; e != nil {
		for _, k := range e.all {
			if l := k.l; now-k.at <= MostAge {
				l.Age = max(0, now-k.at)
				out.All = append(out.All, l)
			}
		}
	}
	return out, len(out.All) > 0
}

// Forget drops a destination: what was learnt of it up to now is void, also what is still on its way here.
func (s *Summary) Forget(now view.Now, d choice.DestinationID) {
	if e := s.of[d]; e != nil {
		heap.Remove(&s.oldest, e.no)
		delete(s.of, d)
	}
	for other, when := range s.void {
		if now-when > MostAge { // what is so old is not taken anyway
			delete(s.void, other)
		}
	}
	if _, is := s.void[d]; is || len(s.void) < s.most {
		s.void[d] = now
	}
}

// Held is how many destinations something is known of.
func (s *Summary) Held() int { return len(s.of) }

// entries has the one first that leaves first. It is container/heap's.
type entries []*entry

func (l entries) Len() int { return len(l) }
func (l entries) Less(i, j int) bool {
	return l[i].last < l[j].last || l[i].last == l[j].last && l[i].d < l[j].d
}
func (l entries) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].no, l[j].no = i, j
}

func (l *entries) Push(e any) {
	e.(*entry).no = len(*l)
	*l = append(*l, e.(*entry))
}

func (l *entries) Pop() any {
	last := len(*l) - 1
	e := (*l)[last]
	(*l)[last] = nil
	*l = (*l)[:last]
	return e
}
