package recall

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"flaxcove/choice"
	"flaxcove/internal/cluster/view"
)

// newLesson returns the learned state of endpoint number e.
func newLesson(e int, mean float64, age time.Duration) EndpointState {
	return EndpointState{Endpoint: choice.EndpointID(rune(96 + e)), Mean: mean, Past: mean, Seen: 10, Age: age, Zone: "z"}
}

// TestOrderDoesNotMatter checks that a Summary retains the newest state of each endpoint, whatever the order and number of calls of
// Put.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type sent struct {
			at view.Uptime
			l  EndpointState
		}
		all := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) sent {
			return sent{time.Duration(rapid.IntRange(0, 5).Draw(t, "at")) * time.Second,
				newLesson(rapid.IntRange(1, 3).Draw(t, "e"), float64(rapid.IntRange(1, 3).Draw(t, "mean")), 0)}
		}), 1, 12).Draw(t, "all")
		put := func(order []sent) DestinationState {
			s := NewSummary(0)
			for _, x := range order {
				x.l.Age = 9*time.Second - x.at
				s.Put(9*time.Second, DestinationState{1, []EndpointState{x.l}})
			}
			got, _ := s.Lookup(10*time.Second, 1)
			return got
		}
		late := append(rapid.Permutation(all).Draw(t, "order"), all...)
		if d := cmp.Diff(put(all), put(late)); d != "" {
			t.Fatal(d)
		}
	})
}

// TestBoundsAndForget checks that the oldest destination is dropped from a full Summary, that state learned before Forget is not
// accepted, and that state older than MaxAge is not returned.
func TestBoundsAndForget(t *testing.T) {
	s := NewSummary(3)
	for d := range choice.DestinationID(10) {
		s.Put(view.Uptime(d), DestinationState{d, []EndpointState{newLesson(1, 1, 0)}})
	}
	if _, oldest := s.Lookup(10, 0); oldest || s.Len() != 3 {
		t.Error("the oldest destination was not dropped; destinations in the summary:", s.Len())
	}
	s.Forget(20, 9)
	s.Put(30, DestinationState{9, []EndpointState{newLesson(1, 1, 15)}}) // learned at 15, so before Forget, but received afterwards
	if _, some := s.Lookup(30, 9); some {
		t.Error("state learned before Forget was accepted")
	}
	s.Put(30, DestinationState{9, []EndpointState{newLesson(1, 1, 5)}})
	if _, some := s.Lookup(30, 9); !some {
		t.Error("state learned after Forget was not accepted")
	}
	if _, some := s.Lookup(30+MaxAge+1, 9); some {
		t.Error("state older than MaxAge was returned")
	}
}

// TestDiscountByAge checks what Discount returns for learned state of different ages and zones.
func TestDiscountByAge(t *testing.T) {
	l := newLesson(1, 50, 0)
	l.Seen, l.Limit, l.Wait = 1000, 20, 90*choice.Second
	for _, c := range []struct {
		age         time.Duration
		zone        view.Zone
		seen, limit float64
		wait        choice.Time
		some        bool
	}{
		{0, "z", maxAnswers, 20, 90 * choice.Second, true},
		{0, "y", maxAnswersElsewhere, 20, 90 * choice.Second, true},
		{time.Minute + time.Second, "z", 2.8, 0, 29 * choice.Second, true}, // the limit is too old, the wait is not
		{2 * ageHalfLife, "z", 1, 0, 0, true},
		{MaxAge + 1, "z", 0, 0, 0, false},
		{-1, "z", 0, 0, 0, false},
	} {
		l.Age = c.age
		got, some := Discount(l, c.zone)
		k := got.LearnedState
		if some != c.some || k.Limit != c.limit || k.Wait != c.wait || k.Seen < c.seen-0.05 || k.Seen > c.seen+0.05 {
			t.Errorf("case %v: got %v, applicable %v", c, got, some)
		}
	}
}
